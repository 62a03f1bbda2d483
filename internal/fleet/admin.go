package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// ZoneReport tells operators of the availability zones, as one control instance knows them.
type ZoneReport struct {
	Version uint64       `json:"version"` // log index of the last command that changed the state
	Current bool         `json:"current"` // the instance knows the leader; else the report may be outdated
	Zones   []ZoneStatus `json:"zones"`
}

// ZoneStatus describes one availability zone: one that is evacuated or has targets.
type ZoneStatus struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	Index     uint64 `json:"index,omitempty"` // log index of the evacuation
	Targets   int    `json:"targets"`         // that are not leaving
	Keys      int    `json:"keys"`            // that targets of the zone own, over all services
}

// errNoControl is the reason for which an entry has no reports on the deployment.
var errNoControl = errors.New("this instance is not a control instance; ask one")

// newAdmin returns the handler of an instance's metrics address. All paths but those of the
// reports serve the metrics. The control instance is nil for an entry.
func newAdmin(c *Control, metrics http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Get("/zones", controlReport(c, func(*http.Request) any { return zoneReport(c.State(), c.Current()) }))
	r.Get("/features", controlReport(c, func(r *http.Request) any { return c.FeatureLevels(r.Context()) }))
	r.NotFound(metrics.ServeHTTP)
	r.MethodNotAllowed(metrics.ServeHTTP)
	return r
}

// controlReport returns the handler of a report that only control instances have.
func controlReport(c *Control, report func(r *http.Request) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		var body any = map[string]string{"error": errNoControl.Error()}
		if c == nil {
			w.WriteHeader(http.StatusNotFound)
		} else {
			body = report(r)
		}
		// A client that has disconnected can ask again.
		_ = json.NewEncoder(w).Encode(body)
	}
}

func zoneReport(state deployment.State, current bool) ZoneReport {
	byZone := make(map[string]*ZoneStatus)
	zone := func(name string) *ZoneStatus {
		if byZone[name] == nil {
			byZone[name] = &ZoneStatus{Zone: name}
		}
		return byZone[name]
	}
	for _, e := range state.Evacuated() {
		z := zone(e.Zone)
		z.Evacuated, z.Index = true, e.Index
	}
	for _, t := range state.Targets() {
		if t.Usable() {
			zone(t.AvailabilityZone).Targets++
		}
	}
	for _, table := range state.Tables() {
		for _, r := range table.Ranges {
			if t, ok := state.Target(r.Target); ok && r.Phase != deployment.Unowned && t.StartMillis == r.StartMillis {
				zone(t.AvailabilityZone).Keys += r.Width()
			}
		}
	}
	report := ZoneReport{Version: state.Version(), Current: current, Zones: []ZoneStatus{}}
	for _, z := range byZone {
		report.Zones = append(report.Zones, *z)
	}
	slices.SortFunc(report.Zones, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return report
}

func zoneNames(list []deployment.Evacuation) []string {
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, e.Zone)
	}
	return names
}
