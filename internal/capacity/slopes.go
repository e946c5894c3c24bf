package capacity

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ledger"
	"github.com/hemlockdyke/hemlockdyke/internal/core/member"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
	"github.com/hemlockdyke/hemlockdyke/internal/fakenet"
)

// The sizes at which the roles are measured.
var (
	fleetSizes  = []int{9, 40, 120, 340}
	targetSizes = []int{12, 120, 373, 4100}
	teamSizes   = []int{10, 1000, 31000}
	chatSizes   = []int{1000, 10000, 100000}
)

// callRepetitions is the number of times that a call is repeated on loopback.
const callRepetitions = 2000

// Run measures all roles and prints their figures and fitted lines.
func Run(w io.Writer) error {
	for _, measure := range []func(io.Writer) error{measureExchange, measureMembership, measureOwner, measureChats, measureConfiguration, measureClaims, measureControllers, measurePull} {
		if err := measure(w); err != nil {
			return err
		}
	}
	return nil
}

// point is the value y of a figure at size x.
type point struct{ x, y float64 }

// printFigure prints the points of a figure and, for three or more, the line fitted to them.
// sizeName says what the sizes count. A figure that does not grow linearly has a large residual,
// relative to the largest value.
func printFigure(w io.Writer, role, figure, sizeName string, points []point) {
	for _, p := range points {
		fmt.Fprintf(w, "capacity role=%s figure=%s %s=%.0f value=%.4g\n", role, figure, sizeName, p.x, p.y)
	}
	if len(points) < 3 {
		return
	}
	slope, intercept, residual := fitLine(points)
	fmt.Fprintf(w, "fit role=%s figure=%s per=%s slope=%.4g intercept=%.4g residual=%.1f%%\n",
		role, figure, sizeName, slope, intercept, 100*residual)
}

// fitLine returns the least-squares line through points and the largest residual relative to the
// largest value.
func fitLine(points []point) (slope, intercept, residual float64) {
	var sx, sy, sxx, sxy, largest float64
	n := float64(len(points))
	for _, p := range points {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
		largest = math.Max(largest, math.Abs(p.y))
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for _, p := range points {
		residual = math.Max(residual, math.Abs(p.y-slope*p.x-intercept)/largest)
	}
	return slope, intercept, residual
}

// processCPUTime returns the processor time that this process has used, or 0 on an error.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureHeap returns the heap bytes that the result of build keeps alive, and the result.
func measureHeap(build func() any) (float64, any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), result
}

// incarnation has the size of a real incarnation, which is a time in nanoseconds.
const incarnation = 1_790_000_000_000_000_000

// newHeartbeats returns the heartbeats of n routers.
func newHeartbeats(n int) []*peerv1.Heartbeat {
	out := make([]*peerv1.Heartbeat, n)
	for i := range out {
		out[i] = &peerv1.Heartbeat{
			Router: uint32(i + 1), Incarnation: incarnation + uint64(i)*1_000_003, Counter: 100_000 + uint64(i*37), Revision: 11_000,
		}
	}
	return out
}

// measureExchange measures the bytes and the processor time of the calls between a router and a
// pool's owner on loopback.
func measureExchange(w io.Writer) error {
	exchange := func(asks, releases int) (*peerv1.ExchangeRequest, *peerv1.ExchangeResponse) {
		req := &peerv1.ExchangeRequest{Protocol: ticket.ProtocolVersion, Pool: "drafting", Router: 200, Incarnation: incarnation, Sequence: 1_000_000}
		resp := &peerv1.ExchangeResponse{Sequence: 1_000_000}
		for i := range asks {
			id := 50_000_000 + uint64(i)
			req.Asks = append(req.Asks, &peerv1.Ask{Id: id, Chat: rand.Uint64(), Team: 1 << 24, Priority: 1, DeadlineMillis: 60_000})
			resp.Grants = append(resp.Grants, &peerv1.Grant{Id: id, Target: 1 << 24})
		}
		for i := range releases {
			req.Releases = append(req.Releases, &peerv1.Release{Id: 50_000_000 + uint64(i)})
		}
		return req, resp
	}
	var points []point
	for _, n := range []int{1, 2, 4, 8, 16} {
		req, resp := exchange(n, n)
		cost, err := MeasureCall(req, resp, callRepetitions)
		if err != nil {
			return err
		}
		points = append(points, point{float64(n), cost.TotalBytes()})
	}
	printFigure(w, "exchange", "bytes_per_call", "asks_and_releases", points)
	for _, call := range []struct {
		name           string
		asks, releases int
	}{{"ask", 1, 0}, {"release", 0, 1}} {
		req, resp := exchange(call.asks, call.releases)
		before := processCPUTime()
		cost, err := MeasureCall(req, resp, callRepetitions)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "capacity role=exchange figure=%s out=%.0f in=%.0f packets=%.2f overhead=%.0f cpu_us_both_ends=%.1f\n",
			call.name, cost.BytesOut, cost.BytesIn, cost.Packets, cost.TotalBytes()-float64(proto.Size(req)+proto.Size(resp)),
			float64((processCPUTime()-before).Microseconds())/callRepetitions)
	}
	return nil
}

// measureMembership measures gossip: the bytes of a call on the wire, the processor time of an idle
// router core with its ticks, and the memory of the membership state.
func measureMembership(w io.Writer) error {
	var wireBytes, processor, state []point
	for _, n := range fleetSizes {
		hb := newHeartbeats(n)
		cost, err := MeasureCall(&peerv1.GossipRequest{Protocol: ticket.ProtocolVersion, Router: 1, Heartbeats: hb},
			&peerv1.GossipResponse{Heartbeats: hb}, callRepetitions/4)
		if err != nil {
			return err
		}
		wireBytes = append(wireBytes, point{float64(n), cost.TotalBytes()})
		processor = append(processor, point{float64(n), idleCPU(n)})
		ids := make([]uint32, n)
		for i := range ids {
			ids[i] = uint32(i + 1)
		}
		size, result := measureHeap(func() any {
			return member.New(time.Unix(0, 0), 1, 1, ids, time.Second, rand.New(rand.NewPCG(1, 1)))
		})
		runtime.KeepAlive(result)
		state = append(state, point{float64(n), size})
	}
	printFigure(w, "membership", "gossip_bytes_per_call", "routers", wireBytes)
	printFigure(w, "membership", "idle_cpu_us_per_router_second", "routers", processor)
	printFigure(w, "membership", "state_bytes", "routers", state)
	return nil
}

// idleSeconds is the simulated time in seconds for which an idle fleet is measured.
const idleSeconds = 10

// idleCPU returns the processor time in microseconds per second of one router core in an idle fleet
// of n routers.
func idleCPU(n int) float64 {
	clock := fakenet.NewClock()
	net := fakenet.New(clock, func(int, int) time.Duration { return time.Millisecond })
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	change := poolChange(12, 10)
	for i := range ids {
		s := core.DefaultSettings(ids[i], ids)
		net.AddNode(core.New(clock.Now(), s), time.Duration(i)*time.Millisecond%core.TickInterval)
	}
	for i := range ids {
		net.Step(i, core.StoreReadCompleted{Changes: []resource.Change{change}})
	}
	clock.RunUntil(5 * time.Second)
	before := processCPUTime()
	clock.RunUntil((5 + idleSeconds) * time.Second)
	return float64((processCPUTime() - before).Microseconds()) / idleSeconds / float64(n)
}

// poolChange returns a change that adds a pool, its targets and teams.
func poolChange(targets, teams int) resource.Change {
	change := resource.Change{Revision: 1}
	add := func(kind resource.Kind, name, spec string) {
		change.Resources = append(change.Resources, resource.Resource{
			Kind: kind, Spec: []byte(spec),
			Metadata: resource.Metadata{Name: name, Generation: 1, ResourceVersion: 1, UID: uint64(len(change.Resources) + 1)},
		})
	}
	add(resource.KindPool, "drafting", `{"protocol":"model","model":"drafter","maxPerTarget":160}`)
	for i := range teams {
		add(resource.KindTeam, fmt.Sprintf("team-%d", i), `{"weight":2,"maxOutstanding":400,"firstTokenMillis":880,"objectivePercent":95}`)
	}
	for i := range targets {
		add(resource.KindTarget, fmt.Sprintf("engine-%d", i), fmt.Sprintf(`{"pool":"drafting","address":"10.0.%d.%d:8000","dataCentre":"dc1"}`, i/250, i%250))
	}
	return change
}

// grantCount is the number of grants and releases that are measured at each size.
const grantCount = 20_000

// measureOwner measures the processor time of a grant and release at a pool's owner, and the memory
// of the ledger with six open requests per target.
func measureOwner(w io.Writer) error {
	var processor, state []point
	for _, n := range targetSizes {
		table := routing.Build(1, poolChange(n, 10).Resources)
		pool, ok := table.Pool("drafting")
		if !ok {
			return errors.New("pool drafting is missing in the routing table")
		}
		size, result := measureHeap(func() any { return newLoadedLedger(pool, table, n) })
		l := result.(*followerLedger)
		before := processCPUTime()
		for i := range grantCount {
			l.exchangeTickets(uint64(6*n+i+1), uint64(i+1))
		}
		processor = append(processor, point{float64(n), float64((processCPUTime() - before).Nanoseconds()) / grantCount})
		state = append(state, point{float64(n), size})
	}
	printFigure(w, "owner", "cpu_ns_per_grant_and_release", "targets", processor)
	printFigure(w, "owner", "state_bytes_at_six_open_each", "targets", state)
	return nil
}

// followerLedger is a ledger with one follower, which sends it numbered exchanges.
type followerLedger struct {
	*ledger.Ledger
	sequence uint64
}

// newLoadedLedger returns a ledger with six open requests per target.
func newLoadedLedger(pool *routing.Pool, table *routing.Table, targets int) *followerLedger {
	s := ledger.DefaultSettings(1)
	d := &followerLedger{Ledger: ledger.New(time.Unix(0, 0), s, pool, table, rand.New(rand.NewPCG(1, 1)))}
	d.exchangeTickets(0, 0)
	for i := range 6 * targets {
		d.exchangeTickets(uint64(i+1), 0)
	}
	return d
}

// exchangeTickets sends the ledger an exchange that asks for a ticket and releases one; 0 leaves
// either out.
func (d *followerLedger) exchangeTickets(ask, release uint64) {
	d.sequence++
	req := &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: d.sequence, HasInventory: d.sequence == 1}
	if ask != 0 {
		req.Asks = []*peerv1.Ask{{Id: ask, Chat: ask, Priority: 1, DeadlineMillis: 60_000}}
	}
	if release != 0 {
		req.Releases = []*peerv1.Release{{Id: release}}
	}
	_, _, _ = d.HandleExchange(time.Unix(0, 0).Add(time.Duration(d.sequence)*10*time.Millisecond), req)
}

// measureChats measures the memory of the owner for the targets of past chats, and the size of the
// message that passes these placements to a new owner.
func measureChats(w io.Writer) error {
	table := routing.Build(1, poolChange(12, 10).Resources)
	pool, _ := table.Pool("drafting")
	var atOwner, onWire []point
	for _, n := range chatSizes {
		size, result := measureHeap(func() any {
			d := newLoadedLedger(pool, table, 12)
			for i := range n {
				id := uint64(1_000_000 + i)
				d.exchangeTickets(id, 0)
				d.exchangeTickets(0, id)
			}
			return d
		})
		runtime.KeepAlive(result)
		atOwner = append(atOwner, point{float64(n), size})
		req := &peerv1.ExchangeRequest{}
		for i := range n {
			req.Placements = append(req.Placements, &peerv1.Placement{Chat: uint64(i) << 40, Target: 1 << 24, AgeSeconds: 600})
		}
		onWire = append(onWire, point{float64(n), float64(proto.Size(req))})
	}
	printFigure(w, "owner", "chat_memory_bytes", "chats", atOwner)
	printFigure(w, "owner", "placements_bytes_to_a_new_owner", "chats", onWire)
	return nil
}

// measureConfiguration measures the routing table and a snapshot of the configuration by number of
// teams, with 4,100 targets.
func measureConfiguration(w io.Writer) error {
	var build, apply, state, raw, packed []point
	for _, n := range teamSizes {
		resources := poolChange(4100, n).Resources
		before := processCPUTime()
		const builds = 5
		for range builds {
			routing.Build(1, resources)
		}
		build = append(build, point{float64(n), float64((processCPUTime() - before).Microseconds()) / builds})
		size, result := measureHeap(func() any { return routing.Build(1, resources) })
		table := result.(*routing.Table)
		before = processCPUTime()
		const applies = 100
		for range applies {
			table = table.Apply(table.Revision+1, resources[1:2])
		}
		apply = append(apply, point{float64(n), float64((processCPUTime() - before).Microseconds()) / applies})
		state = append(state, point{float64(n), size})
		encoded, err := proto.Marshal(&peerv1.PullResponse{Changes: core.EncodeChanges([]resource.Change{{Revision: 1, Resources: resources}})})
		if err != nil {
			return errors.Wrap(err, "encode snapshot")
		}
		raw = append(raw, point{float64(n), float64(len(encoded))})
		packed = append(packed, point{float64(n), gzipSize(encoded)})
	}
	printFigure(w, "configuration", "table_build_us", "teams", build)
	printFigure(w, "configuration", "one_team_changed_us", "teams", apply)
	printFigure(w, "configuration", "table_bytes", "teams", state)
	printFigure(w, "configuration", "snapshot_bytes", "teams", raw)
	printFigure(w, "configuration", "snapshot_gzip_bytes", "teams", packed)
	return nil
}

// gzipSize returns the compressed size of data in bytes.
func gzipSize(data []byte) float64 {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, _ = z.Write(data) // writes to a bytes.Buffer do not fail
	_ = z.Close()
	return float64(out.Len())
}
