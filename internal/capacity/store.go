package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/faketable"
)

// countingTable is an in-memory table service that counts its calls.
type countingTable struct {
	*faketable.Table
	reads, writes atomic.Int64
}

// newCountingTable returns an empty table.
func newCountingTable() *countingTable {
	c := &countingTable{Table: faketable.New()}
	c.ChooseFault = func(write bool) faketable.Fault {
		if write {
			c.writes.Add(1)
		} else {
			c.reads.Add(1)
		}
		return faketable.NoFault
	}
	return c
}

// allHoldersAlive reports every holder of a claim as alive.
type allHoldersAlive struct{}

func (allHoldersAlive) HolderAlive(uint32, uint64) bool { return true }

// claimSeconds is the time in seconds for which each rate of claims is measured.
const claimSeconds = 2

// commitDuration is the simulated duration of a commit.
const commitDuration = 5 * time.Millisecond

// measureClaims measures the table service calls per request with an idempotency key on one router,
// by request rate. Inserted claims share transactions; each settlement has a transaction of its
// own.
func measureClaims(w io.Writer) error {
	var writes []point
	for _, rate := range []int{10, 100, 1000} {
		table := newCountingTable()
		table.BeforeCommit = func() { time.Sleep(commitDuration) }
		c := router.NewClaims(table, allHoldersAlive{}, 1, 1, eventlog.Nop(), time.Now)
		req := router.Request{Method: http.MethodPost, Team: "t", Pool: &routing.Pool{Name: "p"}}
		var pending sync.WaitGroup
		for i := range rate * claimSeconds {
			pending.Go(func() {
				claim, _ := c.Acquire(context.Background(), req, fmt.Sprint(i))
				c.RecordOutcome(claim, target.Answer{Status: http.StatusOK, Header: http.Header{}}, router.Result{Code: code.OK, MayHaveExecuted: true})
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
		pending.Wait()
		total := float64(rate * claimSeconds)
		writes = append(writes, point{float64(rate), float64(table.writes.Load()) / total})
		fmt.Fprintf(w, "capacity role=claims figure=reads_per_call calls_per_second=%d value=%.2f\n", rate, float64(table.reads.Load())/total)
	}
	for _, p := range writes {
		fmt.Fprintf(w, "capacity role=claims figure=writes_per_call calls_per_second=%.0f value=%.2f\n", p.x, p.y)
	}
	return nil
}

// unreachable simulates routers and a target that do not answer, so that no planned change
// completes.
type unreachable struct{}

var errUnreachable = errors.New("no answer")

func (unreachable) Call(context.Context, uint32, proto.Message) (proto.Message, error) {
	return nil, errUnreachable
}

func (unreachable) ReadStatus(context.Context, string) (int, map[string]string, error) {
	return 0, nil, errUnreachable
}

func (unreachable) SendOrder(context.Context, string, uint64, string, string, time.Time) error {
	return errUnreachable
}

// passCount is the number of passes of each controller that are measured, at one pass per second.
const passCount = 64

// measureControllers measures the table service calls of all controllers per second, by the number
// of planned changes in progress and by the number of controllers.
func measureControllers(w io.Writer) error {
	var reads, writes []point
	for _, n := range []int{1, 10, 100} {
		readRate, writeRate, err := controllerCalls(9, n)
		if err != nil {
			return err
		}
		reads, writes = append(reads, point{float64(n), readRate}), append(writes, point{float64(n), writeRate})
	}
	printFigure(w, "controllers", "table_reads_per_second_at_9", "changes_under_way", reads)
	printFigure(w, "controllers", "table_writes_per_second_at_9", "changes_under_way", writes)
	var fleet []point
	for _, n := range fleetSizes {
		readRate, _, err := controllerCalls(n, 10)
		if err != nil {
			return err
		}
		fleet = append(fleet, point{float64(n), readRate})
	}
	printFigure(w, "controllers", "table_reads_per_second_at_10_changes", "controllers", fleet)
	return nil
}

// controllerCalls returns the table reads and writes per second of n controllers with the given
// number of planned changes in progress.
func controllerCalls(n, changes int) (reads, writes float64, err error) {
	table := newCountingTable()
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	store := configstore.New(table, clock)
	resources := poolChange(changes, 1).Resources
	for i := range changes {
		resources = append(resources, resource.Resource{
			Kind: resource.KindPlannedChange, Metadata: resource.Metadata{Name: fmt.Sprintf("change-%d", i)},
			Spec: fmt.Appendf(nil, `{"target":"engine-%d","action":"load","argument":"v7"}`, i),
		})
	}
	for i := range resources {
		resources[i].Metadata = resource.Metadata{Name: resources[i].Metadata.Name}
	}
	if _, _, err := store.AcceptChange(context.Background(), "base", resources); err != nil {
		return 0, 0, err
	}
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	ctl := controller.New(store, unreachable{}, ids, eventlog.Nop())
	var all []*controller.Reconciler
	for _, id := range ids {
		all = append(all, controller.NewReconciler(ctl, table, unreachable{}, id, fmt.Sprint(id), 10*time.Second, eventlog.Nop(), clock))
	}
	table.reads.Store(0)
	table.writes.Store(0)
	for range passCount {
		now = now.Add(time.Second)
		for _, r := range all {
			if err := r.Reconcile(context.Background()); err != nil {
				return 0, 0, err
			}
		}
	}
	return float64(table.reads.Load()) / passCount, float64(table.writes.Load()) / passCount, nil
}

// pullRepetitions is the number of times that a whole configuration is pulled.
const pullRepetitions = 10

// measurePull measures the start of a router from a peer: pulling a whole configuration over
// loopback.
func measurePull(w io.Writer) error {
	var onWire, processor []point
	for _, n := range teamSizes {
		resp := &peerv1.PullResponse{IsSnapshot: true, SnapshotRevision: 1}
		for _, ch := range core.EncodeChanges([]resource.Change{poolChange(4100, n)}) {
			resp.Snapshot = ch.GetResources()
		}
		before := processCPUTime()
		cost, err := MeasureCall(&peerv1.PullRequest{Protocol: ticket.ProtocolVersion}, resp, pullRepetitions)
		if err != nil {
			return err
		}
		onWire = append(onWire, point{float64(n), cost.TotalBytes()})
		processor = append(processor, point{float64(n), float64((processCPUTime() - before).Microseconds()) / pullRepetitions})
	}
	printFigure(w, "start", "bytes_of_a_pull", "teams", onWire)
	printFigure(w, "start", "cpu_us_of_a_pull_both_ends", "teams", processor)
	return nil
}
