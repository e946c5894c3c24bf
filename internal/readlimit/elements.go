package readlimit

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrTooManyElements means that a message has more elements than its bound.
var ErrTooManyElements = errors.New("message has more elements than its bound")

// CheckElements fails with ErrTooManyElements if an encoded protobuf message has more than limit elements on
// its first level: an empty element of a list has two bytes, and more than a hundred when it is decoded. Packed
// lists count as one.
func CheckElements(data []byte, limit int) error {
	for elements := 0; len(data) > 0; elements++ {
		if elements >= limit {
			return ErrTooManyElements
		}
		_, _, n := protowire.ConsumeField(data)
		if n < 0 {
			return protowire.ParseError(n)
		}
		data = data[n:]
	}
	return nil
}
