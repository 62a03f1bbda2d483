package fleet

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

func TestZoneReport(t *testing.T) {
	state := deployment.State{}
	incarnation := deployment.Incarnation{ID: "t", StartMillis: 1}
	for i, c := range []deployment.Command{
		{ConfigChange: &deployment.ConfigChange{Version: 1, Whole: true, Services: []deployment.Service{{Name: "catalog", Keyed: true}}}},
		{Announce: &deployment.Target{ID: "t", StartMillis: 1, Service: "catalog", AvailabilityZone: "b", Status: deployment.Live}},
		{Assign: &deployment.Assign{Ranges: []deployment.Assignment{{Range: deployment.RangeRef{Service: "catalog", To: deployment.MaxKey}, To: incarnation}}}},
		{Evacuate: &deployment.Evacuate{Zone: "a"}},
	} {
		state, _ = state.Apply(uint64(i+1), wire.Encode(c))
	}
	assert.DeepEqual(t, zoneReport(state, true), ZoneReport{Version: 4, Current: true, Zones: []ZoneStatus{
		{Zone: "a", Evacuated: true, Index: 4},
		{Zone: "b", Targets: 1, Keys: int(deployment.MaxKey) + 1},
	}})
}

// TestMetricsStayAtOtherPaths guards readers of the metrics, which may ask any path and method.
func TestMetricsStayAtOtherPaths(t *testing.T) {
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics") })
	h := newAdmin(nil, metrics)
	for path, want := range map[string]int{"/": 200, "/metrics": 200, "/debug/vars": 200, "/zones/x": 200, "/zones": 404} {
		got := httptest.NewRecorder()
		h.ServeHTTP(got, httptest.NewRequest(http.MethodGet, path, nil))
		assert.Equal(t, got.Code, want, path)
		assert.Equal(t, got.Body.String() == "metrics", want == 200, path)
	}
}
