package forward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func testTarget(n int, zone string) deployment.Target {
	return deployment.Target{ID: fmt.Sprintf("t%d", n), StartMillis: 1, Slots: 3, AvailabilityZone: zone, Status: deployment.Live}
}

// answered plays one request to a target.
func answered(ts *targets, clock *timer.Manual, t deployment.Target, took time.Duration, e ending) {
	e.sentAt = ts.began(t)
	clock.Advance(took)
	e.took = took
	ts.ended(t, e)
}

func good(waiting int) ending {
	return ending{ran: true, good: true, loadKnown: true, load: Load{Running: 3, Waiting: waiting, Slots: 3}}
}

// chosen counts how often each target is chosen.
func chosen(ts *targets, list []deployment.Target, kind deployment.Kind) map[string]int {
	out := make(map[string]int)
	for range 400 {
		if t, ok := ts.choose(choice{list: list, zone: "a", route: &deployment.Route{Kind: kind, Objective: 500 * time.Millisecond}}); ok {
			out[t.ID]++
		}
	}
	return out
}

func TestChoice(t *testing.T) {
	newTest := func() (*targets, *timer.Manual, []deployment.Target) {
		clock := timer.NewManual()
		return newTargets(clock), clock, []deployment.Target{testTarget(1, "a"), testTarget(2, "a")}
	}
	t.Run("a slow target gets less", func(t *testing.T) {
		ts, clock, list := newTest()
		for range 60 {
			answered(ts, clock, list[0], 200*time.Millisecond, good(0))
			answered(ts, clock, list[1], 40*time.Millisecond, good(0))
		}
		n := chosen(ts, list, deployment.Booking)
		assert.Assert(t, n["t1"] < n["t2"]/4, "%v", n)
	})
	t.Run("a target that fails fast attracts nothing", func(t *testing.T) {
		ts, clock, list := newTest()
		for range 60 {
			answered(ts, clock, list[0], time.Millisecond, ending{ran: true})
			answered(ts, clock, list[1], 60*time.Millisecond, good(0))
		}
		n := chosen(ts, list, deployment.Booking)
		assert.Assert(t, n["t1"] <= n["t2"]*3/2, "%v", n)
	})
	t.Run("a target with a queue gets less until it has drained", func(t *testing.T) {
		ts, clock, list := newTest()
		// Both work for 60 ms; one lets 12 others on 3 slots go first.
		answered(ts, clock, list[0], 300*time.Millisecond, good(12))
		answered(ts, clock, list[1], 60*time.Millisecond, good(0))
		n := chosen(ts, list, deployment.Booking)
		assert.Assert(t, n["t1"] < n["t2"]/4, "%v", n)
		clock.Advance(2 * time.Second)
		n = chosen(ts, list, deployment.Booking)
		assert.Assert(t, n["t1"] > n["t2"]/3, "%v", n)
	})
	t.Run("downloads stay in the availability zone", func(t *testing.T) {
		ts, _, _ := newTest()
		n := chosen(ts, []deployment.Target{testTarget(1, "a"), testTarget(2, "b")}, deployment.Download)
		assert.Equal(t, n["t2"], 0)
	})
	t.Run("a target that takes no connections gets nothing for a while", func(t *testing.T) {
		ts, clock, list := newTest()
		for range failuresToOpen {
			answered(ts, clock, list[0], time.Millisecond, ending{failed: true})
		}
		assert.Equal(t, chosen(ts, list, deployment.Booking)["t1"], 0)
		clock.Advance(longestPause)
		assert.Assert(t, chosen(ts, list, deployment.Booking)["t1"] > 0)
	})
	t.Run("a target that lost two answers is still asked", func(t *testing.T) {
		ts, clock, list := newTest()
		for range 2 {
			answered(ts, clock, list[0], time.Millisecond, ending{failed: true, broken: true})
		}
		assert.Assert(t, chosen(ts, list, deployment.Booking)["t1"] > 0)
	})
}

// crowd is many entries that share the targets of a service.
type crowd struct {
	clock   *timer.Manual
	entries []*targets
	list    []deployment.Target
	queues  []int // requests that each target has
}

// longest lets the entries choose for a number of requests, of which none ends,
// and returns how many the busiest target got.
func (c *crowd) longest(requests int, spread bool) int {
	route := &deployment.Route{Kind: deployment.Booking, Objective: time.Second}
	for n := range requests {
		ts := c.entries[n%len(c.entries)]
		if t, ok := ts.choose(choice{list: c.list, zone: "a", route: route, spread: spread}); ok {
			ts.began(t)
			c.queues[slices.IndexFunc(c.list, func(x deployment.Target) bool { return x.ID == t.ID })]++
		}
	}
	return slices.Max(c.queues)
}

// newCrowd returns entries that have each seen a few answers of some targets.
func newCrowd(entries, targetCount int) *crowd {
	c := &crowd{clock: timer.NewManual(), queues: make([]int, targetCount)}
	for i := range targetCount {
		c.list = append(c.list, testTarget(i, "a"))
	}
	for e := range entries {
		ts := newTargets(c.clock)
		for i := e % 3; i < targetCount; i += 3 {
			work := []time.Duration{240, 120, 120, 80}[i%4] * time.Millisecond
			answered(ts, c.clock, c.list[i], work, good(0))
		}
		c.entries = append(c.entries, ts)
	}
	return c
}

// TestManyEntriesSpread lets entries that each know little choose at the same
// time: 200 requests for targets of 3 slots and a queue of 12, 855 places in all.
func TestManyEntriesSpread(t *testing.T) {
	got := newCrowd(53, 57).longest(200, true)
	t.Logf("busiest target: %d requests where they are drawn by lot, %d where the best of all is taken", got, newCrowd(53, 57).longest(200, false))
	assert.Assert(t, got <= 3+12, "one target got %d requests", got)
}

// TestFailingTargetIsAvoided answers targets that keep silent on part of their
// requests while their control calls go well.
func TestFailingTargetIsAvoided(t *testing.T) {
	newTest := func() (*targets, *timer.Manual, []deployment.Target) {
		clock := timer.NewManual()
		ts, list := newTargets(clock), []deployment.Target{testTarget(1, "a"), testTarget(2, "a")}
		for _, x := range list {
			answered(ts, clock, x, 60*time.Millisecond, good(0))
		}
		return ts, clock, list
	}
	t.Run("while a request is overdue there", func(t *testing.T) {
		ts, clock, list := newTest()
		at := ts.began(list[0])
		clock.Advance(leastOverdue)
		assert.Equal(t, chosen(ts, list, deployment.Booking)["t1"], 0)
		ts.ended(list[0], ending{sentAt: at, took: leastOverdue, failed: true})
		assert.Assert(t, chosen(ts, list, deployment.Booking)["t1"] > 0)
	})
	t.Run("an overdue request is reported once", func(t *testing.T) {
		ts, clock, list := newTest()
		at := ts.began(list[0])
		clock.Advance(leastOverdue)
		assert.Equal(t, failures(ts, "t1"), uint32(1))
		ts.ended(list[0], ending{sentAt: at, took: leastOverdue, failed: true})
		assert.Equal(t, failures(ts, "t1"), uint32(0))
	})
	t.Run("while all entries together see it failing", func(t *testing.T) {
		ts, _, list := newTest()
		ts.setFailing([]instance.Failing{{Target: "t1", Share: 0.5}})
		assert.Equal(t, chosen(ts, list, deployment.Booking)["t1"], 0)
		ts.setFailing(nil)
		assert.Assert(t, chosen(ts, list, deployment.Booking)["t1"] > 0)
	})
	t.Run("it is used where there is no other", func(t *testing.T) {
		ts, _, list := newTest()
		ts.setFailing([]instance.Failing{{Target: "t1", Share: 0.5}})
		assert.Assert(t, chosen(ts, list[:1], deployment.Booking)["t1"] > 0)
	})
}

// failures returns how many failures of a target the next report tells.
func failures(ts *targets, id string) uint32 {
	for _, x := range ts.report(func(string) bool { return true }) {
		if x.ID == id {
			return x.Failures
		}
	}
	return 0
}

// TestWindow plays many entries that share one overloaded target: its answers
// make each entry's window shrink to the least, and it opens when they find no
// queue.
func TestWindow(t *testing.T) {
	clock := timer.NewManual()
	ts := newTargets(clock)
	x := testTarget(1, "a")
	for range 40 {
		answered(ts, clock, x, 200*time.Millisecond, good(9))
	}
	ts.began(x)
	_, room := ts.expected(x)
	assert.Assert(t, !room, "a second request at an overloaded target")
	ts.ended(x, good(0))
	for range 10 {
		answered(ts, clock, x, 50*time.Millisecond, good(0))
	}
	ts.began(x)
	_, room = ts.expected(x)
	assert.Assert(t, room)
}

func TestSplitHoldsOverShortSpans(t *testing.T) {
	s := newSplitter()
	r := &deployment.Route{Name: "r", Split: []deployment.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[string]int)
	for range 100 {
		service, ok := s.next(r)
		assert.Assert(t, ok)
		counts[service]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 90, "b": 10})
	none := &deployment.Route{Name: "none", Split: []deployment.Share{{Service: "a"}}}
	_, ok := s.next(none)
	assert.Assert(t, !ok, "a service without weight was chosen")
}
