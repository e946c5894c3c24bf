package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// The calls that the core asks for run on goroutines of their own; what comes of them is an event.

func (c *Control) follow(ctx, calls context.Context, a fleet.ReadChanges) {
	began := c.now()
	position, rows, err := c.store.Follow(calls, a.Table, a.After, a.Wait)
	if err != nil {
		c.readFailed(ctx, calls, a.Table, began, err)
		return
	}
	c.post(ctx, fleet.ChangesRead{Table: a.Table, Position: position, Rows: rows})
}

func (c *Control) readWhole(ctx, calls context.Context, t fleet.Table, most int) {
	calls, cancel := context.WithTimeout(calls, callTimeout)
	defer cancel()
	began := c.now()
	position, rows, err := c.store.Whole(calls, t, most)
	if err != nil {
		c.readFailed(ctx, calls, t, began, err)
		return
	}
	c.post(ctx, fleet.TableRead{Table: t, Position: position, Rows: rows})
}

func (c *Control) readFailed(ctx, calls context.Context, t fleet.Table, began time.Time, err error) {
	lost := errors.Is(err, ErrHistoryLost)
	stopped := errors.Is(calls.Err(), context.Canceled)
	large := errors.Is(err, ErrTooLarge)
	if !stopped && !large {
		c.log.Line(eventlog.StoreReadFailed).Str("table", t.String()).Dur("after", c.now().Sub(began)).Err(err).Msg("")
	}
	c.post(ctx, fleet.ReadFailed{Table: t, TooLarge: large, HistoryLost: lost, Cancelled: stopped})
}

func (c *Control) copyFrom(ctx context.Context, a fleet.RequestCopy) {
	req := &peerv1.CopyRequest{Protocol: fleet.Protocol, Table: uint32(a.Table), After: a.After, ReadsPacked: true, Asker: c.settings.Address}
	call, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	began := c.now()
	reply, err := c.peers.Copy(call, string(a.Peer), req)
	size := proto.Size(reply)
	if err == nil {
		reply, err = unpack(reply)
	}
	switch {
	case err != nil:
		reply = nil
		c.log.Line(eventlog.TableCopyFailed).Str("peer", string(a.Peer)).Str("table", a.Table.String()).Err(err).Msg("")
	case reply.GetBusy():
		c.log.Line(eventlog.TableCopyRefused).Str("peer", string(a.Peer)).Str("table", a.Table.String()).Msg("")
		c.post(ctx, fleet.CopyCompleted{From: a.Peer, Table: a.Table, Busy: true, Holders: fleet.DecodeAddresses(reply.GetHolders())})
		return
	default:
		c.log.Line(eventlog.TableCopied).Str("peer", string(a.Peer)).Str("table", a.Table.String()).Uint64("row", reply.GetVersion()).
			Bool("whole", reply.GetWhole()).Int("bytes", size).Dur("took", c.now().Sub(began)).Msg("")
	}
	c.post(ctx, fleet.CopyCompleted{From: a.Peer, Table: a.Table, Reply: reply})
}
