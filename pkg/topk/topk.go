// Package topk counts the most frequent items of a stream in bounded memory,
// after the Space-Saving algorithm (Metwally, Agrawal, El Abbadi, 2005): an item
// whose share is above 1/size is always among those kept, and its count is too
// high by at most that share.
package topk

import (
	"cmp"
	"slices"
)

// Counter keeps the counts of a bounded number of items. It is not safe for
// concurrent use.
type Counter[K cmp.Ordered] struct {
	size   int
	counts map[K]uint64
	total  uint64
}

// Item is an item with its count.
type Item[K cmp.Ordered] struct {
	Key   K
	Count uint64
}

// New returns a counter that keeps size items, at least one.
func New[K cmp.Ordered](size int) *Counter[K] {
	size = max(size, 1)
	return &Counter[K]{size: size, counts: make(map[K]uint64, size)}
}

// Add counts an item once. An item that is not kept takes the place and the
// count of the least frequent one.
func (c *Counter[K]) Add(key K) {
	c.total++
	if _, ok := c.counts[key]; ok || len(c.counts) < c.size {
		c.counts[key]++
		return
	}
	least, count := c.least()
	delete(c.counts, least)
	c.counts[key] = count + 1
}

func (c *Counter[K]) least() (K, uint64) {
	var best K
	var count uint64
	first := true
	for key, n := range c.counts {
		if first || n < count || (n == count && key < best) {
			best, count, first = key, n, false
		}
	}
	return best, count
}

// Total returns how often Add was called.
func (c *Counter[K]) Total() uint64 { return c.total }

// Top returns up to n items, the most frequent first.
func (c *Counter[K]) Top(n int) []Item[K] {
	out := make([]Item[K], 0, len(c.counts))
	for key, count := range c.counts {
		out = append(out, Item[K]{Key: key, Count: count})
	}
	slices.SortFunc(out, func(a, b Item[K]) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(n, len(out))]
}
