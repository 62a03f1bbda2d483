// Package topk counts the most frequent items of a stream in bounded memory,
// after the Space-Saving algorithm (Metwally, Agrawal, El Abbadi, 2005): an item
// whose share is above 1/size is always among those kept, and its count is too
// high by at most that share.
package topk

import (
	"cmp"
	"slices"
)

// Counter keeps the counts of a bounded number of items in a heap, the least
// frequent first. It is not safe for concurrent use.
type Counter[K cmp.Ordered] struct {
	size  int
	heap  []Item[K]
	index map[K]int // positions in the heap
	total uint64
}

// Item is an item with its count.
type Item[K cmp.Ordered] struct {
	Key   K
	Count uint64
}

// New returns a counter that keeps size items, at least one.
func New[K cmp.Ordered](size int) *Counter[K] {
	size = max(size, 1)
	return &Counter[K]{size: size, index: make(map[K]int, size)}
}

// Add counts an item once. An item that is not kept takes the place and the
// count of the least frequent one.
func (c *Counter[K]) Add(key K) {
	c.total++
	i, ok := c.index[key]
	switch {
	case ok:
	case len(c.heap) < c.size:
		c.heap = append(c.heap, Item[K]{Key: key})
		i = c.rise(len(c.heap) - 1)
	default:
		delete(c.index, c.heap[0].Key)
		c.heap[0].Key = key
		c.index[key] = 0
	}
	c.heap[i].Count++
	c.sink(i)
}

// rise moves a new item up to its place, which it returns.
func (c *Counter[K]) rise(i int) int {
	for i > 0 && c.heap[i].Count < c.heap[(i-1)/2].Count {
		c.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	c.index[c.heap[i].Key] = i
	return i
}

// sink moves an item whose count has grown down to its place.
func (c *Counter[K]) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c.heap); child++ {
			if c.heap[child].Count < c.heap[least].Count {
				least = child
			}
		}
		if least == i {
			return
		}
		c.swap(i, least)
		i = least
	}
}

func (c *Counter[K]) swap(i, j int) {
	c.heap[i], c.heap[j] = c.heap[j], c.heap[i]
	c.index[c.heap[i].Key] = i
	c.index[c.heap[j].Key] = j
}

// Total returns how often Add was called.
func (c *Counter[K]) Total() uint64 { return c.total }

// Top returns up to n items, the most frequent first.
func (c *Counter[K]) Top(n int) []Item[K] {
	out := slices.Clone(c.heap)
	slices.SortFunc(out, func(a, b Item[K]) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(n, len(out))]
}
