package leader

import (
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// refuges tells for which services a target can take keys of evacuated zones, at one time.
type refuges struct {
	at        timer.Instant
	version   uint64 // of the state
	byService map[string]bool
}

// mayOwn reports whether keys may be given to a target.
func (m *Model) mayOwn(t deployment.Target) bool {
	return t.Status == deployment.Live && m.recentHeartbeat(t) && !m.state.IsEvacuated(t.AvailabilityZone)
}

// mustLeave reports whether a target is to give up its keys: it is draining or has left, or
// its zone is evacuated and there is a target elsewhere that can take them. Without one,
// moving the keys would only leave them without an owner.
func (m *Model) mustLeave(t deployment.Target) bool {
	return !t.Usable() || m.state.IsEvacuated(t.AvailabilityZone) && m.hasRefuge(t.Service)
}

// hasRefuge reports whether a target of the service may own keys.
func (m *Model) hasRefuge(service string) bool {
	if m.refuges.byService == nil || m.refuges.at != m.now || m.refuges.version != m.state.Version() {
		m.refuges = refuges{at: m.now, version: m.state.Version(), byService: make(map[string]bool)}
	}
	has, ok := m.refuges.byService[service]
	if !ok {
		has = slices.ContainsFunc(m.state.Targets(), func(t deployment.Target) bool { return t.Service == service && m.mayOwn(t) })
		m.refuges.byService[service] = has
	}
	return has
}
