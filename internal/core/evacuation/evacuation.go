// Package evacuation keeps the operators' orders to evacuate data centres. While an order is
// applied, no router sends any request to targets in that data centre: no new requests, no retries,
// no resumed streams and no requests that wait for a connection. Requests sent before the order may
// finish there, and other targets may still fetch cached data from there.
package evacuation

import (
	"slices"
	"strings"
)

// Change is an evacuation order that was issued or withdrawn.
type Change struct {
	DataCentre string
	Evacuated  bool
}

// Orders are the evacuation orders that are applied. The zero value holds none. It is not safe for
// concurrent use.
type Orders struct {
	evacuated map[string]bool
}

// Update replaces the applied orders by those for dataCentres and returns the changes, sorted by
// data centre.
func (o *Orders) Update(dataCentres []string) []Change {
	next := make(map[string]bool, len(dataCentres))
	var changes []Change
	for _, dc := range dataCentres {
		if !next[dc] && !o.evacuated[dc] {
			changes = append(changes, Change{DataCentre: dc, Evacuated: true})
		}
		next[dc] = true
	}
	for dc := range o.evacuated {
		if !next[dc] {
			changes = append(changes, Change{DataCentre: dc})
		}
	}
	o.evacuated = next
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return changes
}

// IsEvacuated reports whether a data centre must get no requests.
func (o *Orders) IsEvacuated(dataCentre string) bool { return o.evacuated[dataCentre] }
