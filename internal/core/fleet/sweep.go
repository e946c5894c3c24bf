package fleet

// Sweep decides which entries of the store's list of routers are out of date. The zero
// Sweep has seen nothing.
type Sweep struct{ silent map[Address]bool }

// Stale returns the listed routers of which there was no sign at this sweep nor at the one
// before. One sweep alone says little: an entry may be younger than its first digest.
func (s *Sweep) Stale(listed []Address, heard map[Address]bool) []Address {
	var out []Address
	silent := make(map[Address]bool)
	for _, a := range listed {
		switch {
		case heard[a]:
		case s.silent[a]:
			out = append(out, a)
		default:
			silent[a] = true
		}
	}
	s.silent = silent
	return out
}
