// Package poison detects requests that make the targets that execute them exit, so that routers
// stop sending them to one target after another. It recognizes them by what they carry: their whole
// content, or a part of their prompt that other requests have as well. It does no I/O and reads no clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Fingerprint identifies something that requests carry: their whole content, see FingerprintOf, or a
// part of their prompt, see FingerprintOfPart. 0 means none.
type Fingerprint uint64

// Contents are the fingerprints of what a request carries: first of its whole content, then of each
// part of its prompt that other requests may share.
type Contents []Fingerprint

// String returns the fingerprint in hexadecimal, as in log lines and in the platform's store.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint is the inverse of String. It returns false if the text is not a fingerprint.
func ParseFingerprint(text string) (Fingerprint, bool) {
	v, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(v), err == nil && v > 0
}

// FingerprintOf returns the fingerprint of a request's whole content. Requests of one caller with the
// same method, host, path and body have the same, whatever their ids and queries. The caller is identified by a name that it
// can't choose: otherwise a team could have requests of another team refused by sending the same
// content. The hash is collision-resistant for the same reason. The body may come in pieces.
func FingerprintOf(caller, method, host, path string, body ...[]byte) Fingerprint {
	return hashOf(body, caller, method, host, path)
}

// FingerprintOfPart returns the fingerprint of a part of prompts, given its ID in one spelling. A part
// that makes one target of a pool exit does so with all of them, whoever sends it and whatever stands
// before it. Other pools run other software, so there it has another fingerprint.
func FingerprintOfPart(pool, id string) Fingerprint { return hashOf(nil, pool, id) }

// hashOf hashes fields and a rest. No ID of a part contains the bytes of a length, so parts and whole
// contents don't collide.
func hashOf(rest [][]byte, fields ...string) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	for _, piece := range rest {
		h.Write(piece)
	}
	var sum [sha256.Size]byte
	return Fingerprint(max(binary.BigEndian.Uint64(h.Sum(sum[:0])), 1))
}
