package router

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// targetState holds this entry's own measurements of one incarnation of a target, and
// its concurrency limit and backoff there. It uses nothing that the target reports about
// itself.
type targetState struct {
	incarnation         string
	inFlight            int
	latency             time.Duration // moving average until an answer
	deviation           time.Duration // moving average of the distance from latency
	answerGap           time.Duration // moving average between answers while requests are queued
	lastAnswer          timer.Instant // time of the last answer
	limiter             limit.Limiter
	consecutiveSheds    int           // since the last answer
	backoffUntil        timer.Instant // no request is sent before
	consecutiveFailures int           // since the last answer
	unkeyedBackoffUntil timer.Instant // no request without a key is sent before
}

const (
	failureBackoffBase = 100 * time.Millisecond // after the first failure
	failureBackoffMax  = 5 * time.Second

	// failedTargetPenalty ranks the target that just failed the request behind all
	// others.
	failedTargetPenalty = 1000.0
)

// recordResult updates the limiter after an attempt, and after a failed one the backoff
// for requests without a key, which doubles with each consecutive failure. Update sets
// the backoff for all requests, after sheds and after attempts that reached no target.
func (s *targetState) recordResult(result AttemptResult, now timer.Instant) {
	switch result {
	case ResultAbandoned:
		return
	case ResultShed:
		s.consecutiveSheds++
		s.limiter = s.limiter.WithShed()
		return
	case ResultAnswered:
		s.consecutiveFailures = 0
		s.consecutiveSheds = 0
		s.limiter = s.limiter.WithAnswer()
		return
	}
	s.consecutiveFailures++
	backoff := failureBackoffBase << min(s.consecutiveFailures-1, 10)
	s.unkeyedBackoffUntil = now.Add(min(backoff, failureBackoffMax))
}

// The latency estimate is that of TCP's retransmission timer (RFC 6298): a new
// measurement has a weight of 1/8 in the mean and 1/4 in the deviation, and the
// estimate is the mean plus four deviations.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
	// queueWaitFactor is the safety factor on the estimated time in the queue.
	queueWaitFactor = 2
	// maxAnswerGap is the longest gap that is averaged: a longer one does not show the
	// rate of a busy target.
	maxAnswerGap = time.Second
)

// recordLatency adds the latency of an answered attempt to the moving averages.
func (s *targetState) recordLatency(took time.Duration) {
	if s.latency == 0 {
		s.latency, s.deviation = took, took/2
		return
	}
	s.deviation += ((took - s.latency).Abs() - s.deviation) / deviationDivisor
	s.latency += (took - s.latency) / meanDivisor
}

// recordAnswerGap adds the time since the last answer to the moving average, if
// requests were waiting.
func (s *targetState) recordAnswerGap(now timer.Instant, waiting bool) {
	answerGap := now.Sub(s.lastAnswer)
	s.lastAnswer = now
	switch {
	case !waiting || answerGap > maxAnswerGap:
	case s.answerGap == 0:
		s.answerGap = answerGap
	default:
		s.answerGap += (answerGap - s.answerGap) / meanDivisor
	}
}

// expectedLatency returns an upper estimate of the latency, which few answers exceed.
func (s *targetState) expectedLatency() time.Duration { return s.latency + deviationFactor*s.deviation }

// expectedLatency returns an upper estimate of the latency of the owner of the
// request's key. It is at most half of service.Deadline, so that no estimate, however
// high, rejects a request that still has all of that time. It is 0 for requests without
// a key and for owners without measurements.
func (r *Router) expectedLatency(service config.Service, e Arrived) time.Duration {
	table, ok := r.view.Tables[service.Name]
	if !ok {
		return 0
	}
	s, ok := r.targetStates[table.Lookup(e.Point).Owner.Target]
	if !ok {
		return 0
	}
	return min(s.expectedLatency(), service.Deadline/2)
}

// expectedQueuedLatency returns an estimate of the time until a request is answered if
// it is queued now: the wait behind queued requests for the same owner, plus the
// owner's latency. It is 0 if there is no estimate, for example while the range moves.
func (r *Router) expectedQueuedLatency(service config.Service, q *queue, e Arrived) time.Duration {
	table, ok := r.view.Tables[service.Name]
	if !ok {
		return 0
	}
	keyRange := table.Lookup(e.Point)
	s, ok := r.targetStates[keyRange.Owner.Target]
	if !ok || keyRange.Phase != keyspace.Active {
		return 0
	}
	ahead := 0
	for _, other := range q.items {
		if table.Lookup(other.Point).Owner == keyRange.Owner {
			ahead++
		}
	}
	return queueWaitFactor*time.Duration(ahead)*s.answerGap + s.expectedLatency()
}

// stateOfAttempt returns the state of the incarnation that the attempt was sent to. If
// the target has restarted since, that is a state which nothing uses any more.
func (r *Router) stateOfAttempt(a *attempt) *targetState {
	t := a.destination.Target
	if s, ok := r.targetStates[t.Name]; ok && s.incarnation == t.Incarnation {
		return s
	}
	return &targetState{incarnation: t.Incarnation, limiter: limit.Fixed(t.Slots)}
}

// stateOf returns the state of the target's incarnation, and creates it if needed.
func (r *Router) stateOf(t control.Target) *targetState {
	s, ok := r.targetStates[t.Name]
	if !ok || s.incarnation != t.Incarnation {
		s = &targetState{incarnation: t.Incarnation, limiter: r.cfg.Limits(t, r.entries())}
		r.targetStates[t.Name] = s
	}
	return s
}

// dropRemovedTargets removes the states of targets that are not in the view.
func (r *Router) dropRemovedTargets() {
	for name := range r.targetStates {
		if _, ok := r.view.Targets[name]; !ok {
			delete(r.targetStates, name)
		}
	}
}

func isLost(t control.Target) bool { return t.Status == control.TargetLost }

// hasLiveTarget reports whether the service has a live target.
func (r *Router) hasLiveTarget(service string) bool {
	for _, t := range r.view.Targets {
		if t.Service == service && t.Status == control.TargetLive {
			return true
		}
	}
	return false
}

// destination returns the request's destination, and false if it can't be sent now.
func (r *Router) destination(service config.Service, e Arrived) (Destination, bool) {
	if r.view.Suspected[e.Fingerprint] && r.suspectInFlight(e.Fingerprint) {
		return Destination{}, false
	}
	if service.Keyed() {
		return r.keyedDestination(service, e)
	}
	return r.unkeyedDestination(service, e)
}

// suspectInFlight reports whether a request with the suspected fingerprint is in
// flight. Only one of them runs at a time, so that a second crash shows which kind of
// request is the cause.
func (r *Router) suspectInFlight(fingerprint string) bool {
	for _, a := range r.attempts {
		if a.request.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// keyedDestination returns the owner of the key, the only target allowed. It returns
// false if the request can't be sent to it now.
func (r *Router) keyedDestination(service config.Service, e Arrived) (Destination, bool) {
	table, ok := r.view.Tables[service.Name]
	if !ok {
		return Destination{}, false
	}
	keyRange := table.Lookup(e.Point)
	if keyRange.Phase != keyspace.Active {
		return Destination{}, false
	}
	t, ok := r.view.Targets[keyRange.Owner.Target]
	if !ok || t.Owner() != keyRange.Owner || isLost(t) || !r.hasCapacity(t, e.Now) {
		return Destination{}, false
	}
	return r.newDestination(t, keyRange), true
}

func (r *Router) newDestination(t control.Target, keyRange keyspace.Range) Destination {
	return Destination{
		Target:  t,
		Start:   keyRange.Start,
		Epoch:   keyRange.Epoch,
		Version: r.view.Version,
		Expiry:  r.lease.Expiry(),
	}
}

// unkeyedDestination returns the live target of whose slots this entry uses the smallest
// share. The target that just failed the request comes last. It returns false if no
// target can take the request now.
func (r *Router) unkeyedDestination(service config.Service, e Arrived) (Destination, bool) {
	var best control.Target
	bestScore := 0.0
	for _, t := range r.view.Targets {
		if t.Service != service.Name || t.Status != control.TargetLive || !r.hasCapacity(t, e.Now) {
			continue
		}
		s := r.stateOf(t)
		if s.unkeyedBackoffUntil > e.Now {
			continue
		}
		score := float64(s.inFlight+1) / float64(max(t.Slots, 1))
		if t.Name == e.FailedTarget {
			score += failedTargetPenalty
		}
		if best.Name == "" || score < bestScore || (score == bestScore && t.Name < best.Name) {
			best, bestScore = t, score
		}
	}
	if best.Name == "" {
		return Destination{}, false
	}
	return r.newDestination(best, keyspace.Range{}), true
}

// hasCapacity reports whether this entry may send one more request to the target.
func (r *Router) hasCapacity(t control.Target, now timer.Instant) bool {
	s := r.stateOf(t)
	return s.backoffUntil <= now && s.inFlight < s.limiter.Limit()
}

// entries returns the number of entries in the configuration, at least 1.
func (r *Router) entries() int {
	n := 0
	for _, i := range r.view.Config.Instances {
		if i.Entry {
			n++
		}
	}
	return max(n, 1)
}
