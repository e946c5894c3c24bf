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

// ClaimRetryAfter is when to come back after a claim was refused.
const ClaimRetryAfter = 2 * time.Second

const (
	claimPrefix = "claim/"
	// maxRecorded is the largest answer that is recorded for replay. A larger one
	// is recorded as unknown, since a part must not be replayed as the whole.
	maxRecorded = 64 << 10
	// settleEvery and settleFor pace the attempts to record an outcome while the
	// table service is down.
	settleEvery = time.Second
	settleFor   = 2 * time.Hour
)

// HolderChecker tells whether the process that holds a claim may still run.
type HolderChecker interface {
	HolderAlive(router uint32, incarnation uint64) bool
}

// Claims takes and settles claims. It is safe for concurrent use.
type Claims struct {
	table       port.Table
	holders     HolderChecker
	batch       *batcher
	router      uint32
	incarnation uint64
	log         *eventlog.Log
	now         func() time.Time
}

// NewClaims returns the Claims of one router.
func NewClaims(table port.Table, holders HolderChecker, router uint32, incarnation uint64, log *eventlog.Log, now func() time.Time) *Claims {
	return &Claims{
		table: table, holders: holders, batch: newBatcher(table),
		router: router, incarnation: incarnation, log: log, now: now,
	}
}

// HeldClaim is a claim under which a request may run once.
type HeldClaim struct {
	key    string
	record claim.Record
}

func claimKey(req Request, key string) string {
	return claimPrefix + req.Pool.Name + "/" + req.Team + "/" + key
}

func fingerprint(req Request) string {
	sum := sha256.New()
	sum.Write([]byte(req.Method + " " + req.Path + "\n"))
	sum.Write(req.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Acquire tries to claim a key. Its Action is Proceed, Replay or Refuse.
func (c *Claims) Acquire(ctx context.Context, req Request, key string) (HeldClaim, claim.Action) {
	record := claim.Record{
		ID: uuid.NewString(), Router: c.router, Incarnation: c.incarnation,
		Fingerprint: fingerprint(req), State: claim.Started, At: c.now().UTC(),
	}
	held := HeldClaim{key: claimKey(req, key), record: record}
	m, action := claim.New(record)
	for {
		switch action.Kind {
		case claim.Insert:
			action = m.Inserted(c.insert(ctx, held))
		case claim.Read:
			action = c.found(ctx, m, held.key)
		default:
			if action.CleanUp {
				go c.cleanUp(held)
			}
			return held, action
		}
	}
}

func (c *Claims) insert(ctx context.Context, h HeldClaim) claim.Result {
	value, err := json.Marshal(h.record)
	if err != nil {
		return claim.Unavailable
	}
	return toResult(c.batch.insert(ctx, port.Write{Key: h.key, Value: value}))
}

func toResult(err error) claim.Result {
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

func (c *Claims) found(ctx context.Context, m *claim.Machine, key string) claim.Action {
	record, _, err := c.read(ctx, key)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return m.Gone()
	case err != nil:
		return m.ReadFailed()
	}
	return m.Found(record, c.holders.HolderAlive(record.Router, record.Incarnation))
}

func (c *Claims) read(ctx context.Context, key string) (claim.Record, uint64, error) {
	var record claim.Record
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return record, 0, err
	}
	err = json.Unmarshal(row.Value, &record)
	return record, row.Version, errors.Wrap(err, "decode claim")
}

// RecordOutcome records how a claimed request ended. A request that did not run gives
// its claim up, so that the caller may try again with the key.
func (c *Claims) RecordOutcome(h HeldClaim, answer target.Answer, result Result) {
	h.record.State = claim.Unknown
	if result.Code == code.OK && len(answer.Body) <= maxRecorded {
		h.record.State = claim.Done
		h.record.Status = answer.Status
		h.record.ContentType = answer.Header.Get("Content-Type")
		h.record.Body = answer.Body
	}
	giveUp := result.Code != code.OK && !result.PossiblyExecuted
	ctx, cancel := context.WithTimeout(context.Background(), settleEvery)
	defer cancel()
	if err := c.write(ctx, h, giveUp); err != nil {
		go c.settleLater(h, giveUp)
	}
}

// write replaces or deletes the claim's row, only while it is still this claim's.
func (c *Claims) write(ctx context.Context, h HeldClaim, remove bool) error {
	record, version, err := c.read(ctx, h.key)
	if errors.Is(err, port.ErrNotFound) || (err == nil && (record.ID != h.record.ID || record.State != claim.Started)) {
		return nil
	}
	if err != nil {
		return err
	}
	w := port.Write{Key: h.key, Delete: remove}
	if !remove {
		if w.Value, err = json.Marshal(h.record); err != nil {
			return errors.Wrap(err, "encode claim")
		}
	}
	return c.table.Commit(ctx, port.Txn{
		Conditions: []port.Condition{{Key: h.key, Version: version}},
		Writes:     []port.Write{w},
	})
}

func (c *Claims) settleLater(h HeldClaim, remove bool) {
	until := c.now().Add(settleFor)
	for c.now().Before(until) {
		time.Sleep(settleEvery)
		ctx, cancel := context.WithTimeout(context.Background(), settleEvery)
		err := c.write(ctx, h, remove)
		cancel()
		if err == nil {
			return
		}
	}
	c.log.Line(eventlog.ClaimUnsettled).Str("claim", h.key).Str("why", "outcome_not_recorded").Msg("")
}

// cleanUp makes sure that the row of a refused claim does not stay. The insert is
// repeated until its outcome is certain: a row that is not there yet may still appear.
func (c *Claims) cleanUp(h HeldClaim) {
	until := c.now().Add(settleFor)
	for c.now().Before(until) {
		time.Sleep(settleEvery)
		ctx, cancel := context.WithTimeout(context.Background(), settleEvery)
		result := c.insert(ctx, h)
		var err error
		if result == claim.Committed || result == claim.Conflict {
			err = c.write(ctx, h, true)
		}
		cancel()
		if err == nil && (result == claim.Committed || result == claim.Conflict) {
			return
		}
	}
	c.log.Line(eventlog.ClaimUnsettled).Str("claim", h.key).Str("why", "row_not_removed").Msg("")
}
