package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
)

func keyed(service string) bool { return service == "keyed" }

// fleet returns 71 unkeyed and 83 keyed targets and 62 entries in four zones.
func fleet() (targets []deployment.Target, entries []dispatch.Entry) {
	for i := range 154 {
		t := deployment.Target{ID: fmt.Sprint("t", i), Service: "plain", AvailabilityZone: fmt.Sprint("z", i%4)}
		if i >= 71 {
			t.Service = "keyed"
		}
		targets = append(targets, t)
	}
	for i := range 62 {
		entries = append(entries, dispatch.Entry{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%4)})
	}
	return targets, entries
}

// moved returns how many targets have another dispatcher.
func moved(a, b dispatch.Assignment, targets []deployment.Target) int {
	n := 0
	for _, t := range targets {
		x, okX := a.PoolOf(t.ID)
		y, okY := b.PoolOf(t.ID)
		if okX && okY && x.Dispatcher != y.Dispatcher {
			n++
		}
	}
	return n
}

func TestAssign(t *testing.T) {
	targets, entries := fleet()
	before := dispatch.Assign(targets, entries, keyed)
	t.Run("pools have about eight targets of a zone and a dispatcher there", func(t *testing.T) {
		for _, p := range before.Pools() {
			assert.Equal(t, p.Dispatcher.Zone, p.Zone)
			if p.Keyed {
				assert.Equal(t, len(p.Targets), 1)
			} else {
				assert.Assert(t, len(p.Targets) >= 5 && len(p.Targets) <= 12, "%s has %d", p.ID, len(p.Targets))
			}
		}
		assert.Equal(t, len(before.PoolsIn("plain", "z1")), 2)
		assert.Equal(t, len(before.PoolsIn("keyed", "z1")), 21)
	})
	t.Run("the order of the arguments does not matter", func(t *testing.T) {
		targets, entries := slices.Clone(targets), slices.Clone(entries)
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		assert.DeepEqual(t, dispatch.Assign(targets, entries, keyed).Pools(), before.Pools())
	})
	t.Run("an entry that ends moves only its own pools", func(t *testing.T) {
		for i, gone := range entries {
			after := dispatch.Assign(targets, slices.Delete(slices.Clone(entries), i, i+1), keyed)
			for j, p := range before.Pools() {
				assert.Assert(t, p.Dispatcher == gone || p.Dispatcher == after.Pools()[j].Dispatcher)
			}
		}
	})
	t.Run("a target that ends moves few others", func(t *testing.T) {
		sum := 0
		for i := range targets {
			sum += moved(before, dispatch.Assign(slices.Delete(slices.Clone(targets), i, i+1), entries, keyed), targets)
		}
		assert.Assert(t, sum <= len(targets), "%d moves for %d changes", sum, len(targets))
	})
	t.Run("entries of other zones only where a zone has none", func(t *testing.T) {
		entries := slices.DeleteFunc(slices.Clone(entries), func(e dispatch.Entry) bool { return e.Zone == "z1" })
		for _, p := range dispatch.Assign(targets, entries, keyed).Pools() {
			assert.Assert(t, p.Dispatcher.ID != "" && (p.Dispatcher.Zone == p.Zone) == (p.Zone != "z1"))
		}
	})
	t.Run("an entry chooses among a few pools", func(t *testing.T) {
		var many []deployment.Target
		for i := range 400 {
			many = append(many, deployment.Target{ID: fmt.Sprint("t", i), Service: "plain"})
		}
		a, chosen := dispatch.Assign(many, entries, keyed), make(map[string]int)
		for _, e := range entries {
			preferred := a.Preferred(e.ID, "plain", "")
			assert.Equal(t, len(preferred), 4)
			for _, p := range preferred {
				chosen[p.ID]++
			}
		}
		assert.Assert(t, len(chosen) > 45, "%d of 50 pools are chosen", len(chosen))
		assert.Equal(t, len(before.Preferred("e1", "plain", "z1")), 2)
	})
	t.Run("no entry", func(t *testing.T) {
		p, ok := dispatch.Assign(targets, nil, keyed).PoolOf("t0")
		assert.Assert(t, ok && p.Dispatcher.ID == "")
	})
}
