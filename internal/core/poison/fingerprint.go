// Package poison detects requests that make the targets that execute them exit, so that routers
// stop sending them to one target after another. It does no I/O and reads no clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Fingerprint identifies the content of a request. Requests of one caller with the same method,
// host, path and body have the same fingerprint, whatever their ids and queries. 0 means none.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as in log lines and in the platform's store.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint is the inverse of String. It returns false if the text is not a fingerprint.
func ParseFingerprint(text string) (Fingerprint, bool) {
	v, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(v), err == nil && v > 0
}

// FingerprintOf returns the fingerprint of a request. The caller is identified by a name that it
// can't choose: otherwise a team could have requests of another team refused by sending the same
// content. The hash is collision-resistant for the same reason.
func FingerprintOf(caller, method, host, path string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{caller, method, host, path} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(max(binary.BigEndian.Uint64(h.Sum(sum[:0])), 1))
}
