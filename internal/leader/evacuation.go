package leader

import (
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// otherOwners tells for which services a target can take keys of evacuated zones, at one time.
type otherOwners struct {
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
	return !t.Usable() || m.state.IsEvacuated(t.AvailabilityZone) && m.hasOtherOwner(t.Service)
}

// hasOtherOwner reports whether a target of the service may own keys.
func (m *Model) hasOtherOwner(service string) bool {
	if m.otherOwners.byService == nil || m.otherOwners.at != m.now || m.otherOwners.version != m.state.Version() {
		m.otherOwners = otherOwners{at: m.now, version: m.state.Version(), byService: make(map[string]bool)}
	}
	has, ok := m.otherOwners.byService[service]
	if !ok {
		has = slices.ContainsFunc(m.state.Targets(), func(t deployment.Target) bool { return t.Service == service && m.mayOwn(t) })
		m.otherOwners.byService[service] = has
	}
	return has
}
