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

// queue holds the requests of one service that wait for a target, in order of
// arrival.
type queue struct{ items []Arrived }

const (
	retryBurst        = 10 // retries a service may have saved up
	leaseRetryAfter   = time.Second
	queueRetryAfter   = time.Second
	blockedRetryAfter = time.Minute
)

func (r *Router) arrive(e Arrived) []Effect {
	service, reason := r.admissible(e)
	r.countDemand(service, e)
	if reason != "" {
		return []Effect{r.refuse(e.ID, reason)}
	}
	if reason := r.spend(service, e); reason != "" {
		return []Effect{r.refuse(e.ID, reason)}
	}
	if e.Deadline <= e.Now.Add(r.expected(service, e)) {
		return []Effect{r.refuse(e.ID, ReasonDeadline)}
	}
	if q := r.queueOf(service.Name); len(q.items) > 0 && !service.Keyed() {
		return r.wait(service, e)
	}
	if route, ok := r.route(service, e); ok {
		return []Effect{r.admit(e, route)}
	}
	return r.wait(service, e)
}

// admissible returns the request's service, or why it must be refused.
func (r *Router) admissible(e Arrived) (config.Service, Reason) {
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
	if r.view.Blocked[e.Fingerprint] || r.notices[e.Fingerprint].blocks(e.Now) {
		return service, ReasonBlocked
	}
	if !r.dependenciesUp(service) {
		return service, ReasonDependency
	}
	return service, ""
}

// dependenciesUp reports whether each service that this one depends on has a
// target that takes requests.
func (r *Router) dependenciesUp(service config.Service) bool {
	for _, name := range service.DependsOn {
		if !r.hasTarget(name) {
			return false
		}
	}
	return true
}

// spend pays for a retry, or saves for later ones. A request that is proved not
// to have run does neither when it comes back.
func (r *Router) spend(service config.Service, e Arrived) Reason {
	if e.Shed {
		return ""
	}
	budget, ok := r.budgets[service.Name]
	if !ok {
		budget = limit.NewBudget(service.RetryBudget, retryBurst)
	}
	if !e.Retry {
		r.budgets[service.Name] = budget.WithRequest()
		return ""
	}
	budget, ok = budget.WithRetry()
	r.budgets[service.Name] = budget
	if !ok {
		return ReasonBudget
	}
	return ""
}

func (r *Router) queueOf(service string) *queue {
	q, ok := r.waiting[service]
	if !ok {
		q = &queue{}
		r.waiting[service] = q
	}
	return q
}

// wait queues a request, or refuses it at once where too many wait for it to be
// answered in time. One that its target turned down keeps its place.
func (r *Router) wait(service config.Service, e Arrived) []Effect {
	q := r.queueOf(service.Name)
	if e.Shed {
		q.items = slices.Insert(q.items, 0, e)
		return nil
	}
	if len(q.items) >= service.MaxWaiting || e.Deadline <= e.Now.Add(r.expectedWait(service, q, e)) {
		return []Effect{r.refuse(e.ID, ReasonQueueFull)}
	}
	q.items = append(q.items, e)
	return nil
}

// refuse spreads the time to come back, so that refused callers don't return
// together.
func (r *Router) refuse(id RequestID, reason Reason) Effect {
	base := queueRetryAfter
	switch reason {
	case ReasonNoLease, ReasonNoConfig:
		base = leaseRetryAfter
	case ReasonBlocked:
		base = blockedRetryAfter
	}
	return Refuse{ID: id, Reason: reason, After: base + r.jitter(2*base)}
}

func (r *Router) jitter(spread time.Duration) time.Duration {
	r.draws++
	rng := rand.New(rand.NewPCG(r.cfg.Seed, r.draws))
	return time.Duration(rng.Int64N(int64(spread)))
}

func (r *Router) admit(e Arrived, route Route) Effect {
	r.attempts[e.ID] = &attempt{request: e, route: route}
	r.loadOf(route.Target).inFlight++
	return Admit{ID: e.ID, Route: route}
}

func (r *Router) end(e Ended) []Effect {
	a, ok := r.attempts[e.ID]
	if !ok {
		return nil
	}
	delete(r.attempts, e.ID)
	l := r.loadOf(a.route.Target)
	l.inFlight--
	l.note(e.Result, e.Now)
	if e.Result == ResultAnswered {
		l.measure(e.Now.Sub(a.request.Now))
		l.pace(e.Now, len(r.queueOf(a.request.Service).items) > 0)
	}
	switch e.Result {
	case ResultShed:
		r.pauseAfterShed(l, e.Now)
	case ResultUnreached:
		l.fullUntil = e.Now.Add(unreachedPause/2 + r.jitter(unreachedPause))
	}
	effects := r.pump(a.request.Service, e.Now)
	if a.stale > 0 {
		effects = append(effects, r.ack()...)
	}
	return effects
}

func (r *Router) withdraw(e Withdrawn) []Effect {
	for _, q := range r.waiting {
		q.items = slices.DeleteFunc(q.items, func(x Arrived) bool { return x.ID == e.ID })
	}
	return r.end(Ended{ID: e.ID, Now: e.Now, Result: ResultAbandoned})
}

// pump admits waiting requests of a service as far as targets are free.
func (r *Router) pump(name string, now timer.Instant) []Effect {
	q := r.queueOf(name)
	service, ok := r.view.Config.Service(name)
	if !ok || len(q.items) == 0 || r.lease.Check(now) != nil {
		return nil
	}
	var effects []Effect
	kept := q.items[:0]
	for _, e := range q.items {
		e.Now = now
		if e.Deadline <= now.Add(r.expected(service, e)) {
			effects = append(effects, r.refuse(e.ID, ReasonDeadline))
			continue
		}
		if route, ok := r.route(service, e); ok {
			effects = append(effects, r.admit(e, route))
			continue
		}
		kept = append(kept, e)
	}
	q.items = kept
	return effects
}

// expire refuses what waited until its deadline, or lost its lease or service.
func (r *Router) expire(now timer.Instant) []Effect {
	var effects []Effect
	for _, q := range r.waiting {
		kept := q.items[:0]
		for _, e := range q.items {
			if reason := r.overdue(e, now); reason != "" {
				effects = append(effects, r.refuse(e.ID, reason))
				continue
			}
			kept = append(kept, e)
		}
		q.items = kept
	}
	for name := range r.waiting {
		effects = append(effects, r.pump(name, now)...)
	}
	return effects
}

func (r *Router) overdue(e Arrived, now timer.Instant) Reason {
	e.Now = now
	service, reason := r.admissible(e)
	if reason != "" {
		return reason
	}
	if e.Deadline <= now.Add(r.expected(service, e)) {
		return ReasonDeadline
	}
	return ""
}

// changeSuspects adds to what the view suspects. The view's own maps are shared with
// readers and stay as they are; the next view brings the agreed state.
func (r *Router) changeSuspects(e SuspectsChanged) {
	blocked, suspected := make(map[string]bool), make(map[string]bool)
	maps.Copy(blocked, r.view.Blocked)
	maps.Copy(suspected, r.view.Suspected)
	for f, h := range e.Blocked {
		blocked[f] = blocked[f] || h
	}
	for f := range e.Suspected {
		suspected[f] = true
	}
	r.view.Blocked, r.view.Suspected = blocked, suspected
}

// renew takes over a lease and, where it changed, the view.
func (r *Router) renew(e Renewed) []Effect {
	r.lease = e.Lease
	if e.View == nil || e.View.Version <= r.view.Version {
		return nil
	}
	if e.View.ConfigVersion != r.view.ConfigVersion {
		clear(r.budgets)
	}
	r.view = *e.View
	r.dropLoads()
	effects := r.markStale()
	effects = append(effects, r.ack()...)
	return append(effects, r.expire(e.Now)...)
}

// markStale finds the attempts whose range or target the new view took away,
// and cancels those whose target is gone.
func (r *Router) markStale() []Effect {
	var effects []Effect
	for id, a := range r.attempts {
		target, ok := r.view.Targets[a.route.Target.Name]
		gone := !ok || target.Incarnation != a.route.Target.Incarnation || lost(target)
		if gone {
			effects = append(effects, Cancel{ID: id})
		}
		if a.stale == 0 && (gone || !r.current(a)) {
			a.stale = r.view.Version
		}
	}
	return effects
}

// current reports whether the attempt's range is as it was when it was sent.
func (r *Router) current(a *attempt) bool {
	if a.route.Epoch == 0 {
		return true
	}
	keys, ok := r.view.Tables[a.request.Service]
	if !ok {
		return false
	}
	now := keys.Lookup(a.request.Point)
	return now.Phase == keyspace.Active && now.Epoch == a.route.Epoch
}

// ack computes the version that this entry has fully taken over.
func (r *Router) ack() []Effect {
	acked := r.view.Version
	for _, a := range r.attempts {
		if a.stale > 0 {
			acked = min(acked, a.stale-1)
		}
	}
	if acked <= r.acked {
		return nil
	}
	r.acked = acked
	return []Effect{Acked{Version: acked}}
}
