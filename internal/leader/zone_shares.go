package leader

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/overflow"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// demandWindow is the time constant of the exponential decay of demand: half the time in
	// which a wave of demand of 13 s rises, so that shares follow it.
	demandWindow = 2 * time.Second
	// workWindow is that of the service times of targets, which vary for moments.
	workWindow = 5 * time.Second
	// assumedAnswers is the number of answers that the mean service time of a service counts
	// as in that of one target.
	assumedAnswers = 3.0
	// minDemand is the rate in requests a second below which a zone has no demand.
	minDemand = 0.05
	// minSlowdown bounds the slowdown that entries report, as entries do.
	minSlowdown = 0.1
	// zoneLogInterval is the least time between two log lines of the shares of a service.
	zoneLogInterval = time.Second
)

// decayingSum is a sum with exponential decay.
type decayingSum struct {
	sum float64
	at  timer.Instant
}

func (d decayingSum) decayed(now timer.Instant, window time.Duration) float64 {
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(window))
}

func (d decayingSum) with(x float64, now timer.Instant, window time.Duration) decayingSum {
	return decayingSum{sum: d.decayed(now, window) + x, at: now}
}

// targetWork is how long a target worked on requests.
type targetWork struct{ answers, seconds decayingSum }

// serviceLoad is the load of a service without keys, by availability zone. The load that it
// answers is demand that is distributed over the zones in another way than the capacity, and
// moves within seconds.
type serviceLoad struct {
	demand      map[string]decayingSum // in requests a second, by zone of the entries
	sent, bytes decayingSum
	slowdown    decayingSum // of the requests that were sent
	work        map[deployment.Incarnation]targetWork
	shares      overflow.Shares
	logged      map[string]bool // zones that give away requests, as logged last
	loggedAt    timer.Instant
}

// WithZoneCosts sets what a request costs that leaves its availability zone, and returns the
// model.
func (m *Model) WithZoneCosts(c overflow.Costs) *Model {
	m.zoneCosts = c
	return m
}

func (m *Model) zoneLoadOf(service string) *serviceLoad {
	l, ok := m.zoneLoads[service]
	if !ok {
		l = &serviceLoad{demand: make(map[string]decayingSum), work: make(map[deployment.Incarnation]targetWork), logged: make(map[string]bool)}
		m.zoneLoads[service] = l
	}
	return l
}

// recordDemand adds the demand that an entry reports.
func (m *Model) recordDemand(r instance.ReportRequest) {
	weight := rateWeight(r.Interval, demandWindow)
	for _, d := range r.Demand {
		l := m.zoneLoadOf(d.Service)
		l.demand[r.Zone] = l.demand[r.Zone].with(float64(d.Requests)*weight, m.now, demandWindow)
		l.sent = l.sent.with(float64(d.Sent), m.now, workWindow)
		l.bytes = l.bytes.with(float64(d.Bytes), m.now, workWindow)
		l.slowdown = l.slowdown.with(float64(d.Slowdown), m.now, workWindow)
	}
}

// recordWork adds the service times that an entry measured at a target of a service without
// keys, if the entry asks dispatchers.
func (m *Model) recordWork(r instance.ReportRequest, t deployment.Target, tl instance.TargetLoad) {
	if _, keyed := m.state.Table(t.Service); keyed || r.DispatchersVersion == 0 {
		return
	}
	l := m.zoneLoadOf(t.Service)
	w := l.work[incarnationOf(t)]
	w.answers = w.answers.with(float64(tl.Successes), m.now, workWindow)
	w.seconds = w.seconds.with(tl.ServiceTime.Seconds(), m.now, workWindow)
	l.work[incarnationOf(t)] = w
}

// meanWork returns the mean service time over all targets, in seconds. It drops targets that
// have been without answers for long.
func (l *serviceLoad) meanWork(now timer.Instant) float64 {
	answers, seconds := 0.0, 0.0
	for incarnation, w := range l.work {
		n := w.answers.decayed(now, workWindow)
		if n < 0.01 {
			delete(l.work, incarnation)
			continue
		}
		answers += n
		seconds += w.seconds.decayed(now, workWindow)
	}
	if answers == 0 {
		return defaultServiceTime.Seconds()
	}
	return seconds / answers
}

// workOf returns the service time of a target, in seconds, given the mean of its service.
func (l *serviceLoad) workOf(t deployment.Target, mean float64, now timer.Instant) float64 {
	w := l.work[incarnationOf(t)]
	answers, seconds := w.answers.decayed(now, workWindow), w.seconds.decayed(now, workWindow)
	return (seconds + assumedAnswers*mean) / (answers + assumedAnswers)
}

// slowdownNow returns how much longer than the service time targets take now. Requests at busy
// targets that are slow for a part of the time show the mean speed.
func (l *serviceLoad) slowdownNow(now timer.Instant) float64 {
	sent := l.sent.decayed(now, workWindow)
	if sent <= 0 {
		return 1
	}
	return max(minSlowdown, 1+l.slowdown.decayed(now, workWindow)/sent)
}

// adviseZoneShares computes the shares of requests that leave their availability zone. It
// returns them by zone, and what is to be logged.
func (m *Model) adviseZoneShares(advice *instance.ReportResponse) (map[string]instance.ZoneShares, []Effect) {
	cfg, _ := m.state.Config()
	if !cfg.Coordinated() {
		clear(m.zoneLoads)
		return nil, nil
	}
	if m.now.Sub(m.leadingSince) <= entryCountDelay {
		return nil, nil
	}
	advice.ZoneSharesKnown = true
	zones := m.zoneCapacities(cfg)
	out := make(map[string]instance.ZoneShares)
	var effects []Effect
	for _, s := range cfg.Services {
		l, ok := m.zoneLoads[s.Name]
		if s.Keyed || !ok {
			continue
		}
		load := zones[s.Name]
		load.Objective = objectiveOf(cfg, s.Name)
		m.addDemand(&load, l)
		l.shares = overflow.Next(l.shares, load, m.zoneCosts)
		for from, row := range l.shares {
			shares := make(map[string]float32, len(row))
			for to, share := range row {
				shares[to] = float32(share)
			}
			if out[from] == nil {
				out[from] = make(instance.ZoneShares)
			}
			out[from][s.Name] = shares
		}
		if e, ok := l.logChange(s.Name, load.Zones, m.now); ok {
			effects = append(effects, e)
		}
	}
	maps.DeleteFunc(m.zoneLoads, func(name string, _ *serviceLoad) bool {
		s, ok := cfg.Service(name)
		return !ok || s.Keyed
	})
	return out, effects
}

// zoneCapacities returns the capacity of each service without keys by zone, with its service
// time and the slots of its pools.
func (m *Model) zoneCapacities(cfg deployment.Config) map[string]overflow.Service {
	type total struct {
		zones          map[string]float64 // capacity by zone
		slots, targets int
		rate           float64 // of all slots, in requests a second
		mean, slowdown float64 // of the service
	}
	totals := make(map[string]*total)
	for _, t := range m.state.Targets() {
		s, ok := cfg.Service(t.Service)
		if !ok || s.Keyed || m.zoneLoads[t.Service] == nil || !m.mayOwn(t) {
			continue
		}
		l, x := m.zoneLoads[t.Service], totals[t.Service]
		if x == nil {
			x = &total{zones: make(map[string]float64), mean: l.meanWork(m.now), slowdown: l.slowdownNow(m.now)}
			totals[t.Service] = x
		}
		rate := float64(max(t.Slots, 1)) / (l.workOf(t, x.mean, m.now) * x.slowdown)
		x.slots, x.targets, x.rate = x.slots+max(t.Slots, 1), x.targets+1, x.rate+rate
		x.zones[t.AvailabilityZone] += m.admittedRate(t, rate, s.ColdRate)
	}
	out := make(map[string]overflow.Service, len(totals))
	for name, x := range totals {
		load := overflow.Service{
			ServiceTime: time.Duration(float64(x.slots) / x.rate * float64(time.Second)),
			PoolSlots:   max(1, x.slots*min(x.targets, dispatch.PoolSize)/x.targets),
		}
		for zone, capacity := range x.zones {
			load.Zones = append(load.Zones, overflow.Zone{Name: zone, Capacity: capacity})
		}
		out[name] = load
	}
	return out
}

// admittedRate returns how many requests a second a target serves, given the rate of its
// slots: what its limit admits, without those that it fails.
func (m *Model) admittedRate(t deployment.Target, rate, coldRate float64) float64 {
	limit := m.limitOf(t, coldRate)
	if limit.TakesNone() {
		return 0
	}
	if limit.PerSecond > 0 {
		rate = min(rate, limit.PerSecond)
	}
	if h, ok := m.health[incarnationOf(t)]; ok {
		rate *= 1 - h.decayed(m.now).failureShare()
	}
	return rate
}

// addDemand adds the demand to the zones of a service, and the zones that have demand alone.
func (m *Model) addDemand(s *overflow.Service, l *serviceLoad) {
	// The sums of a new leader are too low by the time that it has not seen.
	seen := 1 - math.Exp(-float64(m.now.Sub(m.leadingSince))/float64(demandWindow))
	for zone, sum := range l.demand {
		rate := sum.decayed(m.now, demandWindow)
		if rate < minDemand {
			delete(l.demand, zone)
			continue
		}
		i := slices.IndexFunc(s.Zones, func(z overflow.Zone) bool { return z.Name == zone })
		if i < 0 {
			i = len(s.Zones)
			s.Zones = append(s.Zones, overflow.Zone{Name: zone})
		}
		s.Zones[i].Demand = rate / seen
	}
	slices.SortFunc(s.Zones, func(a, b overflow.Zone) int { return strings.Compare(a.Name, b.Name) })
	if sent := l.sent.decayed(m.now, workWindow); sent > 0 {
		s.RequestBytes = l.bytes.decayed(m.now, workWindow) / sent
	}
}

// objectiveOf returns the smallest objective of the routes that lead to the service.
func objectiveOf(cfg deployment.Config, service string) time.Duration {
	least := time.Duration(0)
	for _, r := range cfg.Routes {
		leads := slices.ContainsFunc(r.Split, func(w deployment.WeightedService) bool { return w.Service == service && w.Weight > 0 })
		if leads && (least == 0 || r.Objective < least) {
			least = r.Objective
		}
	}
	return least
}

// logChange returns the effect that logs which zones began or stopped to give away requests,
// and false if none did.
func (l *serviceLoad) logChange(service string, zones []overflow.Zone, now timer.Instant) (LogZoneShares, bool) {
	if l.loggedAt > 0 && now.Sub(l.loggedAt) < zoneLogInterval {
		return LogZoneShares{}, false
	}
	e := LogZoneShares{Service: service, Shares: l.shares, Zones: zones}
	for i, z := range e.Zones {
		e.Zones[i].Demand, e.Zones[i].Capacity = math.Round(z.Demand), math.Round(z.Capacity)
	}
	for _, zone := range slices.Sorted(maps.Keys(l.shares)) {
		if !l.logged[zone] {
			l.logged[zone] = true
			e.Began = append(e.Began, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(l.logged)) {
		if _, leaves := l.shares[zone]; !leaves {
			delete(l.logged, zone)
			e.Stopped = append(e.Stopped, zone)
		}
	}
	if len(e.Began)+len(e.Stopped) == 0 {
		return e, false
	}
	l.loggedAt = now
	return e, true
}

// sharesFor returns the shares of the zones from which the reports are.
func (a *Advise) sharesFor(reports []instance.ReportRequest) map[string]instance.ZoneShares {
	out := make(map[string]instance.ZoneShares)
	for _, r := range reports {
		if shares, ok := a.ZoneShares[r.Zone]; ok {
			out[r.Zone] = shares
		}
	}
	return out
}

// ZoneShares returns the advised shares of requests that leave their availability zone, by
// zone and service.
func (l *Leader) ZoneShares() map[string]instance.ZoneShares {
	if a := l.advice.Load(); a != nil {
		return a.ZoneShares
	}
	return nil
}
