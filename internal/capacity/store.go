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

// counted is a fake table service that counts its calls.
type counted struct {
	*faketable.Table
	reads, writes atomic.Int64
}

func newCounted() *counted {
	c := &counted{Table: faketable.New()}
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

type alive struct{}

func (alive) HolderAlive(uint32, uint64) bool { return true }

// claimSeconds is how long each rate of claims is measured.
const claimSeconds = 2

// commitTime is how long a commit takes in the fake table service.
const commitTime = 5 * time.Millisecond

// claims measures the calls of the table service for each keyed request of one
// router, by rate: inserts share transactions, settlements do not yet.
func claims(w io.Writer) error {
	var writes []point
	for _, rate := range []int{10, 100, 1000} {
		table := newCounted()
		table.BeforeCommit = func() { time.Sleep(commitTime) }
		c := router.NewClaims(table, alive{}, 1, 1, eventlog.Nop(), time.Now)
		req := router.Request{Method: http.MethodPost, Team: "t", Pool: &routing.Pool{Name: "p"}}
		var calls sync.WaitGroup
		for i := range rate * claimSeconds {
			calls.Go(func() {
				held, _ := c.Take(context.Background(), req, fmt.Sprint(i))
				c.Settle(held, target.Answer{Status: http.StatusOK, Header: http.Header{}}, router.Result{Code: code.OK, MayHaveRun: true})
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
		calls.Wait()
		total := float64(rate * claimSeconds)
		writes = append(writes, point{float64(rate), float64(table.writes.Load()) / total})
		fmt.Fprintf(w, "capacity role=claims figure=reads_per_call calls_per_second=%d value=%.2f\n", rate, float64(table.reads.Load())/total)
	}
	for _, p := range writes {
		fmt.Fprintf(w, "capacity role=claims figure=writes_per_call calls_per_second=%.0f value=%.2f\n", p.x, p.y)
	}
	return nil
}

// unanswered plays routers and a target that do not answer, which keeps every
// planned change under way.
type unanswered struct{}

var errUnanswered = errors.New("no answer")

func (unanswered) Call(context.Context, uint32, proto.Message) (proto.Message, error) {
	return nil, errUnanswered
}

func (unanswered) Observe(context.Context, string) (int, map[string]string, error) {
	return 0, nil, errUnanswered
}

func (unanswered) Order(context.Context, string, uint64, string, string, time.Time) error {
	return errUnanswered
}

// passes is how many seconds of a controller are measured.
const passes = 64

// controllers measures the calls of the table service of all controllers a second,
// by planned changes under way and by controllers.
func controllers(w io.Writer) error {
	var reads, writes []point
	for _, n := range []int{1, 10, 100} {
		r, wr, err := controllersAt(9, n)
		if err != nil {
			return err
		}
		reads, writes = append(reads, point{float64(n), r}), append(writes, point{float64(n), wr})
	}
	report(w, "controllers", "table_reads_per_second_at_9", "changes_under_way", reads)
	report(w, "controllers", "table_writes_per_second_at_9", "changes_under_way", writes)
	var fleet []point
	for _, n := range fleetSizes {
		r, _, err := controllersAt(n, 10)
		if err != nil {
			return err
		}
		fleet = append(fleet, point{float64(n), r})
	}
	report(w, "controllers", "table_reads_per_second_at_10_changes", "controllers", fleet)
	return nil
}

// controllersAt returns the reads and writes per second of n controllers with some
// changes under way.
func controllersAt(n, changes int) (reads, writes float64, err error) {
	table := newCounted()
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
	if _, _, err := store.Accept(context.Background(), "base", resources); err != nil {
		return 0, 0, err
	}
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	ctl := controller.New(store, unanswered{}, ids, eventlog.Nop())
	var all []*controller.Reconciler
	for _, id := range ids {
		all = append(all, controller.NewReconciler(ctl, table, unanswered{}, id, fmt.Sprint(id), 10*time.Second, eventlog.Nop(), clock))
	}
	table.reads.Store(0)
	table.writes.Store(0)
	for range passes {
		now = now.Add(time.Second)
		for _, r := range all {
			if err := r.Pass(context.Background()); err != nil {
				return 0, 0, err
			}
		}
	}
	return float64(table.reads.Load()) / passes, float64(table.writes.Load()) / passes, nil
}

// pulls is how often a whole configuration is pulled.
const pulls = 10

// herd measures a start from a peer: pulling a whole configuration over loopback.
func herd(w io.Writer) error {
	var onWire, processor []point
	for _, n := range teamSizes {
		resp := &peerv1.PullResponse{IsSnapshot: true, SnapshotRevision: 1}
		for _, ch := range core.EncodeChanges([]resource.Change{poolChange(4100, n)}) {
			resp.Snapshot = ch.GetResources()
		}
		before := cpu()
		cost, err := MeasureCall(&peerv1.PullRequest{Protocol: ticket.ProtocolVersion}, resp, pulls)
		if err != nil {
			return err
		}
		onWire = append(onWire, point{float64(n), cost.TotalBytes()})
		processor = append(processor, point{float64(n), float64((cpu() - before).Microseconds()) / pulls})
	}
	report(w, "start", "bytes_of_a_pull", "teams", onWire)
	report(w, "start", "cpu_us_of_a_pull_both_ends", "teams", processor)
	return nil
}
