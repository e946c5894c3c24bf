package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
	"github.com/hemlockdyke/hemlockdyke/internal/fakenet"
	"github.com/hemlockdyke/hemlockdyke/internal/stats"
)

// SpreadSettings describe an experiment with the spread of configuration.
type SpreadSettings struct {
	Routers int
	Changes int
	// ChangeInterval is the time between two changes.
	ChangeInterval time.Duration
	// PushedRouters is the number of routers that the accepting controller reaches.
	PushedRouters int
	// HasStoreOutage takes the store away right after each change is accepted.
	HasStoreOutage bool
	// LossRate is the share of messages that are lost.
	LossRate float64
	Seed     uint64
}

// SpreadResult is what a spread experiment measured.
type SpreadResult struct {
	SpreadSettings
	// P50, P99 and Max are times from acceptance until in force everywhere.
	P50, P99, Max time.Duration
	// Unfinished counts changes that were not everywhere before the next one.
	Unfinished int
	Reverts    int
	// Bytes per router and second, by kind of message.
	GossipBytes, PushBytes, PullBytes float64
	// Messages per router and second, all kinds.
	Messages float64
	// StoreReads per second, of the whole fleet.
	StoreReads float64
}

const (
	fleetRegions     = 4
	fleetDataCentres = 11
	sameDataCentre   = 200 * time.Microsecond
	sameRegion       = 1500 * time.Microsecond
	otherRegion      = 60 * time.Millisecond
)

// place spreads routers over the data centres; small fleets have three in one region.
func place(node, routers int) (dataCentre, region int) {
	if routers <= 9 {
		return node % 3, 0
	}
	dataCentre = node % fleetDataCentres
	return dataCentre, dataCentre % fleetRegions
}

func fleetDelay(routers int) func(a, b int) time.Duration {
	return func(a, b int) time.Duration {
		if a < 0 || b < 0 {
			return sameRegion
		}
		dcA, regionA := place(a, routers)
		dcB, regionB := place(b, routers)
		switch {
		case dcA == dcB:
			return sameDataCentre
		case regionA == regionB:
			return sameRegion
		default:
			return otherRegion
		}
	}
}

type spread struct {
	s        SpreadSettings
	clock    *fakenet.Clock
	net      *fakenet.Net
	rand     *rand.Rand
	changes  []resource.Change
	down     bool
	inForce  []uint64
	accepted time.Time
	missing  int // routers without the last change
	times    []float64
	result   SpreadResult
	bytes    map[string]float64
	messages int
	reads    int
}

// RunSpread runs one spread experiment.
func RunSpread(s SpreadSettings) SpreadResult {
	sp := &spread{
		s: s, clock: fakenet.NewClock(), rand: rand.New(rand.NewPCG(s.Seed, 7)),
		inForce: make([]uint64, s.Routers), bytes: make(map[string]float64),
	}
	sp.net = fakenet.New(sp.clock, fleetDelay(s.Routers))
	sp.net.IsLost = func(int, int) bool { return s.LossRate > 0 && sp.rand.Float64() < s.LossRate }
	sp.net.Hooks = fakenet.Hooks{PublishTable: sp.onPublish, CallPeer: sp.onSend, AnswerCall: sp.onRespond, ReadStore: sp.onReadStore}
	ids := make([]uint32, s.Routers)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	for i := range ids {
		settings := core.DefaultSettings(ids[i], ids)
		settings.Seed = s.Seed
		sp.net.AddNode(core.New(sp.clock.Now(), settings), time.Duration(sp.rand.Int64N(int64(core.TickInterval))))
	}
	sp.accept()
	sp.clock.RunUntil(20 * time.Second)
	sp.measure()
	return sp.finish()
}

func (sp *spread) measure() {
	sp.times, sp.result.Unfinished = nil, 0
	clear(sp.bytes)
	sp.messages, sp.reads = 0, 0
	for range sp.s.Changes {
		sp.down = false
		sp.accept()
		sp.down = sp.s.HasStoreOutage
		sp.clock.RunUntil(sp.clock.Elapsed() + sp.s.ChangeInterval)
		if sp.missing > 0 {
			sp.result.Unfinished++
		}
	}
}

func (sp *spread) finish() SpreadResult {
	seconds := sp.s.ChangeInterval.Seconds() * float64(sp.s.Changes)
	per := func(v float64) float64 { return v / seconds / float64(sp.s.Routers) }
	r := sp.result
	r.SpreadSettings = sp.s
	r.P50 = time.Duration(stats.Quantile(sp.times, 0.5))
	r.P99 = time.Duration(stats.Quantile(sp.times, 0.99))
	r.Max = time.Duration(stats.Quantile(sp.times, 1))
	r.GossipBytes, r.PushBytes, r.PullBytes = per(sp.bytes["gossip"]), per(sp.bytes["push"]), per(sp.bytes["pull"])
	r.Messages = per(float64(sp.messages))
	r.StoreReads = float64(sp.reads) / seconds
	return r
}

// accept stores a change of one team and pushes it to a few routers.
func (sp *spread) accept() {
	revision := uint64(len(sp.changes)) + 1
	change := resource.Change{Revision: revision, Resources: []resource.Resource{{
		Kind:     resource.KindTeam,
		Spec:     []byte(`{"weight":2,"maxOutstanding":400,"firstTokenMillis":880,"objectivePercent":95}`),
		Metadata: resource.Metadata{Name: fmt.Sprintf("team-%d", revision%1000), ResourceVersion: revision, UID: revision},
	}}}
	sp.changes = append(sp.changes, change)
	sp.accepted = sp.clock.Now()
	sp.missing = sp.s.Routers
	push := &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: core.EncodeChanges([]resource.Change{change})}
	for _, node := range sp.rand.Perm(sp.s.Routers)[:min(sp.s.PushedRouters, sp.s.Routers)] {
		sp.bytes["push"] += callBytes + float64(proto.Size(push))
		sp.net.Deliver(fakenet.OutsideCaller, node, push, func(core.AnswerCall) {})
	}
}

func (sp *spread) onPublish(node int, a core.PublishTable) {
	if a.Table.Revision < sp.inForce[node] {
		sp.result.Reverts++
	}
	before := sp.inForce[node]
	sp.inForce[node] = a.Table.Revision
	head := uint64(len(sp.changes))
	if before < head && a.Table.Revision == head {
		sp.missing--
		if sp.missing == 0 {
			sp.times = append(sp.times, float64(sp.clock.Now().Sub(sp.accepted)))
		}
	}
}

func (sp *spread) onSend(_ int, a core.CallPeer) {
	sp.messages++
	sp.bytes[kindOf(a.Message)] += callBytes + float64(proto.Size(a.Message))
}

func (sp *spread) onRespond(_, _ int, a core.AnswerCall) {
	if a.Err == nil {
		sp.bytes[kindOf(a.Message)] += float64(proto.Size(a.Message))
	}
}

func kindOf(m proto.Message) string {
	switch m.(type) {
	case *peerv1.GossipRequest, *peerv1.GossipResponse:
		return "gossip"
	case *peerv1.PushRequest, *peerv1.PushResponse:
		return "push"
	case *peerv1.PullRequest, *peerv1.PullResponse:
		return "pull"
	default:
		return "exchange"
	}
}

func (sp *spread) onReadStore(node int, a core.ReadStore) {
	sp.reads++
	down := sp.down
	sp.clock.AfterFunc(2*sameRegion, func() {
		switch {
		case down:
			sp.net.Step(node, core.StoreReadCompleted{Failed: true})
		case a.AfterRevision < uint64(len(sp.changes)):
			sp.net.Step(node, core.StoreReadCompleted{Changes: sp.changes[a.AfterRevision:]})
		default:
			sp.net.Step(node, core.StoreReadCompleted{})
		}
	})
}

// Print writes one result line.
func (r SpreadResult) Print(w io.Writer) {
	fmt.Fprintf(w, "spread routers=%d store_down=%t loss=%.2f pushed_to=%d changes=%d in_force_p50_ms=%d p99_ms=%d max_ms=%d unfinished=%d reverts=%d gossip_bytes_per_router_s=%.0f push_bytes=%.0f pull_bytes=%.0f messages_per_router_s=%.2f store_reads_s=%.1f\n",
		r.Routers, r.HasStoreOutage, r.LossRate, r.PushedRouters, r.Changes, r.P50.Milliseconds(), r.P99.Milliseconds(), r.Max.Milliseconds(),
		r.Unfinished, r.Reverts, r.GossipBytes, r.PushBytes, r.PullBytes, r.Messages, r.StoreReads)
}
