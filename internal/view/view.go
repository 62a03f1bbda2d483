// Package view is what an entry of a routed deployment routes by: the
// configuration, the targets and the owners of keys, as streamed by a control
// instance.
package view

import (
	"maps"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// View is an entry's copy of the agreed state. It is immutable.
type View struct {
	Version  uint64 // log index that it is complete to
	DocIndex uint64 // log index of the configuration; 0 before the first one
	Document deployment.Document
	Routes   deployment.RouteTable
	Control  []string // addresses of control instances

	targets  map[string]deployment.Target
	services map[string][]deployment.Target // usable targets, in order of their IDs
	tables   map[string]deployment.KeyTable
	suspects map[string]bool // whether requests of the kind are refused
}

// Target returns the target with the ID.
func (v *View) Target(id string) (deployment.Target, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// Usable returns the targets of a service that may get new work. The slice is
// shared and must not be changed.
func (v *View) Usable(service string) []deployment.Target { return v.services[service] }

// Owner returns the range of a keyed service's keys that has the key.
func (v *View) Owner(service string, key deployment.Key) (deployment.Range, bool) {
	t, ok := v.tables[service]
	if !ok || len(t.Ranges) == 0 {
		return deployment.Range{}, false
	}
	return t.Find(key), true
}

// Suspected reports whether targets crashed while they ran requests of a kind, and
// whether such requests are refused by now.
func (v *View) Suspected(fingerprint string) (suspected, blocked bool) {
	blocked, suspected = v.suspects[fingerprint]
	return suspected, blocked
}

// With returns the view after an update.
func (v *View) With(u *instance.ViewUpdate) *View {
	next := &View{
		Version:  u.Version,
		DocIndex: u.DocIndex,
		Document: v.Document,
		Routes:   v.Routes,
		Control:  v.Control,
		targets:  v.targets,
		services: v.services,
		tables:   v.tables,
		suspects: v.suspects,
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
	if u.Document != nil {
		old := v.Document
		if u.Whole {
			old = deployment.Document{}
		}
		next.Document = u.Document.ApplyTo(old)
		next.Routes = deployment.NewRouteTable(next.Document)
	}
	if u.Whole || len(u.Targets) > 0 || len(u.Gone) > 0 || len(u.Known) > 0 {
		next.withTargets(u)
	}
	if u.Whole || len(u.Tables) > 0 {
		next.withTables(u)
	}
	return next
}

func (v *View) withTargets(u *instance.ViewUpdate) {
	targets := make(map[string]deployment.Target, len(v.targets)+len(u.Targets))
	if !u.Whole {
		for id, t := range v.targets {
			targets[id] = t
		}
	}
	for _, id := range u.Gone {
		delete(targets, id)
	}
	for _, t := range u.Targets {
		targets[t.ID] = t
	}
	if len(u.Known) > 0 {
		maps.DeleteFunc(targets, func(id string, _ deployment.Target) bool {
			_, known := slices.BinarySearch(u.Known, id)
			return !known
		})
	}
	v.targets = targets
	v.services = make(map[string][]deployment.Target)
	for _, t := range targets {
		if t.Usable() {
			v.services[t.Service] = append(v.services[t.Service], t)
		}
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b deployment.Target) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
}

func (v *View) withTables(u *instance.ViewUpdate) {
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

// Since returns what changed between two states. A nil older state gives all.
func Since(old *deployment.State, now deployment.State) *instance.ViewUpdate {
	doc, docIndex := now.Document()
	u := &instance.ViewUpdate{Version: now.Version(), DocIndex: docIndex}
	suspects, suspectsIndex := now.Suspects()
	if old == nil || suspectsIndex > old.Version() {
		u.Suspects, u.SuspectsChanged = suspects, true
	}
	if old == nil {
		whole := doc.ChangeFrom(deployment.Document{})
		u.Whole, u.Document, u.Targets, u.Tables = true, &whole, now.Targets(), now.Tables()
		return u
	}
	if before, index := old.Document(); index != docIndex {
		change := doc.ChangeFrom(before)
		u.Document = &change
	}
	addChanges(u, old.Version(), now)
	for _, t := range old.Targets() {
		if _, ok := now.Target(t.ID); !ok {
			u.Gone = append(u.Gone, t.ID)
		}
	}
	return u
}

// addChanges adds the targets and owners of keys that changed after a log index.
func addChanges(u *instance.ViewUpdate, version uint64, now deployment.State) {
	for _, t := range now.Targets() {
		if t.Changed > version {
			u.Targets = append(u.Targets, t)
		}
	}
	for _, t := range now.Tables() {
		if t.Changed > version {
			u.Tables = append(u.Tables, t.ChangedSince(version))
		}
	}
}

// Resume returns what changed since a view of which only the version is known.
// It spares an entry on a busy link most of what it has. A view that is newer
// than the state gets nothing but the state's version.
func Resume(have *instance.WatchRequest, now deployment.State) *instance.ViewUpdate {
	if have.Version == 0 {
		return Since(nil, now)
	}
	doc, docIndex := now.Document()
	u := &instance.ViewUpdate{Version: now.Version(), DocIndex: docIndex}
	if have.Version > now.Version() {
		return u
	}
	if docIndex != have.DocIndex {
		whole := doc.ChangeFrom(deployment.Document{})
		whole.Whole = true
		u.Document = &whole
	}
	if suspects, suspectsIndex := now.Suspects(); suspectsIndex > have.Version {
		u.Suspects, u.SuspectsChanged = suspects, true
	}
	addChanges(u, have.Version, now)
	for _, t := range now.Targets() {
		u.Known = append(u.Known, t.ID)
	}
	return u
}
