package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func testTarget(n int, zone string) deployment.Target {
	return deployment.Target{ID: fmt.Sprintf("t%d", n), Born: 1, Slots: 3, AvailabilityZone: zone, Status: deployment.Live}
}

// answered plays one request to a target.
func answered(ts *targets, clock *timer.Manual, t deployment.Target, took time.Duration, e ending) {
	ts.began(t)
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
		if t, ok := ts.choose(list, nil, "a", kind); ok {
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
		answered(ts, clock, list[0], 60*time.Millisecond, good(12))
		answered(ts, clock, list[1], time.Millisecond, good(0))
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
