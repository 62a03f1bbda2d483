package leader

import (
	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// granter is the way in which the owners of keys learn what to hold. Model decides who
// owns which keys; a granter decides how and when an owner is told, and when keys that
// need an owner are given to which target.
type granter interface {
	// forTerm returns the granter for a new term of the leader.
	forTerm() granter
	// keep returns what is due for the owner of a range to go on holding it.
	keep(m *Model, t deployment.Target, ref deployment.RangeRef, rs *rangeState, handover string) rangeStep
	// release returns what is due for the owner of a range to release it.
	release(m *Model, t deployment.Target, ref deployment.RangeRef, rs *rangeState) rangeStep
	// place returns the assignments to make now, of keys that may get a new fence.
	place(m *Model, free placements) []deployment.Assignment
	// rebalance returns the keys that their owners are to release now so that the load
	// becomes even.
	rebalance(m *Model) []deployment.RangeRef
	// timing returns the timing for a number of ranges.
	timing(base Timing, ranges int) Timing
	// responsive reports whether the owner of a range still learns what to hold.
	responsive(m *Model, t deployment.Target, rs *rangeState) bool
	// reachesLaterStart reports whether a grant to a target may take effect at a later start
	// of it, whose announcement the leader has not heard of.
	reachesLaterStart() bool
	// mergesRanges reports whether neighbouring ranges of one target become one.
	mergesRanges() bool
}

// callGranter sends calls to targets: one for each grant, renewal and release.
type callGranter struct{}

func (callGranter) forTerm() granter { return callGranter{} }

func (callGranter) keep(m *Model, t deployment.Target, ref deployment.RangeRef, rs *rangeState, handover string) rangeStep {
	return m.grantIfDue(t, ref, rs, handover)
}

func (callGranter) release(m *Model, t deployment.Target, ref deployment.RangeRef, rs *rangeState) rangeStep {
	return m.releaseIfDue(t, ref, rs)
}

func (callGranter) place(m *Model, free placements) []deployment.Assignment {
	planned := make(map[string]float64) // utilization already planned, by target ID
	out := free.regrants
	for _, a := range free.reassignable {
		out = append(out, m.placeRange(a, planned)...)
	}
	return out
}

func (callGranter) rebalance(m *Model) []deployment.RangeRef { return m.rebalance() }

// responsive reports whether the target still answers grants or sends heartbeats.
func (callGranter) responsive(m *Model, t deployment.Target, rs *rangeState) bool {
	return rs.failures == 0 || m.recentHeartbeat(t)
}

func (callGranter) timing(base Timing, ranges int) Timing { return base.withRanges(ranges) }

// reachesLaterStart returns true: calls are addressed to an ID.
func (callGranter) reachesLaterStart() bool { return true }

func (callGranter) mergesRanges() bool { return true }
