package topk_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/pkg/topk"
)

func ExampleCounter() {
	c := topk.New[string](2)
	for _, key := range []string{"oil", "salt", "oil", "chips", "oil"} {
		c.Add(key)
	}
	fmt.Println(c.Top(1)[0].Key, c.Total())
	// Output: oil 5
}

// TestFrequentItemsAreKept checks on random streams that every frequent item is kept
// and that its count is within the algorithm's error bound.
func TestFrequentItemsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 10).Draw(t, "size")
		stream := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 200).Draw(t, "stream")
		c := topk.New[int](size)
		exact := make(map[int]uint64)
		for _, key := range stream {
			c.Add(key)
			exact[key]++
		}
		kept := make(map[int]uint64)
		for _, x := range c.Top(size) {
			kept[x.Key] = x.Count
		}
		bound := uint64(len(stream) / size)
		for key, n := range exact {
			if n > bound {
				assert.Assert(t, kept[key] >= n && kept[key] <= n+bound, "item %d: %d counted as %d", key, n, kept[key])
			}
		}
	})
}
