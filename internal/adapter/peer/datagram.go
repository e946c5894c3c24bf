package peer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

// maxDatagram is the largest digest that is read.
const maxDatagram = 64 << 10

const (
	// burst is how many digests go out at once, and burstPause the time between two bursts: the queue of a small link
	// holds some 40 datagrams and loses the rest, always those of the same routers. 100 a tick of a tenth of a second
	// go out in 30 ms.
	burst      = 16
	burstPause = 5 * time.Millisecond
	// unsentMost is how many messages may wait to be sent. More means that the processor is too busy; what comes
	// then is lost, and replaced by the next digest.
	unsentMost = 64
)

// message is a digest for some routers.
type message struct {
	to     []string
	digest *peerv1.Digest
	yours  []*peerv1.Report
}

// DigestSocket sends and receives digests. A digest replaces the one before, so
// nothing is sent again, and no connection can go silent.
type DigestSocket struct {
	conn    *net.UDPConn
	in, out atomic.Int64
	lost    atomic.Int64
	unsent  chan message
	closed  chan struct{}
	close   sync.Once
}

// datagramHeader is what IPv4 and UDP add to each digest on a link, in bytes.
const datagramHeader = 28

// TrafficBytes returns what came in and went out since the start, with headers.
func (d *DigestSocket) TrafficBytes() (in, out int64) { return d.in.Load(), d.out.Load() }

// ListenDigests opens the socket at an IP number and port.
func ListenDigests(address string) (*DigestSocket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	d := &DigestSocket{conn: conn, unsent: make(chan message, unsentMost), closed: make(chan struct{})}
	go d.run()
	return d, nil
}

// LostDigests returns how many digests could not be sent since the start.
func (d *DigestSocket) LostDigests() int64 { return d.lost.Load() }

// run sends what waits, in bursts.
func (d *DigestSocket) run() {
	for {
		select {
		case <-d.closed:
			return
		case m := <-d.unsent:
			d.send(m)
		}
	}
}

// Send queues a digest for each address; nobody waits for it. yours, if there are any, are added to the digest, each for the
// address in its place. None of them may be changed afterwards.
func (d *DigestSocket) Send(to []string, m *peerv1.Digest, yours []*peerv1.Report) {
	select {
	case d.unsent <- message{to, m, yours}:
	default:
		d.lost.Add(int64(len(to)))
	}
}

// send encodes what is the same for all once.
func (d *DigestSocket) send(m message) {
	data, err := proto.Marshal(m.digest)
	if err != nil {
		d.lost.Add(int64(len(m.to)))
		return
	}
	for i, address := range m.to {
		if i > 0 && i%burst == 0 {
			time.Sleep(burstPause)
		}
		whole := data
		if i < len(m.yours) && m.yours[i] != nil {
			whole, err = proto.MarshalOptions{}.MarshalAppend(data[:len(data):len(data)], &peerv1.Digest{Yours: m.yours[i]})
		}
		if err != nil || !d.sendOne(address, whole) {
			d.lost.Add(1)
		}
	}
}

func (d *DigestSocket) sendOne(address string, data []byte) bool {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	if _, err := d.conn.WriteToUDPAddrPort(data, at); err != nil {
		return false
	}
	d.out.Add(int64(len(data) + datagramHeader))
	return true
}

// Receive calls handle for each digest until the socket is closed. What is no
// digest is left out.
func (d *DigestSocket) Receive(handle func(from string, m *peerv1.Digest)) error {
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

// Close ends Receive. What waits is not sent.
func (d *DigestSocket) Close() error {
	d.close.Do(func() { close(d.closed) })
	return d.conn.Close()
}
