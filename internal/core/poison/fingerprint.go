// Package poison finds requests that end the targets which run them, so that they are not sent to one target after the
// other. It does no I/O and reads no clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Fingerprint names the content of a request: what comes again with the same method, path, caller and body is the same,
// whatever its id and its query. 0 names none.
type Fingerprint uint64

// String returns the fingerprint as logs and the platform's store have it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint is the reverse of String; false if the text names none.
func ParseFingerprint(text string) (Fingerprint, bool) {
	v, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(v), err == nil && v > 0
}

// FingerprintOf returns the fingerprint of a request. The caller is named by what it can't choose: a request that
// looked like another team's would be blamed on that team. For the same reason the hash is one for which
// nobody can find a second text.
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
