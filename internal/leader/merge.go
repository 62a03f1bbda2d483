package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

const (
	// mergeInterval is the time between two commands that merge ranges.
	mergeInterval = time.Second
	// maxMerged bounds the ranges that one command merges.
	maxMerged = 48
	// busyKeyUtilization is the utilization of its owner by a single key from which on the key stays
	// a range of its own: its neighbours or itself will move.
	busyKeyUtilization = 0.25
	// From wantedRangesPerTarget ranges for each target on, and more than wantedRanges, ranges with
	// little load move to the owner of a neighbouring one. From twice as many on, none is split.
	wantedRangesPerTarget = 2
	wantedRanges          = 128
)

// wantedRangesOf returns the number of ranges that a number of targets needs at most for an even load.
func wantedRangesOf(targets int) int { return max(wantedRangesPerTarget*targets, wantedRanges) }

// mayAddRange reports whether a service may have one more range than n.
func (m *Model) mayAddRange(n, targets int) bool {
	return !m.mergesRanges() || n < 2*wantedRangesOf(targets)
}

// mergesRanges reports whether neighbouring ranges of one target become one. All instances must
// know how: the command that assigns them to the target again does not tell.
func (m *Model) mergesRanges() bool {
	return m.granter.mergesRanges() && m.state.FeatureLevel() >= deployment.MergeLevel
}

// nextMerges returns assignments of neighbouring ranges to their common owner. Without
// merges the number of ranges, and of renewals with it, would grow with the age of the
// deployment.
func (m *Model) nextMerges() []deployment.Assignment {
	if !m.mergesRanges() || !m.graceOver() || m.now.Sub(m.lastMerge) < mergeInterval {
		return nil
	}
	m.lastMerge = m.now
	var out []deployment.Assignment
	for _, table := range m.state.Tables() {
		for i, r := range table.Ranges {
			if len(out) >= maxMerged || !m.mergeable(table.Service, r) {
				continue
			}
			joins := func(k int) bool {
				return k >= 0 && k < len(table.Ranges) && sameOwner(r, table.Ranges[k]) && m.mergeable(table.Service, table.Ranges[k])
			}
			if joins(i-1) || joins(i+1) {
				ref := deployment.RangeRef{Service: table.Service, From: r.From, To: r.To, Fence: r.Fence}
				out = append(out, deployment.Assignment{Range: ref, To: deployment.Incarnation{ID: r.Target, StartMillis: r.StartMillis}})
			}
		}
	}
	return out
}

func sameOwner(a, b deployment.Range) bool {
	return a.Target == b.Target && a.StartMillis == b.StartMillis
}

// mergeable reports whether a range may get a new fence with its neighbours: its owner answers and
// holds it, and no call for it is in flight.
func (m *Model) mergeable(service string, r deployment.Range) bool {
	rs := m.lookupRangeState(service, r.From, r.Fence)
	if r.Phase != deployment.Owned || rs == nil || rs.confirmedAt == 0 || rs.failures > 0 || rs.inFlight || rs.fenced || rs.reassigned || rs.released {
		return false
	}
	if m.grantInFlight(deployment.RangeRef{Service: service, From: r.From, To: r.To, Fence: r.Fence}) {
		return false
	}
	return r.Width() > 1 || !m.isBusyKey(service, r)
}

func (m *Model) isBusyKey(service string, r deployment.Range) bool {
	rate := m.statsOf(service).rateOf(r.From, r.To)
	for _, u := range m.usagesInPlan(service) {
		if u.target.ID == r.Target {
			return rate*u.perRequest() >= busyKeyUtilization
		}
	}
	return false
}
