package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// parse returns the records of a log file and the offset at which the last intact
// one ends. Any bytes after that offset belong to a torn write.
func parse(data []byte) ([][]byte, int, error) {
	var records [][]byte
	offset := 0
	for offset < len(data) {
		payload, ok := frameAt(data, offset)
		if !ok {
			if isTorn(data, offset) {
				return records, offset, nil
			}
			return nil, 0, fmt.Errorf("offset %d: %w", offset, ErrCorrupt)
		}
		records = append(records, payload)
		offset += headerBytes + len(payload)
	}
	return records, offset, nil
}

// frameAt returns the payload of the frame at the offset if it is intact.
func frameAt(data []byte, offset int) ([]byte, bool) {
	length, ok := payloadLength(data, offset)
	if !ok || len(data)-offset-headerBytes < length {
		return nil, false
	}
	payload := data[offset+headerBytes : offset+headerBytes+length]
	sum := binary.LittleEndian.Uint32(data[offset+4:])
	return payload, crc32.Checksum(payload, castagnoli) == sum
}

// payloadLength returns the payload length from the header of the frame at the
// offset, if the header is intact.
func payloadLength(data []byte, offset int) (int, bool) {
	if len(data)-offset < headerBytes {
		return 0, false
	}
	header := data[offset : offset+headerBytes]
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return 0, false
	}
	length := binary.LittleEndian.Uint32(header)
	return int(length), length <= maxPayloadBytes
}

// isTorn reports whether the invalid frame at the offset can be an interrupted
// write: the file ends inside it, or its end is still zeros. Any other frame of
// full length was durable and has been corrupted since.
func isTorn(data []byte, offset int) bool {
	length, ok := payloadLength(data, offset)
	rest := data[offset:]
	if !ok {
		return len(rest) < headerBytes || allZero(rest)
	}
	if len(rest) < headerBytes+length {
		return true
	}
	return len(rest) == headerBytes+length && rest[len(rest)-1] == 0 && allZero(rest[headerBytes+length/2:])
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
