package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

const (
	buckets = (int(deployment.MaxKey) + 1) / deployment.BucketKeys
	// slowSpan and fastSpan are the spans of the two moving averages of a
	// bucket's rate. The slow one is steady; the fast one shows within half a
	// second that keys turned hot.
	slowSpan = 2 * time.Second
	fastSpan = 400 * time.Millisecond
	// A bucket is hot where its fast average lies this far above the slow one.
	hotFactor = 1.5
	hotRate   = 4.0 // requests a second
	// defaultWork is assumed of a target until its answers are measured.
	defaultWork = 50 * time.Millisecond
	// minGap is the difference of utilization between two targets that is worth
	// a move, and minUtilization that of the busier one.
	minGap         = 0.25
	minUtilization = 0.5
	// movesPerLook bounds the ranges that are moved at once.
	movesPerLook = 12
	// leastGain is by how much a move has to lower the highest utilization.
	leastGain = 0.1
	// leastRate is the rate below which a range counts as idle.
	leastRate = 0.01
	// freedParts is into how many parts one range of a lost target is shared out
	// at most, and partUtilization how busy each part may make its owner.
	freedParts      = 4
	partUtilization = 0.15
)

// share is one target's part of a service.
type share struct {
	target deployment.Target
	work   float64            // seconds for one request
	rate   float64            // requests a second
	width  int                // keys owned
	ranges []deployment.Range // that may be moved
}

func (s share) utilization() float64 {
	return s.rate * s.perRequest()
}

// shares returns the usable targets of a service with what they own.
func (m *Model) shares(service string) []share {
	l := m.loadOf(service)
	var out []share
	for _, t := range m.state.Targets() {
		if t.Service != service || t.Status != deployment.Live || !m.recentHeartbeat(t) {
			continue
		}
		w, ok := l.work[t.ID]
		if !ok {
			w = l.meanWork()
		}
		out = append(out, share{target: t, work: w})
	}
	index := make(map[deployment.Incarnation]int, len(out))
	for i, s := range out {
		index[incarnationOf(s.target)] = i
	}
	table, _ := m.state.Table(service)
	for _, p := range table.Ranges {
		owner := deployment.Incarnation{ID: p.Target, StartMillis: p.StartMillis}
		if p.Phase == deployment.Releasing {
			owner = m.plannedOwner(service, p)
		}
		i, ok := index[owner]
		if p.Phase == deployment.Unowned || !ok {
			continue
		}
		out[i].rate += l.rateOf(p.From, p.To)
		out[i].width += p.Width()
		if p.Phase == deployment.Owned && m.movable(service, p) {
			out[i].ranges = append(out[i].ranges, p)
		}
	}
	return out
}

// plannedOwner returns whom a range that is being released is meant for.
func (m *Model) plannedOwner(service string, p deployment.Range) deployment.Incarnation {
	h := m.known(service, p.From, p.Fence)
	if h == nil {
		return deployment.Incarnation{}
	}
	return h.to
}

// movable reports whether a range has been with its owner for a while, and the
// owner answers: keys of one that does not could not be served by anybody until
// their grants are over.
func (m *Model) movable(service string, p deployment.Range) bool {
	h := m.known(service, p.From, p.Fence)
	return h != nil && h.failures == 0 && h.confirmed != 0 && m.now.Sub(h.confirmed) > m.timing.Balance
}

// rebalance moves keys from the busiest targets to those with most room, and to
// targets that own nothing yet.
func (m *Model) rebalance() []deployment.RangeRef {
	if m.now.Sub(m.looked) < m.timing.Balance || !m.calm() {
		return nil
	}
	m.looked = m.now
	var out []deployment.RangeRef
	for _, table := range m.state.Tables() {
		m.loadOf(table.Service).decay(m.now)
		out = append(out, m.rebalanceService(table)...)
	}
	return out
}

func (m *Model) rebalanceService(table deployment.KeyTable) []deployment.RangeRef {
	shares := m.shares(table.Service)
	l := m.loadOf(table.Service)
	out := m.placeHot(table, shares)
	for len(out) < movesPerLook {
		low, high := extremes(shares)
		if low < 0 || high < 0 || !worthMove(shares[high], shares[low]) {
			break
		}
		i, ref, rate, ok := l.slice(table.Service, shares[high], shares[low])
		if !ok {
			break
		}
		out = append(out, ref)
		m.plannedMove(ref, incarnationOf(shares[low].target))
		shares[high].give(i, ref, rate)
		shares[low].rate += rate
		shares[low].width += ref.Width()
	}
	return out
}

// hotGain is the part of its present utilization that a single key may have at
// another target to be moved there.
const hotGain = 0.75

// placeHot moves single keys that exceed their owner to the target that can
// serve most of them.
func (m *Model) placeHot(table deployment.KeyTable, shares []share) []deployment.RangeRef {
	l := m.loadOf(table.Service)
	var out []deployment.RangeRef
	for h := range shares {
		high := &shares[h]
		for i, p := range high.ranges {
			rate := l.rateOf(p.From, p.To)
			if p.Width() > 1 || rate*high.perRequest() < 1 {
				continue
			}
			best := h
			for k, s := range shares {
				if s.perRequest() < shares[best].perRequest() {
					best = k
				}
			}
			if shares[best].perRequest() > hotGain*high.perRequest() {
				continue
			}
			ref := deployment.RangeRef{Service: table.Service, From: p.From, To: p.To, Fence: p.Fence}
			out = append(out, ref)
			m.plannedMove(ref, incarnationOf(shares[best].target))
			high.give(i, ref, rate)
			shares[best].rate += rate
			shares[best].width++
			break
		}
	}
	return out
}

// extremes returns the target with most room, where one that owns nothing goes
// first, and the busiest other one that has something to give; -1 for none.
func extremes(shares []share) (low, high int) {
	low, high = -1, -1
	for i, s := range shares {
		if low < 0 || s.width == 0 && shares[low].width > 0 ||
			(s.width == 0) == (shares[low].width == 0) && s.utilization() < shares[low].utilization() {
			low = i
		}
	}
	for i, s := range shares {
		if i == low || len(s.ranges) == 0 {
			continue
		}
		if high < 0 || s.utilization() > shares[high].utilization() {
			high = i
		}
	}
	return low, high
}

// worthMove reports whether keys should go from one target to another.
func worthMove(from, to share) bool {
	if to.width == 0 {
		return true
	}
	return from.utilization() >= minUtilization && from.utilization()-to.utilization() >= minGap
}

// plannedMove remembers whom moved keys are meant for.
func (m *Model) plannedMove(ref deployment.RangeRef, to deployment.Incarnation) {
	table, _ := m.state.Table(ref.Service)
	whole := m.holdOf(ref.Service, table.Find(ref.From))
	part := *whole
	part.to = to
	part.calling = false
	part.next = m.now
	m.setHold(ref.Service, ref.From, ref.Fence, &part)
}

// give takes the keys, an end of the i-th range, from what may be moved.
func (s *share) give(i int, ref deployment.RangeRef, rate float64) {
	s.rate -= rate
	s.width -= ref.Width()
	s.ranges = slices.Clone(s.ranges)
	p := &s.ranges[i]
	switch {
	case p.From == ref.From && p.To == ref.To:
		s.ranges = slices.Delete(s.ranges, i, i+1)
	case p.From == ref.From:
		p.From = ref.To + 1
	default:
		p.To = ref.From - 1
	}
}

// slice chooses the end of one of the busier target's ranges whose load brings
// the two closest to each other, and returns that range's index. It returns
// false where no range would leave both less busy than the busier one is now.
func (l *load) slice(service string, high, low share) (int, deployment.RangeRef, float64, bool) {
	perRequest := high.perRequest() + low.perRequest()
	want := (high.utilization() - low.utilization()) / perRequest
	order := make([]int, len(high.ranges))
	rates := make([]float64, len(high.ranges))
	for i, p := range high.ranges {
		order[i], rates[i] = i, l.rateOf(p.From, p.To)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(rates[b], rates[a]) })
	for _, i := range order {
		p := high.ranges[i]
		ref := deployment.RangeRef{Service: service, From: p.From, To: p.To, Fence: p.Fence}
		if rates[i] < leastRate {
			ref.From = p.From + deployment.Key(p.Width()/2)
			return i, ref, 0, p.Width() > 1 && low.width == 0
		}
		part, rate, ok := l.cutByRate(ref, want)
		if ok && low.utilization()+rate*low.perRequest() < high.utilization()-leastGain {
			return i, part, rate, true
		}
	}
	return 0, deployment.RangeRef{}, 0, false
}

// perRequest returns the part of its slots that one request a second takes.
func (s share) perRequest() float64 { return s.work / float64(max(s.target.Slots, 1)) }

// meanPerRequest returns the same for a target of mean speed.
func (s share) meanPerRequest(l *load) float64 {
	return l.meanWork() / float64(max(s.target.Slots, 1))
}

// cutByRate takes keys from the end of a range until they carry the wanted
// rate, or from its beginning, whichever comes closer with fewer keys.
func (l *load) cutByRate(ref deployment.RangeRef, want float64) (deployment.RangeRef, float64, bool) {
	total := l.rateOf(ref.From, ref.To)
	want = min(want, total)
	best, bestRate, bestCost := ref, 0.0, -1.0
	consider := func(part deployment.RangeRef) {
		rate := l.rateOf(part.From, part.To)
		miss := rate - want
		if miss < 0 {
			miss = -miss
		}
		cost := miss + 0.2*want*float64(part.To-part.From)/float64(ref.To-ref.From)
		if bestCost < 0 || cost < bestCost {
			best, bestRate, bestCost = part, rate, cost
		}
	}
	for at := int(ref.From) + 1; at <= int(ref.To); at++ {
		tail, head := ref, ref
		tail.From = deployment.Key(at)
		head.To = deployment.Key(at - 1)
		consider(tail)
		consider(head)
	}
	consider(ref)
	return best, bestRate, bestCost >= 0 && bestRate > 0
}
