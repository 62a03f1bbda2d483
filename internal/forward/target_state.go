package forward

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// targetState holds what an entry measured of one incarnation of a target.
type targetState struct {
	startMillis         int64
	firstSeen           timer.Instant // when this entry first saw it
	inFlight            int
	serviceTime         float64 // moving average in seconds, at the usual speed
	slowdown            float64 // as last reported; counts for slowdownValidity after slowdownAt
	slowdownAt          timer.Instant
	queueDelay          float64 // seconds that a request waits for a slot at the usual speed, as of queueDelayAt
	queueDelayAt        timer.Instant
	averageQueue        queueAverage // of the service
	sentSince           int          // requests sent since queueDelayAt
	window              float64
	windowDecreasedAt   timer.Instant
	consecutiveFailures int
	failedConnects      int           // since a connection was last opened, or an answer came
	othersDeclinedAt    timer.Instant // other entries did not reach it either; 0 for never
	openUntil           timer.Instant
	freed               chan struct{} // closed when a request ends; nil unless one waits for it
	samples             int           // answers averaged in serviceTime
	answeredAt          timer.Instant // last answer in serviceTime, or when this entry first saw the target
	answers             uint32        // successes since the last report
	totalServiceTime    time.Duration // of these answers
	failures            uint32        // failed, missing or overdue answers since the last report
	pending             []pendingRequest
	waiting             *uint32 // requests that the last answer since the last report told to wait; nil for none
	advisedFailureShare float64 // share of failed requests over all entries, advised by the leader
	targetLimits
}

// pendingRequest is a request in flight at a target.
type pendingRequest struct {
	sentAt  timer.Instant
	overdue bool // already counted as a failure
}

// expected returns the estimated time until the answer to a request sent now, in
// seconds. A target that this entry has not heard from lately is assumed to have the
// average queue of its service.
func (s *targetState) expected(t deployment.Target, now timer.Instant) float64 {
	return s.expectedWith(t, now, s.serviceTime, s.averageQueue.Share(now))
}

// expectedWith is expected with the given service time in seconds and, for a target that this
// entry has not heard from lately, with the given queue in requests for each slot.
func (s *targetState) expectedWith(t deployment.Target, now timer.Instant, serviceTime, unheardQueue float64) float64 {
	slowdown := s.slowdownNow(now)
	serviceTime *= slowdown
	if now.Sub(s.firstSeen) < time.Duration(t.WarmUpMillis)*time.Millisecond {
		serviceTime *= warmUpFactor
	}
	slots := float64(max(t.Slots, 1))
	queue := max(0, s.queueDelay*slowdown-queueDecayRate*now.Sub(s.queueDelayAt).Seconds())
	if s.queueDelayAt == 0 || now.Sub(s.queueDelayAt) > queueValidity {
		queue = max(queue, unheardQueue*serviceTime)
	}
	ahead := max(0, float64(max(s.sentSince, s.inFlight))+1-slots)
	return serviceTime*(1+ahead/slots) + queue
}

// slowdownNow returns how long the target's work takes now, as a multiple of the usual time.
func (s *targetState) slowdownNow(now timer.Instant) float64 {
	if s.slowdown == 0 || now.Sub(s.slowdownAt) >= slowdownValidity {
		return 1
	}
	return s.slowdown
}

// A request is overdue after overdueFactor times the target's service time plus its
// queue delay, but not before minOverdue: a congested link may delay answers for that
// long.
const (
	overdueFactor = 5.0
	minOverdue    = 400 * time.Millisecond
)

// countOverdue returns the number of overdue requests, and counts each of them once
// as a failure.
func (s *targetState) countOverdue(now timer.Instant) int {
	limit := max(minOverdue, time.Duration((overdueFactor*s.serviceTime+s.queueDelay)*float64(time.Second)))
	n := 0
	for i := range s.pending {
		p := &s.pending[i]
		if now.Sub(p.sentAt) < limit {
			continue
		}
		n++
		if !p.overdue {
			p.overdue = true
			s.failures++
		}
	}
	return n
}

// failureShare returns the share of requests that the target is assumed to fail.
func (s *targetState) failureShare(now timer.Instant) float64 {
	if s.countOverdue(now) > 0 {
		return max(s.advisedFailureShare, overdueFailureShare)
	}
	return s.advisedFailureShare
}

// removePending removes the request sent at the instant, and reports whether it was
// counted as overdue.
func (s *targetState) removePending(sentAt timer.Instant) bool {
	i := slices.IndexFunc(s.pending, func(p pendingRequest) bool { return p.sentAt == sentAt })
	if i < 0 {
		return false
	}
	overdue := s.pending[i].overdue
	s.pending = slices.Delete(s.pending, i, i+1)
	return overdue
}

// windowFull reports whether this entry may not send the target another request.
func (s *targetState) windowFull() bool { return float64(s.inFlight) >= s.window }

// updateQueue updates the estimate of the target's queue from an answer, and adapts
// the window to it.
func (s *targetState) updateQueue(slots int, res attemptResult, now timer.Instant) {
	slotCount := float64(max(slots, 1))
	waiting := max(0, res.workTime().Seconds()-s.serviceTime) / s.serviceTime * slotCount
	if res.loadKnown {
		waiting = float64(res.load.Waiting)
	}
	s.queueDelay, s.queueDelayAt, s.sentSince = waiting/slotCount*s.serviceTime, now, 0
	switch {
	case waiting > slotCount && now.Sub(s.windowDecreasedAt).Seconds() > s.serviceTime:
		s.window = max(minWindow, s.window*windowDecrease)
		s.windowDecreasedAt = now
	case waiting == 0:
		s.window = min(s.window+windowIncrease, max(initialWindow, maxWindowShare*slotCount))
	}
}

// circuitOpen reports whether the target's circuit breaker is open.
func (s *targetState) circuitOpen(now timer.Instant) bool { return now < s.openUntil }

// recordNotice records what an answer says of its target.
func (s *targetState) recordNotice(res attemptResult, now timer.Instant) {
	s.notice = s.notice.WithEnded(res.answered)
	if res.leaving {
		s.notice = s.notice.WithLeaving(now)
	}
	if res.rest > 0 {
		s.notice = s.notice.WithRest(res.rest, now)
	}
}

// serviceTimeOf returns the service time of a request at the target's usual speed, as part
// of the time until its answer. It assumes that the request waited in a queue as long as the
// one that the answer reports, and ran at the speed that it reports.
func (s *targetState) serviceTimeOf(slots int, res attemptResult) time.Duration {
	if !res.loadKnown {
		return res.workTime()
	}
	took := float64(res.workTime())
	if slowdown, ok := res.slowdown(); ok {
		took /= slowdown
	}
	return time.Duration(took / (1 + float64(res.load.Waiting)/float64(max(slots, 1))))
}

// recordFailure counts a failure and opens the circuit breaker after several.
func (s *targetState) recordFailure(res attemptResult, now timer.Instant) {
	s.consecutiveFailures++
	limit := failuresToOpen
	switch {
	case res.broken:
		limit = brokenAnswersToOpen
	case res.linkFull:
		limit = linkTimeoutsToOpen
	}
	if s.consecutiveFailures >= limit {
		openTime := min(minOpenTime<<min(s.consecutiveFailures-limit, 8), maxOpenTime)
		s.openUntil = now.Add(openTime)
	}
}

// attemptResult is the result of one request to a target.
type attemptResult struct {
	failed    bool          // no valid answer
	broken    bool          // failed by an answer that broke off or was invalid
	ran       bool          // the target ran the request and answered
	success   bool          // the answer was a success
	sentAt    timer.Instant // as returned by requestSent
	took      time.Duration
	bodyTime  time.Duration // part of took for which the body was on the entry's own link
	load      Load
	loadKnown bool
	// rateLimit is the rate limit that the answer named, in requests a second; 0 unless
	// rateLimitKnown is set.
	rateLimit      float64
	rateLimitKnown bool
	leaving        bool          // the answer said that the target is leaving
	rest           time.Duration // for how long the target wants no requests; 0 if it did not say
	noConnection   bool          // no connection could be opened
	linkFull       bool          // it did not open in time while others answered over the same narrow link
	answered       bool          // a complete answer came, also one that did not run the request
}

// minWorkShare is the least share of the time until an answer that counts as the target's
// work: the time of the body on the entry's own link is an estimate.
const minWorkShare = 0.25

// workTime returns the time until the answer without that of the body on the entry's own link.
func (r attemptResult) workTime() time.Duration {
	return max(r.took-r.bodyTime, time.Duration(minWorkShare*float64(r.took)))
}

// slowdown returns the slowdown that the target reported, and false if it reported none.
func (r attemptResult) slowdown() (float64, bool) {
	if !r.loadKnown || r.load.Slowdown <= 0 {
		return 1, false
	}
	return min(max(r.load.Slowdown, minSlowdown), maxSlowdown), true
}

// overloaded reports whether the target reported at least as many waiting requests
// as it has slots.
func (r attemptResult) overloaded() bool { return r.loadKnown && r.load.Waiting >= r.load.Slots }
