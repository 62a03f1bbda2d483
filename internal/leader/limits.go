package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// namedLimitExpiry is the time after which a rate limit that no answer names any
	// more is dropped, for example because the target got no requests.
	namedLimitExpiry = 10 * time.Second
	// minAdmit is the least share of requests to admit, since 0 stands for no advice.
	minAdmit = 0.001
	// entryWindow is the time constant of the exponential decay of an entry's requests.
	entryWindow = 2 * time.Second
	// lostEntryExpiry is the time for which an entry without reports keeps its part of
	// the rates, since it may have lost control only.
	lostEntryExpiry = 15 * time.Second
)

// namedLimit is the rate limit that a target named last.
type namedLimit struct {
	perSecond float64
	at        timer.Instant // last report of it
}

// entryLoad counts the requests of one entry by service, with exponential decay. Those to
// keyed services are counted by key, also if they were rejected, and the others by their
// results.
type entryLoad struct {
	decayedAt timer.Instant
	requests  map[string]float64
}

func (l *entryLoad) decay(now timer.Instant) {
	factor := math.Exp(-float64(now.Sub(l.decayedAt)) / float64(entryWindow))
	for service := range l.requests {
		l.requests[service] *= factor
	}
	l.decayedAt = now
}

// recordLimit records the rate limit that a target named, or its end if perSecond is 0.
func (m *Model) recordLimit(incarnation deployment.Incarnation, perSecond float64) {
	if perSecond > 0 {
		m.limits[incarnation] = namedLimit{perSecond: perSecond, at: m.now}
		return
	}
	delete(m.limits, incarnation)
}

// entryLoadOf returns the load of an entry, decayed up to now.
func (m *Model) entryLoadOf(name string) *entryLoad {
	l, ok := m.entryLoads[name]
	if !ok {
		l = &entryLoad{decayedAt: m.now, requests: make(map[string]float64)}
		m.entryLoads[name] = l
	}
	l.decay(m.now)
	return l
}

// limitOf returns what a target takes from all entries together, given the rate of cold
// targets of its service, 0 for none.
func (m *Model) limitOf(t deployment.Target, coldRate float64) deployment.Limit {
	incarnation := incarnationOf(t)
	var out deployment.Limit
	if l, ok := m.limits[incarnation]; ok {
		out = out.And(deployment.Limit{Reason: deployment.LimitNamed, PerSecond: l.perSecond})
	}
	if left, resting := m.resting(incarnation); resting {
		out = out.And(deployment.Limit{Reason: deployment.LimitResting, Left: left})
	}
	if coldRate > 0 && t.Cold() {
		out = out.And(deployment.Limit{Reason: deployment.LimitCold, PerSecond: coldRate})
	}
	return out
}

// coldRate returns how many requests a second a cold target of the service takes, or 0 if
// it takes as many as a warm one.
func (m *Model) coldRate(service string) float64 {
	cfg, _ := m.state.Config()
	return cfg.ColdRateOf(service)
}

// placeable returns the usages of the targets that may be given keys: the warm ones, or all
// of them if none is warm.
func placeable(usages []targetUsage) []targetUsage {
	warm := make([]targetUsage, 0, len(usages))
	for _, u := range usages {
		if !u.cold() {
			warm = append(warm, u)
		}
	}
	if len(warm) == 0 {
		return usages
	}
	return warm
}

// dropStaleLimits drops what was not reported for long.
func (m *Model) dropStaleLimits() {
	for incarnation, l := range m.limits {
		if m.now.Sub(l.at) > namedLimitExpiry {
			delete(m.limits, incarnation)
		}
	}
	for name, l := range m.entryLoads {
		if m.now.Sub(l.decayedAt) > lostEntryExpiry {
			delete(m.entryLoads, name)
		}
	}
}

// adviseLimits adds the rate limits of targets to the advice. It returns each entry's
// part of the requests, by entry and service; nil if there are no limits.
func (m *Model) adviseLimits(advice *instance.ReportResponse) map[string]map[string]float64 {
	m.dropStaleLimits()
	advice.LimitsKnown = m.graceOver()
	if len(m.limits) == 0 || !advice.LimitsKnown {
		return nil
	}
	parts := m.entryParts()
	for incarnation, l := range m.limits {
		t, ok := m.state.Target(incarnation.ID)
		if !ok || t.StartMillis != incarnation.StartMillis {
			continue
		}
		limit := instance.TargetLimit{Target: t.ID, PerSecond: l.perSecond}
		if _, keyed := m.state.Table(t.Service); keyed {
			limit.Admit = m.admitShare(t, l.perSecond*(1-m.lostPart(parts, t.Service)))
		}
		advice.Limits = append(advice.Limits, limit)
	}
	slices.SortFunc(advice.Limits, func(a, b instance.TargetLimit) int { return cmp.Compare(a.Target, b.Target) })
	return parts
}

// admitShare returns the share of the requests for a target's keys that keeps them
// within the rate.
func (m *Model) admitShare(t deployment.Target, perSecond float64) float64 {
	stats := m.statsOf(t.Service)
	table, _ := m.state.Table(t.Service)
	rate := 0.0
	for _, r := range table.Ranges {
		if r.Phase != deployment.Unowned && r.Target == t.ID && r.StartMillis == t.StartMillis {
			rate += stats.rateOf(r.From, r.To)
		}
	}
	return min(1, max(perSecond/max(rate, idleRate), minAdmit))
}

// entryParts returns each entry's part of the requests, by entry and service.
func (m *Model) entryParts() map[string]map[string]float64 {
	totals := make(map[string]float64)
	for _, l := range m.entryLoads {
		for service, n := range l.requests {
			totals[service] += n
		}
	}
	parts := make(map[string]map[string]float64, len(m.entryLoads))
	for name, l := range m.entryLoads {
		parts[name] = make(map[string]float64, len(l.requests))
		for service, n := range l.requests {
			if totals[service] > 0 {
				parts[name][service] = n / totals[service]
			}
		}
	}
	return parts
}

// lostPart returns the part of a service's requests that entries without recent reports
// had. They may go on sending that much.
func (m *Model) lostPart(parts map[string]map[string]float64, service string) float64 {
	lost := 0.0
	for name, l := range m.entryLoads {
		if m.now.Sub(l.decayedAt) > entryExpiry {
			lost += parts[name][service]
		}
	}
	return lost
}
