// Package capacity measures what the roles of the fleet cost, as slopes over the
// sizes that docs/CAPACITY.md works with.
package capacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
)

// tcpHeader is the size of an IPv4 header and a TCP header with timestamps.
const tcpHeader = 52

// WireCost is what one call costs on the wire, headers included.
type WireCost struct {
	// Out and In are bytes from and to the caller.
	Out, In float64
	// Packets is the number of packets both ways.
	Packets float64
}

// Total returns the bytes both ways.
func (w WireCost) Total() float64 { return w.Out + w.In }

type echo struct{ reply proto.Message }

func (e echo) Handle(context.Context, proto.Message) (proto.Message, error) { return e.reply, nil }

// MeasureCall sends a request n times over a real loopback connection and
// returns the mean cost of one call. Every write is counted as one packet with
// its headers, and one bare acknowledgement for the reply; the request's
// acknowledgement rides on the reply.
func MeasureCall(request, reply proto.Message, n int) (WireCost, error) {
	var server, client metrics.ConnectionTraffic
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return WireCost{}, errors.Wrap(err, "listen")
	}
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(echo{reply}))
	s := &http.Server{Handler: mux, Protocols: peer.Protocols()}
	go func() { _ = s.Serve(peer.WrapListener(server.WrapListener(l))) }()
	defer s.Close()
	caller := peer.NewClient(map[uint32]string{1: l.Addr().String()}, time.Second, client.WrapConn)
	if err := call(caller, request, 3); err != nil {
		return WireCost{}, err
	}
	before, beforeServer := client.Snapshot(), server.Snapshot()
	if err := call(caller, request, n); err != nil {
		return WireCost{}, err
	}
	after, afterServer := client.Snapshot(), server.Snapshot()
	per := func(v int64) float64 { return float64(v) / float64(n) }
	outPackets := per(after.Writes-before.Writes) + 1 // the acknowledgement of the reply
	inPackets := per(afterServer.Writes - beforeServer.Writes)
	return WireCost{
		Out:     per(after.Out-before.Out) + tcpHeader*outPackets,
		In:      per(after.In-before.In) + tcpHeader*inPackets,
		Packets: outPackets + inPackets,
	}, nil
}

func call(c *peer.Client, request proto.Message, n int) error {
	for range n {
		if _, err := c.Call(context.Background(), 1, request); err != nil {
			return err
		}
	}
	return nil
}
