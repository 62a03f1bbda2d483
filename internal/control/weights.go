package control

import (
	"cmp"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// weights holds the weights of a service's ranges and targets. The weight of a target
// is its number of ranges divided by the mean over all targets. If enough load was
// measured, its load divided by the mean load is added. The mean weight is then 2,
// otherwise 1. The weight of a range is its part of its target's weight.
type weights struct {
	ranges     []float64 // by position in the table
	targets    map[keyspace.Owner]targetWeight
	baseWeight float64 // weight of a range without load
	meanLoad   float64 // load of the mean target, in requests a second
}

type targetWeight struct {
	weight float64
	rate   float64 // requests a second
}

const (
	// minMeanLoad is the load of the mean target below which load is ignored, in
	// requests a second.
	minMeanLoad = 20.0
	// minLoadGap is the smallest difference in weight that is worth a move when
	// load counts, so that noise causes no moves.
	minLoadGap = 0.3
	// hotKeyShare is the share of the mean target's load from which on a key is hot.
	hotKeyShare = 0.25
	// maxRangeGrowth limits the ranges of a table to this multiple of the configured
	// number.
	maxRangeGrowth = 4
)

// computeWeights returns the weights of a service's ranges and of its live targets.
func computeWeights(s State, l Loads, service string, keys keyspace.Table) weights {
	counts := ownedCounts(s, service, keys)
	w := weights{targets: make(map[keyspace.Owner]targetWeight, len(counts))}
	if len(counts) == 0 {
		return w
	}
	for owner := range counts {
		w.targets[owner] = targetWeight{}
	}
	w.baseWeight = float64(len(counts)) / float64(keys.Len())
	w.meanLoad = l.totalRate(service) / float64(len(counts))
	for _, r := range keys.All() {
		rate := l.RangeRate(service, r.Start)
		x := w.rangeWeight(rate)
		w.ranges = append(w.ranges, x)
		if t, ok := w.targets[r.Owner]; ok && (r.Phase == keyspace.Active || r.Phase == keyspace.Assigned) {
			w.targets[r.Owner] = targetWeight{weight: t.weight + x, rate: t.rate + rate}
		}
	}
	return w
}

// rangeWeight returns the weight of a range with the rate in requests a second.
func (w weights) rangeWeight(rate float64) float64 {
	if w.meanLoad < minMeanLoad {
		return w.baseWeight
	}
	return w.baseWeight + rate/w.meanLoad
}

// add adds the weight of a range to the target's.
func (w weights) add(owner keyspace.Owner, weight float64) {
	t := w.targets[owner]
	t.weight += weight
	w.targets[owner] = t
}

// lightest returns the target with the least weight, or false if there is no target.
func (w weights) lightest() (keyspace.Owner, bool) {
	return w.extreme(func(a, b float64) int { return cmp.Compare(a, b) })
}

// heaviest returns the target with the most weight, or false if there is no target.
func (w weights) heaviest() (keyspace.Owner, bool) {
	return w.extreme(func(a, b float64) int { return cmp.Compare(b, a) })
}

// extreme returns the target that comes first in the order of weights. The lower name
// breaks ties.
func (w weights) extreme(order func(a, b float64) int) (keyspace.Owner, bool) {
	var best keyspace.Owner
	found := false
	for owner, t := range w.targets {
		c := order(t.weight, w.targets[best].weight)
		if !found || c < 0 || (c == 0 && owner.Target < best.Target) {
			best, found = owner, true
		}
	}
	return best, found
}

// moveThreshold returns the smallest difference in weight between two targets that is
// worth a move. It is larger in deployments that set weighs = churn.
func (w weights) moveThreshold(s State) float64 {
	gap := minRangeGap * w.baseWeight
	if w.meanLoad >= minMeanLoad {
		gap = max(gap, minLoadGap)
	}
	if s.config.Minimize == config.MinimizeChurn {
		gap = max(gap, 1.0/churnGapDivisor) * churnGapFactor
	}
	return gap
}

// planMoves returns up to maxBalanceMoves ranges that should leave the heaviest
// target. Heavier ranges are chosen first, as long as their sum is at most half the
// difference to the lightest target.
func (w weights) planMoves(s State, service string, keys keyspace.Table) []RangeRef {
	high, _ := w.heaviest()
	low, ok := w.lightest()
	gap := w.targets[high].weight - w.targets[low].weight
	if !ok || gap < w.moveThreshold(s)-epsilon {
		return nil
	}
	var owned []int
	for i, r := range keys.All() {
		if r.Owner == high && r.Phase == keyspace.Active {
			owned = append(owned, i)
		}
	}
	slices.SortStableFunc(owned, func(a, b int) int { return cmp.Compare(w.ranges[b], w.ranges[a]) })
	var out []RangeRef
	remaining := gap / 2
	for _, i := range owned {
		if x := w.ranges[i]; x <= remaining+epsilon && len(out) < maxBalanceMoves {
			out = append(out, refOf(service, keys.At(i)))
			remaining -= x
		}
	}
	return out
}

// epsilon absorbs rounding errors in sums of weights.
const epsilon = 1e-9

// planSplit plans to split the first range of the heaviest target that contains a hot
// key: before the key, or after it if the range starts with it. The key and its
// neighbours can then have different owners.
func (w weights) planSplit(service config.Service, keys keyspace.Table, l Loads) (Split, bool) {
	if w.meanLoad < minMeanLoad || service.MovesPerMinute == 0 || keys.Len() >= maxRangeGrowth*service.Ranges {
		return Split{}, false
	}
	high, ok := w.heaviest()
	if !ok || w.targets[high].rate < w.meanLoad*(1+hotKeyShare) {
		return Split{}, false
	}
	for i, r := range keys.All() {
		first, last := keys.Span(i)
		if r.Owner != high || r.Phase != keyspace.Active || first == last {
			continue
		}
		key, rate := l.hottestKey(service.Name, first, last)
		if rate < hotKeyShare*w.meanLoad {
			continue
		}
		at := key
		if key == first {
			at = key + 1
		}
		return Split{Range: refOf(service.Name, r), At: at}, true
	}
	return Split{}, false
}
