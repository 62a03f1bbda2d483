package forward

import (
	"fmt"
	"io"
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

func testColdRate(string) float64 { return coldRate }

// coldTarget returns a target that stays cold for d after its second announcement.
func coldTarget(n int, d time.Duration) deployment.Target {
	t := testTarget(n, "a")
	t.Sequence, t.WarmUpMillis = 2, d.Milliseconds()
	return t
}

// TestColdTargetOfManyEntries guards against entries that each send a cold target little, and
// together more than it bears. Entries out of touch with control have the same view.
func TestColdTargetOfManyEntries(t *testing.T) {
	const entries = 62
	clock := timer.NewManual()
	warm, cold := testTarget(1, "a"), coldTarget(2, 6*time.Second)
	for _, sampled := range []bool{false, true} {
		var all []*targetStates
		for range entries {
			ts := newTargetStates(clock)
			ts.coldRate = testColdRate
			all = append(all, ts)
		}
		perSecond := 0
		for range 5 {
			clock.Advance(time.Second)
			received := 0
			for _, ts := range all {
				for range 4 {
					x, ok := ts.choose(choice{candidates: []deployment.Target{warm, cold}, zone: "a", route: &deployment.Route{}, sampled: sampled})
					if !ok {
						continue
					}
					exchange(ts, clock, x, 0, success(0))
					if x.ID == cold.ID {
						received++
					}
				}
			}
			perSecond = max(perSecond, received)
		}
		assert.Assert(t, float64(perSecond) <= coldRate*coldExcess+coldSlack, "%d requests in a second", perSecond)
	}
}

// TestColdTime guards against counting a target as warm too early, by an older record, and as
// cold without end.
func TestColdTime(t *testing.T) {
	newTest := func() (*targetStates, *timer.Manual) {
		clock := timer.NewManual()
		ts := newTargetStates(clock)
		ts.coldRate = testColdRate
		return ts, clock
	}
	t.Run("counts from when the record was received", func(t *testing.T) {
		ts, clock := newTest()
		x := coldTarget(1, 6*time.Second)
		assert.Equal(t, ts.coldLeft(x), 6*time.Second)
		clock.Advance(4 * time.Second)
		assert.Equal(t, ts.coldLeft(x), 2*time.Second)
		clock.Advance(2 * time.Second)
		assert.Assert(t, !ts.coldLimited(x))
	})
	t.Run("a warm target may turn cold, and an older record does not warm it", func(t *testing.T) {
		ts, clock := newTest()
		warm, cold := testTarget(1, "a"), coldTarget(1, 6*time.Second)
		assert.Assert(t, !ts.coldLimited(warm))
		clock.Advance(time.Minute)
		ts.received([]deployment.Target{cold})
		assert.Assert(t, ts.coldLimited(warm))
		warm.Sequence = 3
		assert.Assert(t, !ts.coldLimited(warm))
	})
	t.Run("a request is told when the first target is warm", func(t *testing.T) {
		ts, clock := newTest()
		list := []deployment.Target{coldTarget(1, 6*time.Second), coldTarget(2, 3*time.Second)}
		_, ok := ts.choose(choice{candidates: list, zone: "a", route: &deployment.Route{}})
		assert.Assert(t, !ok)
		clock.Advance(time.Second)
		left, cold := ts.untilWarm(list, nil)
		assert.Assert(t, cold)
		assert.Equal(t, left, 2*time.Second)
		_, cold = ts.untilWarm(append(list, testTarget(3, "a")), nil)
		assert.Assert(t, !cold)
	})
	t.Run("a service without a cold rate has no limit", func(t *testing.T) {
		ts, _ := newTest()
		ts.coldRate = func(string) float64 { return 0 }
		list := []deployment.Target{coldTarget(1, 6*time.Second)}
		_, ok := ts.choose(choice{candidates: list, zone: "a", route: &deployment.Route{}})
		assert.Assert(t, ok && !ts.coldLimited(list[0]))
	})
}

// TestHealthCheckTellsOfColdTarget guards against sending the usual load to a target that has
// turned cold while no record of it arrives.
func TestHealthCheckTellsOfColdTarget(t *testing.T) {
	e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nWarm-Up: 4000\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		respondOK("x")(w, r)
	})
	x, _ := e.server.cfg.View.View().Target("t0")
	assert.NilError(t, e.server.CheckCold(t.Context(), x))
	assert.Equal(t, e.receivedCount(), 0, "the service has no cold rate")
	services := []deployment.Service{{Name: "catalog", Connections: 100, ColdRate: coldRate, HealthPath: "/health"}}
	e.updateView(&instance.ViewUpdate{Version: 2, ConfigIndex: 2, Current: true, ConfigChange: &deployment.ConfigChange{Version: 2, Services: services}})
	e.stopControl()
	assert.NilError(t, e.server.CheckCold(t.Context(), x))
	status, retryAfter := e.statusOf("/look/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, retryAfter > 3*time.Second, "%v", retryAfter)
	assert.Equal(t, e.receivedCount(), 1)
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
	t.Run("the dispatcher learns of it", func(t *testing.T) {
		info := e.server.TargetInfo(cold)
		assert.Assert(t, info.ColdLeft > 5*time.Second && info.ColdRate == coldRate, "%+v", info)
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
