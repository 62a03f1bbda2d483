package deployment

import (
	"cmp"
	"slices"
	"sort"
)

// Key is a key of a keyed service, in a key space of fixed size.
type Key uint16

const (
	// MaxKey is the last key.
	MaxKey Key = 65535
	// KeysPerBucket is the number of neighbouring keys whose load is counted
	// together. With 1, each key is counted by itself.
	KeysPerBucket = 1
)

// Phase is the ownership state of a range.
type Phase uint8

// Phases of a range.
const (
	Unowned   Phase = iota // no target owns it
	Owned                  // Target owns the range and is sent grants
	Releasing              // its owner is asked to release it and gets no more grants
)

// Range is a run of neighbouring keys with one owner under one fence, or without an
// owner. Both ends are included.
type Range struct {
	//lint:ignore U1000 the codec reads the tag and leaves out field names
	_msgpack struct{} `msgpack:",as_array"`

	From        Key    `msgpack:"from"`
	To          Key    `msgpack:"to"`
	Phase       Phase  `msgpack:"phase"`
	Target      string `msgpack:"target"`
	StartMillis int64  `msgpack:"born"` // of the owner's incarnation
	// Fence is the log index of the last assignment. Its counterpart
	// keyspace.Range.Epoch also changes when a range is revoked.
	Fence    uint64 `msgpack:"fence"`
	Handover string `msgpack:"handover"` // data that the previous owner handed over
	Changed  uint64 `msgpack:"changed"`  // log index of the last change
	// OwnerSequence is the sequence of the owner's last heartbeat that was known when
	// the range was assigned. Earlier heartbeats say nothing of this fence.
	OwnerSequence uint64 `msgpack:"owner_sequence"`
}

// Width returns the number of keys in the range.
func (r Range) Width() int { return int(r.To) - int(r.From) + 1 }

// KeyTable maps the keys of one service to their owners. Its ranges cover all keys
// in order. It is immutable.
type KeyTable struct {
	Service string  `msgpack:"service"`
	Changed uint64  `msgpack:"changed"` // log index of the last change
	Ranges  []Range `msgpack:"pieces"`
}

// NewKeyTable returns a table whose keys have no owner.
func NewKeyTable(service string, index uint64) KeyTable {
	return KeyTable{Service: service, Changed: index, Ranges: []Range{{From: 0, To: MaxKey, Changed: index}}}
}

// Find returns the range that contains the key.
func (t KeyTable) Find(k Key) Range {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= k })
	return t.Ranges[i]
}

// withRange replaces the keys of r, which must lie in one range of the table, and
// splits that range where needed.
func (t KeyTable) withRange(index uint64, r Range) KeyTable {
	r.Changed = index
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= r.From })
	old := t.Ranges[i]
	var parts []Range
	if old.From < r.From {
		left := old
		left.To = r.From - 1
		parts = append(parts, left)
	}
	parts = append(parts, r)
	if old.To > r.To {
		right := old
		right.From = r.To + 1
		parts = append(parts, right)
	}
	t.Ranges = slices.Concat(t.Ranges[:i], parts, t.Ranges[i+1:])
	t.Changed = index
	return t
}

// merged returns the table with neighbouring ranges as one that the command at the log index
// assigned to the same target.
func (t KeyTable) merged(index uint64) KeyTable {
	ranges := make([]Range, 0, len(t.Ranges))
	for _, r := range t.Ranges {
		if last := len(ranges) - 1; last >= 0 && r.Phase == Owned && r.Fence == index && joins(ranges[last], r) {
			ranges[last].To = r.To
			continue
		}
		ranges = append(ranges, r)
	}
	t.Ranges = ranges
	return t
}

// joins reports whether two neighbouring ranges differ in nothing but their keys.
func joins(a, b Range) bool {
	a.From, a.To = b.From, b.To
	return a == b
}

// ChangedSince returns a table with only the ranges that changed after a log index.
func (t KeyTable) ChangedSince(index uint64) KeyTable {
	var out []Range
	for _, r := range t.Ranges {
		if r.Changed > index {
			out = append(out, r)
		}
	}
	t.Ranges = out
	return t
}

// WithUpdate returns the table after an update by ChangedSince: the ranges of the
// update replace the keys that they cover.
func (t KeyTable) WithUpdate(update KeyTable) KeyTable {
	next := KeyTable{Service: t.Service, Changed: update.Changed}
	for _, r := range t.Ranges {
		next.Ranges = append(next.Ranges, subtract(r, update.Ranges)...)
	}
	next.Ranges = append(next.Ranges, update.Ranges...)
	slices.SortFunc(next.Ranges, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	return next
}

// subtract returns the parts of r that are in none of the other ranges, which are
// sorted by key.
func subtract(r Range, others []Range) []Range {
	var out []Range
	from := int(r.From)
	for _, other := range others {
		if int(other.To) < from || other.From > r.To {
			continue
		}
		if int(other.From) > from {
			part := r
			part.From, part.To = Key(from), other.From-1
			out = append(out, part)
		}
		from = int(other.To) + 1
	}
	if from <= int(r.To) {
		r.From = Key(from)
		out = append(out, r)
	}
	return out
}

// covers reports whether one range with the fence contains all keys in [from, to].
func (t KeyTable) covers(from, to Key, fence uint64) bool {
	if from > to {
		return false
	}
	r := t.Find(from)
	return r.To >= to && r.Fence == fence
}
