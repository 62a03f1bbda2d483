package leader

import (
	"cmp"
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
	acceptable := m.acceptableUtilization(a.Range.Service, usages)
	out, highest := m.placeParts(a, 1, usages, planned, acceptable)
	for n := 2; n <= min(maxParts, len(usages), a.Range.Width()) && highest > acceptable; n++ {
		out, highest = m.placeParts(a, n, usages, planned, acceptable)
	}
	for _, part := range out {
		planned[part.To.ID] += m.addedUtilization(part, usages)
	}
	return out
}

// acceptableUtilization returns the utilization of a target up to which it is given more keys as
// they are. Each range costs renewals for as long as it exists, so that one is split only
// if it would load its next owner more than that.
func (m *Model) acceptableUtilization(service string, usages []targetUsage) float64 {
	return max(minBusyUtilization, m.meanUtilization(service, usages)+minUtilizationGap)
}

// meanUtilization returns the mean utilization of the targets, as if all keys had an owner.
func (m *Model) meanUtilization(service string, usages []targetUsage) float64 {
	capacity := 0.0 // requests a second
	for _, u := range usages {
		capacity += 1 / u.perRequest()
	}
	return m.statsOf(service).rateOf(0, deployment.MaxKey) / capacity
}

// spreadUtilization is added for each range, so that ranges without load are spread over the
// targets.
const spreadUtilization = 0.01

// addedUtilization returns what an assignment adds to the utilization of its owner.
func (m *Model) addedUtilization(a deployment.Assignment, usages []targetUsage) float64 {
	rate := m.statsOf(a.Range.Service).rateOf(a.Range.From, a.Range.To)
	for _, u := range usages {
		if incarnationOf(u.target) == a.To {
			return rate*u.perRequest() + spreadUtilization
		}
	}
	return 0
}

// placeParts chooses owners for n parts of a range, given what is already planned for each target. It
// returns the assignments and the highest utilization that they would cause. The first
// and the last part go to the owner of the range beside it, if that is not loaded more than is
// acceptable, so that the two become one range.
func (m *Model) placeParts(a deployment.Assignment, n int, usages []targetUsage, planned map[string]float64, acceptable float64) (out []deployment.Assignment, highest float64) {
	stats := m.statsOf(a.Range.Service)
	added := make(map[string]float64, n)
	parts := split(a.Range, n)
	for i, part := range parts {
		rate := stats.rateOf(part.From, part.To)
		utilization := func(u targetUsage) float64 {
			return u.utilization() + planned[u.target.ID] + added[u.target.ID]
		}
		best := slices.MinFunc(usages, func(x, y targetUsage) int {
			return cmp.Or(cmp.Compare(utilization(x), utilization(y)), cmp.Compare(x.width, y.width))
		})
		if best.width > 0 || planned[best.target.ID]+added[best.target.ID] > 0 {
			for _, neighbour := range m.neighbours(a.Range, i == 0, i == len(parts)-1) {
				k := slices.IndexFunc(usages, func(u targetUsage) bool { return incarnationOf(u.target) == neighbour })
				if k >= 0 && utilization(usages[k])+rate*usages[k].perRequest() <= acceptable {
					best = usages[k]
					break
				}
			}
		}
		added[best.target.ID] += rate*best.perRequest() + spreadUtilization
		highest = max(highest, utilization(best)-spreadUtilization)
		out = append(out, deployment.Assignment{Range: part, To: incarnationOf(best.target), Handover: a.Handover})
	}
	return out, highest
}

// neighbours returns the owners of the ranges right before and after the keys, as far as they are
// asked for.
func (m *Model) neighbours(ref deployment.RangeRef, before, after bool) []deployment.Incarnation {
	table, ok := m.state.Table(ref.Service)
	if !ok || !m.mergesRanges() {
		return nil
	}
	r := deployment.Range{From: ref.From, To: ref.To}
	var out []deployment.Incarnation
	if owner, owned := ownerBeside(table, r, true); owned && before {
		out = append(out, owner)
	}
	if owner, owned := ownerBeside(table, r, false); owned && after {
		out = append(out, owner)
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
