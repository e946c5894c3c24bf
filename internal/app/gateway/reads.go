package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Store calls and copy requests of the core run on goroutines of their own. Their results are
// posted as events.

func (c *Control) awaitChanges(ctx, callCtx context.Context, a fleet.ReadChanges) {
	startedAt := c.now()
	var position uint64
	var rows []replica.Row
	err := c.log.Try(whereStore, func() (err error) {
		position, rows, err = c.store.AwaitChanges(callCtx, a.Table, a.After, a.Wait)
		return err
	})
	if err != nil {
		c.reportReadFailure(ctx, callCtx, a.Table, startedAt, err)
		return
	}
	c.postEvent(ctx, fleet.ChangesRead{Table: a.Table, Position: position, Rows: rows})
}

func (c *Control) readTable(ctx, callCtx context.Context, t fleet.Table, maxRows int) {
	callCtx, cancel := context.WithTimeout(callCtx, storeCallTimeout)
	defer cancel()
	startedAt := c.now()
	var position uint64
	var rows []replica.Row
	err := c.log.Try(whereStore, func() (err error) {
		position, rows, err = c.store.ReadTable(callCtx, t, maxRows)
		return err
	})
	if err != nil {
		c.reportReadFailure(ctx, callCtx, t, startedAt, err)
		return
	}
	c.postEvent(ctx, fleet.TableRead{Table: t, Position: position, Rows: rows})
}

func (c *Control) reportReadFailure(ctx, callCtx context.Context, t fleet.Table, startedAt time.Time, err error) {
	historyLost := errors.Is(err, ErrHistoryLost)
	cancelled := errors.Is(callCtx.Err(), context.Canceled)
	tooLarge := errors.Is(err, ErrTooLarge)
	if !cancelled && !tooLarge {
		c.log.Line(eventlog.StoreReadFailed).Str("table", t.String()).Dur("after", c.now().Sub(startedAt)).Err(err).Msg("")
	}
	c.postEvent(ctx, fleet.ReadFailed{
		Table: t, TooLarge: tooLarge, ReplyTooLarge: errors.Is(err, ErrReplyTooLarge), HistoryLost: historyLost, Cancelled: cancelled,
	})
}

func (c *Control) requestCopy(ctx context.Context, a fleet.RequestCopy) {
	req := &peerv1.CopyRequest{Protocol: fleet.Protocol, Table: uint32(a.Table), After: a.After, ReadsPacked: true, Asker: c.settings.Address}
	callCtx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	startedAt := c.now()
	var response *peerv1.CopyResponse
	size := 0
	err := c.log.Try(whereCopy, func() (err error) {
		if response, err = c.peers.RequestCopy(callCtx, string(a.Peer), req); err != nil {
			return err
		}
		size = proto.Size(response)
		response, err = unpack(response)
		return err
	})
	switch {
	case err != nil:
		response = nil
		c.log.Line(eventlog.TableCopyFailed).Str("peer", string(a.Peer)).Str("table", a.Table.String()).Err(err).Msg("")
	case response.GetBusy():
		c.log.Line(eventlog.TableCopyRefused).Str("peer", string(a.Peer)).Str("table", a.Table.String()).Msg("")
		c.postEvent(ctx, fleet.CopyCompleted{From: a.Peer, Table: a.Table, Busy: true, Holders: fleet.DecodeAddresses(response.GetHolders())})
		return
	default:
		c.log.Line(eventlog.TableCopied).Str("peer", string(a.Peer)).Str("table", a.Table.String()).Uint64("row", response.GetVersion()).
			Bool("whole", response.GetWhole()).Int("bytes", size).Dur("took", c.now().Sub(startedAt)).Msg("")
	}
	c.postEvent(ctx, fleet.CopyCompleted{From: a.Peer, Table: a.Table, Response: response})
}
