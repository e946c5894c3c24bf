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

// maxDatagramBytes is the largest digest that can be received.
const maxDatagramBytes = 64 << 10

const (
	// burstSize is the number of datagrams that are sent without a pause, and burstInterval the
	// pause between two bursts. The send queue of a small link holds about 40 datagrams. It would
	// drop the rest of a larger burst, which always goes to the same routers. A digest to 100
	// routers, as sent every 100 ms, takes 30 ms.
	burstSize     = 16
	burstInterval = 5 * time.Millisecond
	// maxQueuedMessages bounds the messages that wait to be sent. The queue only fills up if the
	// processor is overloaded. Further messages are then dropped; later digests replace them.
	maxQueuedMessages = 64
)

// message is a digest to several routers.
type message struct {
	to               []string // addresses
	digest           *peerv1.Digest
	recipientReports []*peerv1.Report // added to the digest for the address at the same index
}

// DigestSocket sends and receives digests as UDP datagrams. It never resends a digest, since the
// next one replaces it. Since UDP has no connections, none can go silent. It is safe for
// concurrent use.
type DigestSocket struct {
	conn              *net.UDPConn
	bytesIn, bytesOut atomic.Int64 // including IP and UDP headers
	unsent            atomic.Int64 // digests that could not be sent
	queue             chan message
	closed            chan struct{}
	close             sync.Once
}

// datagramHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const datagramHeaderBytes = 28

// TrafficBytes returns the bytes received and sent since the start, including IP and UDP headers.
func (d *DigestSocket) TrafficBytes() (in, out int64) { return d.bytesIn.Load(), d.bytesOut.Load() }

// ListenDigests opens a socket at an IP address and port.
func ListenDigests(address string) (*DigestSocket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	d := &DigestSocket{conn: conn, queue: make(chan message, maxQueuedMessages), closed: make(chan struct{})}
	go d.run()
	return d, nil
}

// UnsentDigests returns the number of digests that could not be sent since the start.
func (d *DigestSocket) UnsentDigests() int64 { return d.unsent.Load() }

// run sends the queued messages until the socket is closed.
func (d *DigestSocket) run() {
	for {
		select {
		case <-d.closed:
			return
		case m := <-d.queue:
			d.send(m)
		}
	}
}

// SendDigest queues a digest to each address and returns immediately. If recipientReports is not
// empty, each of its reports is added to the digest for the address at the same index. The
// arguments must not be changed afterwards.
func (d *DigestSocket) SendDigest(to []string, digest *peerv1.Digest, recipientReports []*peerv1.Report) {
	select {
	case d.queue <- message{to, digest, recipientReports}:
	default:
		d.unsent.Add(int64(len(to)))
	}
}

// send sends a message in bursts. It encodes the digest once for all addresses.
func (d *DigestSocket) send(m message) {
	data, err := proto.Marshal(m.digest)
	if err != nil {
		d.unsent.Add(int64(len(m.to)))
		return
	}
	for i, address := range m.to {
		if i > 0 && i%burstSize == 0 {
			time.Sleep(burstInterval)
		}
		datagram := data
		if i < len(m.recipientReports) && m.recipientReports[i] != nil {
			datagram, err = proto.MarshalOptions{}.MarshalAppend(data[:len(data):len(data)], &peerv1.Digest{Yours: m.recipientReports[i]})
		}
		if err != nil || !d.sendOne(address, datagram) {
			d.unsent.Add(1)
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
	d.bytesOut.Add(int64(len(data) + datagramHeaderBytes))
	return true
}

// Receive calls handle with each digest and its sender's address until the socket is closed. It
// ignores datagrams that can't be decoded.
func (d *DigestSocket) Receive(handle func(from string, m *peerv1.Digest)) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		d.bytesIn.Add(int64(n + datagramHeaderBytes))
		m := &peerv1.Digest{}
		if proto.Unmarshal(buffer[:n], m) != nil {
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), m)
	}
}

// Close closes the socket, which ends Receive. Queued messages are not sent.
func (d *DigestSocket) Close() error {
	d.close.Do(func() { close(d.closed) })
	return d.conn.Close()
}
