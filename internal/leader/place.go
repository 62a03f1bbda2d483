package leader

import (
	"math"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// placeUnowned chooses owners for keys that no target owns.
func (m *Model) placeUnowned(freed []deployment.Assignment) []deployment.Assignment {
	var out []deployment.Assignment
	for _, table := range m.state.Tables() {
		if len(table.Ranges) == 1 && table.Ranges[0].Phase == deployment.Unowned {
			out = append(out, m.firstShares(table)...)
		}
	}
	planned := make(map[string]float64) // rate already planned for a target
	for _, a := range freed {
		out = append(out, m.placeOne(a, planned)...)
	}
	return out
}

// placeOne shares out the keys of one freed range: to the planned target, or in
// parts to those with most room.
func (m *Model) placeOne(a deployment.Assignment, planned map[string]float64) []deployment.Assignment {
	shares := m.shares(a.Range.Service)
	if len(shares) == 0 {
		return nil
	}
	if slices.ContainsFunc(shares, func(s share) bool { return incarnationOf(s.target) == a.To }) {
		return []deployment.Assignment{a}
	}
	l := m.loadOf(a.Range.Service)
	// Every range costs renewals for as long as it lasts, so that only what
	// would crowd its next owner is divided.
	busy := l.rateOf(a.Range.From, a.Range.To) * shares[0].meanPerRequest(l)
	n := min(int(math.Ceil(busy/partUtilization)), freedParts, len(shares), a.Range.Width())
	parts := cut(a.Range, max(n, 1))
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
		planned[best.target.ID] += rate*best.work/float64(max(best.target.Slots, 1)) + 0.01
		out = append(out, deployment.Assignment{Range: part, To: incarnationOf(best.target), Handover: a.Handover})
	}
	return out
}

// cut divides a range into n parts of about the same width.
func cut(ref deployment.RangeRef, n int) []deployment.RangeRef {
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

// firstShares gives each target an equal part, once no further target comes.
func (m *Model) firstShares(table deployment.KeyTable) []deployment.Assignment {
	shares := m.shares(table.Service)
	seen := m.seen[table.Service]
	if len(shares) != seen.count {
		if seen.count == 0 {
			seen.first = m.now
		}
		seen.count, seen.last = len(shares), m.now
		m.seen[table.Service] = seen
	}
	if len(shares) == 0 || m.now.Sub(seen.last) < m.timing.Settle && m.now.Sub(seen.first) < m.timing.SettleMost {
		return nil
	}
	var out []deployment.Assignment
	all := deployment.RangeRef{Service: table.Service, From: 0, To: deployment.MaxKey}
	for i, part := range cut(all, len(shares)) {
		out = append(out, deployment.Assignment{Range: part, To: incarnationOf(shares[i].target)})
	}
	return out
}
