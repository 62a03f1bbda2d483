package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// queue holds the requests of one service that wait for a target, in order of arrival.
type queue struct{ items []Arrived }

const (
	retryBurst        = 10 // most retries saved in a service's budget
	leaseRetryAfter   = time.Second
	queueRetryAfter   = time.Second
	blockedRetryAfter = time.Minute
)

// arrive admits, queues or rejects a request. It counts a request for a known service
// before it may reject it, so that load reports include rejected requests. Requests
// with a key may overtake queued ones, since those may wait for another owner; others
// may not.
func (r *Router) arrive(e Arrived) []Effect {
	service, reason := r.checkAdmission(e)
	r.countRequest(service, e)
	if reason != "" {
		return []Effect{r.reject(e.ID, reason)}
	}
	if reason := r.updateRetryBudget(service, e); reason != "" {
		return []Effect{r.reject(e.ID, reason)}
	}
	if e.Deadline <= e.Now.Add(r.expectedLatency(service, e)) {
		return []Effect{r.reject(e.ID, ReasonDeadline)}
	}
	if q := r.queueOf(service.Name); len(q.items) > 0 && !service.Keyed() {
		return r.enqueue(service, e)
	}
	if dest, ok := r.destination(service, e); ok {
		return []Effect{r.admit(e, dest)}
	}
	return r.enqueue(service, e)
}

// checkAdmission returns the request's service and, if the request must be rejected,
// the reason.
func (r *Router) checkAdmission(e Arrived) (config.Service, Reason) {
	if err := r.lease.Check(e.Now); err != nil {
		return config.Service{}, ReasonNoLease
	}
	if r.view.ConfigVersion == 0 {
		return config.Service{}, ReasonNoConfig
	}
	service, ok := r.view.Config.Service(e.Service)
	if !ok {
		return service, ReasonNoService
	}
	if e.ConfigVersion != r.view.ConfigVersion {
		if now, ok := r.view.Config.Match(e.Path); e.Path != "" && (!ok || now.Name != e.Service) {
			return service, ReasonConfigChanged
		}
	}
	if r.view.Blocked[e.Fingerprint] || r.noticedCrashes[e.Fingerprint].blocks(e.Now) {
		return service, ReasonBlocked
	}
	if !r.dependenciesLive(service) {
		return service, ReasonDependency
	}
	return service, ""
}

// dependenciesLive reports whether each service that this one depends on has a
// live target.
func (r *Router) dependenciesLive(service config.Service) bool {
	for _, name := range service.DependsOn {
		if !r.hasLiveTarget(name) {
			return false
		}
	}
	return true
}

// updateRetryBudget takes a retry from the service's retry budget, or adds to the
// budget for a first attempt. A retry after an attempt that provably did not run changes
// nothing. It returns ReasonBudget if the budget does not allow the retry.
func (r *Router) updateRetryBudget(service config.Service, e Arrived) Reason {
	if e.NotRun {
		return ""
	}
	budget, ok := r.retryBudgets[service.Name]
	if !ok {
		budget = limit.NewBudget(service.RetryBudget, retryBurst)
	}
	if !e.Retry {
		r.retryBudgets[service.Name] = budget.WithRequest()
		return ""
	}
	budget, ok = budget.WithRetry()
	r.retryBudgets[service.Name] = budget
	if !ok {
		return ReasonBudget
	}
	return ""
}

func (r *Router) queueOf(service string) *queue {
	q, ok := r.queues[service]
	if !ok {
		q = &queue{}
		r.queues[service] = q
	}
	return q
}

// enqueue queues a request, or rejects it at once if the queue is full or too long
// for an answer before the deadline. A request whose attempt did not run goes to the
// front, so that it keeps its place.
func (r *Router) enqueue(service config.Service, e Arrived) []Effect {
	q := r.queueOf(service.Name)
	if e.NotRun {
		q.items = slices.Insert(q.items, 0, e)
		return nil
	}
	if len(q.items) >= service.MaxWaiting || e.Deadline <= e.Now.Add(r.expectedQueuedLatency(service, q, e)) {
		return []Effect{r.reject(e.ID, ReasonQueueFull)}
	}
	q.items = append(q.items, e)
	return nil
}

// reject returns the rejection of a request. The retry-after time is random, so that
// rejected callers don't all try again at the same time.
func (r *Router) reject(id AttemptID, reason Reason) Effect {
	base := queueRetryAfter
	switch reason {
	case ReasonNoLease, ReasonNoConfig:
		base = leaseRetryAfter
	case ReasonBlocked:
		base = blockedRetryAfter
	}
	return Reject{ID: id, Reason: reason, RetryAfter: base + r.jitter(2*base)}
}

// jitter returns a random duration in [0, spread).
func (r *Router) jitter(spread time.Duration) time.Duration {
	r.jitterSeq++
	rng := rand.New(rand.NewPCG(r.cfg.Seed, r.jitterSeq))
	return time.Duration(rng.Int64N(int64(spread)))
}

func (r *Router) admit(e Arrived, dest Destination) Effect {
	r.attempts[e.ID] = &attempt{request: e, destination: dest}
	r.stateOf(dest.Target).inFlight++
	return Admit{ID: e.ID, Destination: dest}
}

func (r *Router) end(e Ended) []Effect {
	a, ok := r.attempts[e.ID]
	if !ok {
		return nil
	}
	delete(r.attempts, e.ID)
	s := r.stateOfAttempt(a)
	s.inFlight--
	s.recordResult(e.Result, e.Now)
	if e.Result == ResultAnswered {
		s.recordLatency(e.Now.Sub(a.request.Now))
		s.recordAnswerGap(e.Now, len(r.queueOf(a.request.Service).items) > 0)
	}
	switch e.Result {
	case ResultShed:
		r.backOffAfterShed(s, e.Now)
	case ResultUnreached:
		s.backoffUntil = e.Now.Add(unreachedBackoff/2 + r.jitter(unreachedBackoff))
	}
	effects := r.admitQueued(a.request.Service, e.Now)
	if a.revokedBy > 0 {
		effects = append(effects, r.ack()...)
	}
	return effects
}

func (r *Router) abandon(e Abandoned) []Effect {
	for _, q := range r.queues {
		q.items = slices.DeleteFunc(q.items, func(x Arrived) bool { return x.ID == e.ID })
	}
	return r.end(Ended{ID: e.ID, Now: e.Now, Result: ResultAbandoned})
}

// admitQueued admits queued requests of a service while targets have free capacity.
func (r *Router) admitQueued(name string, now timer.Instant) []Effect {
	q := r.queueOf(name)
	service, ok := r.view.Config.Service(name)
	if !ok || len(q.items) == 0 || r.lease.Check(now) != nil {
		return nil
	}
	var effects []Effect
	kept := q.items[:0]
	for _, e := range q.items {
		e.Now = now
		if e.Deadline <= now.Add(r.expectedLatency(service, e)) {
			effects = append(effects, r.reject(e.ID, ReasonDeadline))
			continue
		}
		if dest, ok := r.destination(service, e); ok {
			effects = append(effects, r.admit(e, dest))
			continue
		}
		kept = append(kept, e)
	}
	q.items = kept
	return effects
}

// updateQueues rejects queued requests that can no longer be answered, then admits
// as many as possible.
func (r *Router) updateQueues(now timer.Instant) []Effect {
	var effects []Effect
	for _, q := range r.queues {
		kept := q.items[:0]
		for _, e := range q.items {
			if reason := r.queuedRejectReason(e, now); reason != "" {
				effects = append(effects, r.reject(e.ID, reason))
				continue
			}
			kept = append(kept, e)
		}
		q.items = kept
	}
	for name := range r.queues {
		effects = append(effects, r.admitQueued(name, now)...)
	}
	return effects
}

// queuedRejectReason returns why a queued request must be rejected now, or "".
func (r *Router) queuedRejectReason(e Arrived, now timer.Instant) Reason {
	e.Now = now
	service, reason := r.checkAdmission(e)
	if reason != "" {
		return reason
	}
	if e.Deadline <= now.Add(r.expectedLatency(service, e)) {
		return ReasonDeadline
	}
	return ""
}

// addSuspects adds the suspects in control's response to a crash report, until the next
// view replaces them. It copies the view's maps, since other goroutines read them.
func (r *Router) addSuspects(e SuspectsAdded) {
	blocked, suspected := make(map[string]bool), make(map[string]bool)
	maps.Copy(blocked, r.view.Blocked)
	maps.Copy(suspected, r.view.Suspected)
	for f, isBlocked := range e.Blocked {
		blocked[f] = blocked[f] || isBlocked
	}
	for f := range e.Suspected {
		suspected[f] = true
	}
	r.view.Blocked, r.view.Suspected = blocked, suspected
}

// renew stores a renewed lease and the view that came with it, if that view is newer.
func (r *Router) renew(e Renewed) []Effect {
	r.lease = e.Lease
	if e.View == nil || e.View.Version <= r.view.Version {
		return nil
	}
	if e.View.ConfigVersion != r.view.ConfigVersion {
		clear(r.retryBudgets)
	}
	r.view = *e.View
	r.dropRemovedTargets()
	effects := r.markRevoked()
	effects = append(effects, r.ack()...)
	return append(effects, r.updateQueues(e.Now)...)
}

// markRevoked marks the attempts that the new view makes invalid: their range was
// revoked, or their target was lost, removed or restarted. It cancels the attempts at
// such targets.
func (r *Router) markRevoked() []Effect {
	var effects []Effect
	for id, a := range r.attempts {
		target, ok := r.view.Targets[a.destination.Target.Name]
		targetEnded := !ok || target.Incarnation != a.destination.Target.Incarnation || isLost(target)
		if targetEnded {
			effects = append(effects, Cancel{ID: id})
		}
		if a.revokedBy == 0 && (targetEnded || !r.rangeUnchanged(a)) {
			a.revokedBy = r.view.Version
		}
	}
	return effects
}

// rangeUnchanged reports whether the attempt's range is still active under the epoch
// with which the attempt was admitted.
func (r *Router) rangeUnchanged(a *attempt) bool {
	if a.destination.Epoch == 0 {
		return true
	}
	table, ok := r.view.Tables[a.request.Service]
	if !ok {
		return false
	}
	keyRange := table.Lookup(a.request.Point)
	return keyRange.Phase == keyspace.Active && keyRange.Epoch == a.destination.Epoch
}

// ack acknowledges the newest version for which no revoked attempt still runs, if it
// is newer than the last acknowledged one.
func (r *Router) ack() []Effect {
	acked := r.view.Version
	for _, a := range r.attempts {
		if a.revokedBy > 0 {
			acked = min(acked, a.revokedBy-1)
		}
	}
	if acked <= r.acked {
		return nil
	}
	r.acked = acked
	return []Effect{Ack{Version: acked}}
}
