package leader

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// maxJoins bounds the ranges that move to the owner of a neighbouring one in a round.
const maxJoins = 4

// neighbourMove is a move of the first or last keys of a range to the owner of the range beside them.
type neighbourMove struct {
	index int // of the range among the movable ones
	to    int // index of the next owner's usage
	ref   deployment.RangeRef
	rate  float64
}

// selectNeighbour returns the keys that the busy target should move to the least busy owner of a range
// beside one of its own, and false if there is none that has sufficiently more room.
// Such keys become part of a range that exists.
func (m *Model) selectNeighbour(table deployment.KeyTable, usages []targetUsage, high int) (neighbourMove, bool) {
	if !m.mergesRanges() {
		return neighbourMove{}, false
	}
	stats, from := m.statsOf(table.Service), usages[high]
	best := neighbourMove{to: -1}
	for i, r := range from.movableRanges {
		for _, first := range []bool{true, false} {
			owner, ok := ownerBeside(table, r, first)
			if !ok || r.Width() == 1 {
				continue
			}
			k := slices.IndexFunc(usages, func(u targetUsage) bool { return incarnationOf(u.target) == owner })
			if k < 0 || k == high || usages[k].cold() || best.to >= 0 && usages[k].utilization() >= usages[best.to].utilization() || !stats.worthMoving(from, usages[k], len(usages)) {
				continue
			}
			wanted := (from.utilization() - usages[k].utilization()) / (from.perRequest() + usages[k].perRequest())
			ref := deployment.RangeRef{Service: table.Service, From: r.From, To: r.To, Fence: r.Fence}
			if part, rate := stats.selectEdge(ref, first, wanted); rate > 0 && usages[k].utilization()+rate*usages[k].perRequest() < from.utilization()-minUtilizationGain {
				best = neighbourMove{index: i, to: k, ref: part, rate: rate}
			}
		}
	}
	return best, best.to >= 0
}

// ownerBeside returns the owner of the range right before or after r.
func ownerBeside(table deployment.KeyTable, r deployment.Range, before bool) (deployment.Incarnation, bool) {
	var beside deployment.Range
	switch {
	case before && r.From > 0:
		beside = table.Find(r.From - 1)
	case !before && r.To < deployment.MaxKey:
		beside = table.Find(r.To + 1)
	}
	return deployment.Incarnation{ID: beside.Target, StartMillis: beside.StartMillis}, beside.Phase == deployment.Owned
}

// selectEdge returns the first or last keys of a range whose rate is the highest that does not exceed
// the wanted one, and their rate. Of those with the same rate it returns the fewest.
func (s *serviceStats) selectEdge(ref deployment.RangeRef, first bool, wanted float64) (deployment.RangeRef, float64) {
	edge := func(width int) deployment.RangeRef {
		part := ref
		if first {
			part.To = ref.From + deployment.Key(width-1)
		} else {
			part.From = ref.To - deployment.Key(width-1)
		}
		return part
	}
	rate := func(width int) float64 {
		part := edge(width)
		return s.rateOf(part.From, part.To)
	}
	widest := sort.Search(ref.Width(), func(n int) bool { return rate(n+1) > wanted })
	if widest == 0 {
		return ref, 0
	}
	highest := rate(widest)
	width := 1 + sort.Search(widest-1, func(n int) bool { return rate(n+1) >= highest })
	return edge(width), highest
}

// joinNeighbours moves the ranges with the least load to the owner of a neighbouring range
// that has room, while there are more ranges than wanted. They are merged there.
func (m *Model) joinNeighbours(table deployment.KeyTable, usages []targetUsage) []deployment.RangeRef {
	if !m.mergesRanges() || len(table.Ranges) <= wantedRangesOf(len(usages)) {
		return nil
	}
	acceptable := m.acceptableUtilization(table.Service, usages)
	stats := m.statsOf(table.Service)
	index := make(map[deployment.Incarnation]int, len(usages))
	for i, u := range usages {
		index[incarnationOf(u.target)] = i
	}
	type candidate struct {
		ref      deployment.RangeRef
		from, to int // indexes of usages
		rate     float64
	}
	var list []candidate
	for i, r := range table.Ranges {
		from, owned := index[deployment.Incarnation{ID: r.Target, StartMillis: r.StartMillis}]
		if !owned || r.Phase != deployment.Owned || !m.movable(table.Service, r) || r.Width() == 1 && m.isBusyKey(table.Service, r) {
			continue
		}
		rate := stats.rateOf(r.From, r.To)
		for _, k := range []int{i - 1, i + 1} {
			if k < 0 || k >= len(table.Ranges) || table.Ranges[k].Phase != deployment.Owned || sameOwner(r, table.Ranges[k]) {
				continue
			}
			to, ok := index[deployment.Incarnation{ID: table.Ranges[k].Target, StartMillis: table.Ranges[k].StartMillis}]
			if ok && !usages[to].cold() && usages[to].utilization()+rate*usages[to].perRequest() <= acceptable {
				ref := deployment.RangeRef{Service: table.Service, From: r.From, To: r.To, Fence: r.Fence}
				list = append(list, candidate{ref: ref, from: from, to: to, rate: rate})
				break
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rate, b.rate), cmp.Compare(a.ref.Width(), b.ref.Width()))
	})
	var out []deployment.RangeRef
	moved := make(map[int]bool) // usages that take part already
	for _, c := range list {
		if len(out) >= maxJoins {
			break
		}
		if moved[c.to] || moved[c.from] || usages[c.from].width == c.ref.Width() {
			continue // it would own nothing
		}
		moved[c.to], moved[c.from] = true, true
		out = append(out, c.ref)
		m.recordMove(c.ref, incarnationOf(usages[c.to].target))
	}
	return out
}

// withoutReserved returns the usages without as many targets that own nothing as there are
// targets whose keys need another owner soon: these get all keys of one.
func (m *Model) withoutReserved(table deployment.KeyTable, usages []targetUsage) []targetUsage {
	if !m.mergesRanges() {
		return usages
	}
	leaving := make(map[string]bool)
	for _, r := range table.Ranges {
		t, known := m.state.Target(r.Target)
		if r.Phase != deployment.Unowned && (!known || m.mustLeave(t)) {
			leaving[r.Target] = true
		}
	}
	reserved := len(leaving)
	return slices.DeleteFunc(slices.Clone(usages), func(u targetUsage) bool {
		if u.width > 0 || reserved == 0 {
			return false
		}
		reserved--
		return true
	})
}
