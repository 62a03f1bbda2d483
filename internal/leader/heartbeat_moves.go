package leader

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// cachedUsages are the usages of a service's targets at an earlier time.
type cachedUsages struct {
	at        timer.Instant
	list      []targetUsage
	index     map[string]int // into list, by target ID
	givesFrom float64        // utilization from which a target may have to give up keys
	evacuated uint64         // log index of the last change of the evacuated zones
}

// propose proposes what a heartbeat of the target causes: that it gives up or takes over
// keys. It returns nil if there is nothing to do or another command is pending.
func (g *heartbeatGranter) propose(m *Model, t deployment.Target, reporter *keyReporter) []Effect {
	if m.commandPending || !m.graceOver() {
		return nil
	}
	if m.mustLeave(t) {
		if moves := g.ownedBy(m, incarnationOf(t)); len(moves) > 0 {
			return m.propose(deployment.Command{Move: moves}, "owner is leaving")
		}
		return nil
	}
	if taken := g.take(m, t); len(taken) > 0 {
		return m.proposeAssign(taken)
	}
	if m.now.Sub(reporter.movedAt) < minMoveInterval {
		return nil
	}
	if moves := g.giveUp(m, t); len(moves) > 0 {
		reporter.movedAt = m.now
		return m.propose(deployment.Command{Move: moves}, "load is unbalanced")
	}
	return nil
}

// ownedBy returns the ranges that the target owns and was not asked to release.
func (g *heartbeatGranter) ownedBy(m *Model, incarnation deployment.Incarnation) []deployment.RangeRef {
	var out []deployment.RangeRef
	for _, r := range g.rangesOf(m, incarnation) {
		if r.Phase == deployment.Owned {
			out = append(out, r.ref())
		}
	}
	return out
}

// take returns the keys without an owner that the target takes over.
func (g *heartbeatGranter) take(m *Model, t deployment.Target) []deployment.Assignment {
	if len(g.free) == 0 || !slices.ContainsFunc(g.free, func(f freeRange) bool { return f.Range.Service == t.Service }) {
		return nil
	}
	usages := placeable(m.targetUsages(t.Service))
	own := slices.IndexFunc(usages, func(u targetUsage) bool { return u.target.ID == t.ID })
	if own < 0 {
		return nil
	}
	stats := m.statsOf(t.Service)
	room := min(MaxLeasesPerTarget-len(g.rangesOf(m, incarnationOf(t))), MaxTakenPerHeartbeat)
	added := 0.0 // utilization
	var out []deployment.Assignment
	for _, f := range g.free {
		if f.Range.Service != t.Service || len(out) >= room || !g.mayTake(m, f, usages, own, added) {
			continue
		}
		part := split(f.Range, m.partsOf(f.Range, usages))[0]
		m.copyRangeState(f.Range, part.To)
		added += max(stats.rateOf(part.From, part.To)*usages[own].perRequest(), idleRangeUtilization)
		out = append(out, g.assignment(part, incarnationOf(t), f.Handover))
	}
	return out
}

// copyRangeState gives the keys of a range after the given one the state of the whole
// range. A command is about to split it there.
func (m *Model) copyRangeState(ref deployment.RangeRef, after deployment.Key) {
	rs := m.lookupRangeState(ref.Service, ref.From, ref.Fence)
	if rs == nil || after >= ref.To {
		return
	}
	rest := *rs
	m.splitting[fenceID{service: ref.Service, fence: ref.Fence}] = true
	m.setRangeState(ref.Service, after+1, ref.Fence, &rest)
}

// mayTake reports whether the target usages[own], which takes over keys of the given
// utilization already, may take over a free range as well.
func (g *heartbeatGranter) mayTake(m *Model, f freeRange, usages []targetUsage, own int, added float64) bool {
	age := m.now.Sub(f.since)
	if hot := f.Range.Width() == 1 && f.To != (deployment.Incarnation{}); hot && age < hotKeyWait {
		return f.To == incarnationOf(usages[own].target)
	}
	if age < takerShareTime && m.ownsRange(incarnationOf(usages[own].target), f.Range) {
		return false
	}
	lessBusy := 0
	for _, u := range usages {
		if u.utilization() < usages[own].utilization()+added {
			lessBusy++
		}
	}
	return float64(lessBusy) <= takerShare(age)*float64(len(usages))
}

// takerShare returns the least busy share of the targets that may take over keys which
// have been without an owner for the given time.
func takerShare(age time.Duration) float64 {
	return min(1, minTakerShare+(1-minTakerShare)*float64(age)/float64(takerShareTime))
}

// giveUp returns the keys that the target is to release because it is busier than
// others. Most heartbeats cause nothing, and cost no more with more targets.
func (g *heartbeatGranter) giveUp(m *Model, t deployment.Target) []deployment.RangeRef {
	table, ok := m.state.Table(t.Service)
	if !ok {
		return nil
	}
	cached := g.usagesOf(m, t)
	own, ok := cached.index[t.ID]
	if !ok || cached.list[own].utilization() < cached.givesFrom || len(cached.list[own].movableRanges) == 0 ||
		len(table.Ranges) > maxRangesPerTarget*len(cached.list) {
		return nil
	}
	usages := slices.Clone(cached.list)
	for i := range usages {
		if i != own {
			usages[i].movableRanges = nil
		}
	}
	return m.rebalanceUsages(table, usages)
}

// usagesOf returns the usages of the targets of t's service, at most a RebalanceInterval old
// and not from before t turned cold.
func (g *heartbeatGranter) usagesOf(m *Model, t deployment.Target) cachedUsages {
	service := t.Service
	cached, ok := g.usages[service]
	recent := ok && m.now.Sub(cached.at) < m.timing.RebalanceInterval && cached.evacuated == m.state.EvacuatedIndex()
	if recent && !cached.turnedCold(m, t) {
		return cached
	}
	cached = cachedUsages{at: m.now, list: m.targetUsages(service), index: make(map[string]int), givesFrom: minBusyUtilization, evacuated: m.state.EvacuatedIndex()}
	var utilizations []float64
	idle := 0
	for i, u := range cached.list {
		cached.index[u.target.ID] = i
		utilizations = append(utilizations, u.utilization())
		if u.width == 0 && !u.cold() {
			idle++
		}
	}
	if idle > 0 {
		// As many of the busiest targets as there are targets without keys give up keys.
		slices.Sort(utilizations)
		cached.givesFrom = min(cached.givesFrom, utilizations[max(0, len(utilizations)-idle)])
	}
	g.usages[service] = cached
	return cached
}

// turnedCold reports whether the target has turned cold since the usages were measured.
func (c cachedUsages) turnedCold(m *Model, t deployment.Target) bool {
	i, ok := c.index[t.ID]
	return ok && t.Cold() && !c.list[i].cold() && m.coldRate(t.Service) > 0
}
