package peer

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/hemlockdyke/hemlockdyke/internal/memory"
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

const (
	// maxMessageBytes bounds one message. A snapshot of 31,000 teams has about 6 MB.
	maxMessageBytes = 16 << 20
	// maxBodyBytes bounds the body of a call that carries one message. Beyond maxMessageBytes
	// package connect discards the rest of a message, which may have no end.
	maxBodyBytes = maxMessageBytes + 4<<10
	// maxForwardedPartBytes bounds one part of a forwarded answer. Data comes in parts of 8 KiB, and the
	// header of a target's answer has less than 1 MiB.
	maxForwardedPartBytes = 1 << 20
	// maxForwardedBytes bounds a forwarded answer. Targets' answers that are no streams have at most
	// 16 MiB, and a stream of 100,000 events has about as much.
	maxForwardedBytes = 20 << 20
	// maxHeldBytes bounds the requests that a server holds at once, and the answers that a client
	// reads at once. The smallest VM has 184 MB.
	maxHeldBytes = 24 << 20
	// maxHeadBytes bounds the header of a request or an answer. Package net/http adds 4 KiB.
	maxHeadBytes = 32 << 10
	// maxReceiveWindow bounds the bytes of one call that a connection holds before they are read, and
	// maxConnectionWindow those of all calls on it.
	maxReceiveWindow    = 1 << 20
	maxConnectionWindow = 4 << 20
	// headTimeout bounds the arrival of a request's header over HTTP/1.
	headTimeout = 5 * time.Second
)

// requestCopies is how often a request is copied until its body is sent to a target: the encoded message, whose buffer may
// be twice as large, and the message.
const requestCopies = 3

// NewServer returns a server of the peer service that bounds what it reads. What requests take counts in account, as
// callers' bodies are forwarded; nil stands for none.
func NewServer(handler http.Handler, account *memory.Account) *http.Server {
	budget := readlimit.NewBudget(maxHeldBytes)
	if account != nil {
		budget = budget.CountIn(account, requestCopies)
	}
	return &http.Server{
		Handler:   readlimit.Handler(handler, maxBodyBytes, budget),
		Protocols: Protocols(), MaxHeaderBytes: maxHeadBytes, ReadHeaderTimeout: headTimeout,
	}
}

// readLimits are options of a client that bounds its messages. It accepts no compressed answers, which
// could expand to any size: large answers are compressed by the application, which bounds them.
func readLimits(maxBytes int) []connect.ClientOption {
	return []connect.ClientOption{connect.WithReadMaxBytes(maxBytes), connect.WithAcceptCompression("gzip", nil, nil), connect.WithCodec(codec{})}
}

// bounded returns a client that bounds the body of each answer, and all that are read at once.
func bounded(c *http.Client, maxBytes int64, budget *readlimit.Budget) *http.Client {
	return &http.Client{Transport: &readlimit.Transport{Base: c.Transport, Limit: maxBytes, Budget: budget}}
}
