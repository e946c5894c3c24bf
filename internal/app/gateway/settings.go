package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// Settings configures a gateway.
type Settings struct {
	Name       string
	DataCentre string
	// Strength is the relative capacity of the VM, see fleet.Settings.
	Strength uint32
	Address  string   // address for other routers, as IP:PORT
	Seeds    []string // addresses at which other routers may run
	// ReadStoreAtStart is true if the router reads the store soon after its start. It is false for
	// routers that start together with others, which read the store and send them the tables.
	// See fleet.Settings.
	ReadStoreAtStart bool
	// FirstStart is true if the whole fleet starts for the first time, so that no earlier state
	// exists.
	FirstStart bool
	// MaxApplyDelay is the time within which a desired state must be applied. MaxDepartureDelay is
	// the time within which a leaving target must stop receiving requests.
	MaxApplyDelay     time.Duration
	MaxDepartureDelay time.Duration
	// RetryRatio, RetrySlack and RetrySpan define the retry budget of the fleet: in any span of
	// length RetrySpan, retries <= RetryRatio * requests + RetrySlack. See retry.Window.
	RetryRatio float64
	RetrySlack float64
	RetrySpan  time.Duration
	// LoadMultiple and LoadSlack bound the open requests of a target, see placement.Settings.
	LoadMultiple float64
	LoadSlack    float64
	// ColdMultiple and ColdSlack bound the requests to a cold target, see placement.Settings.
	ColdMultiple float64
	ColdSlack    float64
	// ScheduleByWork is true if the deployment asks that its requests be scheduled by their work. Pools
	// whose targets report their pace are scheduled by work in any case, see
	// placement.Balancer.IsScheduledByWork.
	ScheduleByWork bool
	// LinkBytesPerSecond is the bandwidth of the VM's link in each direction; 0 if unknown.
	LinkBytesPerSecond int64
	// Memory counts what callers make the process hold; nil stands for an account of defaultMemory.
	Memory *memory.Account
}
