package forward

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// startInZones starts an entry in zone a which dispatches for targets in the zones a, b and c,
// each of which answers with its ID.
func startInZones(t *testing.T) *testEntry {
	e := startEntry(t, nil, respondOK("t0"))
	e.addTarget(2, "tb", "catalog", "b")
	e.addTarget(3, "tc", "catalog", "c")
	e.coordinate(nil, e.dispatch)
	return e
}

// advise tells the entry the shares of its requests that leave, by zone.
func (e *testEntry) advise(shares map[string]float32) {
	e.server.adopt(1, &instance.ReportResponse{ZoneSharesKnown: true, ZoneShares: instance.ZoneShares{"catalog": shares}})
}

// age makes the advice older.
func (e *testEntry) age(d time.Duration) {
	a := *e.server.zoneAdvice.Load()
	a.at = a.at.Add(-d)
	e.server.zoneAdvice.Store(&a)
}

// zones returns the zones asked for a request, of which these targets are excluded.
func (e *testEntry) zones(excluded ...string) []string {
	service, _ := e.server.cfg.View.View().Config.Service("catalog")
	return e.server.zonesFor(&call{service: service, excluded: excluded})
}

// assertZones checks the order of zones; those after the first given ones come in any order.
func (e *testEntry) assertZones(got []string, total int, first ...string) {
	e.t.Helper()
	assert.Equal(e.t, len(got), total, "%v", got)
	assert.DeepEqual(e.t, got[:len(first)], first)
}

// recordReport is the Reporter of the entry, which keeps the demand.
func (e *testEntry) recordReport(r instance.ReportRequest) *instance.ReportResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.demand = append(e.demand, r.Demand...)
	return nil
}

// awaitDemand waits until the entry has reported this demand in all, and checks that it reports
// no more.
func (e *testEntry) awaitDemand(want instance.ServiceDemand) {
	e.t.Helper()
	sum := func() instance.ServiceDemand {
		e.mu.Lock()
		defer e.mu.Unlock()
		out := instance.ServiceDemand{Service: want.Service}
		for _, d := range e.demand {
			assert.Equal(e.t, d.Service, want.Service)
			out.Requests, out.Sent, out.Bytes = out.Requests+d.Requests, out.Sent+d.Sent, out.Bytes+d.Bytes
		}
		return out
	}
	await(e.t, "the demand is not reported", func() bool { return sum().Requests >= want.Requests && sum().Sent >= want.Sent })
	time.Sleep(2 * reportInterval)
	assert.DeepEqual(e.t, sum(), want)
}

// evacuateAlso sends the entry a view with these evacuated zones and its configuration.
func (e *testEntry) evacuateAlso(zones ...string) {
	v := e.server.cfg.View.View()
	u := &instance.ViewUpdate{Version: v.Version + 1, ConfigIndex: v.ConfigIndex, Current: true, EvacuatedChanged: true}
	for _, zone := range zones {
		u.Evacuated = append(u.Evacuated, deployment.Evacuation{Zone: zone, Index: u.Version})
	}
	e.updateView(u)
}

// TestZonesAsked guards against entries that turn to other zones all at once although the
// leader shares out their room, and against entries that don't leave a zone without room.
func TestZonesAsked(t *testing.T) {
	e := startInZones(t)
	t.Run("no advice", func(t *testing.T) { e.assertZones(e.zones(), 3, "a") })
	t.Run("advice of a leader that does not know shares yet", func(t *testing.T) {
		e.server.adopt(1, &instance.ReportResponse{})
		e.assertZones(e.zones(), 3, "a")
	})
	t.Run("nothing leaves", func(t *testing.T) {
		e.advise(nil)
		e.assertZones(e.zones(), 1, "a")
	})
	t.Run("the own zone has no usable target", func(t *testing.T) {
		e.assertZones(e.zones("t0"), 3, "a")
		e.advise(map[string]float32{"b": 1})
		e.assertZones(e.zones("t0"), 2, "b", "a")
		e.assertZones(e.zones("t0", "tb"), 3, "b", "a")
	})
	t.Run("all leave", func(t *testing.T) { e.assertZones(e.zones(), 2, "b", "a") })
	t.Run("as many leave as advised", func(t *testing.T) {
		const n = 2000
		e.advise(map[string]float32{"b": 0.2, "c": 0.1})
		counts := make(map[string]int)
		for range n {
			counts[e.zones()[0]]++
		}
		// Four standard deviations.
		for zone, want := range map[string]float64{"a": 0.7, "b": 0.2, "c": 0.1} {
			got := float64(counts[zone]) / n
			assert.Assert(t, got > want-0.05 && got < want+0.05, "%s: %.3f", zone, got)
		}
	})
	t.Run("a zone without pools", func(t *testing.T) {
		e.advise(map[string]float32{"d": 1})
		e.assertZones(e.zones(), 1, "a")
	})
	t.Run("a new leader does not know shares yet", func(t *testing.T) {
		e.advise(map[string]float32{"b": 1})
		e.server.adopt(1, &instance.ReportResponse{})
		e.assertZones(e.zones(), 2, "b", "a")
	})
	t.Run("stale advice", func(t *testing.T) {
		e.age(zoneSharesValidity)
		e.assertZones(e.zones(), 3, "a")
	})
	t.Run("an evacuated zone", func(t *testing.T) {
		e.advise(map[string]float32{"b": 1})
		e.evacuateAlso("b")
		e.assertZones(e.zones(), 1, "a")
		e.age(zoneSharesValidity)
		assert.Assert(t, !slices.Contains(e.zones(), "b"))
	})
}

// TestRequestsLeaveZone guards against shares that are not followed, and against demand that is
// not reported or reported twice.
func TestRequestsLeaveZone(t *testing.T) {
	const requests = 20
	e := startInZones(t)
	e.advise(map[string]float32{"b": 1})
	for n := range requests {
		wantResponse(t, e.request(http.MethodGet, fmt.Sprint("/look/", n)), http.StatusOK, "tb")
	}
	e.advise(nil)
	wantResponse(t, e.request(http.MethodGet, "/look/stays"), http.StatusOK, "t0")
	wantResponse(t, e.request(http.MethodGet, "/keyed/1"), http.StatusOK, "t0")
	stayed, left := e.server.ZoneRequests()
	assert.DeepEqual(t, stayed, map[string]uint64{"catalog": 1})
	assert.DeepEqual(t, left, map[string]uint64{"catalog": requests})
	e.awaitDemand(instance.ServiceDemand{Service: "catalog", Requests: requests + 1, Sent: requests + 1, Bytes: (requests + 1) * (headBytes + 2)})
}

// TestDemandOfRejectedRequests guards against demand that vanishes where it is rejected: a full
// zone would look as if it had room.
func TestDemandOfRejectedRequests(t *testing.T) {
	e := startInZones(t)
	e.evacuateAlso("a", "b", "c")
	status, _ := e.statusOf("/look/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	e.awaitDemand(instance.ServiceDemand{Service: "catalog", Requests: 1})
}

// TestDemandNotCoordinated checks that nothing is reported where the configuration does not
// call for dispatch.
func TestDemandNotCoordinated(t *testing.T) {
	e := startEntry(t, nil, respondOK("x"))
	wantResponse(t, e.request(http.MethodGet, "/look/1"), http.StatusOK, "x")
	assert.Equal(t, len(e.server.demand.take())+len(e.demand), 0)
}
