package leader

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// renew returns the grant of a range if it is due.
func (m *Model) renew(t deployment.Target, ref deployment.RangeRef, l *lease, handover string) rangeStep {
	if l.inFlight || m.now < l.nextGrant {
		return rangeStep{}
	}
	if l.failures > 0 && !m.heartbeatSince(t, l.failedAt) {
		// Another incarnation may have the address by now. It must not get keys
		// under the fence of the previous one.
		return rangeStep{}
	}
	grant := SendGrant{Target: t, Range: ref, LeaseDuration: m.timing.LeaseDuration, Handover: handover}
	return rangeStep{grant: &dueGrant{SendGrant: grant, lease: l}}
}

// dueGrant is a grant that is due, with its lease.
type dueGrant struct {
	SendGrant
	lease *lease
}

// A new leader spreads its first renewals of all keys over renewalSpread of the
// renewal interval. A plan may always send minGrantsPerPlan grants.
const (
	minGrantsPerPlan = 16
	renewalSpread    = 0.6
)

// sendGrants returns the grants to send now: those to new owners first, then those
// that have waited longest. A leader that sends all at once has no time left to
// confirm its leadership.
func (m *Model) sendGrants(due []dueGrant, ranges int) []Effect {
	perPlan := int(math.Ceil(float64(ranges) * float64(planInterval) / (renewalSpread * float64(m.timing.RenewalInterval))))
	if limit := max(minGrantsPerPlan, perPlan); len(due) > limit {
		slices.SortStableFunc(due, func(a, b dueGrant) int { return cmp.Compare(a.priority(), b.priority()) })
		due = due[:limit]
	}
	out := make([]Effect, 0, len(due))
	for _, g := range due {
		g.lease.inFlight = true
		m.grantsInFlight = append(m.grantsInFlight, g.Range)
		out = append(out, g.SendGrant)
	}
	return out
}

// priority orders due grants; the lowest is sent first.
func (g dueGrant) priority() timer.Instant {
	if g.lease.expiry == 0 {
		return 0
	}
	return g.lease.nextGrant
}

// release returns the release request of a range if it is due.
func (m *Model) release(t deployment.Target, ref deployment.RangeRef, l *lease) rangeStep {
	if l.inFlight || m.now < l.nextRelease || !m.graceOver() {
		return rangeStep{}
	}
	l.inFlight = true
	return rangeStep{effects: []Effect{SendRelease{Target: t, Range: ref}}}
}

// handleGranted applies the result of a grant.
func (m *Model) handleGranted(e Granted) {
	if i := slices.Index(m.grantsInFlight, e.Range); i >= 0 {
		m.grantsInFlight = slices.Delete(m.grantsInFlight, i, i+1)
	}
	if e.Sent {
		m.extendLeases(e)
	}
	l := m.lookupLease(e.Range.Service, e.Range.From, e.Range.Fence)
	if l == nil {
		return
	}
	l.inFlight = false
	switch {
	case e.Err == nil:
		l.failures = 0
		l.nextGrant = e.At.Add(m.timing.RenewalInterval)
		if l.confirmedAt == 0 {
			l.confirmedAt = e.At
		}
	case errors.Is(e.Err, ErrFenced):
		l.fenced = true
	case !e.Sent:
		// The failure is not the target's, and the grant stays due.
	default:
		l.failures++
		l.failedAt = e.At
		l.nextGrant = e.At.Add(m.timing.RenewalInterval / 4)
	}
}

// extendLeases extends the expiry of the leases that a sent grant covers. The range
// may have been split since it was sent.
func (m *Model) extendLeases(e Granted) {
	for from, l := range m.leases[fenceID{service: e.Range.Service, fence: e.Range.Fence}] {
		if from < e.Range.From || from > e.Range.To {
			continue
		}
		l.expiry = max(l.expiry, m.timing.latestExpiry(e.At))
		if e.Err != nil && !errors.Is(e.Err, ErrFenced) {
			l.unansweredExpiry = max(l.unansweredExpiry, m.timing.latestExpiry(e.At))
		}
	}
}

// grantInFlight reports whether a grant of any of the keys is in flight.
func (m *Model) grantInFlight(ref deployment.RangeRef) bool {
	return slices.ContainsFunc(m.grantsInFlight, func(other deployment.RangeRef) bool {
		return other.Service == ref.Service && other.Fence == ref.Fence && other.From <= ref.To && ref.From <= other.To
	})
}

// handleReleased applies the result of a release.
func (m *Model) handleReleased(e Released) {
	l := m.lookupLease(e.Range.Service, e.Range.From, e.Range.Fence)
	if l == nil {
		return
	}
	l.inFlight = false
	l.nextRelease = e.At.Add(m.timing.RenewalInterval / 4)
	if e.Err == nil {
		l.released = true
		l.handover = e.Handover
	}
}
