// Package ablate disables single mechanisms in a build for measurements, to see the effect of each.
// No settings change it. The linker sets the variable off, as in
//
//	go build -ldflags "-X github.com/hemlockdyke/hemlockdyke/internal/core/ablate.off=fetch,pace" ./cmd/...
//
// A build without that flag has all mechanisms enabled.
package ablate

import "strings"

// Mechanism is the name of a mechanism that can be disabled.
type Mechanism string

// The mechanisms, each with the behaviour without it.
const (
	FleetLoads      Mechanism = "loads"       // each router counts only its own open requests
	Outliers        Mechanism = "outliers"    // no target is ejected as an outlier
	Suspension      Mechanism = "suspension"  // no target is suspended after consecutive failures
	PanicThreshold  Mechanism = "panicshares" // suspended and ejected targets get no requests, however many they are
	CacheFetch      Mechanism = "fetch"       // no target fetches cached prompt prefixes from another one
	Inventory       Mechanism = "inventory"   // the source of a fetch is chosen by rendezvous order alone
	CacheReports    Mechanism = "told"        // reports of other routers about cached prompt prefixes are ignored
	DataCentreOrder Mechanism = "centres"     // a chat's order of targets ignores their data centres
	CacheHolders    Mechanism = "holders"     // requests that spill over go to the next target in the chat's order
	TargetSpeed     Mechanism = "pace"        // open requests count the same at slow and at fast targets
	RemoteCost      Mechanism = "remotecost"  // targets in another data centre have no extra cost
	Admission       Mechanism = "admission"   // every request that has a target is sent
	Objective       Mechanism = "objective"   // admission uses only the remaining time
	Rank            Mechanism = "rank"        // requests of all ranks may wait equally long
	Team            Mechanism = "team"        // a team may have any share of the open requests
	RouteYield      Mechanism = "yield"       // routes don't yield to more urgent ones
	ShortWork       Mechanism = "short"       // short work is admitted by load reports, like other work
	RemovalGrace    Mechanism = "gonegrace"   // targets removed from the target list are dropped at once
	Poison          Mechanism = "poison"      // requests that make targets exit are still sent
	StaleState      Mechanism = "outdated"    // routers with an outdated desired state still serve
)

// off holds the names of the disabled mechanisms, separated by commas. The linker sets it.
var off string

var disabled = parse(off)

func parse(names string) map[Mechanism]bool {
	out := make(map[Mechanism]bool)
	for _, name := range strings.Split(names, ",") {
		if name != "" {
			out[Mechanism(name)] = true
		}
	}
	return out
}

// IsOff reports whether a mechanism is disabled in this build.
func IsOff(m Mechanism) bool { return len(disabled) > 0 && disabled[m] }
