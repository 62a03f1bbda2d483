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
	// initialServiceTime is the assumed service time, until measured. A target's
	// service time is how long it works on a request, without waiting for a slot.
	initialServiceTime = 60 * time.Millisecond
	// serviceTimeWeight is the weight of an answer in the moving average of a
	// target's service time.
	serviceTimeWeight = 0.1
	// assumedSamples is the number of answers that the assumed service time counts as.
	assumedSamples = 3
	// targetAverageWeight is the weight of an answer in the moving average over all
	// targets of a service.
	targetAverageWeight = 0.02
	// queueAverageWeight is the weight of an answer in the average queue of a service, and
	// queueAverageMemory the time in which that shrinks to a third without answers.
	queueAverageWeight = 0.3
	queueAverageMemory = 5 * time.Second
	// queueValidity is for how long a target's own report of its queue counts.
	queueValidity = time.Second
	// queueDecayRate is how fast a target's queue delay is assumed to shrink after
	// its last answer, in seconds per second.
	queueDecayRate = 0.7
	// A target's circuit breaker opens after failuresToOpen consecutive failures, or
	// brokenAnswersToOpen if the last one was a broken or invalid answer: such a
	// target still serves other requests, unlike one that refuses connections or
	// doesn't answer. It takes linkTimeoutsToOpen if the entry's own full link may have
	// delayed the connection. The breaker stays open for minOpenTime, doubled with each
	// further failure up to maxOpenTime.
	failuresToOpen      = 2
	brokenAnswersToOpen = 6
	linkTimeoutsToOpen  = 8
	minOpenTime         = 250 * time.Millisecond
	maxOpenTime         = 2 * time.Second
	// slowdownValidity is for how long a slowdown that a target reports counts. Slowdowns
	// change many times a second, so that after this time the usual speed is likelier.
	slowdownValidity = 400 * time.Millisecond
	// minSlowdown and maxSlowdown bound a reported slowdown, so that an absurd one neither
	// closes a target nor spoils its service time.
	minSlowdown, maxSlowdown = 0.1, 10.0
	// warmUpFactor is how many times slower a target is assumed to be while it
	// warms up.
	warmUpFactor = 2.0
	// A window bounds this entry's requests in flight at one target. It adapts to
	// the queue that the target's answers report, since an entry doesn't see the
	// requests of other entries. With minimum windows even many entries together
	// stay within a target's queue.
	minWindow      = 1.0
	initialWindow  = 2.0
	windowDecrease = 0.7 // factor when a target's queue is longer than its slots
	windowIncrease = 0.5 // added after each answer that reports no queue
	maxWindowShare = 0.7 // largest window, as a share of the target's slots
)

// targetStates holds what an entry measured of its targets. Its methods are safe
// for concurrent use.
type targetStates struct {
	clock          timer.Clock
	mu             sync.Mutex
	byID           map[string]*targetState
	targetAverages map[string]movingAverage // service time in seconds, averaged over a service's targets, by service
	queueAverages  map[string]queueAverage  // by service
	// coldRate returns how many requests a second a cold target of a service takes, or 0 if
	// it takes as many as a warm one. Nil stands for 0.
	coldRate func(service string) float64
}

func newTargetStates(clock timer.Clock) *targetStates {
	return &targetStates{clock: clock, byID: make(map[string]*targetState), targetAverages: make(map[string]movingAverage), queueAverages: make(map[string]queueAverage)}
}

func (ts *targetStates) state(t deployment.Target) *targetState {
	s, ok := ts.byID[t.ID]
	if !ok || s.startMillis != t.StartMillis {
		s = &targetState{startMillis: t.StartMillis, firstSeen: ts.clock.Now(), answeredAt: ts.clock.Now(), serviceTime: initialServiceTime.Seconds(), window: initialWindow}
		s.limit.part = 1.0 / defaultEntryCount
		s.cold = coldness{sequence: t.Sequence, left: t.WarmUp(), since: ts.clock.Now()}
		ts.byID[t.ID] = s
	}
	if average, ok := ts.targetAverages[t.Service]; ok && s.samples == 0 {
		s.serviceTime = average.value
	}
	s.averageQueue = ts.queueAverages[t.Service]
	if t.Sequence > s.cold.sequence {
		s.cold = s.cold.WithTarget(t, ts.clock.Now())
	}
	s.notice = s.notice.WithRecord(t.Changed)
	return s
}

// overdue returns the IDs of the targets with overdue requests.
func (ts *targetStates) overdue() []string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	var out []string
	for id, s := range ts.byID {
		if s.countOverdue(now) > 0 {
			out = append(out, id)
		}
	}
	return out
}

// available reports whether a target's circuit breaker is closed. If it is open,
// the duration is the time until it closes.
func (ts *targetStates) available(t deployment.Target) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	s := ts.state(t)
	if s.circuitOpen(now) {
		return s.openUntil.Sub(now), false
	}
	return 0, true
}

// expected returns the expected time until the answer to a request sent now, and
// whether the window allows one more request.
func (ts *targetStates) expected(t deployment.Target) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s, now := ts.state(t), ts.clock.Now()
	expected := s.expectedWith(t, now, ts.agedServiceTime(t, now), s.averageQueue.Share(now))
	return time.Duration(expected * float64(time.Second)), !s.windowFull()
}

// workTime returns the time that the target takes for a request, without waiting.
func (ts *targetStates) workTime(t deployment.Target) time.Duration {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return time.Duration(ts.state(t).serviceTime * float64(time.Second))
}

// expectedOfOwner is expected for the owner of a key. The average queue of the service says
// nothing about it: a few owners of busy keys have long queues while others are idle, and
// requests for their keys have no other target that would make up for a wrong rejection.
func (ts *targetStates) expectedOfOwner(t deployment.Target) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s, now := ts.state(t), ts.clock.Now()
	return time.Duration(s.expectedWith(t, now, ts.agedServiceTime(t, now), 0) * float64(time.Second)), !s.windowFull()
}

// windowFreed returns a channel that is closed when one of this entry's requests at
// the target ends.
func (ts *targetStates) windowFreed(t deployment.Target) <-chan struct{} {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	if s.freed == nil {
		s.freed = make(chan struct{})
	}
	return s.freed
}

// requestSent counts a request sent to the target and returns the time, which
// requestEnded takes as sentAt.
func (ts *targetStates) requestSent(t deployment.Target) timer.Instant {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	s.inFlight++
	s.sentSince++
	s.notice = s.notice.WithSent()
	now := ts.clock.Now()
	s.pending = append(s.pending, pendingRequest{sentAt: now})
	return now
}

// setFailureShares stores the shares of failed requests over all entries, as advised by
// the leader. The share of targets that are not listed is 0.
func (ts *targetStates) setFailureShares(list []instance.FailingTarget) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for id, s := range ts.byID {
		s.advisedFailureShare = 0
		if i := slices.IndexFunc(list, func(f instance.FailingTarget) bool { return f.Target == id }); i >= 0 {
			s.advisedFailureShare = list[i].FailureShare
		}
	}
}

// requestEnded updates the target's state from the result of a request.
func (ts *targetStates) requestEnded(t deployment.Target, res attemptResult) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	now := ts.clock.Now()
	s.inFlight = max(0, s.inFlight-1)
	s.recordNotice(res, now)
	if overdue := s.removePending(res.sentAt); !overdue && (res.failed || res.ran && !res.success) {
		s.failures++
	}
	if res.rateLimitKnown || res.ran && res.success {
		s.limit = s.limit.WithNamed(res.rateLimit, now)
	}
	switch {
	case res.noConnection:
		s.failedConnects++
	case res.answered:
		s.failedConnects = 0
	}
	if s.freed != nil {
		close(s.freed)
		s.freed = nil
	}
	if slowdown, ok := res.slowdown(); ok {
		s.slowdown, s.slowdownAt = slowdown, now
	}
	if res.loadKnown || res.ran {
		s.updateQueue(t.Slots, res, now)
		if res.loadKnown {
			share := float64(res.load.Waiting) / float64(max(t.Slots, 1))
			ts.queueAverages[t.Service] = ts.queueAverages[t.Service].With(share, now)
			waiting := uint32(max(0, res.load.Waiting))
			s.waiting = &waiting
		}
	} else {
		s.sentSince = max(0, s.sentSince-1)
	}
	switch {
	case res.failed:
		s.recordFailure(res, now)
	case res.ran:
		s.consecutiveFailures = 0
		s.openUntil = 0
	}
	if res.ran && res.success {
		// The time of a failed request says nothing about the service time.
		serviceTime := s.serviceTimeOf(t.Slots, res)
		s.answers++
		s.totalServiceTime += serviceTime
		s.samples++
		weight := max(serviceTimeWeight, 1/float64(assumedSamples+s.samples), staleWeight(now.Sub(s.answeredAt)))
		s.serviceTime += weight * (serviceTime.Seconds() - s.serviceTime)
		s.answeredAt = now
		ts.targetAverages[t.Service] = ts.targetAverages[t.Service].With(serviceTime.Seconds(), now)
	}
}

// maySendToOwner reports whether a request may be sent to the owner of its key, as far as the
// owner's own notices tell. If not, the duration is the time after which one may be.
func (ts *targetStates) maySendToOwner(t deployment.Target, drain time.Duration) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.state(t).notice.MaySendToOwner(ts.clock.Now(), drain)
}

// setLeaving records the targets that the leader advises to be leaving, for which target returns
// true. It returns those that were not known to be leaving.
func (ts *targetStates) setLeaving(list []deployment.Incarnation, target func(id string) (deployment.Target, bool)) []deployment.Target {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var out []deployment.Target
	for _, incarnation := range list {
		if t, ok := target(incarnation.ID); ok && t.StartMillis == incarnation.StartMillis {
			s := ts.state(t)
			if !s.notice.Leaving() {
				out = append(out, t)
			}
			s.notice = s.notice.WithAdvised(t.Changed)
		}
	}
	return out
}

// leaving reports whether the target is known to be leaving.
func (ts *targetStates) leaving(t deployment.Target) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.state(t).notice.Leaving()
}

// mayStillSend reports whether a request that was allowed before may be sent now.
func (ts *targetStates) mayStillSend(t deployment.Target, drain time.Duration) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.state(t).notice.MayStillSend(ts.clock.Now(), drain)
}

// minShortQueue is the average queue of a service's targets, in requests for each slot, from
// which on the service is short of slots. Then no choice of another target helps.
const minShortQueue = 1.0

// short reports whether a service is short of slots, as far as the answers of its targets tell.
func (ts *targetStates) short(service string) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.queueAverages[service].Share(ts.clock.Now()) >= minShortQueue
}

// maxUnreachableShare is the share of requests that all entries together fail at a target,
// up to which some of them are taken to reach it.
const maxUnreachableShare = 0.9

// declineMemory is the time for which a target that some other entries don't reach either is
// taken to have ended.
const declineMemory = 500 * time.Millisecond

// othersDeclined records that other entries that were asked don't reach the target either.
func (ts *targetStates) othersDeclined(t deployment.Target) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if s, ok := ts.byID[t.ID]; ok && s.startMillis == t.StartMillis {
		s.othersDeclinedAt = ts.clock.Now()
	}
}

// onlyOthersReach reports whether this entry can't connect to the target, while the leader
// hears from it and advises that it serves requests of other entries.
func (ts *targetStates) onlyOthersReach(t deployment.Target) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.state(t)
	if s.othersDeclinedAt > 0 && ts.clock.Now().Sub(s.othersDeclinedAt) < declineMemory {
		return false
	}
	return s.failedConnects > 0 && t.Status == deployment.Live && s.advisedFailureShare <= maxUnreachableShare
}

// closeCircuits closes the circuit breakers of all targets.
func (ts *targetStates) closeCircuits() {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, s := range ts.byID {
		s.consecutiveFailures, s.failedConnects, s.openUntil = 0, 0, 0
	}
}

// recordBrokenAnswer counts an answer that broke off after its body had begun.
func (ts *targetStates) recordBrokenAnswer(t deployment.Target) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.state(t).recordFailure(attemptResult{broken: true}, ts.clock.Now())
}

// report returns the measurements since the last call. It drops the state of targets that
// target does not return.
func (ts *targetStates) report(target func(id string) (deployment.Target, bool)) []instance.TargetLoad {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var out []instance.TargetLoad
	now := ts.clock.Now()
	for id, s := range ts.byID {
		s.countOverdue(now)
		t, known := target(id)
		// A notice is repeated while it holds, since a report may be lost. That a target is
		// leaving is repeated only until the view shows it.
		leaving := s.notice.SaidLeaving() && known && t.StartMillis == s.startMillis && t.Usable()
		noticed := leaving || s.notice.RestLeft(now) > 0
		if s.answers > 0 || s.failures > 0 || s.limit.heard || s.waiting != nil || noticed {
			tl := instance.TargetLoad{ID: id, Successes: s.answers, ServiceTime: s.totalServiceTime, Failures: s.failures, Waiting: s.waiting}
			if noticed {
				tl.StartMillis, tl.Leaving, tl.Rest = s.startMillis, leaving, s.notice.RestLeft(now)
			}
			if s.limit.heard {
				named := s.limit.named
				tl.RateLimit = &named
			}
			out = append(out, tl)
			s.answers, s.totalServiceTime, s.failures, s.waiting, s.limit = 0, 0, 0, nil, s.limit.WithReport()
		}
		if s.inFlight == 0 && !known {
			delete(ts.byID, id)
		}
	}
	return out
}
