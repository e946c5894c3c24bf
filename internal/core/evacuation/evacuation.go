// Package evacuation keeps which data centres operators have ordered to be evacuated. Targets there get no request from any router until
// the order is taken back: no new one, no retry, no resumed stream, none that waits for a connection. What was sent before may end
// there, and other targets may fetch what is cached there.
package evacuation

import (
	"slices"
	"strings"
)

// Change is an order that has come, or was taken back.
type Change struct {
	DataCentre string
	Evacuated  bool
}

// Orders are those in force. The zero value has none. It is not safe for concurrent use.
type Orders struct {
	evacuated map[string]bool
}

// Update takes in the data centres of the orders in force, in place of those before, and returns what has changed, in order.
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

// IsEvacuated reports whether a data centre is to get nothing.
func (o *Orders) IsEvacuated(dataCentre string) bool { return o.evacuated[dataCentre] }
