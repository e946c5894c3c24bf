// Package rendezvous orders nodes for a key by highest random weight. All processes compute the
// same order without shared state. A node that joins or leaves moves only the keys that it gains or
// loses.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a name, for use as a key or a node seed.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Hasher hashes a text that grows.
type Hasher struct{ digest *xxhash.Digest }

// NewHasher returns a Hasher of the empty text.
func NewHasher() Hasher { return Hasher{xxhash.New()} }

// Append appends to the text and returns Hash of all of it.
func (h Hasher) Append(text string) uint64 {
	_, _ = h.digest.WriteString(text) // never fails
	return h.digest.Sum64()
}

// Mix combines a key with a node seed into a uniformly distributed weight. It is the finalizer of
// the SplitMix64 generator.
func Mix(key, seed uint64) uint64 {
	z := key ^ (seed * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// MaxTopNodes is the largest number of nodes that a Top can hold.
const MaxTopNodes = 16

// Top holds the indexes of the nodes with the highest weights, in descending order of weight.
type Top struct {
	Index  [MaxTopNodes]int32
	weight [MaxTopNodes]uint64
	Len    int
}

// Reset empties t.
func (t *Top) Reset() { t.Len = 0 }

// Insert adds the node at index with its weight. It keeps only the limit nodes of highest weight;
// limit must be from 1 to MaxTopNodes and the same for all calls since Reset.
func (t *Top) Insert(index int32, weight uint64, limit int) {
	if t.Len == limit && weight <= t.weight[limit-1] {
		return
	}
	pos := t.Len
	if pos == limit {
		pos--
	} else {
		t.Len++
	}
	for pos > 0 && t.weight[pos-1] < weight {
		t.weight[pos] = t.weight[pos-1]
		t.Index[pos] = t.Index[pos-1]
		pos--
	}
	t.weight[pos] = weight
	t.Index[pos] = index
}

// Highest returns the ID with the highest weight for key. It returns false if ids is empty.
func Highest(key uint64, ids []uint32) (uint32, bool) {
	var best uint32
	var bestWeight uint64
	for i, id := range ids {
		w := Mix(key, uint64(id)+1)
		if i == 0 || w > bestWeight {
			best, bestWeight = id, w
		}
	}
	return best, len(ids) > 0
}

// Rank returns how many of ids have a higher weight than id for key.
func Rank(key uint64, id uint32, ids []uint32) int {
	weight, rank := Mix(key, uint64(id)+1), 0
	for _, other := range ids {
		if other != id && Mix(key, uint64(other)+1) > weight {
			rank++
		}
	}
	return rank
}
