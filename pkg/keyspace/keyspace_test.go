package keyspace_test

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

func ExampleTable_WithRanges() {
	table := keyspace.New(4)
	r := table.Lookup(keyspace.PointOf("palm-oil"))
	r.Owner = keyspace.Owner{Target: "kettle-7", Incarnation: "1"}
	r.Epoch, r.Phase = 12, keyspace.Active
	next, err := table.WithRanges(r)
	fmt.Println(err, next.Lookup(keyspace.PointOf("palm-oil")).Owner.Target, table.Lookup(keyspace.PointOf("palm-oil")).Phase)
	// Output: <nil> kettle-7 unowned
}

// TestRangesCoverKeySpace checks that each point lies in exactly one range, also
// after random splits.
func TestRangesCoverKeySpace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := keyspace.New(rapid.IntRange(0, 50).Draw(t, "ranges"))
		for range rapid.IntRange(0, 20).Draw(t, "splits") {
			if next, err := table.WithSplit(keyspace.Point(rapid.Uint64().Draw(t, "at"))); err == nil {
				table = next
			}
		}
		p := keyspace.Point(rapid.Uint64().Draw(t, "point"))
		containing := 0
		for i := range table.Len() {
			if first, last := table.Span(i); first <= p && p <= last {
				containing++
				assert.Equal(t, table.Lookup(p).Start, first)
			}
		}
		assert.Equal(t, containing, 1)
		_, last := table.Span(table.Len() - 1)
		assert.Equal(t, last, keyspace.Point(math.MaxUint64))
	})
}

func TestErrors(t *testing.T) {
	table := keyspace.New(4)
	t.Run("unknown range", func(t *testing.T) {
		_, err := table.WithRanges(keyspace.Range{Start: 5})
		assert.Assert(t, errors.Is(err, keyspace.ErrNoRange))
	})
	t.Run("split at the start of a range", func(t *testing.T) {
		_, err := table.WithSplit(0)
		assert.Assert(t, errors.Is(err, keyspace.ErrBadSplit))
	})
	t.Run("ranges out of order", func(t *testing.T) {
		_, err := keyspace.FromRanges([]keyspace.Range{{Start: 0}, {Start: 9}, {Start: 3}})
		assert.ErrorContains(t, err, "range 2 starts at 3")
	})
}
