// Package view holds an entry's copy of the deployment state that it needs for
// routing: the configuration, the targets, the owners of keys and the suspects.
// Control instances publish it as a stream of deltas.
package view

import (
	"maps"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// View is an entry's copy of the replicated state. It is immutable.
type View struct {
	Version     uint64 // log index up to which it is complete
	ConfigIndex uint64 // log index that accepted the configuration; 0 if there is none
	Config      deployment.Config
	Routes      deployment.RouteTable
	Control     []string // addresses of control instances
	// EvacuatedVersion is the version of the last update that changed the evacuated zones.
	EvacuatedVersion uint64

	targets  map[string]deployment.Target
	usable   map[string][]deployment.Target // usable targets by service, sorted by ID
	live     []deployment.Target            // targets that send heartbeats and are not leaving
	tables   map[string]deployment.KeyTable
	suspects map[string]bool // by fingerprint; true if blocked

	evacuated map[string]evacuation // by availability zone
}

// Target returns the target with the ID.
func (v *View) Target(id string) (deployment.Target, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// Usable returns the targets of a service that may get new requests, sorted by ID. It
// leaves out those in evacuated zones.
// The slice is shared and must not be changed.
func (v *View) Usable(service string) []deployment.Target { return v.usable[service] }

// Live returns the targets that send heartbeats and are not leaving, outside of evacuated
// zones, in no certain order.
// The slice is shared and must not be changed.
func (v *View) Live() []deployment.Target { return v.live }

// RangeOf returns the range of a keyed service that contains the key.
func (v *View) RangeOf(service string, key deployment.Key) (deployment.Range, bool) {
	t, ok := v.tables[service]
	if !ok || len(t.Ranges) == 0 {
		return deployment.Range{}, false
	}
	return t.Find(key), true
}

// Suspected reports whether the kind of request with the fingerprint is a suspect,
// and whether it is blocked.
func (v *View) Suspected(fingerprint string) (suspected, blocked bool) {
	blocked, suspected = v.suspects[fingerprint]
	return suspected, blocked
}

// With returns the view after an update.
func (v *View) With(u *instance.ViewUpdate) *View {
	next := &View{
		Version:     u.Version,
		ConfigIndex: u.ConfigIndex,
		Config:      v.Config,
		Routes:      v.Routes,
		Control:     v.Control,
		targets:     v.targets,
		usable:      v.usable,
		live:        v.live,
		tables:      v.tables,
		suspects:    v.suspects,
		evacuated:   v.evacuated,

		EvacuatedVersion: v.EvacuatedVersion,
	}
	if u.EvacuatedChanged {
		next.applyEvacuated(u)
	}
	if u.SuspectsChanged {
		next.suspects = make(map[string]bool, len(u.Suspects))
		for _, x := range u.Suspects {
			next.suspects[x.Fingerprint] = x.Blocked()
		}
	}
	if len(u.Control) > 0 {
		next.Control = u.Control
	}
	if u.ConfigChange != nil {
		old := v.Config
		if u.Whole {
			old = deployment.Config{}
		}
		next.Config = u.ConfigChange.ApplyTo(old)
		next.Routes = deployment.NewRouteTable(next.Config)
	}
	if u.Whole || len(u.Targets) > 0 || len(u.Removed) > 0 || len(u.AllTargets) > 0 || u.EvacuatedChanged {
		next.applyTargets(u)
	}
	if u.Whole || len(u.Tables) > 0 {
		next.applyTables(u)
	}
	return next
}

func (v *View) applyTargets(u *instance.ViewUpdate) {
	targets := make(map[string]deployment.Target, len(v.targets)+len(u.Targets))
	if !u.Whole {
		for id, t := range v.targets {
			targets[id] = t
		}
	}
	for _, id := range u.Removed {
		delete(targets, id)
	}
	for _, t := range u.Targets {
		targets[t.ID] = t
	}
	if len(u.AllTargets) > 0 {
		maps.DeleteFunc(targets, func(id string, _ deployment.Target) bool {
			_, known := slices.BinarySearch(u.AllTargets, id)
			return !known
		})
	}
	v.targets = targets
	v.usable = make(map[string][]deployment.Target)
	v.live = nil
	for _, t := range targets {
		if v.Evacuated(t.AvailabilityZone) {
			continue
		}
		if t.Status == deployment.Live {
			v.live = append(v.live, t)
		}
		if t.Usable() {
			v.usable[t.Service] = append(v.usable[t.Service], t)
		}
	}
	for _, list := range v.usable {
		slices.SortFunc(list, func(a, b deployment.Target) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

func (v *View) applyTables(u *instance.ViewUpdate) {
	tables := make(map[string]deployment.KeyTable, len(v.tables))
	if !u.Whole {
		for name, t := range v.tables {
			tables[name] = t
		}
	}
	for _, t := range u.Tables {
		if old, ok := tables[t.Service]; ok {
			t = old.WithUpdate(t)
		}
		tables[t.Service] = t
	}
	v.tables = tables
}

// Delta returns the update from an old state to a newer one. If old is nil, the
// update holds the whole state.
func Delta(old *deployment.State, state deployment.State) *instance.ViewUpdate {
	cfg, configIndex := state.Config()
	u := &instance.ViewUpdate{Version: state.Version(), ConfigIndex: configIndex}
	suspects, suspectsIndex := state.Suspects()
	if old == nil || suspectsIndex > old.Version() {
		u.Suspects, u.SuspectsChanged = suspects, true
	}
	if old == nil || state.EvacuatedIndex() > old.Version() {
		u.Evacuated, u.EvacuatedChanged = state.Evacuated(), true
	}
	if old == nil {
		whole := cfg.ChangeFrom(deployment.Config{})
		u.Whole, u.ConfigChange, u.Targets, u.Tables = true, &whole, state.Targets(), state.Tables()
		return u
	}
	if before, index := old.Config(); index != configIndex {
		change := cfg.ChangeFrom(before)
		u.ConfigChange, u.ConfigBase = &change, index
	}
	if old.Version() == state.Version() {
		return u
	}
	addChanges(u, old.Version(), state)
	u.Removed = removedTargets(old.Targets(), state.Targets())
	return u
}

// removedTargets returns the IDs of targets that are only in the old list. Both are sorted
// by ID.
func removedTargets(old, current []deployment.Target) []string {
	var out []string
	i := 0
	for _, t := range old {
		for i < len(current) && current[i].ID < t.ID {
			i++
		}
		if i == len(current) || current[i].ID != t.ID {
			out = append(out, t.ID)
		}
	}
	return out
}

// addChanges adds the targets and ranges that changed after a log index.
func addChanges(u *instance.ViewUpdate, version uint64, state deployment.State) {
	for _, t := range state.Targets() {
		if t.Changed > version {
			u.Targets = append(u.Targets, t)
		}
	}
	for _, t := range state.Tables() {
		if t.Changed > version {
			u.Tables = append(u.Tables, t.ChangedSince(version))
		}
	}
}

// DeltaSince returns the update for an entry that reports only the versions of its
// view. It is much smaller than a whole view, which matters on a busy link. If the
// entry's view is newer than the state, the update holds only the state's versions.
func DeltaSince(have *instance.WatchRequest, state deployment.State) *instance.ViewUpdate {
	if have.Version == 0 {
		return Delta(nil, state)
	}
	cfg, configIndex := state.Config()
	u := &instance.ViewUpdate{Version: state.Version(), ConfigIndex: configIndex}
	if have.Version > state.Version() {
		return u
	}
	if configIndex != have.ConfigIndex {
		before, known := state.ConfigAt(have.ConfigIndex)
		change := cfg.ChangeFrom(before)
		change.Whole = !known
		u.ConfigChange = &change
		if known {
			u.ConfigBase = have.ConfigIndex
		}
	}
	if suspects, suspectsIndex := state.Suspects(); suspectsIndex > have.Version {
		u.Suspects, u.SuspectsChanged = suspects, true
	}
	if state.EvacuatedIndex() > have.Version {
		u.Evacuated, u.EvacuatedChanged = state.Evacuated(), true
	}
	addChanges(u, have.Version, state)
	for _, t := range state.Targets() {
		u.AllTargets = append(u.AllTargets, t.ID)
	}
	return u
}
