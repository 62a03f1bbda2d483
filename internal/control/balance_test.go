package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// ask adds load on a key, as one entry reports it for a second.
func (w *world) ask(p keyspace.Point, count uint64) {
	keys, _ := w.state.Table("stock")
	start := keys.Lookup(p).Start
	w.view.Loads = w.view.Loads.WithReport([]control.ServiceLoad{{
		Service: "stock",
		Ranges:  []control.PointCount{{Point: start, Count: count}},
		Keys:    []control.PointCount{{Point: p, Count: count}},
	}})
}

// askEvenly loads every range alike.
func (w *world) askEvenly(count uint64) {
	keys, _ := w.state.Table("stock")
	for _, r := range keys.All() {
		w.ask(r.Start+1, count)
	}
}

// balance plans for a time, in which targets beat and confirm.
func (w *world) balance(d time.Duration) {
	w.t.Helper()
	for end := w.view.Now.Add(d); w.view.Now < end; {
		w.settle()
	}
}

func (w *world) lenRanges() int {
	keys, _ := w.state.Table("stock")
	return keys.Len()
}

func TestBalanceByLoad(t *testing.T) {
	three := func(extra string) *world {
		return newWorld(t, extra, target("a", true), target("b", true), target("c", true))
	}
	t.Run("even load moves nothing", func(t *testing.T) {
		w := three("")
		before := w.state.Version()
		w.askEvenly(300)
		w.balance(20 * time.Second)
		assert.Equal(t, w.state.Version(), before)
	})
	t.Run("a hot key gets a range of its own and its owner loses others", func(t *testing.T) {
		w := three("")
		w.askEvenly(100)
		hot := keyspace.PointOf("stock/hot")
		w.ask(hot, 5000)
		before := w.lenRanges()
		w.balance(40 * time.Second)
		keys, _ := w.state.Table("stock")
		owned := keys.Lookup(hot)
		assert.Equal(t, owned.Start, hot)
		assert.Equal(t, w.lenRanges(), before+2)
		others := w.phases(owned.Owner.Target)[keyspace.Active] - 1
		assert.Assert(t, others <= 2, "the hot key's owner still has %d other ranges", others)
	})
	t.Run("no more than the text's moves a minute", func(t *testing.T) {
		w := three("moves_a_minute = 6\n")
		x := target("d", true)
		w.announce(x)
		moved := 0
		last := w.phases("d")[keyspace.Active]
		w.balance(20 * time.Second)
		moved = w.phases("d")[keyspace.Active] - last
		assert.Assert(t, moved >= 1 && moved <= 3, "%d ranges moved in 20 s", moved)
	})
	t.Run("no moves at all", func(t *testing.T) {
		w := three("moves_a_minute = 0\n")
		w.announce(target("d", true))
		w.balance(20 * time.Second)
		assert.Equal(t, w.phases("d")[keyspace.Active], 0)
	})
}
