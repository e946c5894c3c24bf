package fleet

// Sweep finds outdated entries in the store's list of routers. The zero Sweep has no earlier
// result.
type Sweep struct{ silent map[Address]bool }

// Stale returns the listed routers that were neither heard nor vouched for at this sweep and at the
// one before. One sweep is not enough: an entry may be listed before the router's first digest
// arrives.
func (s *Sweep) Stale(listed []Address, recent map[Address]bool) []Address {
	var out []Address
	silent := make(map[Address]bool)
	for _, a := range listed {
		switch {
		case recent[a]:
		case s.silent[a]:
			out = append(out, a)
		default:
			silent[a] = true
		}
	}
	s.silent = silent
	return out
}
