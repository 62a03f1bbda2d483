package leader

import (
	"math"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// placeUnowned chooses owners for the given ranges, and for services whose keys were
// never assigned.
func (m *Model) placeUnowned(unowned []deployment.Assignment) []deployment.Assignment {
	var out []deployment.Assignment
	for _, table := range m.state.Tables() {
		if len(table.Ranges) == 1 && table.Ranges[0].Phase == deployment.Unowned {
			out = append(out, m.assignInitially(table)...)
		}
	}
	planned := make(map[string]float64) // utilization already planned, by target ID
	for _, a := range unowned {
		out = append(out, m.placeRange(a, planned)...)
	}
	return out
}

// placeRange assigns an unowned range to its planned owner, or in parts to the least
// busy targets.
func (m *Model) placeRange(a deployment.Assignment, planned map[string]float64) []deployment.Assignment {
	shares := m.shares(a.Range.Service)
	if len(shares) == 0 {
		return nil
	}
	if slices.ContainsFunc(shares, func(s share) bool { return incarnationOf(s.target) == a.To }) {
		return []deployment.Assignment{a}
	}
	l := m.loadOf(a.Range.Service)
	// Each range costs renewals for as long as it exists, so only a range that
	// would load its next owner heavily is split.
	rangeLoad := l.rateOf(a.Range.From, a.Range.To) * shares[0].meanPerRequest(l)
	n := min(int(math.Ceil(rangeLoad/maxPartUtilization)), maxParts, len(shares), a.Range.Width())
	parts := split(a.Range, max(n, 1))
	var out []deployment.Assignment
	for _, part := range parts {
		best := slices.MinFunc(shares, func(x, y share) int {
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
		rate := l.rateOf(part.From, part.To)
		planned[best.target.ID] += rate*best.serviceTime/float64(max(best.target.Slots, 1)) + 0.01
		out = append(out, deployment.Assignment{Range: part, To: incarnationOf(best.target), Handover: a.Handover})
	}
	return out
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

// assignInitially assigns an equal part of all keys to each target, once no further
// target has arrived for InitialDelay, or after MaxInitialDelay.
func (m *Model) assignInitially(table deployment.KeyTable) []deployment.Assignment {
	shares := m.shares(table.Service)
	arrivals := m.arrivals[table.Service]
	if len(shares) != arrivals.count {
		if arrivals.count == 0 {
			arrivals.firstAt = m.now
		}
		arrivals.count, arrivals.lastAt = len(shares), m.now
		m.arrivals[table.Service] = arrivals
	}
	if len(shares) == 0 || m.now.Sub(arrivals.lastAt) < m.timing.InitialDelay && m.now.Sub(arrivals.firstAt) < m.timing.MaxInitialDelay {
		return nil
	}
	var out []deployment.Assignment
	all := deployment.RangeRef{Service: table.Service, From: 0, To: deployment.MaxKey}
	for i, part := range split(all, len(shares)) {
		out = append(out, deployment.Assignment{Range: part, To: incarnationOf(shares[i].target)})
	}
	return out
}
