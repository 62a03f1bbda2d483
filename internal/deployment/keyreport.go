package deployment

import "slices"

// KeyReport is what a target says of its keys in a heartbeat.
type KeyReport struct {
	Held     []HeldRange     `msgpack:"held"`
	Released []ReleasedRange `msgpack:"released"`
}

// HeldRange is a range of keys that a target holds, or on which it still works. Both
// ends are included.
type HeldRange struct {
	From  Key    `msgpack:"from"`
	To    Key    `msgpack:"to"`
	Fence uint64 `msgpack:"fence"`
}

// ReleasedRange is a range of keys that a target has released, with the data that it
// hands over to their next owner.
type ReleasedRange struct {
	From     Key    `msgpack:"from"`
	To       Key    `msgpack:"to"`
	Handover string `msgpack:"handover"`
}

// KeyLeases is what the leader answers to a heartbeat: all keys that the target is to
// hold. The target releases every other key.
type KeyLeases struct {
	Ranges []LeasedRange `msgpack:"ranges"`
	// Millis is the duration of the leases in milliseconds, from the time at which the
	// heartbeat was sent.
	Millis int64 `msgpack:"millis"`
}

// LeasedRange is a range of keys that a target is to hold. Handover is empty unless the
// target is to take over data of the previous owner.
type LeasedRange struct {
	From     Key    `msgpack:"from"`
	To       Key    `msgpack:"to"`
	Fence    uint64 `msgpack:"fence"`
	Handover string `msgpack:"handover,omitempty"`
}

// Holding tells how much of a range a target reports to hold.
type Holding uint8

// Values of Holding.
const (
	HoldsNothing Holding = iota
	HoldsSome
	HoldsAll
)

// Holding returns how much of the keys [from, to] the target holds under the fence.
func (k KeyReport) Holding(from, to Key, fence uint64) Holding {
	held := 0
	for _, h := range k.Held {
		if h.Fence == fence && h.From <= to && from <= h.To {
			held += int(min(h.To, to)) - int(max(h.From, from)) + 1
		}
	}
	switch {
	case held == 0:
		return HoldsNothing
	case held > int(to)-int(from):
		return HoldsAll
	}
	return HoldsSome
}

// Handover returns the data handed over for the keys [from, to], and whether the target
// has released all of them. Keys that were released in several parts have none, since
// each part has its own data.
func (k KeyReport) Handover(from, to Key) (string, bool) {
	released := 0
	for _, r := range k.Released {
		if r.From <= from && to <= r.To {
			return r.Handover, true
		}
		if r.From <= to && from <= r.To {
			released += int(min(r.To, to)) - int(max(r.From, from)) + 1
		}
	}
	return "", released > int(to)-int(from)
}

// Valid reports whether no range is reversed and no two overlap within either list.
func (k KeyReport) Valid() bool {
	return disjoint(k.Held, func(h HeldRange) (Key, Key) { return h.From, h.To }) &&
		disjoint(k.Released, func(r ReleasedRange) (Key, Key) { return r.From, r.To })
}

// disjoint reports whether all items are ranges of which no two overlap.
func disjoint[T any](items []T, ends func(T) (from, to Key)) bool {
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, func(a, b T) int {
		x, _ := ends(a)
		y, _ := ends(b)
		return int(x) - int(y)
	})
	next := 0
	for _, item := range sorted {
		from, to := ends(item)
		if int(from) < next || from > to {
			return false
		}
		next = int(to) + 1
	}
	return true
}
