package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// minConnectCost is the least time that opening a connection costs. An open one is
	// preferred as far as it saves what the entry takes for that.
	minConnectCost = 2 * time.Millisecond
	// maxTargetBodyBytes bounds the bytes of bodies in flight to one target.
	maxTargetBodyBytes = 4 << 20
	// lateShare is the share of the time from the objective to the timeout up to which a
	// request may be expected to end.
	lateShare = 0.25
	// checkPeriod is how often waiting requests and overdue grants are checked.
	checkPeriod = 10 * time.Millisecond
	// meanRateTime is the time over which the rate is averaged that returns are counted by.
	// The rate of a moment is higher than what is served in a span.
	meanRateTime = 5 * time.Second
	// maxTried bounds the waiting requests for which a target is sought at an event.
	maxTried = 32
	// maxAnnouncedWait bounds the announced wait of a pool without room.
	maxAnnouncedWait = 5 * time.Second
	// startShare is the share of its room that a pool counts on for returns during the first
	// meanRateTime: only short requests have ended, so that it overestimates its rate.
	startShare = 0.6
	// While a pool has no target, callers return after noTargetWait at the earliest, at the
	// rate that the pool last had, but not less than assumedRate a second.
	noTargetWait = time.Second
	assumedRate  = 10.0
)

// Config holds the settings of a pool. Zero values stand for the defaults.
type Config struct {
	// MaxTargetBodyBytes bounds the bytes of bodies in flight to one target (4 MB).
	MaxTargetBodyBytes int
	// ServiceTime is the assumed service time until the pool has measured it (60 ms).
	ServiceTime time.Duration
}

// Pool decides which requests get the free slots of a group of targets. It answers the load
// of many entries that each see a few requests, at targets whose speed changes within a
// second, and demand beyond their room. It is a reducer and is not safe for concurrent use.
type Pool struct {
	cfg         Config
	targets     []*target // by ID
	queue       queue
	returns     returns
	serviceTime movingAverage // over all targets
	heldTime    movingAverage // over all targets
	now         timer.Instant // the latest of all events
	checkedAt   timer.Instant
	// rate is how many requests a second the targets can serve, and expected is the mean
	// expected time of a request in seconds, both as of the last event.
	rate, expected float64
	meanRate       float64 // average of rate over meanRateTime
	measuredSince  timer.Instant
	effects        []Effect
}

// NewPool returns a pool without targets, which rejects every request.
func NewPool(cfg Config) *Pool {
	if cfg.MaxTargetBodyBytes <= 0 {
		cfg.MaxTargetBodyBytes = maxTargetBodyBytes
	}
	if cfg.ServiceTime <= 0 {
		cfg.ServiceTime = initialServiceTime
	}
	assumed := movingAverage{value: cfg.ServiceTime.Seconds()}
	return &Pool{cfg: cfg, queue: newQueue(), serviceTime: assumed, heldTime: assumed}
}

// Update applies an event and returns the decisions that follow from it. The slice is valid
// until the next call. Events at an earlier instant than one before count as at that one.
func (p *Pool) Update(event Event) []Effect {
	p.effects = p.effects[:0]
	switch e := event.(type) {
	case TargetsChanged:
		p.advance(e.At)
		p.setTargets(e.Targets)
		p.checkWaiters()
	case Requested:
		p.advance(e.At)
		p.requested(e)
		return p.effects
	case Cancelled: // first, so that no decision for it follows
		p.cancelled(e.ID)
		p.advance(e.At)
	case Ended:
		p.advance(e.At)
		e.At = p.now
		p.ended(e)
	case EntryLost:
		p.entryLost(e.Entry)
		p.advance(e.At)
	case Ticked:
		p.advance(e.At)
	}
	p.measure()
	p.grantWaiters()
	return p.effects
}

// Status returns how much room the pool has.
func (p *Pool) Status(now timer.Instant) Status {
	s := Status{Waiting: p.queue.len()}
	rate := 0.0
	for _, t := range p.targets {
		s.Free += t.free(now)
		rate += t.rate(p.heldTime.value, now)
	}
	s.Free = max(0, s.Free-s.Waiting)
	if s.Free == 0 {
		s.Wait = maxAnnouncedWait
		if rate > 0 {
			s.Wait = min(s.Wait, seconds(float64(s.Waiting+1)/rate))
		}
	}
	return s
}

// advance moves the time forward and makes the checks that are due.
func (p *Pool) advance(at timer.Instant) {
	p.now = max(p.now, at)
	if p.now.Sub(p.checkedAt) < checkPeriod {
		p.measure()
		return
	}
	elapsed := p.now.Sub(p.checkedAt)
	p.checkedAt = p.now
	for _, t := range p.targets {
		t.expire(p.now)
	}
	p.measure()
	p.updateMeanRate(elapsed)
	p.queue.decay(elapsed, min(p.rate, p.meanRate))
	if p.queue.len() > 0 {
		p.queue.expireStarts(p.now)
		p.grantWaiters()
		p.checkWaiters()
	}
}

// updateMeanRate averages the rate. Without a target, the rate before stays. A pool that has
// just started forgets faster, since it begins with an assumed rate.
func (p *Pool) updateMeanRate(elapsed time.Duration) {
	switch {
	case p.rate == 0:
	case p.meanRate == 0:
		p.meanRate, p.measuredSince = p.rate, p.now
	default:
		over := min(max(p.now.Sub(p.measuredSince)/4, meanRateTime/10), meanRateTime)
		p.meanRate += (p.rate - p.meanRate) * min(1, elapsed.Seconds()/over.Seconds())
	}
}

// measure updates the rate and the mean expected time of the pool.
func (p *Pool) measure() {
	rate, slots, weighted := 0.0, 0.0, 0.0
	for _, t := range p.targets {
		rate += t.rate(p.heldTime.value, p.now)
		n := float64(max(t.Slots, 1))
		slots += n
		weighted += n / t.expected(p.now)
	}
	p.rate, p.expected = rate, p.serviceTime.value
	if weighted > 0 {
		p.expected = slots / weighted
	}
}

// setTargets takes over the targets. What is known of one stays while its incarnation does.
func (p *Pool) setTargets(infos []TargetInfo) {
	old := p.targets
	p.targets = make([]*target, 0, len(infos))
	for _, info := range infos {
		i := slices.IndexFunc(old, func(t *target) bool {
			return t.ID == info.Target.ID && t.StartMillis == info.Target.StartMillis
		})
		var t *target
		if i >= 0 {
			t = old[i]
		} else {
			t = &target{Target: info.Target, serviceTime: movingAverage{value: p.serviceTime.value}}
		}
		t.update(info, p.now)
		p.targets = append(p.targets, t)
	}
	slices.SortFunc(p.targets, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
	p.measure()
}

func (p *Pool) target(id string) *target {
	for _, t := range p.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// requested grants a slot, lets the request wait or rejects it.
func (p *Pool) requested(e Requested) {
	if p.known(e.ID) {
		return
	}
	w := p.newWaiter(e)
	if p.now.Add(seconds(p.expected)) > w.deadline || !p.mayServe(w) {
		p.reject(w, true)
		return
	}
	p.queue.asked++
	w.level.asked++
	if p.queue.len() == 0 {
		if t := p.choose(w); t != nil {
			p.grant(w, t, FreeSlot)
			return
		}
	}
	late := p.expectedStart(w, false) > w.latestStart
	if p.queue.servedTooOften(w.level) || w.limitStart < p.now || late && p.expectedStart(w, true) > w.limitStart {
		p.reject(w, late)
		return
	}
	w.level.accepted++
	p.queue.add(w, late)
	p.grantWaiters()
}

// known reports whether the request waits or has a slot.
func (p *Pool) known(id RequestID) bool {
	if _, ok := p.queue.byID[id]; ok {
		return true
	}
	for _, t := range p.targets {
		if i := t.indexOf(id); i >= 0 && !t.grants[i].lost {
			return true
		}
	}
	return false
}

func (p *Pool) newWaiter(e Requested) *waiter {
	received := p.now.Add(-e.Age)
	deadline := p.now.Add(e.Left)
	timeout := e.Timeout
	if timeout <= 0 {
		timeout = e.Age + e.Left
	}
	objective := e.Objective
	if objective <= 0 || objective > timeout {
		objective = timeout
	}
	limitEnd := min(deadline, received.Add(objective+time.Duration(lateShare*float64(timeout-objective))))
	work := seconds(p.expected)
	return &waiter{
		id:          e.ID,
		level:       p.queue.level(e.Priority),
		returning:   e.Returning,
		objective:   objective,
		latestStart: min(deadline, received.Add(objective)).Add(-work),
		limitStart:  limitEnd.Add(-work),
		deadline:    deadline,
		body:        e.BodyBytes,
		bodyTime:    e.BodyTime,
		connectCost: max(e.ConnectTime, minConnectCost).Seconds(),
		excluded:    e.Excluded,
		connected:   e.Connected,
	}
}

// expectedStart returns when a request that comes now is expected to get a slot.
func (p *Pool) expectedStart(w *waiter, late bool) timer.Instant {
	return p.startAfter(p.queue.ahead(w, late), p.queue.overtaking(w.level, late))
}

// startAfter returns when a request is expected to get a slot that has n requests before
// it, while perSecond of those that come go before it as well.
func (p *Pool) startAfter(n int, perSecond float64) timer.Instant {
	if p.rate == 0 {
		return p.readyAt()
	}
	load := min(maxLoad, perSecond/p.rate)
	return p.now.Add(min(time.Hour, seconds(float64(n+1)/p.rate/(1-load))))
}

// readyAt returns when the first target admits requests again.
func (p *Pool) readyAt() timer.Instant {
	ready := p.now.Add(time.Hour)
	for _, t := range p.targets {
		ready = min(ready, max(t.openUntil, t.shedUntil, t.foreignUntil))
	}
	return ready
}

// mayServe reports whether there is a target to which the request may go in time.
func (p *Pool) mayServe(w *waiter) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool {
		return !slices.Contains(w.excluded, t.ID) && t.openUntil <= max(w.limitStart, p.now)
	})
}

// choose returns the best target with a free slot for a request, or nil. Failing targets
// come last.
func (p *Pool) choose(w *waiter) *target {
	var best *target
	bestCost, bestFailing := 0.0, false
	for _, t := range p.targets {
		if slices.Contains(w.excluded, t.ID) || t.circuitOpen(p.now) {
			continue
		}
		if t.free(p.now) == 0 || !t.bodyFits(w.body, p.cfg.MaxTargetBodyBytes) {
			continue
		}
		cost, failing := t.cost(w, p.now), t.failing()
		if best == nil || !failing && bestFailing || failing == bestFailing && cost < bestCost {
			best, bestCost, bestFailing = t, cost, failing
		}
	}
	return best
}

func (p *Pool) grant(w *waiter, t *target, reason Reason) {
	t.take(w, p.now)
	w.level.granted++
	if reason == FreeSlot {
		w.level.accepted++
	}
	p.effects = append(p.effects, Granted{ID: w.id, Target: t.ID, Reason: reason})
}

// grantWaiters gives free slots to waiting requests.
func (p *Pool) grantWaiters() {
	if p.queue.len() == 0 {
		return
	}
	free, tried := p.free(), 0
	p.queue.walk(func(w *waiter, _ bool) bool {
		if free == 0 || tried == maxTried {
			return false
		}
		t := p.choose(w)
		if t == nil {
			tried++
			return true
		}
		p.queue.remove(w)
		p.grant(w, t, Waited)
		free = p.free()
		return true
	})
}

// free returns the number of free slots.
func (p *Pool) free() int {
	free := 0
	for _, t := range p.targets {
		free += t.free(p.now)
	}
	return free
}

// checkWaiters rejects the waiting requests that are expected to end too late.
func (p *Pool) checkWaiters() {
	n := 0
	p.queue.walk(func(w *waiter, late bool) bool {
		start := p.startAfter(n, p.queue.overtaking(w.level, late))
		if p.mayServe(w) && start <= w.limitStart {
			n++
			return true
		}
		p.queue.remove(w)
		p.reject(w, late)
		return true
	})
}

// reject rejects a request with the next place in the queue of returns.
func (p *Pool) reject(w *waiter, late bool) {
	room, wait := min(p.rate, p.meanRate), p.startAfter(p.queue.len(), 0).Sub(p.now)
	if p.rate == 0 {
		room, wait = max(p.meanRate, assumedRate), min(wait, noTargetWait)
	}
	if p.now.Sub(p.measuredSince) < meanRateTime {
		room *= startShare
	}
	p.effects = append(p.effects, Rejected{
		ID:         w.id,
		Reason:     p.rejectReason(w, late),
		RetryAfter: p.returns.place(p.now, min(wait, maxAnnouncedWait), room, max(room-p.queue.overtaking(w.level, false), minReturnShare*room)),
	})
}

// rejectReason returns why the request gets no slot.
func (p *Pool) rejectReason(w *waiter, late bool) Reason {
	usable, warm, fits := false, false, false
	for _, t := range p.targets {
		if slices.Contains(w.excluded, t.ID) || t.circuitOpen(p.now) {
			continue
		}
		usable = true
		warm = warm || !t.cold(p.now)
		fits = fits || t.bodyFits(w.body, p.cfg.MaxTargetBodyBytes)
	}
	n := p.queue.ahead(w, late)
	own := len(w.level.inTime) + len(w.level.late)
	switch {
	case !usable:
		return NoTarget
	case !warm:
		return ColdTargets
	case !fits:
		return BodyMemory
	case n > own || p.queue.overtaking(w.level, false) > 0 && p.startAfter(own, 0) <= w.limitStart:
		return LessUrgent
	}
	return TooLate
}

// cancelled withdraws a request. If it has just got a slot, the slot is free: its entry
// sends nothing after a cancellation.
func (p *Pool) cancelled(id RequestID) {
	if w, ok := p.queue.byID[id]; ok {
		p.queue.remove(w)
		return
	}
	for _, t := range p.targets {
		if i := t.indexOf(id); i >= 0 && !t.grants[i].lost {
			t.release(i)
			return
		}
	}
}

// ended frees the slot of a granted request. Of a request without a grant, only the load
// that its target reported counts: another dispatcher may have granted it.
func (p *Pool) ended(e Ended) {
	t := p.target(e.Target)
	if t == nil {
		return
	}
	i := t.indexOf(e.ID)
	if i < 0 {
		t.updateLoad(e, len(t.grants))
		return
	}
	work := t.updateOutcome(e, t.grants[i])
	t.updateLoad(e, len(t.grants))
	g := t.release(i)
	if work > 0 {
		p.serviceTime.add(work, poolTimeWeight, assumedSamples)
		held := g.held(p.now)
		t.heldTime.add(held, heldTimeWeight, 0)
		p.heldTime.add(held, poolHeldWeight, 0)
	}
}

// entryLost drops the waiting requests of an entry. Its granted ones may still run, so
// their slots are taken until they end or their time has passed.
func (p *Pool) entryLost(entry string) {
	p.queue.walk(func(w *waiter, _ bool) bool {
		if w.id.Entry == entry {
			p.queue.remove(w)
		}
		return true
	})
	for _, t := range p.targets {
		for i := range t.grants {
			if g := &t.grants[i]; g.id.Entry == entry {
				g.lost = true
			}
		}
	}
}
