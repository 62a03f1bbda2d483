package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// addLoad adds one second of load on a key, as an entry reports it.
func (sim *simulation) addLoad(p keyspace.Point, count uint64) {
	keys, _ := sim.state.Table("stock")
	start := keys.Lookup(p).Start
	sim.leader.Loads = sim.leader.Loads.WithReport([]control.ServiceLoad{{
		Service: "stock",
		Ranges:  []control.PointCount{{Point: start, Count: count}},
		Keys:    []control.PointCount{{Point: p, Count: count}},
	}})
}

// addEvenLoad adds the same load to every range.
func (sim *simulation) addEvenLoad(count uint64) {
	keys, _ := sim.state.Table("stock")
	for _, r := range keys.All() {
		sim.addLoad(r.Start+1, count)
	}
}

// settleFor applies plans for the duration while targets send heartbeats and confirm
// their grants.
func (sim *simulation) settleFor(d time.Duration) {
	sim.t.Helper()
	for end := sim.leader.Now.Add(d); sim.leader.Now < end; {
		sim.settle()
	}
}

func (sim *simulation) rangeCount() int {
	keys, _ := sim.state.Table("stock")
	return keys.Len()
}

func TestBalanceByLoad(t *testing.T) {
	newThreeTargets := func(extra string) *simulation {
		return newSimulation(t, extra, target("a", true), target("b", true), target("c", true))
	}
	t.Run("even load moves nothing", func(t *testing.T) {
		sim := newThreeTargets("")
		before := sim.state.Version()
		sim.addEvenLoad(300)
		sim.settleFor(20 * time.Second)
		assert.Equal(t, sim.state.Version(), before)
	})
	t.Run("a hot key gets its own range and its owner loses others", func(t *testing.T) {
		sim := newThreeTargets("")
		sim.addEvenLoad(100)
		hot := keyspace.PointOf("stock/hot")
		sim.addLoad(hot, 5000)
		before := sim.rangeCount()
		sim.settleFor(40 * time.Second)
		keys, _ := sim.state.Table("stock")
		owned := keys.Lookup(hot)
		assert.Equal(t, owned.Start, hot)
		assert.Equal(t, sim.rangeCount(), before+2)
		others := sim.countPhases(owned.Owner.Target)[keyspace.Active] - 1
		assert.Assert(t, others <= 2, "the hot key's owner still has %d other ranges", others)
	})
	t.Run("no more than the configured moves a minute", func(t *testing.T) {
		sim := newThreeTargets("moves_a_minute = 6\n")
		x := target("d", true)
		sim.announce(x)
		moved := 0
		last := sim.countPhases("d")[keyspace.Active]
		sim.settleFor(20 * time.Second)
		moved = sim.countPhases("d")[keyspace.Active] - last
		assert.Assert(t, moved >= 1 && moved <= 3, "%d ranges moved in 20 s", moved)
	})
	t.Run("no moves if moves_a_minute is 0", func(t *testing.T) {
		sim := newThreeTargets("moves_a_minute = 0\n")
		sim.announce(target("d", true))
		sim.settleFor(20 * time.Second)
		assert.Equal(t, sim.countPhases("d")[keyspace.Active], 0)
	})
}
