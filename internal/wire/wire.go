// Package wire encodes messages between instances, log records and snapshots as
// MessagePack with snake-case field names.
package wire

import (
	"bytes"
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

// DecodeStrict is like Decode. It also returns an error for a field that the type of v, or
// a type in it, does not have, and for bytes after the value.
func DecodeStrict(data []byte, v any) error {
	r := bytes.NewReader(data)
	d := msgpack.NewDecoder(r)
	d.DisallowUnknownFields(true)
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if n := r.Len(); n > 0 {
		return fmt.Errorf("decode %T: %d bytes after the value", v, n)
	}
	return nil
}
