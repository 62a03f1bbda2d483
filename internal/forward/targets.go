package forward

import (
	"math/rand/v2"
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
	// loadLife is the time in which a target's own count of its work loses half
	// of its meaning: about two requests' work.
	loadLife = 150 * time.Millisecond
	// failuresToOpen is after how many failures in a row a target gets no
	// requests for a while.
	failuresToOpen = 2
	firstPause     = 250 * time.Millisecond
	longestPause   = 2 * time.Second
	// warmUpShare is how much slower a target is taken to be while it warms up.
	warmUpShare = 2.0
)

// targets is what an entry knows of the targets it sends to.
type targets struct {
	clock timer.Service
	mu    sync.Mutex
	byID  map[string]*targetState
}

// targetState is what an entry knows of one life of a target.
type targetState struct {
	born     int64
	first    timer.Instant // when this entry first saw it
	inflight int
	work     float64 // seconds for one request that does not wait
	load     Load
	loadAt   timer.Instant
	sent     int // requests sent since the target's own count
	failures int
	openTill timer.Instant
	answers  uint32
	unqueued uint32
	busy     time.Duration
}

func newTargets(clock timer.Service) *targets {
	return &targets{clock: clock, byID: make(map[string]*targetState)}
}

func (ts *targets) state(t deployment.Target) *targetState {
	s, ok := ts.byID[t.ID]
	if !ok || s.born != t.Born {
		s = &targetState{born: t.Born, first: ts.clock.Now(), work: startWork.Seconds(), loadAt: -timer.Instant(time.Hour)}
		ts.byID[t.ID] = s
	}
	return s
}

// backlog estimates how many requests the target runs or holds.
func (s *targetState) backlog(now timer.Instant) float64 {
	age := float64(now.Sub(s.loadAt)) / float64(loadLife)
	reported := float64(s.load.Running+s.load.Waiting) / (1 + age*age)
	return max(reported+float64(s.sent), float64(s.inflight))
}

// wait estimates how long a request sent now takes, in seconds.
func (s *targetState) wait(t deployment.Target, now timer.Instant) float64 {
	work := s.work
	if now.Sub(s.first) < time.Duration(t.WarmUpMillis)*time.Millisecond {
		work *= warmUpShare
	}
	slots := float64(max(t.Slots, 1))
	queue := max(0, s.backlog(now)+1-slots)
	return work * (1 + queue/slots)
}

// open reports whether the target gets no requests at present.
func (s *targetState) open(now timer.Instant) bool { return now < s.openTill }

// choose returns the target with the shortest expected time among two drawn by
// lot, leaving out those already tried and those that fail.
func (ts *targets) choose(list []deployment.Target, tried []string) (deployment.Target, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	var candidates []deployment.Target
	for _, t := range list {
		if slices.Contains(tried, t.ID) || ts.state(t).open(now) {
			continue
		}
		candidates = append(candidates, t)
	}
	if len(candidates) == 0 {
		return deployment.Target{}, false
	}
	best, bestCost := deployment.Target{}, -1.0
	for _, t := range candidates {
		s := ts.state(t)
		cost := s.wait(t, now) + s.work*s.backlog(now)*0.3/float64(max(t.Slots, 1)) + rand.Float64()*0.3*s.work
		if bestCost < 0 || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, true
}

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

// expected returns how long a request to the target is expected to take.
func (ts *targets) expected(t deployment.Target) time.Duration {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return time.Duration(ts.state(t).wait(t, ts.clock.Now()) * float64(time.Second))
}

// began counts a request that is sent to the target.
func (ts *targets) began(t deployment.Target) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	s.inflight++
	s.sent++
}

// ended takes what became of a request.
func (ts *targets) ended(t deployment.Target, e ending) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	now := ts.clock.Now()
	s.inflight = max(0, s.inflight-1)
	if e.loadKnown {
		s.load, s.loadAt, s.sent = e.load, now, 0
	} else {
		s.sent = max(0, s.sent-1)
	}
	switch {
	case e.failed:
		s.failures++
		if s.failures >= failuresToOpen {
			pause := min(firstPause<<min(s.failures-failuresToOpen, 8), longestPause)
			s.openTill = now.Add(pause)
		}
	case e.ran:
		s.failures = 0
		s.openTill = 0
		s.answers++
		if !e.loadKnown || e.load.Waiting == 0 {
			s.unqueued++
			s.busy += e.took
			s.work += workWeight * (e.took.Seconds() - s.work)
		}
	}
}

// ending is what became of one request to a target.
type ending struct {
	failed    bool // no answer although one was due
	ran       bool // the target answered with its work
	took      time.Duration
	load      Load
	loadKnown bool
}

// report returns the measurements since the last call and forgets targets that
// left.
func (ts *targets) report(known func(id string) bool) []instance.TargetLoad {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var out []instance.TargetLoad
	for id, s := range ts.byID {
		if s.answers > 0 {
			out = append(out, instance.TargetLoad{ID: id, Answers: s.answers, Unqueued: s.unqueued, Busy: s.busy})
			s.answers, s.unqueued, s.busy = 0, 0, 0
		}
		if s.inflight == 0 && !known(id) {
			delete(ts.byID, id)
		}
	}
	return out
}
