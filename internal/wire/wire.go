// Package wire encodes messages between instances, log records and snapshots as
// MessagePack with snake-case field names.
package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Name is the content subtype that gRPC calls use for this codec.
const Name = "msgpack"

// Encode returns the encoding of v. It panics if v cannot be encoded, which is a
// programming error: all types of this project can be.
func Encode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// Decode decodes data into the value that v points to.
func Decode(data []byte, v any) error {
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
