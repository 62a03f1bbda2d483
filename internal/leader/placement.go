package leader

import (
	"math"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// placeRanges chooses owners for the ranges that may get a new fence, and for services
// whose keys were never assigned.
func (m *Model) placeRanges(free placements) []deployment.Assignment {
	var out []deployment.Assignment
	for _, table := range m.state.Tables() {
		if len(table.Ranges) == 1 && table.Ranges[0].Phase == deployment.Unowned {
			out = append(out, m.assignInitially(table)...)
		}
	}
	return append(out, m.granter.place(m, free)...)
}

// leftUnassigned returns a range that the first assignment left without an owner, because its
// target left before the command was committed.
func (m *Model) leftUnassigned(table deployment.KeyTable, r deployment.Range) []deployment.Assignment {
	if len(table.Ranges) == 1 {
		return nil // see assignInitially
	}
	return []deployment.Assignment{{Range: deployment.RangeRef{Service: table.Service, From: r.From, To: r.To, Fence: r.Fence}}}
}

// placeRange assigns a range to its planned owner if that is live and may be given keys, or
// else in parts to the least busy targets.
func (m *Model) placeRange(a deployment.Assignment, planned map[string]float64) []deployment.Assignment {
	usages := m.usagesInPlan(a.Range.Service)
	if len(usages) == 0 {
		return nil
	}
	isPlanned := func(u targetUsage) bool { return incarnationOf(u.target) == a.To }
	usages = placeable(usages)
	if slices.ContainsFunc(usages, isPlanned) {
		return []deployment.Assignment{a}
	}
	stats := m.statsOf(a.Range.Service)
	// Each range costs renewals for as long as it exists, so only a range that
	// would load its next owner heavily is split.
	parts := split(a.Range, m.partsOf(a.Range, usages))
	var out []deployment.Assignment
	for _, part := range parts {
		best := slices.MinFunc(usages, func(x, y targetUsage) int {
			ux := x.utilization() + planned[x.target.ID]
			uy := y.utilization() + planned[y.target.ID]
			switch {
			case ux < uy:
				return -1
			case ux > uy:
				return 1
			}
			return x.width - y.width
		})
		rate := stats.rateOf(part.From, part.To)
		// The added 0.01 spreads ranges without load over the targets.
		planned[best.target.ID] += rate*best.perRequest() + 0.01
		out = append(out, deployment.Assignment{Range: part, To: incarnationOf(best.target), Handover: a.Handover})
	}
	return out
}

// partsOf returns the number of parts in which a range gets new owners.
func (m *Model) partsOf(ref deployment.RangeRef, usages []targetUsage) int {
	stats := m.statsOf(ref.Service)
	utilization := stats.rateOf(ref.From, ref.To) * usages[0].meanPerRequest(stats)
	return max(1, min(int(math.Ceil(utilization/maxPartUtilization)), maxParts, len(usages), ref.Width()))
}

// split divides a range into n parts of about the same width.
func split(ref deployment.RangeRef, n int) []deployment.RangeRef {
	total := ref.Width()
	var out []deployment.RangeRef
	for i := range n {
		part := ref
		part.From = ref.From + deployment.Key(total*i/n)
		part.To = ref.From + deployment.Key(total*(i+1)/n-1)
		out = append(out, part)
	}
	return out
}

// assignInitially assigns an equal part of all keys to each live target that may be given
// keys, once their
// number has not changed for InitialDelay, or MaxInitialDelay after the first one.
func (m *Model) assignInitially(table deployment.KeyTable) []deployment.Assignment {
	usages := m.targetUsages(table.Service)
	arrivals := m.arrivals[table.Service]
	if len(usages) != arrivals.count {
		if arrivals.count == 0 {
			arrivals.firstAt = m.now
		}
		arrivals.count, arrivals.lastAt = len(usages), m.now
		m.arrivals[table.Service] = arrivals
	}
	if len(usages) == 0 || m.now.Sub(arrivals.lastAt) < m.timing.InitialDelay && m.now.Sub(arrivals.firstAt) < m.timing.MaxInitialDelay {
		return nil
	}
	var out []deployment.Assignment
	all := deployment.RangeRef{Service: table.Service, From: 0, To: deployment.MaxKey}
	usages = placeable(usages)
	for i, part := range split(all, len(usages)) {
		out = append(out, deployment.Assignment{Range: part, To: incarnationOf(usages[i].target)})
	}
	return out
}
