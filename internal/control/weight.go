package control

import (
	"cmp"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// weights is how much each range and target of a service counts: its share of
// the mean target's ranges and, where load was measured, of its load. The mean
// target weighs 1, or 2 with load.
type weights struct {
	ranges  []float64 // by position in the table
	targets map[keyspace.Owner]targetWeight
	unit    float64 // weight of a range without load
	mean    float64 // load of the mean target, in requests a second
}

type targetWeight struct {
	weight float64
	rate   float64 // requests a second
}

const (
	// minMeasured is the load of a mean target below which load counts for
	// nothing, in requests a second.
	minMeasured = 20.0
	// loadGap is the smallest difference in weight that load alone may move a
	// range for, so that noise moves nothing.
	loadGap = 0.3
	// hotShare is the share of a mean target's load from which a key is hot.
	hotShare = 0.25
	// maxGrowth bounds a table's ranges to this many times the configuration's.
	maxGrowth = 4
)

// weigh returns the weights of a service's ranges and of the targets that may
// own more.
func weigh(s State, l Loads, service string, keys keyspace.Table) weights {
	counts := ownedCounts(s, service, keys)
	w := weights{targets: make(map[keyspace.Owner]targetWeight, len(counts))}
	if len(counts) == 0 {
		return w
	}
	for owner := range counts {
		w.targets[owner] = targetWeight{}
	}
	w.unit = float64(len(counts)) / float64(keys.Len())
	w.mean = l.total(service) / float64(len(counts))
	for _, r := range keys.All() {
		rate := l.Range(service, r.Start)
		x := w.weightOf(rate)
		w.ranges = append(w.ranges, x)
		if t, ok := w.targets[r.Owner]; ok && (r.Phase == keyspace.Active || r.Phase == keyspace.Assigned) {
			w.targets[r.Owner] = targetWeight{weight: t.weight + x, rate: t.rate + rate}
		}
	}
	return w
}

func (w weights) weightOf(rate float64) float64 {
	if w.mean < minMeasured {
		return w.unit
	}
	return w.unit + rate/w.mean
}

// add counts a range as the target's.
func (w weights) add(owner keyspace.Owner, weight float64) {
	t := w.targets[owner]
	t.weight += weight
	w.targets[owner] = t
}

// lightest and heaviest return the target with the least and the most weight;
// names break ties.
func (w weights) lightest() (keyspace.Owner, bool) {
	return w.extreme(func(a, b float64) int { return cmp.Compare(a, b) })
}

func (w weights) heaviest() (keyspace.Owner, bool) {
	return w.extreme(func(a, b float64) int { return cmp.Compare(b, a) })
}

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

// worthAMove is the difference in weight between two targets from which on a
// move pays for itself: larger where the deployment weighs churn.
func (w weights) worthAMove(s State) float64 {
	gap := minGap * w.unit
	if w.mean >= minMeasured {
		gap = max(gap, loadGap)
	}
	if s.accepted.Weighs == config.WeighsChurn {
		gap = max(gap, 1.0/churnShare) * churnFactor
	}
	return gap
}

// planMoves returns the ranges that should leave the heaviest target, at most
// a batch: those that bring it closest to the lightest one.
func (w weights) planMoves(s State, service string, keys keyspace.Table) []RangeRef {
	high, _ := w.heaviest()
	low, ok := w.lightest()
	gap := w.targets[high].weight - w.targets[low].weight
	if !ok || gap < w.worthAMove(s)-rounding {
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
	left := gap / 2
	for _, i := range owned {
		if x := w.ranges[i]; x <= left+rounding && len(out) < balanceBatch {
			out = append(out, refOf(service, keys.At(i)))
			left -= x
		}
	}
	return out
}

// rounding absorbs the error of sums of weights.
const rounding = 1e-9

// planSplit cuts the hottest key of the heaviest target's busiest range out of
// it, so that the key and its neighbours can be owned apart.
func (w weights) planSplit(service config.Service, keys keyspace.Table, l Loads) (Split, bool) {
	if w.mean < minMeasured || service.MovesAMinute == 0 || keys.Len() >= maxGrowth*service.Ranges {
		return Split{}, false
	}
	high, ok := w.heaviest()
	if !ok || w.targets[high].rate < w.mean*(1+hotShare) {
		return Split{}, false
	}
	for i, r := range keys.All() {
		first, last := keys.Span(i)
		if r.Owner != high || r.Phase != keyspace.Active || first == last {
			continue
		}
		key, rate := l.hottestKey(service.Name, first, last)
		if rate < hotShare*w.mean {
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
