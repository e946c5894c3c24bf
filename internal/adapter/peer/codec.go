package peer

import (
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

// maxElements bounds the elements of a message, of which a table copy has most: one for each row. Decoded,
// an empty row takes more than a hundred bytes.
const maxElements = 100_000

// codec is the binary encoding of package connect, but refuses messages with more than maxElements.
type codec struct{}

var _ connect.Codec = codec{}

// Name returns the name of the encoding, which replaces that of package connect.
func (codec) Name() string { return "proto" }

// Marshal encodes a message.
func (c codec) Marshal(m any) ([]byte, error) { return c.MarshalAppend(nil, m) }

// MarshalAppend appends an encoded message to b.
func (codec) MarshalAppend(b []byte, m any) ([]byte, error) {
	message, ok := m.(proto.Message)
	if !ok {
		return nil, errors.Newf("%T is no message", m)
	}
	return proto.MarshalOptions{}.MarshalAppend(b, message)
}

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, m any) error {
	message, ok := m.(proto.Message)
	if !ok {
		return errors.Newf("%T is no message", m)
	}
	if err := readlimit.CheckElements(data, maxElements); err != nil {
		return err
	}
	return proto.Unmarshal(data, message)
}
