package daemon

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/connlimit"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

const (
	// ownMemory is the part of a VM's memory that is not for callers: the program, the tables of a large fleet, messages
	// between routers, replies of the store, and what the kernel holds for them. Of a small VM it is at most
	// maxOwnShare.
	ownMemory   = 64 << 20
	maxOwnShare = 0.5
	// garbageFactor is how much of the heap is used for each live byte before the garbage collector has run, at
	// gcPercent.
	garbageFactor = 1 + gcPercent/100.0
	// defaultMemory applies if the VM's memory is unknown.
	defaultMemory = 64 << 20
	// maxMemoryWait is how long a large body or answer waits for memory.
	maxMemoryWait = time.Second
	// memoryLimitShare is the soft memory limit of the Go runtime as a share of the VM's memory. Near
	// this limit the garbage collector runs more often, and the heap grows less.
	memoryLimitShare = 0.75
	// gcPercent keeps the heap small. Memory has a price, and a collection of the few megabytes in
	// use takes little processor time.
	gcPercent = 50
)

// callerMemory returns how much of a VM's memory callers may make the process hold; 0 bytes if it is unknown.
func callerMemory(vmBytes int64) int64 {
	if vmBytes <= 0 {
		return defaultMemory
	}
	own := min(ownMemory, int64(maxOwnShare*float64(vmBytes)))
	return int64(float64(vmBytes-own) / garbageFactor)
}

// fileDescriptors are those that the platform reserves for files.
const fileDescriptors = 200

// connectionLimits are the largest numbers of connections by what they are for; 0 means no limit. What is left of the
// descriptors is for the store, digests and calls to other routers.
type connectionLimits struct{ callers, targets, peers, status int }

// newConnectionLimits divides the descriptors of a process, 0 if their number is unknown. memoryBytes are those for callers.
func newConnectionLimits(descriptors int, memoryBytes int64) connectionLimits {
	callers := gatewayhttp.MaxConnections(memoryBytes)
	if descriptors <= 0 {
		return connectionLimits{callers: callers}
	}
	sockets := max(descriptors-fileDescriptors, descriptors/4)
	return connectionLimits{callers: min(callers, sockets*7/16), targets: sockets * 6 / 16, peers: sockets / 16, status: max(sockets/64, 1)}
}

// limits bound what callers and others may make the process hold. They follow from the settings.
type limits struct {
	memory      *memory.Account
	connections *gatewayhttp.ConnTracker
	targets     *upstream.Client
	peers       *connlimit.Limiter
	// readiness and metrics have the same limit.
	readiness, metrics *connlimit.Limiter
}

// apply applies the limits of the settings.
func (l *limits) apply(memoryBytes int64, descriptors int) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryBytes)))
	}
	forCallers := callerMemory(memoryBytes)
	l.memory.SetLimit(forCallers)
	n := newConnectionLimits(descriptors, forCallers)
	l.connections.SetMaxOpen(n.callers)
	l.targets.SetMaxConnections(n.targets)
	l.peers.SetMax(n.peers)
	l.readiness.SetMax(n.status)
	l.metrics.SetMax(n.status)
}

// listenForCallers opens a TCP listener whose connections have a bounded receive buffer.
func listenForCallers(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: gatewayhttp.SetReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}
