// Package topk counts the most frequent items of a stream in bounded memory, with
// the Space-Saving algorithm (Metwally, Agrawal, El Abbadi, 2005): an item that makes
// up more than 1/size of the stream is always kept, and its count exceeds the true
// one by at most 1/size of the stream.
package topk

import (
	"cmp"
	"slices"
)

// Counter keeps the counts of at most size items in a min-heap, with the least
// frequent item on top. It is not safe for concurrent use.
type Counter[K cmp.Ordered] struct {
	size  int
	heap  []Item[K]
	index map[K]int // positions in the heap
	total uint64    // calls of Add
}

// Item is an item with its count.
type Item[K cmp.Ordered] struct {
	Key   K
	Count uint64
}

// New returns a counter that keeps at most size items, or one if size is smaller.
func New[K cmp.Ordered](size int) *Counter[K] {
	size = max(size, 1)
	return &Counter[K]{size: size, index: make(map[K]int, size)}
}

// Add counts one occurrence of an item. When the counter is full, a new item replaces
// the least frequent one and takes over its count.
func (c *Counter[K]) Add(key K) {
	c.total++
	i, ok := c.index[key]
	switch {
	case ok:
	case len(c.heap) < c.size:
		c.heap = append(c.heap, Item[K]{Key: key})
		i = c.siftUp(len(c.heap) - 1)
	default:
		delete(c.index, c.heap[0].Key)
		c.heap[0].Key = key
		c.index[key] = 0
	}
	c.heap[i].Count++
	c.siftDown(i)
}

// siftUp restores the heap order above a new item and returns its position.
func (c *Counter[K]) siftUp(i int) int {
	for i > 0 && c.heap[i].Count < c.heap[(i-1)/2].Count {
		c.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	c.index[c.heap[i].Key] = i
	return i
}

// siftDown restores the heap order below an item whose count has grown.
func (c *Counter[K]) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c.heap); child++ {
			if c.heap[child].Count < c.heap[smallest].Count {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		c.swap(i, smallest)
		i = smallest
	}
}

func (c *Counter[K]) swap(i, j int) {
	c.heap[i], c.heap[j] = c.heap[j], c.heap[i]
	c.index[c.heap[i].Key] = i
	c.index[c.heap[j].Key] = j
}

// Total returns the number of calls of Add.
func (c *Counter[K]) Total() uint64 { return c.total }

// Top returns up to n items, the most frequent first.
func (c *Counter[K]) Top(n int) []Item[K] {
	out := slices.Clone(c.heap)
	slices.SortFunc(out, func(a, b Item[K]) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(n, len(out))]
}
