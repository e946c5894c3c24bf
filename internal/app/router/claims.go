package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/core/claim"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// ClaimRetryAfter is the Retry-After time of a request whose claim is refused.
const ClaimRetryAfter = 2 * time.Second

const (
	claimPrefix = "claim/"
	// maxRecordedBytes is the size of the largest answer body that is recorded for replay. The
	// outcome of a request with a larger answer is recorded as unknown, as a truncated body must
	// not be replayed.
	maxRecordedBytes = 64 << 10
	// recordInterval is the interval between attempts to record an outcome or to remove a refused
	// claim while the table service is down. It is also the timeout of one attempt.
	recordInterval = time.Second
	// recordTimeout is the time after which no further attempt is made.
	recordTimeout = 2 * time.Hour
)

// HolderChecker checks the holders of claims.
type HolderChecker interface {
	// HolderAlive reports whether the process that holds a claim may still be running. router and
	// incarnation identify the process.
	HolderAlive(router uint32, incarnation uint64) bool
}

// Claims keeps the claims on idempotency keys, and the outcomes of the claimed requests, in the
// table service. It is safe for concurrent use.
type Claims struct {
	table         port.Table
	holders       HolderChecker
	insertBatcher *batcher
	router        uint32
	incarnation   uint64
	log           *eventlog.Log
	now           func() time.Time
}

// NewClaims returns the Claims of one router and starts the goroutine that commits inserts.
func NewClaims(table port.Table, holders HolderChecker, router uint32, incarnation uint64, log *eventlog.Log, now func() time.Time) *Claims {
	return &Claims{
		table: table, holders: holders, insertBatcher: newBatcher(table),
		router: router, incarnation: incarnation, log: log, now: now,
	}
}

// HeldClaim is a claim that permits the execution of one request.
type HeldClaim struct {
	key    string
	record claim.Record
}

func claimKey(req Request, key string) string {
	return claimPrefix + req.Pool.Name + "/" + req.Team + "/" + key
}

// fingerprint returns a hash of the request's method, path and body. It detects that an idempotency
// key is reused for a different request.
func fingerprint(req Request) string {
	sum := sha256.New()
	sum.Write([]byte(req.Method + " " + req.Path + "\n"))
	sum.Write(req.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Acquire tries to claim an idempotency key. The kind of the returned action is claim.Dispatch,
// claim.ReplayAnswer or claim.RefuseRequest. The returned claim is held only if the kind is
// claim.Dispatch.
func (c *Claims) Acquire(ctx context.Context, req Request, key string) (HeldClaim, claim.Action) {
	record := claim.Record{
		ID: uuid.NewString(), Router: c.router, Incarnation: c.incarnation,
		Fingerprint: fingerprint(req), State: claim.Started, ClaimedAt: c.now().UTC(),
	}
	held := HeldClaim{key: claimKey(req, key), record: record}
	machine, action := claim.New(record)
	for {
		switch action.Kind {
		case claim.InsertRow:
			action = machine.HandleInsert(c.insert(ctx, held))
		case claim.ReadRow:
			action = c.checkExisting(ctx, machine, held.key)
		default:
			if action.NeedsCleanup {
				go c.removeRefused(held)
			}
			return held, action
		}
	}
}

func (c *Claims) insert(ctx context.Context, held HeldClaim) claim.InsertResult {
	value, err := json.Marshal(held.record)
	if err != nil {
		return claim.Unavailable
	}
	return toClaimResult(c.insertBatcher.insert(ctx, port.Write{Key: held.key, Value: value}))
}

func toClaimResult(err error) claim.InsertResult {
	switch {
	case err == nil:
		return claim.Committed
	case errors.Is(err, port.ErrConflict):
		return claim.Conflict
	case errors.Is(err, port.ErrUnavailable):
		return claim.Unavailable
	default:
		return claim.NoReply
	}
}

// checkExisting reads the row with which an insert conflicted and returns the next action.
func (c *Claims) checkExisting(ctx context.Context, machine *claim.Machine, key string) claim.Action {
	record, _, err := c.readClaim(ctx, key)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return machine.HandleRowDeleted()
	case err != nil:
		return machine.HandleReadFailure()
	}
	return machine.HandleRow(record, c.holders.HolderAlive(record.Router, record.Incarnation))
}

// readClaim returns the record of a claim and the version of its row.
func (c *Claims) readClaim(ctx context.Context, key string) (claim.Record, uint64, error) {
	var record claim.Record
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return record, 0, err
	}
	err = json.Unmarshal(row.Value, &record)
	return record, row.Version, errors.Wrap(err, "decode claim")
}

// RecordOutcome records the outcome of a claimed request. If the request was not executed, the
// claim is released, and the caller may retry with the same key.
func (c *Claims) RecordOutcome(held HeldClaim, answer target.Answer, result Result) {
	held.record.State = claim.Unknown
	if result.Code == code.OK && len(answer.Body) <= maxRecordedBytes {
		held.record.State = claim.Done
		held.record.Status = answer.Status
		held.record.ContentType = answer.Header.Get("Content-Type")
		held.record.Body = answer.Body
	}
	release := result.Code != code.OK && !result.MayHaveExecuted
	ctx, cancel := context.WithTimeout(context.Background(), recordInterval)
	defer cancel()
	if err := c.writeOutcome(ctx, held, release); err != nil {
		go c.recordOutcomeLater(held, release)
	}
}

// writeOutcome replaces the claim's row by the outcome, or deletes it if release is set. It changes
// nothing if the row belongs to another claim or has an outcome already.
func (c *Claims) writeOutcome(ctx context.Context, held HeldClaim, release bool) error {
	record, version, err := c.readClaim(ctx, held.key)
	if errors.Is(err, port.ErrNotFound) || (err == nil && (record.ID != held.record.ID || record.State != claim.Started)) {
		return nil
	}
	if err != nil {
		return err
	}
	w := port.Write{Key: held.key, Delete: release}
	if !release {
		if w.Value, err = json.Marshal(held.record); err != nil {
			return errors.Wrap(err, "encode claim")
		}
	}
	return c.table.Commit(ctx, port.Txn{
		Conditions: []port.Condition{{Key: held.key, Version: version}},
		Writes:     []port.Write{w},
	})
}

// recordOutcomeLater retries writeOutcome until it succeeds or recordTimeout has passed.
func (c *Claims) recordOutcomeLater(held HeldClaim, release bool) {
	giveUpAt := c.now().Add(recordTimeout)
	for c.now().Before(giveUpAt) {
		time.Sleep(recordInterval)
		ctx, cancel := context.WithTimeout(context.Background(), recordInterval)
		err := c.writeOutcome(ctx, held, release)
		cancel()
		if err == nil {
			return
		}
	}
	c.log.Line(eventlog.ClaimUnsettled).Str("claim", held.key).Str("why", "outcome_not_recorded").Msg("")
}

// removeRefused deletes the row of a refused claim whose insert got no reply. It repeats the insert
// until the outcome of the insert is certain. Reading alone is not enough, as the row of an earlier
// insert may still appear.
func (c *Claims) removeRefused(held HeldClaim) {
	giveUpAt := c.now().Add(recordTimeout)
	for c.now().Before(giveUpAt) {
		time.Sleep(recordInterval)
		ctx, cancel := context.WithTimeout(context.Background(), recordInterval)
		result := c.insert(ctx, held)
		var err error
		if result == claim.Committed || result == claim.Conflict {
			err = c.writeOutcome(ctx, held, true)
		}
		cancel()
		if err == nil && (result == claim.Committed || result == claim.Conflict) {
			return
		}
	}
	c.log.Line(eventlog.ClaimUnsettled).Str("claim", held.key).Str("why", "row_not_removed").Msg("")
}
