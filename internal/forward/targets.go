package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// startWork is assumed of a target's time for one request until measured.
	startWork = 60 * time.Millisecond
	// workWeight is the weight of one answer in the moving average of that time.
	workWeight = 0.1
	// assumedSamples is for how many answers the assumed work counts.
	assumedSamples = 3
	// usualWeight is the same for the work of a service's targets in general.
	usualWeight = 0.02
	// drainRate is how much of a target's queue is taken to be gone after a
	// second without news of it, in seconds of work.
	drainRate = 0.7
	// A target gets no requests for a while after as many failures in a row. One
	// that loses or spoils answers still serves others; one that takes no
	// connections or stays silent does not.
	failuresToOpen = 2
	brokenToOpen   = 6
	firstPause     = 250 * time.Millisecond
	longestPause   = 2 * time.Second
	// warmUpFactor is how much slower a target is taken to be while it warms up.
	warmUpFactor = 2.0
	// Bounds of a window: how many requests of this entry one target may hold.
	// Even many entries with the least window together stay within a target's
	// queue, of which they see only what its answers say.
	leastWindow = 1.0
	startWindow = 2.0
	windowCut   = 0.7 // factor when a target's queue grows past its slots
	windowRise  = 0.5 // added for each answer that found no queue
	windowSlots = 0.7 // largest window as a share of a target's slots
)

// targets is what an entry knows of the targets it sends to.
type targets struct {
	clock timer.Clock
	mu    sync.Mutex
	byID  map[string]*targetState
	usual map[string]average // seconds for one request that does not wait, by service
}

// average is a moving average, and of how many answers.
type average struct {
	value   float64
	samples int
}

// targetState is what an entry knows of one incarnation of a target.
type targetState struct {
	startMillis int64
	first       timer.Instant // when this entry first saw it
	inflight    int
	work        float64 // seconds for one request that does not wait
	queue       float64 // seconds that a request waited for a slot, at queueAt
	queueAt     timer.Instant
	sent        int // requests sent since queueAt
	window      float64
	cutAt       timer.Instant
	failures    int
	openTill    timer.Instant
	freed       chan struct{} // closed when a request ends, if one waits for that
	samples     int           // answers that work is the average of
	answers     uint32
	busy        time.Duration // work of these answers without the time they waited
	missed      uint32        // answers that were failures, did not come, or are overdue
	flying      []flight
	failing     float64 // share of requests that all entries together see failing
}

// flight is a request that is at a target.
type flight struct {
	at      timer.Instant
	overdue bool // was counted as missed
}

func newTargets(clock timer.Clock) *targets {
	return &targets{clock: clock, byID: make(map[string]*targetState), usual: make(map[string]average)}
}

func (ts *targets) state(t deployment.Target) *targetState {
	s, ok := ts.byID[t.ID]
	if !ok || s.startMillis != t.StartMillis {
		s = &targetState{startMillis: t.StartMillis, first: ts.clock.Now(), work: startWork.Seconds(), window: startWindow}
		if usual, ok := ts.usual[t.Service]; ok {
			s.work = usual.value
		}
		ts.byID[t.ID] = s
	}
	return s
}

// expected estimates how many seconds a request sent now takes.
func (s *targetState) expected(t deployment.Target, now timer.Instant) float64 {
	work := s.work
	if now.Sub(s.first) < time.Duration(t.WarmUpMillis)*time.Millisecond {
		work *= warmUpFactor
	}
	slots := float64(max(t.Slots, 1))
	queue := max(0, s.queue-drainRate*now.Sub(s.queueAt).Seconds())
	ahead := max(0, float64(max(s.sent, s.inflight))+1-slots)
	return work*(1+ahead/slots) + queue
}

// Requests are overdue after several times the target's usual time, and not
// before leastOverdue: a busy link may hold answers up for that long.
const (
	overdueFactor = 5.0
	leastOverdue  = 400 * time.Millisecond
)

// countOverdue counts requests that have been at the target for too long, and
// returns how many there are.
func (s *targetState) countOverdue(now timer.Instant) int {
	limit := max(leastOverdue, time.Duration((overdueFactor*s.work+s.queue)*float64(time.Second)))
	n := 0
	for i := range s.flying {
		f := &s.flying[i]
		if now.Sub(f.at) < limit {
			continue
		}
		n++
		if !f.overdue {
			f.overdue = true
			s.missed++
		}
	}
	return n
}

// failureShare is the share of requests that the target is taken to fail.
func (s *targetState) failureShare(now timer.Instant) float64 {
	if s.countOverdue(now) > 0 {
		return max(s.failing, overdueShare)
	}
	return s.failing
}

// landed ends the flight that began at the instant, and reports whether it was
// counted as overdue.
func (s *targetState) landed(at timer.Instant) bool {
	i := slices.IndexFunc(s.flying, func(f flight) bool { return f.at == at })
	if i < 0 {
		return false
	}
	overdue := s.flying[i].overdue
	s.flying = slices.Delete(s.flying, i, i+1)
	return overdue
}

// full reports whether this entry has as many requests at the target as it may.
func (s *targetState) full() bool { return float64(s.inflight) >= s.window }

// noteQueue takes what an answer tells of the target's queue.
func (s *targetState) noteQueue(slots int, e ending, now timer.Instant) {
	width := float64(max(slots, 1))
	waiting := max(0, e.took.Seconds()-s.work) / s.work * width
	if e.loadKnown {
		waiting = float64(e.load.Waiting)
	}
	s.queue, s.queueAt, s.sent = waiting/width*s.work, now, 0
	switch {
	case waiting > width && now.Sub(s.cutAt).Seconds() > s.work:
		s.window = max(leastWindow, s.window*windowCut)
		s.cutAt = now
	case waiting == 0:
		s.window = min(s.window+windowRise, max(startWindow, windowSlots*width))
	}
}

// open reports whether the target gets no requests at present.
func (s *targetState) open(now timer.Instant) bool { return now < s.openTill }

// available reports whether a target takes requests, and when to come back.
func (ts *targets) available(t deployment.Target) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	s := ts.state(t)
	if s.open(now) {
		return s.openTill.Sub(now), false
	}
	return 0, true
}

// expected returns how long a request to the target is expected to take, and
// whether it may get one more of this entry.
func (ts *targets) expected(t deployment.Target) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	return time.Duration(s.expected(t, ts.clock.Now()) * float64(time.Second)), !s.full()
}

// room returns a channel that is closed when one of this entry's requests at the
// target has ended.
func (ts *targets) room(t deployment.Target) <-chan struct{} {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	if s.freed == nil {
		s.freed = make(chan struct{})
	}
	return s.freed
}

// began counts a request that is sent to the target, and returns when.
func (ts *targets) began(t deployment.Target) timer.Instant {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	s.inflight++
	s.sent++
	now := ts.clock.Now()
	s.flying = append(s.flying, flight{at: now})
	return now
}

// setFailing takes the shares of failures that all entries together see.
func (ts *targets) setFailing(list []instance.Failing) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for id, s := range ts.byID {
		s.failing = 0
		if i := slices.IndexFunc(list, func(f instance.Failing) bool { return f.Target == id }); i >= 0 {
			s.failing = list[i].Share
		}
	}
}

// ended takes what became of a request.
func (ts *targets) ended(t deployment.Target, e ending) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	now := ts.clock.Now()
	s.inflight = max(0, s.inflight-1)
	if overdue := s.landed(e.sentAt); !overdue && (e.failed || e.ran && !e.good) {
		s.missed++
	}
	if s.freed != nil {
		close(s.freed)
		s.freed = nil
	}
	if e.loadKnown || e.ran {
		s.noteQueue(t.Slots, e, now)
	} else {
		s.sent = max(0, s.sent-1)
	}
	switch {
	case e.failed:
		s.failed(e, now)
	case e.ran:
		s.failures = 0
		s.openTill = 0
	}
	if e.ran && e.good {
		// What fails fast says nothing of the work.
		took := s.unqueued(t.Slots, e)
		s.answers++
		s.busy += took
		s.samples++
		s.work += max(workWeight, 1/float64(assumedSamples+s.samples)) * (took.Seconds() - s.work)
		ts.noteUsual(t.Service, took.Seconds())
	}
}

// noteUsual takes one answer into the service's usual work, which is assumed of a
// target until it has answered.
func (ts *targets) noteUsual(service string, work float64) {
	usual, ok := ts.usual[service]
	if !ok {
		usual.value = startWork.Seconds()
	}
	usual.samples++
	usual.value += max(usualWeight, 1/float64(assumedSamples+usual.samples)) * (work - usual.value)
	ts.usual[service] = usual
}

// unqueued returns the part of an answer's time that the target worked on it,
// taking the queue that it left behind for the one that it had waited in.
func (s *targetState) unqueued(slots int, e ending) time.Duration {
	if !e.loadKnown {
		return e.took
	}
	return time.Duration(float64(e.took) / (1 + float64(e.load.Waiting)/float64(max(slots, 1))))
}

// failed counts a failure and stops requests to the target after several.
func (s *targetState) failed(e ending, now timer.Instant) {
	s.failures++
	limit := failuresToOpen
	if e.broken {
		limit = brokenToOpen
	}
	if s.failures >= limit {
		pause := min(firstPause<<min(s.failures-limit, 8), longestPause)
		s.openTill = now.Add(pause)
	}
}

// brokeOff counts an answer that broke after it had begun.
func (ts *targets) brokeOff(t deployment.Target) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.state(t).failed(ending{broken: true}, ts.clock.Now())
}

// ending is what became of one request to a target.
type ending struct {
	failed    bool          // no answer although one was due
	broken    bool          // the failure was an answer that broke or was spoilt
	ran       bool          // the target answered
	good      bool          // with a success
	sentAt    timer.Instant // as began returned it
	took      time.Duration
	load      Load
	loadKnown bool
}

// full reports whether a target said that all its slots are taken, and that
// others wait for them.
func (e ending) full() bool { return e.loadKnown && e.load.Waiting >= e.load.Slots }

// report returns the measurements since the last call and forgets targets that
// left.
func (ts *targets) report(known func(id string) bool) []instance.TargetLoad {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var out []instance.TargetLoad
	now := ts.clock.Now()
	for id, s := range ts.byID {
		s.countOverdue(now)
		if s.answers > 0 || s.missed > 0 {
			out = append(out, instance.TargetLoad{ID: id, Answers: s.answers, Busy: s.busy, Failures: s.missed})
			s.answers, s.busy, s.missed = 0, 0, 0
		}
		if s.inflight == 0 && !known(id) {
			delete(ts.byID, id)
		}
	}
	return out
}
