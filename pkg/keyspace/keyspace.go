// Package keyspace maps keys to points of a 64-bit space and ranges of points
// to their owners. A Table is immutable: each With method returns a new one.
// The cost of a table depends on its number of ranges, not on the keys in use.
package keyspace

import (
	"errors"
	"fmt"
	"iter"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Sentinel errors of this package.
var (
	ErrNoRange  = errors.New("no range starts at this point")
	ErrBadSplit = errors.New("a range already starts at the split point")
)

// Point is a position in the key space.
type Point uint64

// PointOf returns the point of a key: its 64-bit xxHash.
func PointOf(key string) Point { return Point(xxhash.Sum64String(key)) }

// Phase is the state of a range's ownership.
type Phase uint8

// Phases of a range.
const (
	Unowned  Phase = iota // has no owner
	Assigned              // has an owner that hasn't confirmed its grant yet
	Active                // has an owner that has confirmed its grant
	Revoking              // the last owner may still run requests
)

// String returns the phase's name in lower case, or phase_N for an unknown one.
func (p Phase) String() string {
	names := [...]string{"unowned", "assigned", "active", "revoking"}
	if int(p) >= len(names) {
		return fmt.Sprintf("phase_%d", uint8(p))
	}
	return names[p]
}

// Owner is one incarnation of a target: a single run of its process.
type Owner struct {
	Target      string `msgpack:"target" json:"target"`
	Incarnation string `msgpack:"incarnation" json:"incarnation"`
}

// Range is a run of neighbouring points that share one owner and phase. It ends
// before the next range's Start.
type Range struct {
	Start Point `msgpack:"start" json:"start"`
	Owner Owner `msgpack:"owner" json:"owner"`
	// Epoch is the log index of the last change of ownership.
	Epoch uint64 `msgpack:"epoch" json:"epoch"`
	Phase Phase  `msgpack:"phase" json:"phase"`
	// Changed is the log index of the last change of any of these fields.
	Changed uint64 `msgpack:"changed" json:"changed"`
}

// Table is an immutable, ordered list of ranges that covers the key space.
type Table struct {
	ranges []Range
}

// New returns a table of n unowned ranges of equal size, but at least one.
func New(n int) Table {
	n = max(n, 1)
	step := math.MaxUint64/uint64(n) + 1
	if n == 1 {
		step = 0
	}
	ranges := make([]Range, n)
	for i := range ranges {
		ranges[i].Start = Point(uint64(i) * step)
	}
	return Table{ranges: ranges}
}

// FromRanges returns a table of the ranges. It returns an error unless they are in
// ascending order and the first one starts at point zero.
func FromRanges(ranges []Range) (Table, error) {
	if len(ranges) == 0 || ranges[0].Start != 0 {
		return Table{}, fmt.Errorf("first range must start at 0: %w", ErrNoRange)
	}
	for i := 1; i < len(ranges); i++ {
		if ranges[i].Start <= ranges[i-1].Start {
			return Table{}, fmt.Errorf("range %d starts at %d, not after %d", i, ranges[i].Start, ranges[i-1].Start)
		}
	}
	return Table{ranges: slices.Clone(ranges)}, nil
}

// Len returns the number of ranges.
func (t Table) Len() int { return len(t.ranges) }

// Ranges returns a copy of the ranges.
func (t Table) Ranges() []Range { return slices.Clone(t.ranges) }

// All iterates over the ranges with their positions, without copying them.
func (t Table) All() iter.Seq2[int, Range] { return slices.All(t.ranges) }

// At returns the range with the given position in the table.
func (t Table) At(i int) Range { return t.ranges[i] }

// Lookup returns the range that contains the point. The table must not be empty.
func (t Table) Lookup(p Point) Range {
	i := sort.Search(len(t.ranges), func(i int) bool { return t.ranges[i].Start > p })
	return t.ranges[i-1]
}

// Find returns the range that starts at the point, or ErrNoRange.
func (t Table) Find(start Point) (Range, error) {
	i, ok := t.index(start)
	if !ok {
		return Range{}, fmt.Errorf("point %d: %w", start, ErrNoRange)
	}
	return t.ranges[i], nil
}

// Span returns the first and the last point of the range at position i.
func (t Table) Span(i int) (Point, Point) {
	if i+1 == len(t.ranges) {
		return t.ranges[i].Start, math.MaxUint64
	}
	return t.ranges[i].Start, t.ranges[i+1].Start - 1
}

// WithRanges returns a table in which each given range replaces the one with the
// same start. It returns ErrNoRange if there is none.
func (t Table) WithRanges(changed ...Range) (Table, error) {
	ranges := slices.Clone(t.ranges)
	for _, r := range changed {
		i, ok := t.index(r.Start)
		if !ok {
			return t, fmt.Errorf("point %d: %w", r.Start, ErrNoRange)
		}
		ranges[i] = r
	}
	return Table{ranges: ranges}, nil
}

// WithSplit returns a table in which the range that contains the point is split in
// two, the second of which starts at the point. Both halves keep all other fields.
// It returns ErrBadSplit if a range already starts at the point.
func (t Table) WithSplit(at Point) (Table, error) {
	r := t.Lookup(at)
	if r.Start == at {
		return t, fmt.Errorf("point %d: %w", at, ErrBadSplit)
	}
	i, _ := t.index(r.Start)
	r.Start = at
	return Table{ranges: slices.Insert(slices.Clone(t.ranges), i+1, r)}, nil
}

// index returns the position of the range that starts at the point.
func (t Table) index(start Point) (int, bool) {
	return sort.Find(len(t.ranges), func(i int) int {
		switch r := t.ranges[i]; {
		case start < r.Start:
			return -1
		case start > r.Start:
			return 1
		default:
			return 0
		}
	})
}
