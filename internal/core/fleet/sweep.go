package fleet

// Sweep finds stale entries in the store's router list. The zero Sweep has no earlier result.
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
