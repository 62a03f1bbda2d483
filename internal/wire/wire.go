// Package wire encodes the project's own messages, log records and snapshots.
// The codec is MessagePack with snake-case field names.
package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Name is the content subtype that gRPC calls use for this codec.
const Name = "msgpack"

// Encode returns the encoding of v. The types of this project always encode;
// a failure is a fault of the program.
func Encode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// Decode fills v from data.
func Decode(data []byte, v any) error {
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
