package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// successAt is success at a target that reports a slowdown, 0 for none.
func successAt(slowdown float64) attemptResult {
	res := success(0)
	res.load.Slowdown = slowdown
	return res
}

// TestSlowdown guards against sending requests to a target that is slow at this moment, and
// against taking it for slow once the moment has passed.
func TestSlowdown(t *testing.T) {
	newTest := func() (*targetStates, *timer.Manual, []deployment.Target) {
		clock := timer.NewManual()
		return newTargetStates(clock), clock, []deployment.Target{testTarget(1, "a"), testTarget(2, "a")}
	}
	t.Run("a slow moment counts for 400 ms", func(t *testing.T) {
		ts, clock, list := newTest()
		exchange(ts, clock, list[1], 60*time.Millisecond, successAt(1))
		exchange(ts, clock, list[0], 180*time.Millisecond, successAt(3))
		expected, _ := ts.expected(list[0])
		assert.Equal(t, expected, 180*time.Millisecond)
		n := countChoices(ts, list, deployment.Booking)
		assert.Assert(t, n["t1"] == 0, "%v", n)
		clock.Advance(slowdownValidity)
		expected, _ = ts.expected(list[0])
		assert.Equal(t, expected, 60*time.Millisecond)
		n = countChoices(ts, list, deployment.Booking)
		assert.Assert(t, n["t1"] > 100, "%v", n)
	})
	t.Run("service times are stored without it", func(t *testing.T) {
		ts, clock, list := newTest()
		for range 40 {
			exchange(ts, clock, list[0], 180*time.Millisecond, successAt(3))
			exchange(ts, clock, list[0], 30*time.Millisecond, successAt(0.5))
		}
		clock.Advance(slowdownValidity)
		expected, _ := ts.expected(list[0])
		assert.Equal(t, expected.Round(time.Millisecond), 60*time.Millisecond)
		load := ts.report(func(string) bool { return true })[0]
		assert.Equal(t, (load.ServiceTime / time.Duration(load.Successes)).Round(time.Millisecond), 60*time.Millisecond)
	})
	t.Run("without a report, the usual one or an absurd one nothing is spoilt", func(t *testing.T) {
		for _, slowdown := range []float64{0, 1} {
			ts, clock, list := newTest()
			for range 100 {
				exchange(ts, clock, list[0], 200*time.Millisecond, successAt(slowdown))
			}
			expected, _ := ts.expected(list[0])
			assert.Equal(t, expected.Round(time.Millisecond), 200*time.Millisecond)
		}
		ts, clock, list := newTest()
		exchange(ts, clock, list[0], 60*time.Millisecond, successAt(1e7))
		expected, _ := ts.expected(list[0])
		assert.Assert(t, expected < time.Second, "%v", expected)
	})
}
