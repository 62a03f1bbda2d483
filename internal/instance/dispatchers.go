package instance

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// NoDispatchers is the version of the list of dispatchers of an entry that has none.
const NoDispatchers = 1

// DispatcherZone lists the dispatchers of an availability zone. Their addresses are packed,
// since every entry gets the whole list after each change.
type DispatcherZone struct {
	Zone      string   `msgpack:"zone"`
	Addresses [][]byte `msgpack:"addresses"` // binary netip.AddrPort, sorted
}

// PackAddress returns the binary form of an address for DispatcherZone. It returns false for
// an invalid one.
func PackAddress(address string) ([]byte, bool) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, false
	}
	out, err := a.MarshalBinary()
	return out, err == nil
}

// UnpackAddress reverses PackAddress.
func UnpackAddress(packed []byte) (string, bool) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(packed); err != nil || !a.IsValid() {
		return "", false
	}
	return a.String(), true
}

// DispatchersVersion returns the version of a list, which depends on its content only, so
// that it survives a change of the leader. It is above NoDispatchers.
func DispatchersVersion(list []DispatcherZone) uint64 {
	h := fnv.New64a()
	write := func(data []byte) {
		// Writing to a hash never fails.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(data))))
		_, _ = h.Write(data)
	}
	for _, z := range list {
		write([]byte(z.Zone))
		for _, a := range z.Addresses {
			write(a)
		}
	}
	return max(h.Sum64(), NoDispatchers+1)
}

// WithoutKnownDispatchers returns the response without the list of dispatchers if the entry
// has it already or needs none. The version is that in the entry's report.
func (r ReportResponse) WithoutKnownDispatchers(version uint64) ReportResponse {
	if version == 0 || version == r.DispatchersVersion {
		r.Dispatchers = nil
	}
	return r
}
