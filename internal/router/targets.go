package router

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// load is this entry's own measurement of one target. It uses nothing that the target
// reports about itself.
type load struct {
	incarnation         string
	inFlight            int
	latency             time.Duration // moving average until an answer
	deviation           time.Duration // moving average of the distance from latency
	answerGap           time.Duration // moving average between answers while requests are queued
	lastAnswer          timer.Instant // time of the last answer
	limiter             limit.Limiter
	consecutiveSheds    int           // since the last answer
	backoffUntil        timer.Instant // no request is sent before
	consecutiveFailures int           // failed attempts since the last answer
	unkeyedBackoffUntil timer.Instant // no request without a key is sent before
}

const (
	failureBackoffBase = 100 * time.Millisecond // after the first failure
	failureBackoffMax  = 5 * time.Second

	// failedTargetPenalty ranks the target that just failed the request behind all
	// others.
	failedTargetPenalty = 1000.0
)

// recordResult updates the limiter and the backoff after an attempt. The backoff of a
// target that fails doubles with each consecutive failure.
func (l *load) recordResult(result Result, now timer.Instant) {
	switch result {
	case ResultAbandoned:
		return
	case ResultShed:
		l.consecutiveSheds++
		l.limiter = l.limiter.WithShed()
		return
	case ResultAnswered:
		l.consecutiveFailures = 0
		l.consecutiveSheds = 0
		l.limiter = l.limiter.WithAnswer()
		return
	}
	l.consecutiveFailures++
	backoff := failureBackoffBase << min(l.consecutiveFailures-1, 10)
	l.unkeyedBackoffUntil = now.Add(min(backoff, failureBackoffMax))
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
func (l *load) recordLatency(took time.Duration) {
	if l.latency == 0 {
		l.latency, l.deviation = took, took/2
		return
	}
	l.deviation += ((took - l.latency).Abs() - l.deviation) / deviationDivisor
	l.latency += (took - l.latency) / meanDivisor
}

// recordAnswerGap adds the time since the last answer to the moving average, if
// requests were waiting.
func (l *load) recordAnswerGap(now timer.Instant, waiting bool) {
	answerGap := now.Sub(l.lastAnswer)
	l.lastAnswer = now
	switch {
	case !waiting || answerGap > maxAnswerGap:
	case l.answerGap == 0:
		l.answerGap = answerGap
	default:
		l.answerGap += (answerGap - l.answerGap) / meanDivisor
	}
}

// expectedLatency returns an upper estimate of the latency, which few answers exceed.
func (l *load) expectedLatency() time.Duration { return l.latency + deviationFactor*l.deviation }

// expectedLatency returns an upper estimate of the latency of the owner of the
// request's key, at most half the service's deadline. It is 0 for requests without a
// key and for owners without measurements.
func (r *Router) expectedLatency(service config.Service, e Arrived) time.Duration {
	table, ok := r.view.Tables[service.Name]
	if !ok {
		return 0
	}
	l, ok := r.loads[table.Lookup(e.Point).Owner.Target]
	if !ok {
		return 0
	}
	return min(l.expectedLatency(), service.Deadline/2)
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
	l, ok := r.loads[keyRange.Owner.Target]
	if !ok || keyRange.Phase != keyspace.Active {
		return 0
	}
	ahead := 0
	for _, other := range q.items {
		if table.Lookup(other.Point).Owner == keyRange.Owner {
			ahead++
		}
	}
	return queueWaitFactor*time.Duration(ahead)*l.answerGap + l.expectedLatency()
}

// loadOf returns the load of the target's incarnation, and creates it if needed.
func (r *Router) loadOf(t control.Target) *load {
	l, ok := r.loads[t.Name]
	if !ok || l.incarnation != t.Incarnation {
		l = &load{incarnation: t.Incarnation, limiter: r.cfg.Limits(t, r.entries())}
		r.loads[t.Name] = l
	}
	return l
}

// dropRemovedTargets removes the loads of targets that are not in the view.
func (r *Router) dropRemovedTargets() {
	for name := range r.loads {
		if _, ok := r.view.Targets[name]; !ok {
			delete(r.loads, name)
		}
	}
}

func lost(t control.Target) bool { return t.Status == control.TargetLost }

// hasLiveTarget reports whether the service has a live target.
func (r *Router) hasLiveTarget(service string) bool {
	for _, t := range r.view.Targets {
		if t.Service == service && t.Status == control.TargetLive {
			return true
		}
	}
	return false
}

// route returns the request's route, and false if it can't be sent now.
func (r *Router) route(service config.Service, e Arrived) (Route, bool) {
	if r.view.Suspected[e.Fingerprint] && r.suspectInFlight(e.Fingerprint) {
		return Route{}, false
	}
	if service.Keyed() {
		return r.routeKeyed(service, e)
	}
	return r.routeAny(service, e)
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

// routeKeyed returns a route to the owner of the key, the only target allowed.
func (r *Router) routeKeyed(service config.Service, e Arrived) (Route, bool) {
	table, ok := r.view.Tables[service.Name]
	if !ok {
		return Route{}, false
	}
	keyRange := table.Lookup(e.Point)
	if keyRange.Phase != keyspace.Active {
		return Route{}, false
	}
	t, ok := r.view.Targets[keyRange.Owner.Target]
	if !ok || t.Owner() != keyRange.Owner || lost(t) || !r.hasCapacity(t, e.Now) {
		return Route{}, false
	}
	return r.routeTo(t, keyRange), true
}

func (r *Router) routeTo(t control.Target, keyRange keyspace.Range) Route {
	return Route{
		Target:  t,
		Start:   keyRange.Start,
		Epoch:   keyRange.Epoch,
		Version: r.view.Version,
		Expiry:  r.lease.Expiry(),
	}
}

// routeAny returns a route to the live target with the smallest share of its slots in
// use.
func (r *Router) routeAny(service config.Service, e Arrived) (Route, bool) {
	var best control.Target
	bestScore := 0.0
	for _, t := range r.view.Targets {
		if t.Service != service.Name || t.Status != control.TargetLive || !r.hasCapacity(t, e.Now) {
			continue
		}
		l := r.loadOf(t)
		if l.unkeyedBackoffUntil > e.Now {
			continue
		}
		score := float64(l.inFlight+1) / float64(max(t.Slots, 1))
		if t.Name == e.FailedTarget {
			score += failedTargetPenalty
		}
		if best.Name == "" || score < bestScore || (score == bestScore && t.Name < best.Name) {
			best, bestScore = t, score
		}
	}
	if best.Name == "" {
		return Route{}, false
	}
	return r.routeTo(best, keyspace.Range{}), true
}

// hasCapacity reports whether this entry may send one more request to the target.
func (r *Router) hasCapacity(t control.Target, now timer.Instant) bool {
	l := r.loadOf(t)
	return l.backoffUntil <= now && l.inFlight < l.limiter.Limit()
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
