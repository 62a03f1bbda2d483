package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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

// zones returns the zones asked for a request, of which these targets are excluded.
func (e *testEntry) zones(excluded ...string) []string {
	service, _ := e.server.cfg.View.View().Config.Service("catalog")
	return e.server.zonesFor(&call{service: service, excluded: excluded})
}

// recordReport is the Reporter of the entry, which keeps the demand and confirms the newest
// configuration.
func (e *testEntry) recordReport(r instance.ReportRequest) *instance.ReportResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.demand = append(e.demand, r.Demand...)
	e.crashes = append(e.crashes, r.CrashReports...)
	if e.unconfirmed.Load() {
		return nil
	}
	confirmation := &instance.ConfigConfirmation{Index: e.newest.Load()}
	if !e.targetsUnconfirmed.Load() {
		confirmation.Targets = &instance.TargetConfirmation{From: r.TargetsKnown, To: r.TargetsKnown}
	}
	return &instance.ReportResponse{NoAdvice: true, Config: confirmation}
}

// assertDemand checks what the entry reports in all, after it had time for two reports.
func (e *testEntry) assertDemand(want instance.ServiceDemand) {
	e.t.Helper()
	time.Sleep(2 * reportInterval)
	await(e.t, "the demand is not reported as it was", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		var sum instance.ServiceDemand
		for _, d := range e.demand {
			sum = instance.ServiceDemand{Service: d.Service, Requests: sum.Requests + d.Requests, Sent: sum.Sent + d.Sent, Bytes: sum.Bytes + d.Bytes}
		}
		return sum == want
	})
}

// TestZonesAsked guards against entries that turn to other zones all at once although the
// leader shares out their room, and against entries that don't leave a zone without room.
func TestZonesAsked(t *testing.T) {
	e := startInZones(t)
	e.server.adopt(1, &instance.ReportResponse{})
	check := func(name string, excluded []string, total int, first ...string) {
		t.Helper()
		got := e.zones(excluded...)
		assert.Equal(t, len(got), total, "%s: %v", name, got)
		assert.DeepEqual(t, got[:len(first)], first)
	}
	check("no advice on shares", nil, 3, "a")
	e.advise(nil)
	check("nothing leaves", nil, 1, "a")
	check("no usable target in the own zone", []string{"t0"}, 3, "a")
	e.advise(map[string]float32{"d": 1})
	check("a zone without pools", nil, 1, "a")
	e.advise(map[string]float32{"b": 1})
	check("all leave", nil, 2, "b", "a")
	check("all leave, no usable target in the own zone", []string{"t0"}, 2, "b", "a")
	check("no usable target in both", []string{"t0", "tb"}, 3, "b", "a")
	e.server.adopt(1, &instance.ReportResponse{})
	check("a new leader does not know shares yet", nil, 2, "b", "a")
	a := *e.server.zoneAdvice.Load()
	a.at = a.at.Add(-zoneSharesValidity)
	e.server.zoneAdvice.Store(&a)
	check("stale advice", nil, 3, "a")

	e.advise(map[string]float32{"b": 0.2, "c": 0.1})
	const n = 2000
	counts := make(map[string]int)
	for range n {
		counts[e.zones()[0]]++
	}
	for zone, want := range map[string]float64{"a": 0.7, "b": 0.2, "c": 0.1} {
		got := float64(counts[zone]) / n
		assert.Assert(t, got > want-0.05 && got < want+0.05, "%s: %.3f", zone, got) // four standard deviations
	}

	e.evacuate(9, "b")
	e.advise(map[string]float32{"b": 1})
	check("an evacuated zone", nil, 1, "a")
	e.server.zoneAdvice.Store(&a)
	check("an evacuated zone and stale advice", nil, 2, "a")
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
	e.assertDemand(instance.ServiceDemand{Service: "catalog", Requests: requests + 1, Sent: requests + 1, Bytes: (requests + 1) * (headBytes + 2)})
}

// TestDemand guards against demand that vanishes where it is rejected, so that a full zone looks
// as if it had room, and against reports where the configuration does not call for dispatch.
func TestDemand(t *testing.T) {
	e := startInZones(t)
	e.evacuate(9, "a", "b", "c")
	status, _ := e.statusOf("/look/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	e.assertDemand(instance.ServiceDemand{Service: "catalog", Requests: 1})
	e = startEntry(t, nil, respondOK("x"))
	wantResponse(t, e.request(http.MethodGet, "/look/1"), http.StatusOK, "x")
	e.assertDemand(instance.ServiceDemand{})
}
