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

// Phase tells whether a piece of the key space can be served.
type Phase uint8

// Phases of a piece.
const (
	Free   Phase = iota // nobody holds it
	Held                // Target may be granted it
	Moving              // its holder is being asked to release it
)

// Piece is a run of keys with one holder, both ends included.
type Piece struct {
	//lint:ignore U1000 the codec reads the tag: it leaves out field names
	_msgpack struct{} `msgpack:",as_array"`

	From     Key    `msgpack:"from"`
	To       Key    `msgpack:"to"`
	Phase    Phase  `msgpack:"phase"`
	Target   string `msgpack:"target"`
	Born     int64  `msgpack:"born"`     // life of the target that holds it
	Fence    uint64 `msgpack:"fence"`    // log index of the assignment
	Handover string `msgpack:"handover"` // what the last holder left for this one
	Changed  uint64 `msgpack:"changed"`  // log index
}

// Width returns the number of keys in the piece.
func (p Piece) Width() int { return int(p.To) - int(p.From) + 1 }

// KeyTable is who holds the keys of one service. Its pieces cover all keys in
// order. It is immutable.
type KeyTable struct {
	Service string  `msgpack:"service"`
	Changed uint64  `msgpack:"changed"` // log index
	Pieces  []Piece `msgpack:"pieces"`
}

// NewKeyTable returns a table without holders.
func NewKeyTable(service string, index uint64) KeyTable {
	return KeyTable{Service: service, Changed: index, Pieces: []Piece{{From: 0, To: MaxKey, Changed: index}}}
}

// Find returns the piece that has the key.
func (t KeyTable) Find(k Key) Piece {
	i := sort.Search(len(t.Pieces), func(i int) bool { return t.Pieces[i].To >= k })
	return t.Pieces[i]
}

// withPiece replaces the keys of p, which lie in one piece, and keeps the rest.
func (t KeyTable) withPiece(index uint64, p Piece) KeyTable {
	p.Changed = index
	i := sort.Search(len(t.Pieces), func(i int) bool { return t.Pieces[i].To >= p.From })
	old := t.Pieces[i]
	var parts []Piece
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
	t.Pieces = slices.Concat(t.Pieces[:i], parts, t.Pieces[i+1:])
	t.Changed = index
	return t
}

// Since returns the pieces that changed after a log index.
func (t KeyTable) Since(index uint64) KeyTable {
	var out []Piece
	for _, p := range t.Pieces {
		if p.Changed > index {
			out = append(out, p)
		}
	}
	t.Pieces = out
	return t
}

// WithUpdate returns the table after an update that Since gave: its pieces
// replace whatever the table had for their keys.
func (t KeyTable) WithUpdate(u KeyTable) KeyTable {
	next := KeyTable{Service: t.Service, Changed: u.Changed}
	for _, p := range t.Pieces {
		next.Pieces = append(next.Pieces, uncovered(p, u.Pieces)...)
	}
	next.Pieces = append(next.Pieces, u.Pieces...)
	slices.SortFunc(next.Pieces, func(a, b Piece) int { return cmp.Compare(a.From, b.From) })
	return next
}

// uncovered returns the parts of a piece whose keys none of the others have. The
// others are in order of their keys.
func uncovered(p Piece, others []Piece) []Piece {
	var out []Piece
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

// covers reports whether the keys lie in one piece with the fence.
func (t KeyTable) covers(from, to Key, fence uint64) bool {
	if from > to {
		return false
	}
	p := t.Find(from)
	return p.To >= to && p.Fence == fence
}
