package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// batcher commits inserts of one router in groups: one transaction is under way
// at a time and the inserts that come up meanwhile share the next. The table
// service takes only a few hundred writes a second from the whole fleet.
type batcher struct {
	table port.Table
	queue chan pendingInsert
}

type pendingInsert struct {
	write port.Write
	done  chan error
}

const (
	// maxBatch bounds the inserts of one transaction.
	maxBatch = 64
	// batchTimeout bounds one commit.
	batchTimeout = 2 * time.Second
)

func newBatcher(table port.Table) *batcher {
	b := &batcher{table: table, queue: make(chan pendingInsert, maxBatch)}
	go b.run()
	return b
}

// insert writes a row on condition that it does not exist.
func (b *batcher) insert(ctx context.Context, w port.Write) error {
	p := pendingInsert{write: w, done: make(chan error, 1)}
	select {
	case b.queue <- p:
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), port.ErrUnavailable)
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), port.ErrOutcomeUnknown)
	}
}

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
		b.commit(batch)
	}
}

// commit writes a batch. A conflict says only that some row exists, so each
// insert is then tried alone.
func (b *batcher) commit(batch []pendingInsert) {
	err := b.commitAll(batch)
	if len(batch) == 1 || !errors.Is(err, port.ErrConflict) {
		for _, p := range batch {
			p.done <- err
		}
		return
	}
	for _, p := range batch {
		p.done <- b.commitAll([]pendingInsert{p})
	}
}

func (b *batcher) commitAll(batch []pendingInsert) error {
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
