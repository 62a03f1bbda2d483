package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// evacuate sends the entry a view in which just these zones are evacuated.
func (e *testEntry) evacuate(version uint64, zones ...string) {
	u := &instance.ViewUpdate{Version: version, ConfigIndex: 1, Current: true, EvacuatedChanged: true}
	for _, zone := range zones {
		u.Evacuated = append(u.Evacuated, deployment.Evacuation{Zone: zone, Index: version})
	}
	e.updateView(u)
}

// addTarget adds a live target in a zone to the entry's view.
func (e *testEntry) addTarget(version uint64, id, service, zone string) {
	e.updateView(&instance.ViewUpdate{Version: version, ConfigIndex: 1, Current: true, Targets: []deployment.Target{{
		ID: id, StartMillis: 1, Service: service, Slots: 4, Status: deployment.Live, AvailabilityZone: zone, Address: e.startTarget(id, respondOK(id)),
	}}})
}

// assertRejected checks that a request is rejected long before its deadline of one second.
func (e *testEntry) assertRejected(uri string) {
	e.t.Helper()
	began := time.Now()
	status, retryAfter := e.statusOf(uri)
	assert.Equal(e.t, status, http.StatusServiceUnavailable)
	assert.Assert(e.t, retryAfter > 0)
	assert.Assert(e.t, time.Since(began) < 300*time.Millisecond, "after %v", time.Since(began))
}

// TestEvacuatedZone checks that targets in an evacuated zone get no requests, although they
// are live, and get them again after the withdrawal.
func TestEvacuatedZone(t *testing.T) {
	e := startEntry(t, nil, respondOK("t0"))
	e.addTarget(2, "elsewhere", "catalog", "b")
	e.evacuate(3, "a")
	for i := range 20 {
		wantResponse(t, e.request(http.MethodGet, fmt.Sprint("/look/", i)), http.StatusOK, "elsewhere")
	}
	e.evacuate(4, "a", "b")
	e.assertRejected("/look/all")
	e.evacuate(5, "b")
	wantResponse(t, e.request(http.MethodGet, "/look/withdrawn"), http.StatusOK, "t0")
}

// TestEvacuatedBeforeWritten guards against requests that reach an evacuated zone because
// their target was chosen before, for example while a connection was opened.
func TestEvacuatedBeforeWritten(t *testing.T) {
	for _, name := range []string{"catalog", "shelf"} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, nil, respondOK("t0"))
			v := e.server.cfg.View.View()
			chosen, _ := v.Target("t0")
			service, _ := v.Config.Service(name)
			route := deployment.Route{Kind: deployment.Lookup, Attempts: 1, Objective: time.Second}
			c := &call{request: &request{method: http.MethodGet, ctx: t.Context()}, route: &route, service: service, deadline: time.Now().Add(time.Second)}
			e.evacuate(2, "a")
			out, retry := e.server.attempt(t.Context(), c, chosen)
			assert.Assert(t, out == nil && retry && !c.mayHaveRun)
			assert.Equal(t, e.receivedCount(), 0)
		})
	}
}

// TestOwnerInEvacuatedZone requests a key whose owner is in an evacuated zone.
func TestOwnerInEvacuatedZone(t *testing.T) {
	t.Run("served for a second, and then by the next owner", func(t *testing.T) {
		e := startEntry(t, nil, respondOK("t0"))
		e.addTarget(2, "next", "shelf", "b")
		time.Sleep(1100 * time.Millisecond) // until the view counts as fresh
		e.evacuate(3, "a")
		wantResponse(t, e.request(http.MethodGet, "/keyed/1"), http.StatusOK, "t0")
		time.Sleep(time.Second)
		received := e.receivedBy("t0")
		waiting := e.request(http.MethodGet, "/keyed/2")
		time.Sleep(200 * time.Millisecond)
		e.updateView(&instance.ViewUpdate{Version: 4, ConfigIndex: 1, Current: true, Tables: []deployment.KeyTable{{Service: "shelf", Changed: 4, Ranges: []deployment.Range{
			{To: deployment.MaxKey, Phase: deployment.Owned, Target: "next", StartMillis: 1, Fence: 4},
		}}}})
		wantResponse(t, waiting, http.StatusOK, "next")
		assert.Equal(t, e.receivedBy("t0"), received)
	})
	t.Run("rejected while no owner elsewhere is found", func(t *testing.T) {
		e := startEntry(t, nil, respondOK("t0"))
		e.addTarget(2, "next", "shelf", "b")
		e.evacuate(3, "a") // behind a view that is not fresh
		status, retryAfter := e.statusOf("/keyed/1")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, retryAfter > 0)
		assert.Equal(t, e.receivedCount(), 0)
	})
	t.Run("rejected at once without a live target elsewhere", func(t *testing.T) {
		e := startEntry(t, nil, respondOK("t0"))
		e.evacuate(2, "a")
		e.assertRejected("/keyed/1")
		assert.Equal(t, e.receivedCount(), 0)
	})
}

// TestPassedOnToOlderView guards against an entry that has not heard of an evacuation yet and
// serves requests of one that has.
func TestPassedOnToOlderView(t *testing.T) {
	other := startEntry(t, nil, respondOK("other"))
	e := startCutEntry(t, other)
	e.evacuate(5, "a")
	status, _ := e.statusOf("/look/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, other.receivedCount(), 0)
	other.addTarget(4, "elsewhere", "catalog", "b")
	other.evacuate(5, "a")
	e.server.peers.Advise([]instance.Peer{{Address: other.relay, AvailabilityZone: "a"}})
	wantResponse(t, e.request(http.MethodGet, "/look/2"), http.StatusOK, "elsewhere")
}
