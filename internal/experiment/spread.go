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

// SpreadSettings are the settings of an experiment that measures how fast configuration changes
// reach all routers.
type SpreadSettings struct {
	Routers int
	Changes int
	// ChangeInterval is the time between two changes.
	ChangeInterval time.Duration
	// PushedRouters is the number of routers that the accepting controller pushes a change to.
	PushedRouters int
	// HasStoreOutage takes the store down right after each change is accepted.
	HasStoreOutage bool
	// LossRate is the share of messages that are lost.
	LossRate float64
	Seed     uint64
}

// SpreadResult holds the figures of one experiment.
type SpreadResult struct {
	SpreadSettings
	// P50, P99 and Max are times from the acceptance of a change until all routers have applied it.
	P50, P99, Max time.Duration
	// Unfinished counts changes that some router had not applied when the next change was due.
	Unfinished int
	// Reverts counts how often a router went back to an earlier revision.
	Reverts int
	// GossipBytes, PushBytes and PullBytes are bytes per router and second, by kind of message.
	GossipBytes, PushBytes, PullBytes float64
	// Messages is the number of calls of all kinds per router and second.
	Messages float64
	// StoreReads is the number of store reads of the whole fleet per second.
	StoreReads float64
}

// The number of regions and data centres of a large fleet, and the one-way delays within a data
// centre, between data centres of a region and between regions.
const (
	regionCount     = 4
	dataCentreCount = 11
	dataCentreDelay = 200 * time.Microsecond
	regionDelay     = 1500 * time.Microsecond
	remoteDelay     = 60 * time.Millisecond
)

// location returns the data centre and region of a router. A fleet of up to nine routers has three
// data centres in one region.
func location(node, routers int) (dataCentre, region int) {
	if routers <= 9 {
		return node % 3, 0
	}
	dataCentre = node % dataCentreCount
	return dataCentre, dataCentre % regionCount
}

// fleetDelay returns the function that gives the one-way delay between two nodes of a fleet. A
// caller that is not a router is in the same region as each router.
func fleetDelay(routers int) func(a, b int) time.Duration {
	return func(a, b int) time.Duration {
		if a < 0 || b < 0 {
			return regionDelay
		}
		dcA, regionA := location(a, routers)
		dcB, regionB := location(b, routers)
		switch {
		case dcA == dcB:
			return dataCentreDelay
		case regionA == regionB:
			return regionDelay
		default:
			return remoteDelay
		}
	}
}

// spread runs one experiment.
type spread struct {
	settings         SpreadSettings
	clock            *fakenet.Clock
	net              *fakenet.Net
	rand             *rand.Rand
	changes          []resource.Change
	storeDown        bool
	appliedRevisions []uint64 // revision that each router has applied
	acceptedAt       time.Time
	missingRouters   int       // routers that have not applied the last change
	spreadTimes      []float64 // from acceptance of a change until all routers have applied it, ns
	result           SpreadResult
	bytesByKind      map[string]float64
	messages         int
	storeReads       int
}

// RunSpread runs one experiment.
func RunSpread(settings SpreadSettings) SpreadResult {
	sp := &spread{
		settings: settings, clock: fakenet.NewClock(), rand: rand.New(rand.NewPCG(settings.Seed, 7)),
		appliedRevisions: make([]uint64, settings.Routers), bytesByKind: make(map[string]float64),
	}
	sp.net = fakenet.New(sp.clock, fleetDelay(settings.Routers))
	sp.net.IsLost = func(int, int) bool { return settings.LossRate > 0 && sp.rand.Float64() < settings.LossRate }
	sp.net.Hooks = fakenet.Hooks{PublishTable: sp.onPublishTable, CallPeer: sp.onCallPeer, ReplyToCall: sp.onReplyToCall, ReadStore: sp.onReadStore}
	ids := make([]uint32, settings.Routers)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	for i := range ids {
		coreSettings := core.DefaultSettings(ids[i], ids)
		coreSettings.Seed = settings.Seed
		sp.net.AddNode(core.New(sp.clock.Now(), coreSettings), time.Duration(sp.rand.Int64N(int64(core.TickInterval))))
	}
	sp.acceptChange()
	sp.clock.RunUntil(20 * time.Second)
	sp.measureChanges()
	return sp.computeResult()
}

// measureChanges accepts the changes one after another and measures how each one spreads.
func (sp *spread) measureChanges() {
	sp.spreadTimes, sp.result.Unfinished = nil, 0
	clear(sp.bytesByKind)
	sp.messages, sp.storeReads = 0, 0
	for range sp.settings.Changes {
		sp.storeDown = false
		sp.acceptChange()
		sp.storeDown = sp.settings.HasStoreOutage
		sp.clock.RunUntil(sp.clock.Elapsed() + sp.settings.ChangeInterval)
		if sp.missingRouters > 0 {
			sp.result.Unfinished++
		}
	}
}

// computeResult returns the figures of the experiment.
func (sp *spread) computeResult() SpreadResult {
	seconds := sp.settings.ChangeInterval.Seconds() * float64(sp.settings.Changes)
	perRouterSecond := func(v float64) float64 { return v / seconds / float64(sp.settings.Routers) }
	r := sp.result
	r.SpreadSettings = sp.settings
	r.P50 = time.Duration(stats.Quantile(sp.spreadTimes, 0.5))
	r.P99 = time.Duration(stats.Quantile(sp.spreadTimes, 0.99))
	r.Max = time.Duration(stats.Quantile(sp.spreadTimes, 1))
	r.GossipBytes, r.PushBytes, r.PullBytes = perRouterSecond(sp.bytesByKind["gossip"]), perRouterSecond(sp.bytesByKind["push"]), perRouterSecond(sp.bytesByKind["pull"])
	r.Messages = perRouterSecond(float64(sp.messages))
	r.StoreReads = float64(sp.storeReads) / seconds
	return r
}

// acceptChange stores a change of one team and pushes it to PushedRouters random routers.
func (sp *spread) acceptChange() {
	revision := uint64(len(sp.changes)) + 1
	change := resource.Change{Revision: revision, Resources: []resource.Resource{{
		Kind:     resource.KindTeam,
		Spec:     []byte(`{"weight":2,"maxOutstanding":400,"firstTokenMillis":880,"objectivePercent":95}`),
		Metadata: resource.Metadata{Name: fmt.Sprintf("team-%d", revision%1000), ResourceVersion: revision, UID: revision},
	}}}
	sp.changes = append(sp.changes, change)
	sp.acceptedAt = sp.clock.Now()
	sp.missingRouters = sp.settings.Routers
	push := &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: core.EncodeChanges([]resource.Change{change})}
	for _, node := range sp.rand.Perm(sp.settings.Routers)[:min(sp.settings.PushedRouters, sp.settings.Routers)] {
		sp.bytesByKind["push"] += callBytes + float64(proto.Size(push))
		sp.net.Deliver(fakenet.OutsideCaller, node, push, func(core.ReplyToCall) {})
	}
}

// onPublishTable records the revision that a router has applied.
func (sp *spread) onPublishTable(node int, a core.PublishTable) {
	if a.Table.Revision < sp.appliedRevisions[node] {
		sp.result.Reverts++
	}
	previousRevision := sp.appliedRevisions[node]
	sp.appliedRevisions[node] = a.Table.Revision
	latestRevision := uint64(len(sp.changes))
	if previousRevision < latestRevision && a.Table.Revision == latestRevision {
		sp.missingRouters--
		if sp.missingRouters == 0 {
			sp.spreadTimes = append(sp.spreadTimes, float64(sp.clock.Now().Sub(sp.acceptedAt)))
		}
	}
}

// onCallPeer counts a call and its bytes.
func (sp *spread) onCallPeer(_ int, a core.CallPeer) {
	sp.messages++
	sp.bytesByKind[messageKind(a.Message)] += callBytes + float64(proto.Size(a.Message))
}

// onReplyToCall counts the bytes of a reply.
func (sp *spread) onReplyToCall(_, _ int, a core.ReplyToCall) {
	if a.Err == nil {
		sp.bytesByKind[messageKind(a.Message)] += float64(proto.Size(a.Message))
	}
}

// messageKind returns the kind of a peer message under which its bytes are counted.
func messageKind(m proto.Message) string {
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

// onReadStore answers a store read, or fails it if the store was down when the read began.
func (sp *spread) onReadStore(node int, a core.ReadStore) {
	sp.storeReads++
	storeDown := sp.storeDown
	sp.clock.AfterFunc(2*regionDelay, func() {
		switch {
		case storeDown:
			sp.net.Step(node, core.StoreReadCompleted{Failed: true})
		case a.AfterRevision < uint64(len(sp.changes)):
			sp.net.Step(node, core.StoreReadCompleted{Changes: sp.changes[a.AfterRevision:]})
		default:
			sp.net.Step(node, core.StoreReadCompleted{})
		}
	})
}

// Print writes the result as one line.
func (r SpreadResult) Print(w io.Writer) {
	fmt.Fprintf(w, "spread routers=%d store_down=%t loss=%.2f pushed_to=%d changes=%d in_force_p50_ms=%d p99_ms=%d max_ms=%d unfinished=%d reverts=%d gossip_bytes_per_router_s=%.0f push_bytes=%.0f pull_bytes=%.0f messages_per_router_s=%.2f store_reads_s=%.1f\n",
		r.Routers, r.HasStoreOutage, r.LossRate, r.PushedRouters, r.Changes, r.P50.Milliseconds(), r.P99.Milliseconds(), r.Max.Milliseconds(),
		r.Unfinished, r.Reverts, r.GossipBytes, r.PushBytes, r.PullBytes, r.Messages, r.StoreReads)
}
