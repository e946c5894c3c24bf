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
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

const (
	// minPackBytes is the size from which a copy is compressed. A list of a few changes fits into
	// one packet uncompressed.
	minPackBytes = 4 << 10
	// maxUnpackedBytes bounds the uncompressed size of a copy to what a router can spare in memory.
	// A desired state with 31,000 teams has about 6 MB.
	maxUnpackedBytes = 16 << 20
	// maxUnpackedRows bounds the rows of a copy: decoded, an empty one takes more than a hundred bytes.
	maxUnpackedRows = 100_000
)

// copyServer answers copy requests from other routers. A large copy is packed, that is compressed,
// once and the result reused. Compressing it for every request would use all of a small router's
// CPU after a change of many routes, while callers wait.
type copyServer struct {
	mu     sync.Mutex
	budget *fleet.CopyBudget
	packed map[uint32]packedCopy // the last packed copy of each table
}

// copyKey identifies the content of a copy: the rows that changed between two versions of a table.
type copyKey struct {
	version, firstRowVersion uint64
	whole                    bool
	rows                     int
}

type packedCopy struct {
	key      copyKey
	response *peerv1.CopyResponse
}

func newCopyServer(budget *fleet.CopyBudget) *copyServer {
	return &copyServer{budget: budget, packed: make(map[uint32]packedCopy)}
}

// ServeCopy answers a copy request from another router.
func (c *Control) ServeCopy(ctx context.Context, req *peerv1.CopyRequest) (*peerv1.CopyResponse, error) {
	type answer struct {
		response *peerv1.CopyResponse
		holders  []fleet.Address
	}
	response := make(chan answer, 1)
	c.submit(func(now time.Time) {
		response <- answer{c.core.ServeCopy(req), c.core.TableHolders(now, fleet.Table(req.GetTable()), fleet.Address(req.GetAsker()))}
	})
	select {
	case result := <-response:
		if !req.GetReadsPacked() {
			return result.response, nil
		}
		return c.copyServer.prepareResponse(c.now(), req.GetTable(), result.response, result.holders)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.stopped:
		return nil, errors.New("router has stopped")
	}
}

// prepareResponse packs a large response. It returns a busy response with the other holders of the
// copy if the copy budget is exhausted.
func (c *copyServer) prepareResponse(now time.Time, table uint32, r *peerv1.CopyResponse, holders []fleet.Address) (*peerv1.CopyResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if proto.Size(r) >= minPackBytes {
		packed, err := c.pack(table, r)
		if err != nil {
			return nil, err
		}
		r = packed
	}
	if !c.budget.Allow(now, proto.Size(r)) {
		return &peerv1.CopyResponse{Busy: true, Holders: fleet.EncodeAddresses(holders)}, nil
	}
	return r, nil
}

// pack returns a response with its rows compressed.
func (c *copyServer) pack(table uint32, r *peerv1.CopyResponse) (*peerv1.CopyResponse, error) {
	key := copyKey{version: r.GetVersion(), whole: r.GetWhole(), rows: len(r.GetRows()), firstRowVersion: r.GetRows()[0].GetVersion()}
	if last, ok := c.packed[table]; ok && last.key == key {
		return last.response, nil
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
	response := &peerv1.CopyResponse{Version: r.GetVersion(), Whole: r.GetWhole(), Packed: b.Bytes()}
	c.packed[table] = packedCopy{key: key, response: response}
	return response, nil
}

// unpack returns a response with its rows uncompressed. It fails if the packed data is invalid or
// larger than maxUnpackedBytes.
func unpack(r *peerv1.CopyResponse) (*peerv1.CopyResponse, error) {
	if len(r.GetPacked()) == 0 {
		return r, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(r.GetPacked()))
	if err != nil {
		return nil, errors.Wrap(err, "unpack copy")
	}
	data, err := io.ReadAll(io.LimitReader(z, maxUnpackedBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "unpack copy")
	case len(data) > maxUnpackedBytes:
		return nil, errors.Newf("unpack copy: content is larger than %d bytes", maxUnpackedBytes)
	}
	if err := readlimit.CheckElements(data, maxUnpackedRows); err != nil {
		return nil, errors.Wrap(err, "unpack copy")
	}
	var rows peerv1.CopyResponse
	if err := proto.Unmarshal(data, &rows); err != nil {
		return nil, errors.Wrap(err, "decode copy")
	}
	return &peerv1.CopyResponse{Version: r.GetVersion(), Whole: r.GetWhole(), Rows: rows.GetRows()}, nil
}
