package peer

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

// maxDatagram is the largest digest that is read.
const maxDatagram = 64 << 10

// Datagrams sends and receives digests. A digest replaces the one before, so
// nothing is sent again, and no connection can go silent.
type Datagrams struct {
	conn    *net.UDPConn
	in, out atomic.Int64
}

// datagramHeader is what IPv4 and UDP add to each digest on a link, in bytes.
const datagramHeader = 28

// Bytes returns what came in and went out since the start, with headers.
func (d *Datagrams) Bytes() (in, out int64) { return d.in.Load(), d.out.Load() }

// ListenDatagrams opens the socket at an IP number and port.
func ListenDatagrams(address string) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Datagrams{conn: conn}, nil
}

// Send sends one digest to each address and returns how many could not be sent.
func (d *Datagrams) Send(to []string, m *peerv1.Digest) (failed int) {
	data, err := proto.Marshal(m)
	if err != nil {
		return len(to)
	}
	for _, address := range to {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			failed++
			continue
		}
		if _, err := d.conn.WriteToUDPAddrPort(data, at); err != nil {
			failed++
			continue
		}
		d.out.Add(int64(len(data) + datagramHeader))
	}
	return failed
}

// Receive calls handle for each digest until the socket is closed. What is no
// digest is left out.
func (d *Datagrams) Receive(handle func(from string, m *peerv1.Digest)) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		d.in.Add(int64(n + datagramHeader))
		m := &peerv1.Digest{}
		if proto.Unmarshal(buffer[:n], m) != nil {
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), m)
	}
}

// Close ends Receive.
func (d *Datagrams) Close() error { return d.conn.Close() }
