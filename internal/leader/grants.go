package leader

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func (m *Model) renew(t deployment.Target, ref deployment.RangeRef, h *hold, handover string) rangeStep {
	if h.calling || m.now < h.next {
		return rangeStep{}
	}
	if h.failures > 0 && !m.heartbeatSince(t, h.failedAt) {
		// Another incarnation may have the address by now. It must not be granted
		// keys under the fence of the one before.
		return rangeStep{}
	}
	grant := SendGrant{Target: t, Range: ref, LeaseDuration: m.timing.LeaseDuration, Handover: handover}
	return rangeStep{grant: &dueGrant{SendGrant: grant, hold: h}}
}

// dueGrant is a grant that may be sent now.
type dueGrant struct {
	SendGrant
	hold *hold
}

// grantBurst is the least number of grants that one plan may send, and
// grantSpread the share of the time between two renewals over which a new
// leader's first renewals of all keys are spread.
const (
	grantBurst  = 16
	grantSpread = 0.6
)

// sendGrants sends the grants that are due: those of new owners first, then
// those that have waited longest. A leader that sends all at once has no time
// left to prove that it still leads.
func (m *Model) sendGrants(due []dueGrant, ranges int) []Effect {
	perPlan := int(math.Ceil(float64(ranges) * float64(planPeriod) / (grantSpread * float64(m.timing.Renewal))))
	if most := max(grantBurst, perPlan); len(due) > most {
		slices.SortStableFunc(due, func(a, b dueGrant) int { return cmp.Compare(a.rank(), b.rank()) })
		due = due[:most]
	}
	out := make([]Effect, 0, len(due))
	for _, g := range due {
		g.hold.calling = true
		m.flights = append(m.flights, g.Range)
		out = append(out, g.SendGrant)
	}
	return out
}

// rank orders grants that are due; the lowest goes first.
func (g dueGrant) rank() timer.Instant {
	if g.hold.end == 0 {
		return 0
	}
	return g.hold.next
}

func (m *Model) release(t deployment.Target, ref deployment.RangeRef, h *hold) rangeStep {
	if h.calling || m.now < h.nextAsk || !m.calm() {
		return rangeStep{}
	}
	h.calling = true
	return rangeStep{effects: []Effect{SendRelease{Target: t, Range: ref}}}
}

// granted takes what became of a grant.
func (m *Model) granted(e Granted) {
	if i := slices.Index(m.flights, e.Range); i >= 0 {
		m.flights = slices.Delete(m.flights, i, i+1)
	}
	if e.Sent {
		m.noteSent(e)
	}
	h := m.known(e.Range.Service, e.Range.From, e.Range.Fence)
	if h == nil {
		return
	}
	h.calling = false
	switch {
	case e.Err == nil:
		h.failures = 0
		h.next = e.At.Add(m.timing.Renewal)
		if h.confirmed == 0 {
			h.confirmed = e.At
		}
	case errors.Is(e.Err, ErrFenced):
		h.fenced = true
	case !e.Sent:
		// It says nothing of the target, and is due as before.
	default:
		h.failures++
		h.failedAt = e.At
		h.next = e.At.Add(m.timing.Renewal / 4)
	}
}

// noteSent extends what a grant may have given. It may have been sent for keys
// that were cut into several ranges since.
func (m *Model) noteSent(e Granted) {
	for from, h := range m.holds[fenceID{service: e.Range.Service, fence: e.Range.Fence}] {
		if from < e.Range.From || from > e.Range.To {
			continue
		}
		h.end = max(h.end, m.timing.outlasts(e.At))
		if e.Err != nil && !errors.Is(e.Err, ErrFenced) {
			h.unanswered = max(h.unanswered, m.timing.outlasts(e.At))
		}
	}
}

// granting reports whether a grant of any of the keys is under way.
func (m *Model) granting(ref deployment.RangeRef) bool {
	return slices.ContainsFunc(m.flights, func(x deployment.RangeRef) bool {
		return x.Service == ref.Service && x.Fence == ref.Fence && x.From <= ref.To && ref.From <= x.To
	})
}

func (m *Model) released(e Released) {
	h := m.known(e.Range.Service, e.Range.From, e.Range.Fence)
	if h == nil {
		return
	}
	h.calling = false
	h.nextAsk = e.At.Add(m.timing.Renewal / 4)
	if e.Err == nil {
		h.released = true
		h.handover = e.Handover
	}
}
