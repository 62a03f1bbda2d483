package leader

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// grantIfDue returns the next grant of a range, its first one or a renewal, if it is
// due.
func (m *Model) grantIfDue(t deployment.Target, ref deployment.RangeRef, rs *rangeState, handover string) rangeStep {
	if rs.inFlight || m.now < rs.nextGrant {
		return rangeStep{}
	}
	if rs.failures > 0 && !m.heartbeatSince(t, rs.failedAt) {
		// Another incarnation may have the address by now. It must not get keys
		// under the fence of the previous one.
		return rangeStep{}
	}
	grant := SendGrant{Term: m.term, Target: t, Range: ref, LeaseDuration: m.timing.LeaseDuration, Handover: handover}
	return rangeStep{grant: &dueGrant{SendGrant: grant, state: rs}}
}

// dueGrant is a grant that is due, with the state of its range.
type dueGrant struct {
	SendGrant
	state *rangeState
}

// A new leader spreads its first renewals of all keys over renewalSpread of the
// renewal interval. A plan may always send minGrantsPerPlan grants.
const (
	minGrantsPerPlan = 16
	renewalSpread    = 0.6
)

// Grants in flight are bounded, so that targets which answer late or never take no time of the leader.
// Retries have places of their own, and a target that has answered none in this term is sent one at
// a time.
const (
	minGrantsInFlight = 64
	grantsPerRange    = 0.1 // in flight, retries included
	retryShare        = 0.5 // of all places
)

// grantInFlight is a grant that has not ended.
type grantInFlight struct {
	deployment.RangeRef
	target string // ID
}

// sendGrants returns the grants to send now: to targets that were heard in this term before
// others, and of each those to new owners first, then those that have waited longest. A leader
// that sends all at once, or ever more while earlier ones are not answered, has no time left to
// confirm its leadership.
func (m *Model) sendGrants(due []dueGrant, ranges int) []Effect {
	perPlan := int(math.Ceil(float64(ranges) * float64(m.sinceLastPlan()) / (renewalSpread * float64(m.base.RenewalInterval))))
	places := max(minGrantsInFlight, int(grantsPerRange*float64(ranges)))
	retryPlaces := int(retryShare * float64(places))
	asked := make(map[string]bool) // targets with a grant in flight, by ID
	for _, g := range m.grantsInFlight {
		asked[g.target] = true
		places--
		if rs := m.lookupRangeState(g.Service, g.From, g.Fence); rs != nil && m.isRetry(rs, g.target) {
			retryPlaces--
		}
	}
	places = min(places, max(minGrantsPerPlan, perPlan))
	slices.SortStableFunc(due, func(a, b dueGrant) int {
		return cmp.Or(m.heardOrder(a.Target)-m.heardOrder(b.Target), cmp.Compare(m.sendOrder(a), m.sendOrder(b)))
	})
	out := make([]Effect, 0, len(due))
	for _, g := range due {
		retry := m.isRetry(g.state, g.Target.ID)
		if places <= 0 || retry && retryPlaces <= 0 || asked[g.Target.ID] && !m.answered[g.Target.ID] {
			continue
		}
		places--
		if retry {
			retryPlaces--
		}
		asked[g.Target.ID] = true
		g.state.inFlight, g.state.granted = true, true
		m.grantsInFlight = append(m.grantsInFlight, grantInFlight{RangeRef: g.Range, target: g.Target.ID})
		out = append(out, g.SendGrant)
	}
	return out
}

// heardOrder returns 0 for targets that were heard in this term, and 1 for others.
func (m *Model) heardOrder(t deployment.Target) int {
	if _, heard := m.lastHeartbeat[incarnationOf(t)]; heard || m.answered[t.ID] {
		return 0
	}
	return 1
}

// isRetry reports whether the last grant of a range was not answered, or the only one so far to its
// target.
func (m *Model) isRetry(rs *rangeState, target string) bool {
	answered, known := m.answered[target]
	return rs.failures > 0 || known && !answered
}

// sinceLastPlan returns the time since the last plan. Plans are at least about planInterval
// apart, and without a confirmed leadership there are none.
func (m *Model) sinceLastPlan() time.Duration {
	if m.plannedAt == 0 {
		return planInterval
	}
	return min(max(planInterval, m.now.Sub(m.plannedAt)), planInterval+maxPlanPause)
}

// sendOrder returns the sort key of a due grant: 0 for one that was never sent, else
// when it became due. Ranges of a target that answers none wait for their turn together.
func (m *Model) sendOrder(g dueGrant) timer.Instant {
	if !m.answered[g.Target.ID] {
		if at, failed := m.unansweredAt[g.Target.ID]; failed {
			return at
		}
	}
	if !g.state.granted {
		return 0
	}
	return g.state.nextGrant
}

// releaseIfDue returns the release request of a range if it is due.
func (m *Model) releaseIfDue(t deployment.Target, ref deployment.RangeRef, rs *rangeState) rangeStep {
	if rs.inFlight || m.now < rs.nextRelease || !m.graceOver() {
		return rangeStep{}
	}
	rs.inFlight = true
	return rangeStep{effects: []Effect{SendRelease{Term: m.term, Target: t, Range: ref}}}
}

// handleGrantEnded applies the result of a grant. One of an earlier term tells only how long
// the keys may be held.
func (m *Model) handleGrantEnded(e GrantEnded) {
	if e.Term != m.term {
		if e.Sent {
			m.extendExpiries(e, "")
		}
		return
	}
	target := ""
	if i := slices.IndexFunc(m.grantsInFlight, func(g grantInFlight) bool { return g.RangeRef == e.Range }); i >= 0 {
		target = m.grantsInFlight[i].target
		m.grantsInFlight = slices.Delete(m.grantsInFlight, i, i+1)
	}
	if e.Sent {
		m.extendExpiries(e, target)
	}
	rs := m.lookupRangeState(e.Range.Service, e.Range.From, e.Range.Fence)
	if rs == nil {
		return
	}
	rs.inFlight = false
	switch {
	case e.Err == nil:
		m.answered[rs.owner] = true
		rs.failures = 0
		rs.nextGrant = e.At.Add(m.timing.RenewalInterval)
		if rs.confirmedAt == 0 {
			rs.confirmedAt = e.At
		}
	case errors.Is(e.Err, ErrFenced):
		rs.fenced = true
	case errors.Is(e.Err, replica.ErrNotLeader):
		// The failure is not the target's, and the grant stays due.
	default:
		if !m.answered[rs.owner] {
			m.answered[rs.owner] = false // it was asked
			m.unansweredAt[rs.owner] = e.At
		}
		rs.failures++
		rs.failedAt = e.At
		rs.nextGrant = e.At.Add(m.timing.RenewalInterval / 4)
	}
}

// extendExpiries extends the expiry of the ranges that a sent grant covers. The range of the grant
// may have been split since it was sent, or its owner may have got the keys again under a later
// fence. An empty target stands for one that is not known.
func (m *Model) extendExpiries(e GrantEnded, target string) {
	if rs := m.lookupRangeState(e.Range.Service, e.Range.From, e.Range.Fence); rs != nil && m.isWhole(e.Range) {
		m.extendExpiry(rs, e)
		return
	}
	for id, ranges := range m.rangeStates {
		if id.service != e.Range.Service || id.fence < e.Range.Fence {
			continue
		}
		for from, rs := range ranges {
			overlaps := from <= e.Range.To && e.Range.From <= rs.to
			if id.fence == e.Range.Fence && e.Range.From <= from && from <= e.Range.To ||
				id.fence > e.Range.Fence && overlaps && (target == "" || rs.owner == target) {
				m.extendExpiry(rs, e)
			}
		}
	}
}

func (m *Model) extendExpiry(rs *rangeState, e GrantEnded) {
	expiry := leaseExpiry(e.At, max(e.LeaseDuration, m.timing.LeaseDuration))
	rs.expiry = max(rs.expiry, expiry)
	if e.Err != nil && !errors.Is(e.Err, ErrFenced) {
		rs.unansweredExpiry = max(rs.unansweredExpiry, expiry)
	}
}

// isWhole reports whether a range has not been split, and no command to split it is
// pending. Most ranges of a service may have the same fence, so looking for parts takes
// longer the more ranges there are.
func (m *Model) isWhole(ref deployment.RangeRef) bool {
	table, ok := m.state.Table(ref.Service)
	if !ok || m.splitting[fenceID{service: ref.Service, fence: ref.Fence}] {
		return false
	}
	r := table.Find(ref.From)
	return r.From == ref.From && r.To == ref.To && r.Fence == ref.Fence
}

// grantInFlight reports whether a grant of any of the keys is in flight.
func (m *Model) grantInFlight(ref deployment.RangeRef) bool {
	return slices.ContainsFunc(m.grantsInFlight, func(g grantInFlight) bool {
		return g.Fence == ref.Fence && g.overlaps(ref)
	})
}

// earlierGrantInFlight reports whether a grant of any of the keys to a target is in flight that has
// an earlier fence. The target may apply it if it has not seen the later one.
func (m *Model) earlierGrantInFlight(ref deployment.RangeRef, target string) bool {
	return slices.ContainsFunc(m.grantsInFlight, func(g grantInFlight) bool {
		return g.Fence < ref.Fence && g.target == target && g.overlaps(ref)
	})
}

func (g grantInFlight) overlaps(ref deployment.RangeRef) bool {
	return g.Service == ref.Service && g.From <= ref.To && ref.From <= g.To
}

// handleReleaseEnded applies the result of a release.
func (m *Model) handleReleaseEnded(e ReleaseEnded) {
	rs := m.lookupRangeState(e.Range.Service, e.Range.From, e.Range.Fence)
	if rs == nil {
		return
	}
	rs.inFlight = false
	rs.nextRelease = e.At.Add(m.timing.RenewalInterval / 4)
	if e.Err == nil {
		rs.released = true
		rs.handover = e.Handover
	}
}
