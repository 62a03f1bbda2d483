package dispatch_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
)

const (
	simObjective   = 500 * time.Millisecond
	simTimeout     = 2500 * time.Millisecond
	simLimit       = simObjective + (simTimeout-simObjective)/4
	idleConnection = 10 * time.Second
	simWarmUp      = 10 * time.Second
	simEnd         = 30 * time.Second
	subsetSize     = 4
	adviceRound    = 250 * time.Millisecond
	otherZone      = 0.25 // extra cost of today's choice for a target in another zone
)

// fleetSim is a number of entries that send requests to a number of targets.
type fleetSim struct {
	*world
	entries   int
	targets   []*simTarget
	idle      [][]time.Duration // since when each idle connection of a pair is idle
	slow      []reported        // the slowdown that a pair's last answer reported
	opened    int
	sent      int
	latencies []time.Duration
	rejected  int
}

type reported struct {
	slowdown float64
	at       time.Duration
}

// reportedSlowdown returns the slowdown of a target that the entry knows of.
func (f *fleetSim) reportedSlowdown(entry, target int) float64 {
	if r := f.slow[f.pair(entry, target)]; r.slowdown > 0 && f.now-r.at < slowPhase {
		return r.slowdown
	}
	return 1
}

func (f *fleetSim) pair(entry, target int) int { return entry*len(f.targets) + target }

func (f *fleetSim) connected(entry, target int) bool {
	idle := f.idle[f.pair(entry, target)]
	return len(idle) > 0 && f.now-idle[len(idle)-1] < idleConnection
}

// measured reports whether requests that come now are counted.
func (f *fleetSim) measured() bool { return f.now >= simWarmUp && f.now < simEnd }

// send sends a request and calls done with the target's waiting requests and the time.
func (f *fleetSim) send(entry, target int, work time.Duration, done func(waiting int, took time.Duration)) {
	idle := &f.idle[f.pair(entry, target)]
	if f.measured() {
		f.sent++
		if !f.connected(entry, target) {
			f.opened++
		}
	}
	if len(*idle) > 0 {
		*idle = (*idle)[:len(*idle)-1]
	}
	start, t := f.now, f.targets[target]
	f.after(network, func() {
		t.serve(work, func() {
			waiting, slowdown := len(t.queue), t.slowdown(f.now)
			f.after(network, func() {
				*idle = append(*idle, f.now)
				f.slow[f.pair(entry, target)] = reported{slowdown, f.now}
				done(waiting, f.now-start)
			})
		})
	})
}

// option is a way to choose targets. request calls done or reject.
type option interface {
	request(entry int, work time.Duration, done, reject func())
}

// localState is what an entry knows of a target from its own requests.
type localState struct {
	serviceTime, queueDelay float64
	at                      time.Duration
	inFlight, since         int
}

// local chooses by what each entry measured itself: among three sampled targets of all,
// as entries do today, or among the targets of a fixed subset.
type local struct {
	*fleetSim
	states  []localState
	subset  bool
	average []float64
}

func newLocal(f *fleetSim, subset bool) option {
	l := &local{fleetSim: f, states: make([]localState, f.entries*len(f.targets)), subset: subset, average: make([]float64, f.entries)}
	for i := range l.average {
		l.average[i] = simWork.Seconds()
	}
	return l
}

func (l *local) cost(entry, target int) float64 {
	s := &l.states[l.pair(entry, target)]
	service := l.service(entry, s)
	if l.subset { // today's choice does not use it
		service *= l.reportedSlowdown(entry, target)
	}
	slots := float64(l.targets[target].info.Slots)
	ahead := max(0, float64(max(s.since, s.inFlight))+1-slots)
	cost := service*(1+ahead/slots) + max(0, s.queueDelay-0.7*(l.now-s.at).Seconds())
	cost += service * (float64(s.inFlight)/slots + l.rng.Float64()*0.5)
	return cost + l.zoneCost(entry, target)*service
}

func (l *local) service(entry int, s *localState) float64 {
	if s.serviceTime == 0 {
		return l.average[entry]
	}
	return s.serviceTime
}

func (l *local) zoneCost(entry, target int) float64 {
	if entry%4 == target%4 {
		return 0
	}
	return otherZone
}

func (l *local) choose(entry int) int {
	best, bestCost := -1, 0.0
	consider := func(target int) {
		if cost := l.cost(entry, target); best < 0 || cost < bestCost {
			best, bestCost = target, cost
		}
	}
	if l.subset {
		// Round by round, the entries of a zone share out its targets evenly.
		zone, inZone := entry%4, len(l.targets)/4
		for i := range subsetSize {
			n := entry/4*subsetSize + i
			consider(zone + 4*((n+n/inZone)%inZone))
		}
		return best
	}
	weight := func(target int) float64 {
		return 1 / l.service(entry, &l.states[l.pair(entry, target)]) / (1 + l.zoneCost(entry, target))
	}
	total := 0.0
	for target := range l.targets {
		total += weight(target)
	}
	for range 3 {
		point := l.rng.Float64() * total
		for target := range l.targets {
			if point -= weight(target); point <= 0 {
				consider(target)
				break
			}
		}
	}
	return max(best, 0)
}

func (l *local) request(entry int, work time.Duration, done, _ func()) {
	target := l.choose(entry)
	s := &l.states[l.pair(entry, target)]
	s.inFlight++
	s.since++
	l.send(entry, target, work, func(waiting int, took time.Duration) {
		s.inFlight--
		slots := float64(l.targets[target].info.Slots)
		service := took.Seconds() / (1 + float64(waiting)/slots)
		s.serviceTime = l.service(entry, s)*0.9 + service*0.1
		l.average[entry] = l.average[entry]*0.98 + service*0.02
		s.queueDelay, s.at, s.since = float64(waiting)/slots*s.serviceTime, l.now, 0
		done()
	})
}

// leaderSlots divides the slots of each zone among its entries by their demand. The
// leader learns the demand and entries their slots once a round.
type leaderSlots struct {
	*fleetSim
	slots   [][]*leasedSlot // by entry
	demand  []float64
	waiting [][]*leaderWait
}

type leasedSlot struct {
	target, owner int
	busy          bool
}

type leaderWait struct{ start func(*leasedSlot) }

func newLeaderSlots(f *fleetSim) option {
	l := &leaderSlots{fleetSim: f, slots: make([][]*leasedSlot, f.entries), demand: make([]float64, f.entries), waiting: make([][]*leaderWait, f.entries)}
	for i, t := range f.targets {
		for range t.info.Slots {
			owner := i%4 + 4*f.rng.IntN(f.entries/4)
			l.slots[owner] = append(l.slots[owner], &leasedSlot{target: i, owner: owner})
		}
	}
	f.every(adviceRound, func() {
		demand := make([]float64, f.entries)
		for e := range demand {
			l.demand[e] *= math.Exp(-adviceRound.Seconds())
			demand[e] = l.demand[e] + float64(len(l.waiting[e]))
		}
		f.after(adviceRound/2, func() { l.divide(demand) })
	})
	return l
}

// divide moves slots from the entries that have more than their share, idle ones first.
func (l *leaderSlots) divide(demand []float64) {
	for zone := range 4 {
		total, sum := 0, 0.0
		for e := zone; e < l.entries; e += 4 {
			total += len(l.slots[e])
			sum += demand[e]
		}
		var free []*leasedSlot
		short := func(e int) float64 { return demand[e]/max(sum, 1e-9)*float64(total) - float64(len(l.slots[e])) }
		for e := zone; e < l.entries; e += 4 {
			slices.SortStableFunc(l.slots[e], func(a, b *leasedSlot) int {
				return cmp.Compare(map[bool]int{true: 0, false: 1}[a.busy], map[bool]int{true: 0, false: 1}[b.busy])
			})
			for short(e) <= -1 {
				last := len(l.slots[e]) - 1
				free = append(free, l.slots[e][last])
				l.slots[e] = l.slots[e][:last]
			}
		}
		for _, s := range free {
			best := zone
			for e := zone; e < l.entries; e += 4 {
				if short(e) > short(best) {
					best = e
				}
			}
			s.owner = best
			l.slots[best] = append(l.slots[best], s)
		}
		for e := zone; e < l.entries; e += 4 {
			l.startWaiting(e)
		}
	}
}

// startWaiting gives free slots to waiting requests, those of the fastest targets first. The
// usual speed of a target is taken as known.
func (l *leaderSlots) startWaiting(e int) {
	for len(l.waiting[e]) > 0 {
		var best *leasedSlot
		bestTime := 0.0
		for _, s := range l.slots[e] {
			if t := l.reportedSlowdown(e, s.target) / l.targets[s.target].speed; !s.busy && (best == nil || t < bestTime) {
				best, bestTime = s, t
			}
		}
		if best == nil {
			return
		}
		w := l.waiting[e][0]
		l.waiting[e] = l.waiting[e][1:]
		w.start(best)
	}
}

func (l *leaderSlots) request(entry int, work time.Duration, done, reject func()) {
	l.demand[entry]++
	start := func(s *leasedSlot) {
		s.busy = true
		l.send(entry, s.target, work, func(int, time.Duration) {
			s.busy = false
			done()
			l.startWaiting(s.owner)
		})
	}
	w := &leaderWait{start: start}
	l.waiting[entry] = append(l.waiting[entry], w)
	l.after(simLimit-simWork, func() {
		if i := slices.Index(l.waiting[entry], w); i >= 0 {
			l.waiting[entry] = slices.Delete(l.waiting[entry], i, i+1)
			reject()
		}
	})
	l.startWaiting(entry)
}

// pooled asks the better of two of its preferred pools, by the last reported status.
type pooled struct {
	*fleetSim
	pools  [][]*simPool // by entry
	status map[*simPool][]dispatch.Status
	number map[string]int // of a target
}

func newPooled(f *fleetSim) option {
	p := &pooled{fleetSim: f, pools: make([][]*simPool, f.entries), status: make(map[*simPool][]dispatch.Status), number: make(map[string]int)}
	targets := make([]deployment.Target, len(f.targets))
	for i, t := range f.targets {
		targets[i] = t.info
		p.number[t.info.ID] = i
	}
	assignment := dispatch.Assign(targets, nil, func(string) bool { return false })
	byID := make(map[string]*simPool)
	for _, info := range assignment.Pools() {
		var members []*simTarget
		for _, id := range info.Targets {
			members = append(members, f.targets[p.number[id]])
		}
		// 0.1 ms for the link, and half of the 2 ms within which messages are batched.
		pool := newSimPool(f.world, members, 1100*time.Microsecond)
		byID[info.ID] = pool
		p.status[pool] = make([]dispatch.Status, f.entries)
	}
	for entry := range p.pools {
		for _, info := range assignment.Preferred(fmt.Sprint("e", entry), "s", fmt.Sprint("z", entry%4)) {
			p.pools[entry] = append(p.pools[entry], byID[info.ID])
		}
	}
	return p
}

func (p *pooled) request(entry int, work time.Duration, done, reject func()) {
	pools := p.pools[entry]
	pool := p.draw(pools)
	if other := p.draw(pools); better(p.status[other][entry], p.status[pool][entry]) {
		pool = other
	}
	var connected []string
	for id := range pool.targets {
		if p.connected(entry, p.number[id]) {
			connected = append(connected, id)
		}
	}
	target := 0
	pool.request(dispatch.Requested{
		ID: dispatch.RequestID{Entry: fmt.Sprint(entry)}, Objective: simObjective, Timeout: simTimeout, Left: simTimeout, Connected: connected,
	}, ask{
		work:     work,
		rejected: func(dispatch.Rejected) { reject() },
		sent: func(id string, answered func(waiting int, took time.Duration)) {
			target = p.number[id]
			p.status[pool][entry] = pool.pool.Status(pool.at())
			p.send(entry, target, work, func(waiting int, took time.Duration) {
				done()
				answered(waiting, took)
			})
		},
	})
}

// draw returns a random pool, weighted by its number of targets.
func (p *pooled) draw(pools []*simPool) *simPool {
	total := 0
	for _, pool := range pools {
		total += len(pool.targets)
	}
	n := p.rng.IntN(total)
	for _, pool := range pools {
		if n -= len(pool.targets); n < 0 {
			return pool
		}
	}
	return pools[0]
}

func better(a, b dispatch.Status) bool {
	if a.Free != b.Free {
		return a.Free > b.Free
	}
	return a.Wait < b.Wait
}

func runOption(entries int, load float64, create func(*fleetSim) option) *fleetSim {
	f := &fleetSim{world: newWorld(uint64(entries)), entries: entries}
	f.targets = f.newTargets(entries*71/62/4*4, 3, 0.6, 1, 1.6, 1, 1.6, 0.6, 1)
	f.idle = make([][]time.Duration, entries*len(f.targets))
	f.slow = make([]reported, entries*len(f.targets))
	o := create(f)
	f.arrivals(steady(load*capacity(f.targets, simWork)), func() {
		start, counted := f.now, f.measured()
		o.request(f.rng.IntN(entries), f.work(simWork), func() {
			if counted {
				f.latencies = append(f.latencies, f.now-start)
			}
		}, func() {
			if counted {
				f.rejected++
			}
		})
	})
	f.run(simEnd + 5*time.Second)
	return f
}

// BenchmarkAlternatives compares ways to choose targets. docs/design/dispatch.md holds its
// figures.
func BenchmarkAlternatives(b *testing.B) {
	options := []struct {
		name   string
		create func(*fleetSim) option
	}{
		{"sample", func(f *fleetSim) option { return newLocal(f, false) }},
		{"subset", func(f *fleetSim) option { return newLocal(f, true) }},
		{"leader", newLeaderSlots},
		{"pool", newPooled},
	}
	for _, entries := range []int{62, 106, 200, 2000} {
		for _, load := range []float64{0.48, 0.75, 0.93} {
			for _, o := range options {
				b.Run(fmt.Sprintf("entries=%d/load=%.0f/%s", entries, load*100, o.name), func(b *testing.B) {
					for range b.N {
						runOption(entries, load, o.create).report(b)
					}
				})
			}
		}
	}
}

func (f *fleetSim) report(b *testing.B) {
	slices.Sort(f.latencies)
	inTime, _ := slices.BinarySearch(f.latencies, simObjective+1)
	all := float64(len(f.latencies) + f.rejected)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*float64(inTime)/all, "%in_time")
	b.ReportMetric(float64(f.latencies[len(f.latencies)/2].Milliseconds()), "p50_ms")
	b.ReportMetric(float64(f.latencies[len(f.latencies)*99/100].Milliseconds()), "p99_ms")
	b.ReportMetric(100*float64(f.rejected)/all, "%rejected")
	b.ReportMetric(float64(f.opened)/float64(f.sent), "opened/request")
}
