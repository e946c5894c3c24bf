// Package capacity measures the resource use of the roles of a fleet as a function of its size, and
// fits a line to each figure. docs/CAPACITY.md extrapolates from these lines.
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

// tcpHeader is the size in bytes of an IPv4 header and a TCP header with timestamps.
const tcpHeader = 52

// WireCost is the mean cost of one call on the wire, packet headers included.
type WireCost struct {
	// BytesOut are bytes from the caller, BytesIn are bytes to it.
	BytesOut, BytesIn float64
	// Packets is the number of packets in both directions.
	Packets float64
}

// TotalBytes returns the bytes in both directions.
func (w WireCost) TotalBytes() float64 { return w.BytesOut + w.BytesIn }

// stub is a peer handler that answers every call with the same reply.
type stub struct{ reply proto.Message }

func (e stub) Handle(context.Context, proto.Message) (proto.Message, error) { return e.reply, nil }

// MeasureCall sends a request n times over a loopback connection, after three calls that are not
// measured, and returns the mean cost of one call. Every write counts as one
// packet with headers, and each reply is followed by one packet for its acknowledgement. The
// acknowledgement of a request is part of the reply's packet.
func MeasureCall(request, reply proto.Message, n int) (WireCost, error) {
	var server, client metrics.ConnectionTraffic
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return WireCost{}, errors.Wrap(err, "listen")
	}
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(stub{reply}))
	s := peer.NewServer(mux, nil)
	go func() { _ = s.Serve(peer.CoalesceWrites(server.WrapListener(l))) }()
	defer s.Close()
	caller := peer.NewClient(map[uint32]string{1: l.Addr().String()}, time.Second, client.WrapConn)
	if err := repeatCall(caller, request, 3); err != nil {
		return WireCost{}, err
	}
	clientBefore, serverBefore := client.Snapshot(), server.Snapshot()
	if err := repeatCall(caller, request, n); err != nil {
		return WireCost{}, err
	}
	clientAfter, serverAfter := client.Snapshot(), server.Snapshot()
	perCall := func(v int64) float64 { return float64(v) / float64(n) }
	outPackets := perCall(clientAfter.Writes-clientBefore.Writes) + 1 // reply acknowledgement
	inPackets := perCall(serverAfter.Writes - serverBefore.Writes)
	return WireCost{
		BytesOut: perCall(clientAfter.Out-clientBefore.Out) + tcpHeader*outPackets,
		BytesIn:  perCall(clientAfter.In-clientBefore.In) + tcpHeader*inPackets,
		Packets:  outPackets + inPackets,
	}, nil
}

// repeatCall makes a call n times.
func repeatCall(c *peer.Client, request proto.Message, n int) error {
	for range n {
		if _, err := c.Call(context.Background(), 1, request); err != nil {
			return err
		}
	}
	return nil
}
