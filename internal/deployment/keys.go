package deployment

import (
	"cmp"
	"slices"
	"sort"
)

// Key is one key of a keyed service's fixed key space.
type Key uint16

const (
	// MaxKey is the last key.
	MaxKey Key = 65535
	// BucketKeys is how many neighbouring keys are counted as one.
	BucketKeys = 1
)

// Phase tells whether a range of the key space can be served.
type Phase uint8

// Phases of a range.
const (
	Unowned   Phase = iota // no target owns it
	Owned                  // Target may be granted it
	Releasing              // its owner is being asked to release it
)

// Range is a run of keys with one owner, both ends included.
type Range struct {
	//lint:ignore U1000 the codec reads the tag: it leaves out field names
	_msgpack struct{} `msgpack:",as_array"`

	From        Key    `msgpack:"from"`
	To          Key    `msgpack:"to"`
	Phase       Phase  `msgpack:"phase"`
	Target      string `msgpack:"target"`
	StartMillis int64  `msgpack:"born"`     // start of the incarnation that owns it
	Fence       uint64 `msgpack:"fence"`    // log index of the assignment
	Handover    string `msgpack:"handover"` // what the last owner left for this one
	Changed     uint64 `msgpack:"changed"`  // log index
}

// Width returns the number of keys in the range.
func (p Range) Width() int { return int(p.To) - int(p.From) + 1 }

// KeyTable is who owns the keys of one service. Its ranges cover all keys in
// order. It is immutable.
type KeyTable struct {
	Service string  `msgpack:"service"`
	Changed uint64  `msgpack:"changed"` // log index
	Ranges  []Range `msgpack:"pieces"`
}

// NewKeyTable returns a table without owners.
func NewKeyTable(service string, index uint64) KeyTable {
	return KeyTable{Service: service, Changed: index, Ranges: []Range{{From: 0, To: MaxKey, Changed: index}}}
}

// Find returns the range that has the key.
func (t KeyTable) Find(k Key) Range {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= k })
	return t.Ranges[i]
}

// withRange replaces the keys of p, which lie in one range, and keeps the rest.
func (t KeyTable) withRange(index uint64, p Range) KeyTable {
	p.Changed = index
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= p.From })
	old := t.Ranges[i]
	var parts []Range
	if old.From < p.From {
		left := old
		left.To = p.From - 1
		parts = append(parts, left)
	}
	parts = append(parts, p)
	if old.To > p.To {
		right := old
		right.From = p.To + 1
		parts = append(parts, right)
	}
	t.Ranges = slices.Concat(t.Ranges[:i], parts, t.Ranges[i+1:])
	t.Changed = index
	return t
}

// Since returns the ranges that changed after a log index.
func (t KeyTable) Since(index uint64) KeyTable {
	var out []Range
	for _, p := range t.Ranges {
		if p.Changed > index {
			out = append(out, p)
		}
	}
	t.Ranges = out
	return t
}

// WithUpdate returns the table after an update that Since gave: its ranges
// replace whatever the table had for their keys.
func (t KeyTable) WithUpdate(u KeyTable) KeyTable {
	next := KeyTable{Service: t.Service, Changed: u.Changed}
	for _, p := range t.Ranges {
		next.Ranges = append(next.Ranges, uncovered(p, u.Ranges)...)
	}
	next.Ranges = append(next.Ranges, u.Ranges...)
	slices.SortFunc(next.Ranges, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	return next
}

// uncovered returns the parts of a range whose keys none of the others have. The
// others are in order of their keys.
func uncovered(p Range, others []Range) []Range {
	var out []Range
	from := int(p.From)
	for _, o := range others {
		if int(o.To) < from || o.From > p.To {
			continue
		}
		if int(o.From) > from {
			part := p
			part.From, part.To = Key(from), o.From-1
			out = append(out, part)
		}
		from = int(o.To) + 1
	}
	if from <= int(p.To) {
		p.From = Key(from)
		out = append(out, p)
	}
	return out
}

// covers reports whether the keys lie in one range with the fence.
func (t KeyTable) covers(from, to Key, fence uint64) bool {
	if from > to {
		return false
	}
	p := t.Find(from)
	return p.To >= to && p.Fence == fence
}
