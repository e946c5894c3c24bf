package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

const (
	// packFrom is the size from which a copy is compressed. A list of a few changes fits in one packet as it is.
	packFrom = 4 << 10
	// unpackedMost bounds what a packed copy may hold: a desired state of 31,000 teams has about 6 MB.
	unpackedMost = 32 << 20
)

// copies answers other routers' copy requests. A large copy is packed once for all that ask for it: packed for each,
// a change of many routes would keep a small router busy with that alone while its requests wait.
type copies struct {
	mu     sync.Mutex
	budget *fleet.ServeBudget
	packed map[uint32]packedCopy // the last one of each table
}

// copyKey names the content of a copy: the rows that changed between two versions of a table.
type copyKey struct {
	version, first uint64
	whole          bool
	rows           int
}

type packedCopy struct {
	key   copyKey
	reply *peerv1.CopyResponse
}

func newCopies(budget *fleet.ServeBudget) *copies {
	return &copies{budget: budget, packed: make(map[uint32]packedCopy)}
}

// ServeCopy answers another router's copy request.
func (c *Control) ServeCopy(ctx context.Context, req *peerv1.CopyRequest) (*peerv1.CopyResponse, error) {
	type answer struct {
		reply   *peerv1.CopyResponse
		holders []fleet.Address
	}
	reply := make(chan answer, 1)
	c.do(func(now time.Time) {
		reply <- answer{c.core.Copy(req), c.core.Holders(now, fleet.Table(req.GetTable()), fleet.Address(req.GetAsker()))}
	})
	select {
	case a := <-reply:
		if !req.GetReadsPacked() {
			return a.reply, nil
		}
		return c.copies.answer(c.now(), req.GetTable(), a.reply, a.holders)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.stopped:
		return nil, errors.New("router has stopped")
	}
}

// answer packs a reply if it is large, and replaces it by a refusal if the link has no room for it.
func (c *copies) answer(now time.Time, table uint32, r *peerv1.CopyResponse, holders []fleet.Address) (*peerv1.CopyResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if proto.Size(r) >= packFrom {
		packed, err := c.pack(table, r)
		if err != nil {
			return nil, err
		}
		r = packed
	}
	if !c.budget.Take(now, proto.Size(r)) {
		return &peerv1.CopyResponse{Busy: true, Holders: fleet.EncodeHolders(holders)}, nil
	}
	return r, nil
}

func (c *copies) pack(table uint32, r *peerv1.CopyResponse) (*peerv1.CopyResponse, error) {
	key := copyKey{version: r.GetVersion(), whole: r.GetWhole(), rows: len(r.GetRows()), first: r.GetRows()[0].GetVersion()}
	if last, ok := c.packed[table]; ok && last.key == key {
		return last.reply, nil
	}
	data, err := proto.Marshal(&peerv1.CopyResponse{Rows: r.GetRows()})
	if err != nil {
		return nil, errors.Wrap(err, "encode copy")
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack copy")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "pack copy")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack copy")
	}
	reply := &peerv1.CopyResponse{Version: r.GetVersion(), Whole: r.GetWhole(), Packed: b.Bytes()}
	c.packed[table] = packedCopy{key: key, reply: reply}
	return reply, nil
}

// unpack returns a reply with its rows. A packed one that can't be read is an error, and so is one that
// would take more memory than a router can spare.
func unpack(r *peerv1.CopyResponse) (*peerv1.CopyResponse, error) {
	if len(r.GetPacked()) == 0 {
		return r, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(r.GetPacked()))
	if err != nil {
		return nil, errors.Wrap(err, "unpack copy")
	}
	data, err := io.ReadAll(io.LimitReader(z, unpackedMost+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "unpack copy")
	case len(data) > unpackedMost:
		return nil, errors.Newf("unpack copy: more than %d bytes", unpackedMost)
	}
	var rows peerv1.CopyResponse
	if err := proto.Unmarshal(data, &rows); err != nil {
		return nil, errors.Wrap(err, "decode copy")
	}
	return &peerv1.CopyResponse{Version: r.GetVersion(), Whole: r.GetWhole(), Rows: rows.GetRows()}, nil
}
