// Package ablate switches single mechanisms off in a build for measurement, to see what each is worth.
// No settings reach it: the linker sets off, as in
//
//	go build -ldflags "-X github.com/hemlockdyke/hemlockdyke/internal/core/ablate.off=fetch,pace" ./cmd/...
//
// A build without that flag has everything on.
package ablate

import "strings"

// Mechanism is one that can be switched off.
type Mechanism string

// The mechanisms, with what happens without them.
const (
	FleetLoads      Mechanism = "loads"       // each router counts its own requests only
	Outliers        Mechanism = "outliers"    // no target is ejected by what the fleet saw
	Suspension      Mechanism = "suspension"  // no target rests after failures in a row
	PanicThreshold  Mechanism = "panicshares" // suspended and ejected targets are avoided, however many
	CacheFetch      Mechanism = "fetch"       // no target fetches cached parts
	Inventory       Mechanism = "inventory"   // sources by rendezvous order alone
	CacheReports    Mechanism = "told"        // each router knows only what its own requests read where
	DataCentreOrder Mechanism = "centres"     // a chat's order knows of targets only
	CacheHolders    Mechanism = "holders"     // what spills goes to the next target in order
	TargetSpeed     Mechanism = "pace"        // an open request at a slow target counts as one at a fast one
	RemoteCost      Mechanism = "remotecost"  // plain targets in another data centre cost no more
	Admission       Mechanism = "admission"   // whatever finds a target is sent
	Objective       Mechanism = "objective"   // admission by the time left alone
	Rank            Mechanism = "rank"        // ranks wait as long as the first
	Team            Mechanism = "team"        // teams have no share
	RouteYield      Mechanism = "yield"       // routes give up no places
	ShortWork       Mechanism = "short"       // short work is admitted by the fleet's counts too
	RemovalGrace    Mechanism = "gonegrace"   // targets that left the list are left at once
	Poison          Mechanism = "poison"      // requests under which targets end are sent on
	StaleState      Mechanism = "outdated"    // routers go by the desired state that they have
)

// off is set by the linker: names, separated by commas.
var off string

var switched = parse(off)

func parse(names string) map[Mechanism]bool {
	out := make(map[Mechanism]bool)
	for _, name := range strings.Split(names, ",") {
		if name != "" {
			out[Mechanism(name)] = true
		}
	}
	return out
}

// IsOff reports whether a mechanism is switched off in this build.
func IsOff(m Mechanism) bool { return len(switched) > 0 && switched[m] }
