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

// The sizes at which roles are measured.
var (
	fleetSizes  = []int{9, 40, 120, 340}
	targetSizes = []int{12, 120, 373, 4100}
	teamSizes   = []int{10, 1000, 31000}
	chatSizes   = []int{1000, 10000, 100000}
)

// calls is how often a call is repeated on loopback.
const calls = 2000

// Run measures every role and prints its figures and fits.
func Run(w io.Writer) error {
	for _, measure := range []func(io.Writer) error{wire, membership, owner, chats, configuration, claims, controllers, herd} {
		if err := measure(w); err != nil {
			return err
		}
	}
	return nil
}

// point is one measurement of a role at a size.
type point struct{ x, y float64 }

// report prints points and the straight line through them. A growth that is not
// linear shows as a large residual, relative to the largest value.
func report(w io.Writer, role, figure, over string, points []point) {
	for _, p := range points {
		fmt.Fprintf(w, "capacity role=%s figure=%s %s=%.0f value=%.4g\n", role, figure, over, p.x, p.y)
	}
	if len(points) < 3 {
		return
	}
	slope, intercept, residual := fit(points)
	fmt.Fprintf(w, "fit role=%s figure=%s per=%s slope=%.4g intercept=%.4g residual=%.1f%%\n",
		role, figure, over, slope, intercept, 100*residual)
}

// fit returns the least-squares line and the largest residual relative to the
// largest value.
func fit(points []point) (slope, intercept, residual float64) {
	var sx, sy, sxx, sxy, top float64
	n := float64(len(points))
	for _, p := range points {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
		top = math.Max(top, math.Abs(p.y))
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for _, p := range points {
		residual = math.Max(residual, math.Abs(p.y-slope*p.x-intercept)/top)
	}
	return slope, intercept, residual
}

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes that a function's result keeps alive.
func heap(build func() any) (float64, any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), kept
}

// incarnation has the size of a real one, which is a time in nanoseconds.
const incarnation = 1_790_000_000_000_000_000

func heartbeats(n int) []*peerv1.Heartbeat {
	out := make([]*peerv1.Heartbeat, n)
	for i := range out {
		out[i] = &peerv1.Heartbeat{
			Router: uint32(i + 1), Incarnation: incarnation + uint64(i)*1_000_003, Counter: 100_000 + uint64(i*37), Revision: 11_000,
		}
	}
	return out
}

// wire measures the messages on a loopback connection.
func wire(w io.Writer) error {
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
		cost, err := MeasureCall(req, resp, calls)
		if err != nil {
			return err
		}
		points = append(points, point{float64(n), cost.TotalBytes()})
	}
	report(w, "exchange", "bytes_per_call", "asks_and_releases", points)
	for _, one := range []struct {
		name           string
		asks, releases int
	}{{"ask", 1, 0}, {"release", 0, 1}} {
		req, resp := exchange(one.asks, one.releases)
		before := cpu()
		cost, err := MeasureCall(req, resp, calls)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "capacity role=exchange figure=%s out=%.0f in=%.0f packets=%.2f overhead=%.0f cpu_us_both_ends=%.1f\n",
			one.name, cost.BytesOut, cost.BytesIn, cost.Packets, cost.TotalBytes()-float64(proto.Size(req)+proto.Size(resp)),
			float64((cpu()-before).Microseconds())/calls)
	}
	return nil
}

// membership measures gossip: bytes of a call on the wire and processor time of
// an idle router core, ticks included.
func membership(w io.Writer) error {
	var wireBytes, processor, state []point
	for _, n := range fleetSizes {
		hb := heartbeats(n)
		cost, err := MeasureCall(&peerv1.GossipRequest{Protocol: ticket.ProtocolVersion, Router: 1, Heartbeats: hb},
			&peerv1.GossipResponse{Heartbeats: hb}, calls/4)
		if err != nil {
			return err
		}
		wireBytes = append(wireBytes, point{float64(n), cost.TotalBytes()})
		processor = append(processor, point{float64(n), idle(n)})
		ids := make([]uint32, n)
		for i := range ids {
			ids[i] = uint32(i + 1)
		}
		size, kept := heap(func() any {
			return member.New(time.Unix(0, 0), 1, 1, ids, time.Second, rand.New(rand.NewPCG(1, 1)))
		})
		runtime.KeepAlive(kept)
		state = append(state, point{float64(n), size})
	}
	report(w, "membership", "gossip_bytes_per_call", "routers", wireBytes)
	report(w, "membership", "idle_cpu_us_per_router_second", "routers", processor)
	report(w, "membership", "state_bytes", "routers", state)
	return nil
}

// idleSeconds is the simulated time over which an idle fleet is measured.
const idleSeconds = 10

// idle returns the processor time in microseconds that one router core of an
// idle fleet of n spends per second.
func idle(n int) float64 {
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
	before := cpu()
	clock.RunUntil((5 + idleSeconds) * time.Second)
	return float64((cpu() - before).Microseconds()) / idleSeconds / float64(n)
}

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

// grants is how many grants and releases an owner is measured with.
const grants = 20_000

// owner measures one grant and release at the owner of a pool.
func owner(w io.Writer) error {
	var processor, state []point
	for _, n := range targetSizes {
		table := routing.Build(1, poolChange(n, 10).Resources)
		pool, ok := table.Pool("drafting")
		if !ok {
			return errors.New("no pool")
		}
		size, kept := heap(func() any { return loaded(pool, table, n) })
		l := kept.(*driven)
		before := cpu()
		for i := range grants {
			l.step(uint64(6*n+i+1), uint64(i+1))
		}
		processor = append(processor, point{float64(n), float64((cpu() - before).Nanoseconds()) / grants})
		state = append(state, point{float64(n), size})
	}
	report(w, "owner", "cpu_ns_per_grant_and_release", "targets", processor)
	report(w, "owner", "state_bytes_at_six_open_each", "targets", state)
	return nil
}

// driven is a ledger and the exchanges of its one follower.
type driven struct {
	*ledger.Ledger
	sequence uint64
}

func loaded(pool *routing.Pool, table *routing.Table, targets int) *driven {
	s := ledger.DefaultSettings(1)
	d := &driven{Ledger: ledger.New(time.Unix(0, 0), s, pool, table, rand.New(rand.NewPCG(1, 1)))}
	d.step(0, 0)
	for i := range 6 * targets {
		d.step(uint64(i+1), 0)
	}
	return d
}

func (d *driven) step(ask, release uint64) {
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

// chats measures the owner's and a router's memory of where chats ran.
func chats(w io.Writer) error {
	table := routing.Build(1, poolChange(12, 10).Resources)
	pool, _ := table.Pool("drafting")
	var atOwner, onWire []point
	for _, n := range chatSizes {
		size, kept := heap(func() any {
			d := loaded(pool, table, 12)
			for i := range n {
				id := uint64(1_000_000 + i)
				d.step(id, 0)
				d.step(0, id)
			}
			return d
		})
		runtime.KeepAlive(kept)
		atOwner = append(atOwner, point{float64(n), size})
		req := &peerv1.ExchangeRequest{}
		for i := range n {
			req.Placements = append(req.Placements, &peerv1.Placement{Chat: uint64(i) << 40, Target: 1 << 24, AgeSeconds: 600})
		}
		onWire = append(onWire, point{float64(n), float64(proto.Size(req))})
	}
	report(w, "owner", "chat_memory_bytes", "chats", atOwner)
	report(w, "owner", "placements_bytes_to_a_new_owner", "chats", onWire)
	return nil
}

// configuration measures the routing table and a snapshot by number of teams,
// with 4,100 targets.
func configuration(w io.Writer) error {
	var build, apply, state, raw, packed []point
	for _, n := range teamSizes {
		resources := poolChange(4100, n).Resources
		before := cpu()
		const builds = 5
		for range builds {
			routing.Build(1, resources)
		}
		build = append(build, point{float64(n), float64((cpu() - before).Microseconds()) / builds})
		size, kept := heap(func() any { return routing.Build(1, resources) })
		table := kept.(*routing.Table)
		before = cpu()
		const applies = 100
		for range applies {
			table = table.Apply(table.Revision+1, resources[1:2])
		}
		apply = append(apply, point{float64(n), float64((cpu() - before).Microseconds()) / applies})
		state = append(state, point{float64(n), size})
		encoded, err := proto.Marshal(&peerv1.PullResponse{Changes: core.EncodeChanges([]resource.Change{{Revision: 1, Resources: resources}})})
		if err != nil {
			return errors.Wrap(err, "encode snapshot")
		}
		raw = append(raw, point{float64(n), float64(len(encoded))})
		packed = append(packed, point{float64(n), gzipped(encoded)})
	}
	report(w, "configuration", "table_build_us", "teams", build)
	report(w, "configuration", "one_team_changed_us", "teams", apply)
	report(w, "configuration", "table_bytes", "teams", state)
	report(w, "configuration", "snapshot_bytes", "teams", raw)
	report(w, "configuration", "snapshot_gzip_bytes", "teams", packed)
	return nil
}

func gzipped(data []byte) float64 {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, _ = z.Write(data) // a bytes.Buffer does not fail
	_ = z.Close()
	return float64(out.Len())
}
