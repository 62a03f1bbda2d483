package dispatcher

import (
	"hash/fnv"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// lostPoolTime is for how long a pool that was assigned to another entry still takes
	// requests. Entries learn of a new list at different times, and one that is told "not
	// mine" chooses targets by itself.
	lostPoolTime = 2 * time.Second
	// minAnnouncedWait is the shortest time for which a request is told to wait. An entry
	// takes the dispatcher for lost when no further answer comes within it.
	minAnnouncedWait = 40 * time.Millisecond
	// maxAnnouncedWait bounds that time, so that a dispatcher that is lost meanwhile is
	// noticed while the request can still be served.
	maxAnnouncedWait = 250 * time.Millisecond
	// maxQueuedMessages bounds the answers that wait to be sent to one entry. One that takes
	// none for so long has stopped.
	maxQueuedAnswers = 4096
)

// reducer decides for one pool, as *dispatch.Pool does.
type reducer interface {
	Update(e dispatch.Event) []dispatch.Effect
	Status(now timer.Instant) dispatch.Status
}

// asker is an entry that asks for slots.
type asker interface {
	// answer queues an answer. It must not block.
	answer(a instance.SlotAnswer)
}

// pools runs the pools that are assigned to this entry. One mutex guards them all: a
// dispatcher sees a few hundred messages a second.
type pools struct {
	clock   timer.Clock
	newPool func() reducer

	mu      sync.Mutex
	byID    map[string]*pool
	streams map[string]int // open streams, by entry
}

// pool is one pool with the requests that wait in it.
type pool struct {
	reducer reducer
	targets map[int]string // IDs by short hash
	waiting map[dispatch.RequestID]*waiter
	lostAt  timer.Instant // when it was assigned to another entry; 0 while it is assigned to this one
}

// waiter is a request that waits for a slot.
type waiter struct {
	from  asker
	until timer.Instant // by then it gets another answer
	wait  time.Duration // that was announced last
}

func newPools(clock timer.Clock, newPool func() reducer) *pools {
	return &pools{clock: clock, newPool: newPool, byID: make(map[string]*pool), streams: make(map[string]int)}
}

// assign sets the pools that this entry decides for, with their targets. Others are dropped
// once they have been lost for lostPoolTime and nobody waits in them.
func (p *pools) assign(own map[string][]dispatch.TargetInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for id, targets := range own {
		known, ok := p.byID[id]
		if !ok {
			known = &pool{reducer: p.newPool(), waiting: make(map[dispatch.RequestID]*waiter)}
			p.byID[id] = known
		}
		known.lostAt = 0
		known.targets = make(map[int]string, len(targets))
		for _, t := range targets {
			known.targets[shortHash(t.Target.ID)] = t.Target.ID
		}
		known.update(dispatch.TargetsChanged{At: now, Targets: targets}, now)
	}
	for id, known := range p.byID {
		if _, ok := own[id]; !ok && known.lostAt == 0 {
			known.lostAt = max(now, 1)
		}
	}
}

// shortHash identifies one of the few targets of a pool.
func shortHash(target string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(target)) // never fails
	sum := h.Sum32()
	return int(sum>>16^sum) & math.MaxInt16
}

// tick tells the time to all pools, and to the entries whose requests wait on.
func (p *pools) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	maps.DeleteFunc(p.byID, func(_ string, x *pool) bool {
		return x.lostAt > 0 && len(x.waiting) == 0 && now.Sub(x.lostAt) > lostPoolTime
	})
	for _, x := range p.byID {
		if len(x.waiting) == 0 {
			continue
		}
		x.update(dispatch.Ticked{At: now}, now)
		for id, w := range x.waiting {
			if now >= w.until {
				x.announce(id, w, 2*w.wait, now)
			}
		}
	}
}

// running returns the number of pools.
func (p *pools) running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byID)
}

// waiting returns the number of requests that wait for a slot.
func (p *pools) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, x := range p.byID {
		n += len(x.waiting)
	}
	return n
}

// handle applies a message of an entry.
func (p *pools) handle(entry string, from asker, m *instance.DispatchMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range m.Ends {
		if x, ok := p.byID[e.Pool]; ok {
			x.update(endedOf(entry, e, now), now)
		}
	}
	for _, r := range m.Requests {
		x, ok := p.byID[r.Pool]
		if !ok {
			from.answer(instance.SlotAnswer{Number: r.Number, Kind: instance.SlotNotMine})
			continue
		}
		id := dispatch.RequestID{Entry: entry, Number: uint64(r.Number)}
		w := &waiter{from: from}
		x.waiting[id] = w
		x.update(x.requestedOf(id, r, now), now)
		if x.waiting[id] == w {
			x.announce(id, w, x.reducer.Status(now).Wait, now)
		}
	}
	// Last, because a request may be withdrawn before it was sent.
	for _, c := range m.Cancels {
		if x, ok := p.byID[c.Pool]; ok {
			id := dispatch.RequestID{Entry: entry, Number: uint64(c.Number)}
			delete(x.waiting, id)
			x.update(dispatch.Cancelled{At: now, ID: id}, now)
		}
	}
}

// update applies an event and answers the requests that it decides.
func (x *pool) update(e dispatch.Event, now timer.Instant) {
	for _, effect := range x.reducer.Update(e) {
		switch e := effect.(type) {
		case dispatch.Granted:
			x.answer(e.ID, instance.SlotAnswer{Kind: instance.SlotGranted, Target: e.Target, Reason: string(e.Reason)}, now)
		case dispatch.Rejected:
			x.answer(e.ID, instance.SlotAnswer{Kind: instance.SlotRejected, Reason: string(e.Reason), After: ceilMillis(e.RetryAfter)}, now)
		}
	}
}

// answer sends the final answer to a request.
func (x *pool) answer(id dispatch.RequestID, a instance.SlotAnswer, now timer.Instant) {
	w, ok := x.waiting[id]
	if !ok {
		return
	}
	delete(x.waiting, id)
	w.from.answer(x.withStatus(id, a, now))
}

// announce tells an entry how long its request waits until the next answer.
func (x *pool) announce(id dispatch.RequestID, w *waiter, wait time.Duration, now timer.Instant) {
	w.wait = min(max(wait, minAnnouncedWait), maxAnnouncedWait)
	w.until = now.Add(w.wait)
	w.from.answer(x.withStatus(id, instance.SlotAnswer{Kind: instance.SlotWaiting, After: ceilMillis(w.wait + tickInterval)}, now))
}

func (x *pool) withStatus(id dispatch.RequestID, a instance.SlotAnswer, now timer.Instant) instance.SlotAnswer {
	s := x.reducer.Status(now)
	a.Number, a.Free, a.Waiting, a.Wait = uint(id.Number), s.Free, s.Waiting, ceilMillis(s.Wait)
	return a
}

// ceilMillis returns a duration in whole milliseconds, rounded up.
func ceilMillis(d time.Duration) int { return int((d + time.Millisecond - 1) / time.Millisecond) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (x *pool) requestedOf(id dispatch.RequestID, r instance.SlotRequest, now timer.Instant) dispatch.Requested {
	out := dispatch.Requested{
		At: now, ID: id, Priority: r.Priority, Age: millis(r.Age), Objective: millis(r.Objective), Timeout: millis(r.Timeout),
		Left: millis(r.Left), BodyBytes: r.BodyBytes, BodyTime: millis(r.BodyTime), ConnectTime: millis(r.Connect), Excluded: r.Excluded, Returning: r.Returning,
	}
	for _, h := range r.Connected {
		if target, ok := x.targets[h]; ok {
			out.Connected = append(out.Connected, target)
		}
	}
	return out
}

const usualPercent = 100 // slowdown of a target at its usual speed

func endedOf(entry string, e instance.SlotEnd, now timer.Instant) dispatch.Ended {
	out := dispatch.Ended{
		At: now, ID: dispatch.RequestID{Entry: entry, Number: uint64(e.Number)}, Target: e.Target,
		Outcome: dispatch.Outcome(e.Outcome), Took: millis(e.Took), Slowdown: 1,
	}
	if len(e.Load) == 3 {
		out.LoadKnown, out.Running, out.Waiting, out.Slowdown = true, e.Load[0], e.Load[1], float64(e.Load[2])/usualPercent
	}
	return out
}

// entryOpened counts a stream of an entry.
func (p *pools) entryOpened(entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[entry]++
}

// entryClosed drops the waiting requests of a stream, and tells the pools when it was the
// entry's last one.
func (p *pools) entryClosed(entry string, from asker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.streams[entry]--
	last := p.streams[entry] <= 0
	if last {
		delete(p.streams, entry)
	}
	for _, x := range p.byID {
		for id, w := range x.waiting {
			if w.from == from {
				delete(x.waiting, id)
				x.update(dispatch.Cancelled{At: now, ID: id}, now)
			}
		}
		if last {
			x.update(dispatch.EntryLost{At: now, Entry: entry}, now)
		}
	}
}

// serve handles the stream of an entry until it ends.
func (p *pools) serve(s instance.DispatchStream) error {
	m, err := s.Receive()
	if err != nil {
		return err
	}
	entry := m.Entry
	out := &answerQueue{ready: make(chan struct{}, 1)}
	p.entryOpened(entry)
	defer p.entryClosed(entry, out)
	go out.send(s)
	for {
		p.handle(entry, out, m)
		if m, err = s.Receive(); err != nil {
			return err
		}
	}
}

// answerQueue holds the answers to one entry until they are sent. All that are ready go out
// in one message.
type answerQueue struct {
	ready chan struct{}

	mu      sync.Mutex
	answers []instance.SlotAnswer
}

func (q *answerQueue) answer(a instance.SlotAnswer) {
	q.mu.Lock()
	if len(q.answers) < maxQueuedAnswers {
		q.answers = append(q.answers, a)
	}
	q.mu.Unlock()
	notify(q.ready)
}

// send sends the answers until the stream ends.
func (q *answerQueue) send(s instance.DispatchStream) {
	for {
		select {
		case <-s.Context().Done():
			return
		case <-q.ready:
		}
		q.mu.Lock()
		answers := q.answers
		q.answers = nil
		q.mu.Unlock()
		if len(answers) == 0 {
			continue
		}
		if err := s.Send(&instance.DispatchMessage{Answers: answers}); err != nil {
			return // the stream has ended, which its receiver handles
		}
	}
}
