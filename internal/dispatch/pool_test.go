package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const testStart = timer.Instant(time.Second)

func id(n int) dispatch.RequestID { return dispatch.RequestID{Entry: "e", Number: uint64(n)} }

func infos(slots int, ids ...string) []dispatch.TargetInfo {
	var out []dispatch.TargetInfo
	for _, id := range ids {
		out = append(out, dispatch.TargetInfo{Target: deployment.Target{ID: id, Slots: slots, Status: deployment.Live}})
	}
	return out
}

func newPool(slots int, ids ...string) *dispatch.Pool {
	p := dispatch.NewPool(dispatch.Config{})
	p.Update(dispatch.TargetsChanged{At: testStart, Targets: infos(slots, ids...)})
	return p
}

// request returns a request of priority 1 with an objective of 1 s and a timeout of 2 s.
func request(n int) dispatch.Requested {
	return dispatch.Requested{At: testStart, ID: id(n), Priority: 1, Objective: time.Second, Timeout: 2 * time.Second, Left: 2 * time.Second}
}

func ended(n int, target string, outcome dispatch.Outcome) dispatch.Ended {
	return dispatch.Ended{At: testStart, ID: id(n), Target: target, Outcome: outcome, Took: 60 * time.Millisecond}
}

// update returns the decisions as text, such as "1 to a (free_slot)".
func update(p *dispatch.Pool, event dispatch.Event) []string {
	out := []string{}
	for _, effect := range p.Update(event) {
		switch e := effect.(type) {
		case dispatch.Granted:
			out = append(out, fmt.Sprintf("%d to %s (%s)", e.ID.Number, e.Target, e.Reason))
		case dispatch.Rejected:
			out = append(out, fmt.Sprintf("%d rejected (%s)", e.ID.Number, e.Reason))
		}
	}
	return out
}

func expect(t *testing.T, p *dispatch.Pool, event dispatch.Event, want ...string) {
	t.Helper()
	assert.DeepEqual(t, update(p, event), append([]string{}, want...))
}

func TestChoice(t *testing.T) {
	t.Run("an open connection is preferred among equals", func(t *testing.T) {
		r := request(1)
		r.Connected = []string{"b"}
		expect(t, newPool(2, "a", "b"), r, "1 to b (free_slot)")
	})
	t.Run("a reported slowdown counts for 400 ms", func(t *testing.T) {
		p := newPool(2, "a", "b")
		expect(t, p, request(1), "1 to a (free_slot)")
		e := ended(1, "a", dispatch.Succeeded)
		e.LoadKnown, e.Running, e.Slowdown = true, 1, 3
		update(p, e)
		expect(t, p, request(2), "2 to b (free_slot)")
		later := request(3)
		later.At = testStart.Add(410 * time.Millisecond)
		expect(t, p, later, "3 to a (free_slot)")
	})
	t.Run("excluded targets get nothing", func(t *testing.T) {
		r := request(1)
		r.Excluded = []string{"a", "b"}
		expect(t, newPool(2, "a", "b"), r, "1 rejected (no_target)")
	})
	t.Run("after a shed request a target has one slot less for a second", func(t *testing.T) {
		p := newPool(1, "a", "b")
		update(p, request(1))
		update(p, ended(1, "a", dispatch.NotRun))
		expect(t, p, request(2), "2 to b (free_slot)")
		expect(t, p, request(3))
		expect(t, p, dispatch.Ticked{At: testStart.Add(time.Second)}, "3 to a (waited)")
	})
	t.Run("requests that others sent take slots", func(t *testing.T) {
		p := newPool(2, "a")
		update(p, request(1))
		e := ended(1, "a", dispatch.Succeeded)
		e.LoadKnown, e.Running = true, 3
		update(p, e)
		assert.Equal(t, p.Status(testStart).Free, 0)
	})
	t.Run("a circuit breaker opens after two failures and then lets one request pass", func(t *testing.T) {
		p := newPool(3, "a")
		for i := range 2 {
			update(p, request(i))
		}
		update(p, ended(0, "a", dispatch.Failed))
		update(p, ended(1, "a", dispatch.Failed))
		expect(t, p, request(2))
		expect(t, p, request(3))
		expect(t, p, dispatch.Ticked{At: testStart.Add(250 * time.Millisecond)}, "2 to a (waited)")
	})
	t.Run("bodies in flight to a target are bounded", func(t *testing.T) {
		p := newPool(3, "a")
		for i := range 2 {
			r := request(i)
			r.BodyBytes = 3 << 20
			update(p, r)
		}
		expect(t, p, request(2), "2 to a (waited)")
		expect(t, p, ended(0, "a", dispatch.Succeeded), "1 to a (waited)")
	})
}

func TestOrder(t *testing.T) {
	p := newPool(1, "a")
	expect(t, p, request(0), "0 to a (free_slot)")
	late, urgent, returning, usual := request(1), request(2), request(3), request(4)
	late.Age = 960 * time.Millisecond
	urgent.Priority = 0
	returning.Returning = true
	for _, r := range []dispatch.Requested{late, usual, returning, urgent} {
		expect(t, p, r)
	}
	for i, want := range []string{"2 to a (waited)", "3 to a (waited)", "4 to a (waited)", "1 to a (waited)"} {
		expect(t, p, ended([]int{0, 2, 3, 4}[i], "a", dispatch.Succeeded), want)
	}
}

func TestStaleEvents(t *testing.T) {
	t.Run("the end of an unknown request frees nothing", func(t *testing.T) {
		p := newPool(1, "a")
		update(p, request(1))
		expect(t, p, request(2))
		expect(t, p, ended(7, "a", dispatch.Succeeded))
		expect(t, p, ended(1, "gone", dispatch.Succeeded))
		expect(t, p, ended(1, "a", dispatch.Succeeded), "2 to a (waited)")
		expect(t, p, ended(1, "a", dispatch.Succeeded))
		assert.Equal(t, p.Status(testStart).Free, 0)
	})
	t.Run("a cancellation after the grant frees the slot once", func(t *testing.T) {
		p := newPool(1, "a")
		update(p, request(1))
		update(p, request(2))
		expect(t, p, dispatch.Cancelled{At: testStart, ID: id(1)}, "2 to a (waited)")
		expect(t, p, ended(1, "a", dispatch.NotSent))
		assert.Equal(t, p.Status(testStart).Free, 0)
	})
	t.Run("a repeated request is not granted twice", func(t *testing.T) {
		p := newPool(2, "a")
		expect(t, p, request(1), "1 to a (free_slot)")
		expect(t, p, request(1))
	})
	t.Run("a lost entry's grants take slots until their time has passed", func(t *testing.T) {
		p := newPool(1, "a")
		update(p, request(1))
		update(p, request(2))
		expect(t, p, dispatch.EntryLost{At: testStart, Entry: "e"})
		assert.Equal(t, p.Status(testStart), dispatch.Status{Wait: 60 * time.Millisecond})
		// The entry has restarted and uses the number again.
		again := request(1)
		again.At, again.Left = testStart.Add(1990*time.Millisecond), 500*time.Millisecond
		expect(t, p, again)
		expect(t, p, dispatch.Ticked{At: testStart.Add(2 * time.Second)}, "1 to a (waited)")
	})
	t.Run("a target that restarts has all its slots", func(t *testing.T) {
		p := newPool(1, "a")
		update(p, request(1))
		restarted := infos(1, "a")
		restarted[0].Target.StartMillis = 1
		update(p, dispatch.TargetsChanged{At: testStart, Targets: restarted})
		expect(t, p, request(2), "2 to a (free_slot)")
		expect(t, p, ended(1, "a", dispatch.Failed))
		assert.Equal(t, p.Status(testStart).Free, 0)
	})
	t.Run("waiting requests are rejected when all targets go", func(t *testing.T) {
		p := newPool(1, "a")
		update(p, request(1))
		update(p, request(2))
		expect(t, p, dispatch.TargetsChanged{At: testStart}, "2 rejected (no_target)")
	})
}

// TestPoolInvariants checks for any events that no target holds more requests than slots,
// and that each request gets at most one decision, and none after its cancellation.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 2
		p, now := newPool(slots, "a", "b"), testStart
		held, open := make(map[dispatch.RequestID]string), make(map[dispatch.RequestID]bool)
		count := func(target string) (n int) {
			for _, at := range held {
				if at == target {
					n++
				}
			}
			return n
		}
		apply := func(event dispatch.Event) {
			for _, effect := range p.Update(event) {
				switch e := effect.(type) {
				case dispatch.Granted:
					assert.Assert(t, open[e.ID])
					delete(open, e.ID)
					held[e.ID] = e.Target
					assert.Assert(t, count(e.Target) <= slots)
				case dispatch.Rejected:
					assert.Assert(t, open[e.ID] && e.RetryAfter > 0)
					delete(open, e.ID)
				}
			}
		}
		for n := range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			some := id(rapid.IntRange(0, n).Draw(t, "number"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				r := request(n)
				r.At, r.Priority, r.Left = now, n%3, time.Hour
				open[r.ID] = true
				apply(r)
			case 3:
				if target, ok := held[some]; ok {
					delete(held, some)
					apply(dispatch.Ended{At: now, ID: some, Target: target, Outcome: dispatch.Outcome(n % 5), LoadKnown: n%2 == 0, Running: n % 4, Slowdown: 1})
				}
			case 4:
				delete(open, some)
				delete(held, some)
				apply(dispatch.Cancelled{At: now, ID: some})
			default:
				apply(dispatch.Ticked{At: now})
			}
		}
	})
}
