package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	coldRate   = 2.8
	coldExcess = 1.5
	coldSlack  = 8.0
)

func newColdStates() (*targetStates, *timer.Manual) {
	clock := timer.NewManual()
	ts := newTargetStates(clock)
	ts.coldRate = func(string) float64 { return coldRate }
	return ts, clock
}

// coldTarget returns a target that stays cold for 6 s after its second announcement.
func coldTarget(n int) deployment.Target {
	t := testTarget(n, "a")
	t.Sequence, t.WarmUpMillis = 2, 6000
	return t
}

// TestColdTargetOfManyEntries guards against entries that each send a cold target little, and
// together more than it bears. Entries out of touch with control have the same view.
func TestColdTargetOfManyEntries(t *testing.T) {
	for _, sampled := range []bool{false, true} {
		received := 0 // by the cold target, in one second
		for range 62 {
			ts, clock := newColdStates()
			for range 4 {
				x, ok := ts.choose(choice{candidates: []deployment.Target{testTarget(1, "a"), coldTarget(2)}, zone: "a", route: &deployment.Route{}, sampled: sampled})
				assert.Assert(t, ok)
				exchange(ts, clock, x, 0, success(0))
				if x.ID == coldTarget(2).ID {
					received++
				}
			}
		}
		assert.Assert(t, float64(received) <= coldRate*coldExcess+coldSlack, "%d requests in a second", received)
	}
}

// TestColdTime guards against counting a target as warm too early, by an older record, and as
// cold without end.
func TestColdTime(t *testing.T) {
	ts, clock := newColdStates()
	warm, cold, all := testTarget(1, "a"), coldTarget(1), []deployment.Target{coldTarget(1), coldTarget(2)}
	assert.Assert(t, !ts.coldLimited(warm))
	clock.Advance(time.Minute)
	ts.received([]deployment.Target{cold})
	clock.Advance(4 * time.Second)
	assert.Equal(t, ts.coldLeft(cold), 2*time.Second)
	assert.Assert(t, ts.coldLimited(warm), "an older record changes nothing")
	left, allCold := ts.untilWarm(all, nil)
	assert.Assert(t, allCold && left == 2*time.Second, "%v", left)
	_, allCold = ts.untilWarm(append(all, testTarget(3, "a")), nil)
	assert.Assert(t, !allCold)
	clock.Advance(2 * time.Second)
	assert.Assert(t, !ts.coldLimited(cold) && ts.coldLimited(all[1]))
	ts.coldRate = func(string) float64 { return 0 }
	assert.Assert(t, !ts.coldLimited(all[1]), "the service has no cold rate")
}

// TestColdTargetOfEntry guards against each path on which a request may reach a cold target.
func TestColdTargetOfEntry(t *testing.T) {
	e := startEntry(t, nil, respondOK("x"))
	warm, _ := e.server.cfg.View.View().Target("t0")
	services := []deployment.Service{{Name: "catalog", Connections: 100, ColdRate: coldRate}, {Name: "shelf", Connections: 100, Keyed: true, ColdRate: coldRate}}
	cold := warm
	cold.Sequence, cold.WarmUpMillis = 2, 6000
	e.updateView(&instance.ViewUpdate{Version: 2, ConfigIndex: 2, Current: true, Targets: []deployment.Target{cold},
		ConfigChange: &deployment.ConfigChange{Version: 2, Services: services}})
	for _, uri := range []string{"/look/x", "/book/x", "/keyed/x"} {
		status, retryAfter := e.statusOf(uri)
		assert.Equal(t, status, http.StatusServiceUnavailable, uri)
		assert.Assert(t, retryAfter >= time.Second, "%s: %v", uri, retryAfter)
	}
	assert.Equal(t, e.receivedCount(), 0)
	t.Run("a request that was chosen before is not sent without a grant", func(t *testing.T) {
		for _, granted := range []bool{false, true} {
			c, _ := e.server.admit(&request{ctx: t.Context(), start: time.Now(), method: http.MethodGet, uri: "/look/x", path: "/look/x", host: "h", header: http.Header{"Request-Id": {"x"}}})
			c.granted, c.bodyCtx = granted, t.Context()
			out, _ := e.server.attempt(t.Context(), c, warm)
			assert.Equal(t, out != nil, granted)
		}
		assert.Equal(t, e.receivedCount(), 1)
	})
	t.Run("requests are sent once it is warm", func(t *testing.T) {
		warm.Sequence = 3
		e.updateView(&instance.ViewUpdate{Version: 3, ConfigIndex: 2, Current: true, Targets: []deployment.Target{warm}})
		for n := range 3 {
			status, _ := e.statusOf(fmt.Sprintf("/keyed/%d", n))
			assert.Equal(t, status, http.StatusOK)
		}
	})
}
