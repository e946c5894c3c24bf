package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// batcher combines the inserts of one router into transactions. It commits one transaction at a
// time. Inserts that arrive during a commit share the next transaction. The table service accepts
// only a few hundred writes a second from the whole fleet.
type batcher struct {
	table port.Table
	queue chan pendingInsert
}

// pendingInsert is an insert whose transaction is not committed yet.
type pendingInsert struct {
	write  port.Write
	result chan error
}

const (
	// maxBatch is the largest number of inserts in one transaction.
	maxBatch = 64
	// batchTimeout is the timeout of one commit.
	batchTimeout = 2 * time.Second
)

func newBatcher(table port.Table) *batcher {
	b := &batcher{table: table, queue: make(chan pendingInsert, maxBatch)}
	go b.run()
	return b
}

// insert writes a row on the condition that it does not exist yet. If ctx ends before the insert is
// queued, the error is marked as port.ErrUnavailable. If ctx ends later, the error is marked as
// port.ErrOutcomeUnknown.
func (b *batcher) insert(ctx context.Context, w port.Write) error {
	p := pendingInsert{write: w, result: make(chan error, 1)}
	select {
	case b.queue <- p:
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), port.ErrUnavailable)
	}
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), port.ErrOutcomeUnknown)
	}
}

// run commits the queued inserts in batches. It never returns.
func (b *batcher) run() {
	for first := range b.queue {
		batch := []pendingInsert{first}
		for len(batch) < maxBatch {
			select {
			case p := <-b.queue:
				batch = append(batch, p)
				continue
			default:
			}
			break
		}
		b.commitBatch(batch)
	}
}

// commitBatch commits a batch and sends each insert its result. After a conflict it commits each
// insert alone, because the conflict does not show which of the rows exist.
func (b *batcher) commitBatch(batch []pendingInsert) {
	err := b.commitTxn(batch)
	if len(batch) == 1 || !errors.Is(err, port.ErrConflict) {
		for _, p := range batch {
			p.result <- err
		}
		return
	}
	for _, p := range batch {
		p.result <- b.commitTxn([]pendingInsert{p})
	}
}

// commitTxn commits a batch in one transaction. It returns port.ErrConflict if two inserts have the
// same key.
func (b *batcher) commitTxn(batch []pendingInsert) error {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	var txn port.Txn
	seen := make(map[string]bool, len(batch))
	for _, p := range batch {
		if seen[p.write.Key] {
			return port.ErrConflict
		}
		seen[p.write.Key] = true
		txn.Conditions = append(txn.Conditions, port.Condition{Key: p.write.Key, Version: 0})
		txn.Writes = append(txn.Writes, p.write)
	}
	return b.table.Commit(ctx, txn)
}
