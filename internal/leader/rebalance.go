package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

const (
	// defaultServiceTime is assumed until answers of the service are measured.
	defaultServiceTime = 50 * time.Millisecond
	// Keys move only if the utilizations of two targets differ by at least
	// minUtilizationGap and the busier one reaches minBusyUtilization.
	minUtilizationGap  = 0.25
	minBusyUtilization = 0.5
	// maxMovesPerRound bounds the moves of one service in a round of rebalancing.
	maxMovesPerRound = 12
	// restingUtilization is the least utilization that a target is counted with while it
	// asks for no requests: it has no room for those that it gets now.
	restingUtilization = 1.0
	// minUtilizationGain is by how much a move must lower the higher of the two
	// utilizations.
	minUtilizationGain = 0.1
	// idleRate is the rate, in requests a second, below which a range is idle.
	idleRate = 0.01
	// A range that is reassigned is split into at most maxParts parts, such that
	// each part adds about maxPartUtilization to its new owner.
	maxParts           = 4
	maxPartUtilization = 0.15
)

// targetUsage is the part of a service's keys and load that falls on one target.
type targetUsage struct {
	target        deployment.Target
	serviceTime   float64 // seconds per request
	limit         deployment.Limit
	rate          float64            // requests a second
	width         int                // keys owned
	movableRanges []deployment.Range // owned ranges that may be moved
	returned      bool               // its zone was evacuated before
	full          bool               // its limit leaves no room for keys of busier targets
}

// utilization returns the busy part of the target's slots; above 1 the target is
// overloaded.
func (u targetUsage) utilization() float64 {
	utilization := u.rate * u.perRequest()
	if u.limit.Reason == deployment.LimitResting {
		return max(utilization, restingUtilization)
	}
	return utilization
}

// usagesInPlan returns targetUsages as they were when the plan that is being made first
// asked for them. The slice is shared and must not be changed.
func (m *Model) usagesInPlan(service string) []targetUsage {
	usages, ok := m.usages[service]
	if !ok {
		usages = m.targetUsages(service)
		m.usages[service] = usages
	}
	return usages
}

// targetUsages returns the live targets of a service outside of evacuated zones, with their
// keys and load. A range that is being released counts for its planned owner.
func (m *Model) targetUsages(service string) []targetUsage {
	m.usagePasses++
	stats := m.statsOf(service)
	coldRate := m.coldRate(service)
	out := make([]targetUsage, 0, len(m.state.Targets()))
	for _, t := range m.state.Targets() {
		if t.Service != service || !m.mayOwn(t) {
			continue
		}
		serviceTime, ok := stats.serviceTime[t.ID]
		if !ok {
			serviceTime = stats.meanServiceTime()
		}
		out = append(out, targetUsage{target: t, serviceTime: serviceTime, limit: m.limitOf(t, coldRate),
			returned: m.state.WasEvacuated(t.AvailabilityZone)})
	}
	index := make(map[deployment.Incarnation]int, len(out))
	for i, u := range out {
		index[incarnationOf(u.target)] = i
	}
	table, _ := m.state.Table(service)
	for _, r := range table.Ranges {
		owner := deployment.Incarnation{ID: r.Target, StartMillis: r.StartMillis}
		if r.Phase == deployment.Releasing {
			owner = m.plannedOwner(service, r)
		}
		i, ok := index[owner]
		if r.Phase == deployment.Unowned || !ok {
			continue
		}
		out[i].rate += stats.rateOf(r.From, r.To)
		out[i].width += r.Width()
		if r.Phase == deployment.Owned && m.movable(service, r) {
			out[i].movableRanges = append(out[i].movableRanges, r)
		}
	}
	return out
}

// plannedOwner returns the next owner of a range that is being released, or the zero
// value if none was chosen.
func (m *Model) plannedOwner(service string, r deployment.Range) deployment.Incarnation {
	rs := m.lookupRangeState(service, r.From, r.Fence)
	if rs == nil {
		return deployment.Incarnation{}
	}
	return rs.nextOwner
}

// movable reports whether the owner of a range first confirmed a grant to this leader
// more than RebalanceInterval ago, and answered the last one. Keys of an owner that
// doesn't answer could not be served by any target until their grants have expired.
func (m *Model) movable(service string, r deployment.Range) bool {
	rs := m.lookupRangeState(service, r.From, r.Fence)
	return rs != nil && rs.failures == 0 && rs.confirmedAt != 0 && m.now.Sub(rs.confirmedAt) > m.timing.RebalanceInterval
}

// rebalance moves keys from the busiest targets to the least busy ones, and to
// targets that own nothing yet.
func (m *Model) rebalance() []deployment.RangeRef {
	if m.now.Sub(m.lastRebalance) < m.timing.RebalanceInterval || !m.graceOver() {
		return nil
	}
	m.lastRebalance = m.now
	var out []deployment.RangeRef
	for _, table := range m.state.Tables() {
		out = append(out, m.rebalanceService(table)...)
	}
	return out
}

func (m *Model) rebalanceService(table deployment.KeyTable) []deployment.RangeRef {
	return m.rebalanceUsages(table, m.targetUsages(table.Service))
}

// rebalanceUsages moves movable ranges of the targets whose usages are given, and
// changes the usages accordingly.
func (m *Model) rebalanceUsages(table deployment.KeyTable, usages []targetUsage) []deployment.RangeRef {
	stats := m.statsOf(table.Service)
	out := m.moveHotKeys(table, usages)
	all := usages
	usages = m.withoutReserved(table, usages)
	for len(out) < maxMovesPerRound {
		low, high := selectPair(usages)
		if low < 0 || high < 0 || !stats.worthMoving(usages[high], usages[low], len(usages)) {
			break
		}
		if usages[low].width > 0 && !m.mayAddRange(len(table.Ranges)+len(out), len(all)) {
			break
		}
		i, ref, rate, ok := -1, deployment.RangeRef{}, 0.0, false
		if near, found := m.selectNeighbour(table, usages, high); found && usages[low].width > 0 {
			low, i, ref, rate, ok = near.to, near.index, near.ref, near.rate, true
		} else {
			i, ref, rate, ok = stats.selectSlice(table.Service, usages[high], usages[low])
		}
		if !ok || ref.Width() == usages[high].width {
			// None of its keys helps, for example one that no target can serve. A target that owns
			// nothing would be given keys again.
			stats.blockedRounds++
			if usages[low].boundByLimit() {
				usages[low].full = true
			} else {
				usages[high].movableRanges = nil
			}
			continue
		}
		out = append(out, ref)
		m.recordMove(ref, incarnationOf(usages[low].target))
		usages[high].remove(i, ref, rate)
		usages[low].rate += rate
		usages[low].width += ref.Width()
	}
	if len(out) == 0 {
		out = m.joinNeighbours(table, all)
	}
	stats.moves += len(out)
	return out
}

// maxHotKeyRatio bounds the utilization that a hot key would cause at another target,
// relative to that at its owner. Above it the key stays.
const maxHotKeyRatio = 0.75

// moveHotKeys moves single keys that alone overload their owners to the target that
// can serve the highest rate, if that is sufficiently faster.
func (m *Model) moveHotKeys(table deployment.KeyTable, usages []targetUsage) []deployment.RangeRef {
	stats := m.statsOf(table.Service)
	noneWarm := allCold(usages)
	var out []deployment.RangeRef
	for h := range usages {
		high := &usages[h]
		for i, r := range high.movableRanges {
			rate := stats.rateOf(r.From, r.To)
			if r.Width() > 1 || rate*high.perRequest() < 1 {
				continue
			}
			best := h
			for k, u := range usages {
				if (noneWarm || !u.cold()) && u.perRequest() < usages[best].perRequest() {
					best = k
				}
			}
			if usages[best].perRequest() > maxHotKeyRatio*high.perRequest() {
				continue
			}
			ref := deployment.RangeRef{Service: table.Service, From: r.From, To: r.To, Fence: r.Fence}
			out = append(out, ref)
			m.recordMove(ref, incarnationOf(usages[best].target))
			high.remove(i, ref, rate)
			usages[best].rate += rate
			usages[best].width++
			break
		}
	}
	return out
}

// selectPair returns the indexes of the least busy target, preferring targets that
// own nothing and leaving out those without room, and of the busiest other target with movable
// ranges; -1 if there is none. A cold one has no room while another is warm.
func selectPair(usages []targetUsage) (low, high int) {
	low, high = -1, -1
	noneWarm := allCold(usages)
	for i, u := range usages {
		if u.cold() && !noneWarm || u.full {
			continue
		}
		if low < 0 || u.width == 0 && usages[low].width > 0 ||
			(u.width == 0) == (usages[low].width == 0) && u.utilization() < usages[low].utilization() {
			low = i
		}
	}
	for i, u := range usages {
		if i == low || len(u.movableRanges) == 0 {
			continue
		}
		if high < 0 || u.utilization() > usages[high].utilization() {
			high = i
		}
	}
	return low, high
}

// worthMoving reports whether keys should move from one target to another: whether their
// utilizations differ by more than chance makes the busiest and the least busy of n even targets
// differ.
func (s *serviceStats) worthMoving(from, to targetUsage, n int) bool {
	if to.width == 0 {
		return true
	}
	chance := math.Sqrt(2*math.Log(float64(n))) * (s.utilizationError(from) + s.utilizationError(to))
	return from.utilization() >= minBusyUtilization && from.utilization()-to.utilization() >= max(minUtilizationGap, chance)
}

// serviceTimeError is the standard deviation of a target's measured service time, as a share of it.
const serviceTimeError = 0.1

// utilizationError returns the standard deviation of a target's measured utilization.
func (s *serviceStats) utilizationError(u targetUsage) float64 {
	return math.Hypot(s.steady.deviation(u.rate)*u.perRequest(), serviceTimeError*u.utilization())
}

// recordMove records the next owner of keys that will be released.
func (m *Model) recordMove(ref deployment.RangeRef, nextOwner deployment.Incarnation) {
	table, _ := m.state.Table(ref.Service)
	whole := m.rangeStateOf(ref.Service, table.Find(ref.From))
	part := *whole
	part.nextOwner = nextOwner
	part.inFlight = false
	part.nextGrant = m.now
	m.splitting[fenceID{service: ref.Service, fence: ref.Fence}] = true
	m.setRangeState(ref.Service, ref.From, ref.Fence, &part)
}

// remove subtracts keys from the usage. They must be a prefix or a suffix of the i-th
// movable range, or all of it.
func (u *targetUsage) remove(i int, ref deployment.RangeRef, rate float64) {
	u.rate -= rate
	u.width -= ref.Width()
	u.movableRanges = slices.Clone(u.movableRanges)
	r := &u.movableRanges[i]
	switch {
	case r.From == ref.From && r.To == ref.To:
		u.movableRanges = slices.Delete(u.movableRanges, i, i+1)
	case r.From == ref.From:
		r.From = ref.To + 1
	default:
		r.To = ref.From - 1
	}
}

// selectSlice chooses a prefix or suffix of one of the busier target's ranges so that
// moving it brings the two utilizations closest to each other. It returns the index
// of the range, the keys and their rate, and false if no move lowers the higher
// utilization enough. An idle range is halved, for a target that owns nothing.
func (s *serviceStats) selectSlice(service string, high, low targetUsage) (int, deployment.RangeRef, float64, bool) {
	minGain := minUtilizationGain
	if low.returned && low.width == 0 {
		minGain = 0 // a target that lost its keys to an evacuation gets some again also under little load
	}
	perRequest := high.perRequest() + low.perRequest()
	wantRate := (high.utilization() - low.utilization()) / perRequest
	order := make([]int, len(high.movableRanges))
	rates := make([]float64, len(high.movableRanges))
	for i, r := range high.movableRanges {
		order[i] = i
		if rate := s.rateOf(r.From, r.To); rate >= idleRate {
			rates[i] = rate
		}
	}
	// Of idle ranges the widest comes first: a range of one key can't be halved.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(rates[b], rates[a]), cmp.Compare(high.movableRanges[b].Width(), high.movableRanges[a].Width()))
	})
	for _, i := range order {
		r := high.movableRanges[i]
		ref := deployment.RangeRef{Service: service, From: r.From, To: r.To, Fence: r.Fence}
		if rates[i] == 0 {
			ref.From = r.From + deployment.Key(r.Width()/2)
			return i, ref, 0, r.Width() > 1 && low.width == 0
		}
		part, rate, ok := s.selectByRate(ref, wantRate)
		if ok && low.utilization()+rate*low.perRequest() < high.utilization()-minGain {
			return i, part, rate, true
		}
	}
	return 0, deployment.RangeRef{}, 0, false
}

// perRequest returns the utilization that one request a second causes.
func (u targetUsage) perRequest() float64 {
	if u.boundByLimit() {
		return 1 / u.limit.PerSecond
	}
	return u.slotsPerRequest()
}

// slotsPerRequest returns the part of the target's slots that one request a second
// takes.
func (u targetUsage) slotsPerRequest() float64 {
	return u.serviceTime / float64(max(u.target.Slots, 1))
}

// boundByLimit reports whether the target's rate limit allows less than its slots.
func (u targetUsage) boundByLimit() bool {
	return u.limit.PerSecond > 0 && 1/u.limit.PerSecond > u.slotsPerRequest()
}

// cold reports whether the target has not warmed up and takes fewer requests until then.
func (u targetUsage) cold() bool { return u.limit.Reason == deployment.LimitCold }

// allCold reports whether no target is warm.
func allCold(usages []targetUsage) bool {
	return !slices.ContainsFunc(usages, func(u targetUsage) bool { return !u.cold() })
}

// meanPerRequest is like perRequest, for the mean service time of all targets.
func (u targetUsage) meanPerRequest(stats *serviceStats) float64 {
	return stats.meanServiceTime() / float64(max(u.target.Slots, 1))
}

// selectByRate returns the prefix or suffix of a range whose rate is closest to
// wantRate, favouring fewer keys, and its rate. It returns false if the rate is 0.
// Moving all keys of the range costs as much as missing wantRate by 20%.
func (s *serviceStats) selectByRate(ref deployment.RangeRef, wantRate float64) (deployment.RangeRef, float64, bool) {
	total := s.rateOf(ref.From, ref.To)
	wantRate = min(wantRate, total)
	best, bestRate, bestCost := ref, 0.0, -1.0
	consider := func(part deployment.RangeRef) {
		rate := s.rateOf(part.From, part.To)
		diff := rate - wantRate
		if diff < 0 {
			diff = -diff
		}
		cost := diff + 0.2*wantRate*float64(part.To-part.From)/float64(ref.To-ref.From)
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
