package dispatch_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// world runs targets, callers and dispatchers in simulated time.
type world struct {
	now    time.Duration
	events calls
	seq    int
	rng    *rand.Rand
}

type call struct {
	at  time.Duration
	seq int
	f   func()
}

type calls []call

func (c calls) Len() int { return len(c) }
func (c calls) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].seq < c[j].seq
}
func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)   { *c = append(*c, x.(call)) }
func (c *calls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func newWorld(seed uint64) *world { return &world{rng: rand.New(rand.NewPCG(seed, 1))} }

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, call{w.now + max(d, 0), w.seq, f})
}

func (w *world) every(period time.Duration, f func()) {
	w.after(period, func() { f(); w.every(period, f) })
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		c := heap.Pop(&w.events).(call)
		w.now = c.at
		c.f()
	}
	w.now = until
}

// arrivals calls f at random instants, at a rate that may change.
func (w *world) arrivals(perSecond func(time.Duration) float64, f func()) {
	rate := perSecond(w.now)
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() { f(); w.arrivals(perSecond, f) })
}

const (
	simWork   = 220 * time.Millisecond
	simSpread = 0.8 // of the lognormal distribution of work
	slowShare = 0.2
	slowTimes = 3.0
	slowPhase = 400 * time.Millisecond
	network   = 700 * time.Microsecond // one way to a target
)

// work returns the random work of a request.
func (w *world) work(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(simSpread*w.rng.NormFloat64()-simSpread*simSpread/2))
}

// simTarget serves requests in its slots, the others wait in its queue.
type simTarget struct {
	w       *world
	info    deployment.Target
	speed   float64
	seed    uint64
	steady  bool // never slow
	silent  bool // never answers
	running int
	queue   []func()
	asked   []time.Duration // when requests came
}

// slowdown returns how many times slower the target is in a phase.
func (t *simTarget) slowdown(at time.Duration) float64 {
	if t.steady {
		return 1
	}
	if rand.New(rand.NewPCG(t.seed, uint64(at/slowPhase))).Float64() < slowShare {
		return slowTimes
	}
	return 1
}

// finish returns when work that starts now is done.
func (t *simTarget) finish(work time.Duration) time.Duration {
	at, left := t.w.now, float64(work)/t.speed
	for {
		end := (at/slowPhase + 1) * slowPhase
		slow := t.slowdown(at)
		if done := float64(end-at) / slow; done < left {
			left -= done
			at = end
			continue
		}
		return at + time.Duration(left*slow)
	}
}

// serve calls done when the work is done.
func (t *simTarget) serve(work time.Duration, done func()) {
	t.asked = append(t.asked, t.w.now)
	start := func() {
		t.running++
		if t.silent {
			return
		}
		t.w.after(t.finish(work)-t.w.now, func() {
			t.running--
			if len(t.queue) > 0 && t.running < t.info.Slots {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			done()
		})
	}
	if t.running < t.info.Slots {
		start()
	} else {
		t.queue = append(t.queue, start)
	}
}

// busiestSecond returns the most requests that came within a second since the instant.
func (t *simTarget) busiestSecond(since time.Duration) int {
	most, first := 0, 0
	for i, at := range t.asked {
		for t.asked[first] <= at-time.Second || t.asked[first] < since {
			if first == i {
				break
			}
			first++
		}
		if at >= since {
			most = max(most, i-first+1)
		}
	}
	return most
}

func (w *world) newTargets(count, slots int, speeds ...float64) []*simTarget {
	out := make([]*simTarget, count)
	for i := range out {
		id := fmt.Sprintf("t%04d", i)
		out[i] = &simTarget{w: w, speed: speeds[i%len(speeds)], seed: w.rng.Uint64(), info: deployment.Target{
			ID: id, Service: "s", Slots: slots, Status: deployment.Live, AvailabilityZone: fmt.Sprint("z", i%4),
		}}
	}
	return out
}

// capacity returns how many requests a second the targets can serve.
func capacity(targets []*simTarget, work time.Duration) float64 {
	sum := 0.0
	for _, t := range targets {
		rate := t.speed * float64(t.info.Slots) / work.Seconds()
		if !t.steady {
			rate *= 1 - slowShare + slowShare/slowTimes
		}
		sum += rate
	}
	return sum
}

// simPool carries messages between entries and a pool.
type simPool struct {
	w       *world
	pool    *dispatch.Pool
	targets map[string]*simTarget
	asks    map[dispatch.RequestID]ask
	next    uint64
	delay   time.Duration // one way between an entry and the dispatcher
}

type ask struct {
	work time.Duration
	// sent sends the granted request and calls answered; nil stands for sending it.
	sent     func(target string, answered func(waiting int, took time.Duration))
	rejected func(dispatch.Rejected)
	ended    func()
}

func newSimPool(w *world, targets []*simTarget, delay time.Duration) *simPool {
	p := &simPool{
		w: w, pool: dispatch.NewPool(dispatch.Config{}), targets: make(map[string]*simTarget),
		asks: make(map[dispatch.RequestID]ask), delay: delay,
	}
	for _, t := range targets {
		p.targets[t.info.ID] = t
	}
	p.update(dispatch.TargetsChanged{At: p.at(), Targets: p.infos()})
	w.every(10*time.Millisecond, func() { p.update(dispatch.Ticked{At: p.at()}) })
	return p
}

func (p *simPool) at() timer.Instant { return timer.Instant(p.w.now + time.Second) }

// infos returns the targets, sorted by ID.
func (p *simPool) infos() []dispatch.TargetInfo {
	var out []dispatch.TargetInfo
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		out = append(out, dispatch.TargetInfo{Target: p.targets[id].info})
	}
	return out
}

// request sends a request through the pool.
func (p *simPool) request(e dispatch.Requested, a ask) dispatch.RequestID {
	p.next++
	e.ID.Number = p.next
	p.asks[e.ID] = a
	p.w.after(p.delay, func() {
		e.At, e.Age, e.Left = p.at(), e.Age+p.delay, e.Left-p.delay
		p.update(e)
	})
	return e.ID
}

func (p *simPool) update(event dispatch.Event) {
	for _, effect := range p.pool.Update(event) {
		switch e := effect.(type) {
		case dispatch.Granted:
			if a, ok := p.asks[e.ID]; ok {
				p.w.after(p.delay, func() { p.send(e, a) })
			}
		case dispatch.Rejected:
			if a, ok := p.asks[e.ID]; ok {
				delete(p.asks, e.ID)
				p.w.after(p.delay, func() { a.rejected(e) })
			}
		}
	}
}

func (p *simPool) send(e dispatch.Granted, a ask) {
	t := p.targets[e.Target]
	answered := func(waiting int, took time.Duration) {
		delete(p.asks, e.ID)
		if a.ended != nil {
			a.ended()
		}
		ended := dispatch.Ended{
			ID: e.ID, Target: e.Target, Outcome: dispatch.Succeeded, Took: took, LoadKnown: true,
			Running: t.running, Waiting: waiting, Slowdown: t.slowdown(p.w.now),
		}
		p.w.after(p.delay, func() { ended.At = p.at(); p.update(ended) })
	}
	if a.sent != nil {
		a.sent(e.Target, answered)
		return
	}
	start := p.w.now
	p.w.after(network, func() {
		t.serve(a.work, func() {
			waiting := len(t.queue)
			p.w.after(network, func() { answered(waiting, p.w.now-start) })
		})
	})
}
