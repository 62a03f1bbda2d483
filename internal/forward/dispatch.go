package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/internal/dispatcher"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
)

const (
	// maxPoolsAsked is the number of pools that are asked for a slot for a request, and
	// maxPoolsInZone that in one zone. Where all pools are full, each further one delays the
	// rejection and costs processor time at two instances.
	maxPoolsAsked  = 3
	maxPoolsInZone = 2
	// minRetryAfter is the shortest time after which a caller is told to return.
	minRetryAfter = 10 * time.Millisecond
)

// Errors of acquiring a slot.
var (
	// errAskDispatcher reports that the dispatcher decides whether a request goes to the
	// owner of its key.
	errAskDispatcher = errors.New("the dispatcher of the key's owner decides")
	errColdOwner     = errors.New("the key's owner is cold and its dispatcher can't be asked")
	errColdTargets   = errors.New("all targets are cold and their dispatchers can't be asked")
)

// dispatchState is what dispatchers decided on a call.
type dispatchState struct {
	slot              *dispatcher.Pending // granted for the next attempt or the one in flight; nil for none
	dispatchReason    dispatch.Reason     // of the last decision
	exactRetryAfter   bool                // the caller is told a dispatcher's time to return
	withoutDispatcher bool                // the dispatcher of the key's owner is lost
	returning         *bool               // whether its caller returned when told; nil before it is known
}

// dispatching reports whether dispatchers decide which requests go to which targets.
func (s *Server) dispatching() bool { return s.cfg.Dispatcher != nil && s.cfg.Dispatcher.Active() }

// asksDispatcher reports whether the dispatcher of the owner of the request's key is asked.
func (s *Server) asksDispatcher(c *call) bool { return s.dispatching() && !c.withoutDispatcher }

// rejected is a dispatcher's rejection of a request. It is returned as an error to choose
// among several of them.
type rejected struct {
	reason     dispatch.Reason
	retryAfter time.Duration
}

func (r *rejected) Error() string { return "the dispatcher rejected the request: " + string(r.reason) }

// wantsRoom reports whether another pool may have the room that this one has not.
func (r *rejected) wantsRoom() bool {
	switch r.reason {
	case dispatch.TooLate, dispatch.NoTarget, dispatch.ColdTargets:
		return true
	}
	return false
}

// acquireUnkeyed gets a slot of a target of a service without keys. It asks the pools of the
// zones that zonesFor returns, each zone only if those before have no room. If a
// dispatcher is lost, it chooses a target of its pool as without dispatch. If there is no
// target, it returns why, and when the caller may try again.
func (s *Server) acquireUnkeyed(ctx context.Context, c *call) (deployment.Target, time.Duration, string) {
	var first *rejected
	asked := 0
	for _, zone := range s.zonesFor(c) {
		pools := s.cfg.Dispatcher.PoolsIn(c.service.Name, zone)
		for last := min(maxPoolsAsked, asked+maxPoolsInZone); asked < last && len(pools) > 0 && time.Until(c.deadline) >= minTimeLeft; asked++ {
			var p dispatch.PoolInfo
			p, pools = s.takeBetter(pools)
			t, err := s.acquireFrom(ctx, c, p, nil)
			var r *rejected
			switch {
			case err == nil:
				return t, 0, ""
			case errors.Is(err, errNoneLeft):
				asked-- // it was not asked
			case errors.As(err, &r):
				if first == nil {
					first = r
				}
				if !r.wantsRoom() {
					return s.rejectedBy(c, first)
				}
			case errors.Is(err, dispatcher.ErrLost):
				if t, _, reason := s.chooseUnkeyed(c, s.warmTargets(c, p.Targets)); reason == "" {
					return t, 0, ""
				}
			default:
				return t, defaultRetryAfter, err.Error()
			}
		}
	}
	if first != nil {
		return s.rejectedBy(c, first)
	}
	warm := s.warmTargets(c, nil)
	if left := s.untilFirstWarm(c); len(warm) == 0 && left > 0 {
		return deployment.Target{}, min(left, maxReturnDelay), errColdTargets.Error()
	}
	return s.chooseUnkeyed(c, warm)
}

// rejectedBy returns what a dispatcher's rejection means for the caller, who is told the time
// that the dispatcher gave.
func (s *Server) rejectedBy(c *call, r *rejected) (deployment.Target, time.Duration, string) {
	c.dispatchReason, c.exactRetryAfter = r.reason, true
	retryAfter := max(r.retryAfter, minRetryAfter)
	s.returns.told(c.fingerprint, time.Now().Add(retryAfter))
	return deployment.Target{}, retryAfter, r.Error()
}

// takeBetter picks two pools at random and returns the one that told of more room last, and
// the other pools.
func (s *Server) takeBetter(pools []dispatch.PoolInfo) (dispatch.PoolInfo, []dispatch.PoolInfo) {
	best := drawPool(pools)
	if other := drawPool(pools); s.moreRoom(pools[other].ID, pools[best].ID) {
		best = other
	}
	p := pools[best]
	return p, slices.Delete(pools, best, best+1)
}

// drawPool returns the index of a pool, drawn at random by the number of targets.
func drawPool(pools []dispatch.PoolInfo) int {
	targets := 0
	for _, p := range pools {
		targets += len(p.Targets)
	}
	n := rand.IntN(max(targets, 1))
	for i, p := range pools {
		if n -= len(p.Targets); n < 0 {
			return i
		}
	}
	return len(pools) - 1
}

// moreRoom reports whether a pool told of more room than another one.
func (s *Server) moreRoom(a, b string) bool {
	x, knownX := s.cfg.Dispatcher.Status(a)
	y, knownY := s.cfg.Dispatcher.Status(b)
	if !knownX || !knownY {
		return false
	}
	if x.Free != y.Free {
		return x.Free > y.Free
	}
	return x.Wait < y.Wait
}

// errNoneLeft reports a pool without a target to which the request may go.
var errNoneLeft = errors.New("the request may go to no target of the pool")

// maxRefusedGrants bounds the grants that are given back, because the target may get no
// request by what this entry knows of it, before the request is rejected.
const maxRefusedGrants = 3

// acquireFrom gets a slot of a target of the pool. The error is a rejected, ErrLost,
// errNoneLeft, ErrInterrupted, or that of ctx.
func (s *Server) acquireFrom(ctx context.Context, c *call, p dispatch.PoolInfo, interrupt func() <-chan struct{}) (deployment.Target, error) {
	// A request that has not been sent yet is withdrawn when its caller disconnects.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	var refused []string
	for range maxRefusedGrants {
		r := s.slotRequest(c, p, refused)
		if len(r.Excluded) == len(p.Targets) {
			return deployment.Target{}, errNoneLeft
		}
		pending := s.cfg.Dispatcher.Ask(p, r)
		d, err := s.await(ctx, pending, interrupt)
		if err != nil {
			return deployment.Target{}, err
		}
		s.dispatched.record(c, d)
		if !d.Granted {
			return deployment.Target{}, &rejected{reason: d.Reason, retryAfter: d.RetryAfter}
		}
		t, known := s.cfg.View.View().Target(d.Target)
		if known && s.mayReach(c, t) && (c.service.Keyed || s.admitGranted(t)) {
			c.slot, c.granted, c.dispatchReason = pending, true, d.Reason
			c.target, c.expected = t, 0
			return t, nil
		}
		pending.End(dispatch.Ended{Outcome: dispatch.CallerLeft}) // says nothing about the target
		refused = append(refused, d.Target)
	}
	return deployment.Target{}, errNoneLeft
}

// await waits for the decision on a request. It is withdrawn once interrupt returns nil
// instead of the channel that signals when to call it again.
func (s *Server) await(ctx context.Context, pending *dispatcher.Pending, interrupt func() <-chan struct{}) (dispatcher.Decision, error) {
	for {
		var changed <-chan struct{}
		if interrupt != nil {
			if changed = interrupt(); changed == nil {
				pending.Withdraw()
				return dispatcher.Decision{}, dispatcher.ErrInterrupted
			}
		}
		d, err := pending.Await(ctx, changed)
		if !errors.Is(err, dispatcher.ErrInterrupted) {
			return d, err
		}
	}
}

// admitGranted reports whether a target's rate limit allows the request.
func (s *Server) admitGranted(t deployment.Target) bool {
	_, ok := s.targets.admit(t)
	return ok
}

// slotRequest returns a request for a slot of the pool.
func (s *Server) slotRequest(c *call, p dispatch.PoolInfo, refused []string) dispatch.Requested {
	now := time.Now()
	if c.returning == nil {
		returning := s.returns.take(c.fingerprint, c.start)
		c.returning = &returning
	}
	r := dispatch.Requested{
		Priority: c.route.Priority, Age: now.Sub(c.start), Objective: c.route.Objective, Timeout: c.route.Timeout,
		Left: c.deadline.Sub(now) - responseMargin, BodyBytes: len(c.body), BodyTime: s.bodyTime(c), ConnectTime: s.cfg.Pool.ConnectTime(), Returning: *c.returning,
	}
	for _, id := range p.Targets {
		t, ok := s.mayGoTo(c, id)
		switch {
		case !ok || slices.Contains(refused, id):
			r.Excluded = append(r.Excluded, id)
		case s.cfg.Pool.ExpectedConnectTime(t.Address) == 0:
			r.Connected = append(r.Connected, id)
		}
	}
	return r
}

// mayGoTo returns the target with the ID, and whether a slot of it may be asked for: the owner
// of the key, or for a service without keys any usable target that was not tried yet.
func (s *Server) mayGoTo(c *call, id string) (deployment.Target, bool) {
	v := s.cfg.View.View()
	if c.service.Keyed {
		t, known := v.Target(id)
		return t, known && id == c.target.ID
	}
	usable := v.Usable(c.service.Name)
	i, ok := slices.BinarySearchFunc(usable, id, func(t deployment.Target, id string) int { return cmp.Compare(t.ID, id) })
	if !ok {
		return deployment.Target{}, false
	}
	return usable[i], !slices.Contains(c.excluded, id) && s.stillServes(usable[i], false) && s.targets.mayAsk(usable[i])
}

// mayAsk reports whether a slot of the target may be asked for, as far as this entry knows of
// it. The window does not matter: the dispatcher counts the requests of all entries.
func (ts *targetStates) mayAsk(t deployment.Target) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	s := ts.state(t)
	_, ok := s.notice.MaySend(now)
	return ok && !s.circuitOpen(now) && s.limit.Allows(now)
}

// warmTargets returns the usable targets of the request's service that are not cold, of those
// with the IDs if there are any. Without a grant nothing is sent to a cold target.
func (s *Server) warmTargets(c *call, ids []string) []deployment.Target {
	var out []deployment.Target
	for _, t := range s.cfg.View.View().Usable(c.service.Name) {
		if (ids == nil || slices.Contains(ids, t.ID)) && s.cfg.Dispatcher.ColdLeft(t) == 0 {
			out = append(out, t)
		}
	}
	return out
}

// askForOwner asks the dispatcher of a key's owner for a slot. It returns errAskDispatcher if
// the owner is to be looked up again, and otherwise as checkOwner does.
func (s *Server) askForOwner(ctx context.Context, c *call, t deployment.Target, r deployment.Range) (time.Duration, error) {
	err := s.acquireOwner(ctx, c, t, r)
	var rejection *rejected
	switch {
	case errors.As(err, &rejection):
		_, retryAfter, _ := s.rejectedBy(c, rejection)
		return retryAfter, err
	case errors.Is(err, dispatcher.ErrInterrupted):
		return 0, errAskDispatcher
	case errors.Is(err, dispatcher.ErrLost), errors.Is(err, errNoneLeft):
		c.withoutDispatcher = true
		return 0, errAskDispatcher
	}
	return defaultRetryAfter, err
}

// untilFirstWarm returns the time until the first of the service's cold targets is warm, or 0
// if none is cold.
func (s *Server) untilFirstWarm(c *call) time.Duration {
	first := time.Duration(0)
	for _, t := range s.cfg.View.View().Usable(c.service.Name) {
		if left := s.cfg.Dispatcher.ColdLeft(t); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// acquireOwner gets a slot of the owner of the request's key. The request is withdrawn when
// the range changes meanwhile, or when the owner stops serving: then it returns ErrInterrupted. ErrLost reports that this
// entry decides by itself.
func (s *Server) acquireOwner(ctx context.Context, c *call, t deployment.Target, r deployment.Range) error {
	p, ok := s.cfg.Dispatcher.PoolOf(t.ID)
	if !ok {
		return dispatcher.ErrLost
	}
	_, err := s.acquireFrom(ctx, c, p, func() <-chan struct{} {
		changed := s.cfg.View.Changed()
		now, _ := s.cfg.View.View().RangeOf(c.service.Name, c.key)
		if now.Target != r.Target || now.Fence != r.Fence || now.Phase != r.Phase || !s.stillServes(t, true) {
			return nil
		}
		return changed
	})
	return err
}

// releaseSlot reports to the dispatcher how the granted attempt ended.
func (s *Server) releaseSlot(c *call, outcome dispatch.Outcome, res attemptResult) {
	if c.slot == nil {
		return
	}
	e := dispatch.Ended{Outcome: outcome, Took: res.workTime()}
	if res.loadKnown {
		e.LoadKnown, e.Running, e.Waiting, e.Slowdown = true, res.load.Running, res.load.Waiting, max(res.load.Slowdown, 0)
		if e.Slowdown == 0 {
			e.Slowdown = 1
		}
	}
	c.slot.End(e)
	c.slot, c.granted = nil, false
}

// failedOutcome returns how an attempt ended that brought no complete answer. A request that
// this entry may not send any more says nothing about the target. Nor does a connection that
// does not open in time on a narrow link: that mostly shows that the link is full.
func (s *Server) failedOutcome(err error, disconnected bool) dispatch.Outcome {
	switch {
	case errors.Is(err, targethttp.ErrNotAllowed), errors.Is(err, targethttp.ErrConnLimit):
		return dispatch.CallerLeft
	case errors.Is(err, targethttp.ErrNotSent) && s.cfg.Link != nil && isTimeout(err):
		return dispatch.CallerLeft
	case errors.Is(err, targethttp.ErrNotSent):
		return dispatch.NotSent
	case disconnected:
		return dispatch.CallerLeft
	}
	return dispatch.Failed
}

// answeredOutcome returns how an attempt ended whose answer came.
func answeredOutcome(res attemptResult) dispatch.Outcome {
	switch {
	case res.failed, res.ran && !res.success:
		return dispatch.Failed
	case res.ran:
		return dispatch.Succeeded
	}
	return dispatch.NotRun
}

// rejectedResponse returns status 503 for a request that has not run, with the time that a
// dispatcher gave. Dispatchers spread out the returns of callers, so it has no random part.
func rejectedResponse(reason string, retryAfter time.Duration) response {
	r := errorResponse(http.StatusServiceUnavailable, reason)
	r.header["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	return r
}

// dispatchCounts counts the decisions of dispatchers on this entry's requests, by service,
// priority and reason.
type dispatchCounts struct {
	mu                 sync.Mutex
	grants, rejections map[string]uint64
}

func newDispatchCounts() *dispatchCounts {
	return &dispatchCounts{grants: make(map[string]uint64), rejections: make(map[string]uint64)}
}

func (d *dispatchCounts) record(c *call, decision dispatcher.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.rejections
	if decision.Granted {
		counts = d.grants
	}
	counts[fmt.Sprintf("%s.%d.%s", c.service.Name, c.route.Priority, decision.Reason)]++
}

// DispatchDecisions returns the numbers of grants and of rejections by dispatchers, by
// service, priority and reason.
func (s *Server) DispatchDecisions() (grants, rejections map[string]uint64) {
	d := s.dispatched
	d.mu.Lock()
	defer d.mu.Unlock()
	grants, rejections = make(map[string]uint64), make(map[string]uint64)
	for name, n := range d.grants {
		grants[name] = n
	}
	for name, n := range d.rejections {
		rejections[name] = n
	}
	return grants, rejections
}

const (
	// maxReturns bounds the rejected requests whose return is awaited.
	maxReturns = 4096
	// returnSlack is how much earlier than told a caller may return, since its timer and the
	// way to it are not exact, and returnMemory for how long that counts.
	returnSlack  = 10 * time.Millisecond
	returnMemory = 2 * time.Second
)

// returnTimes holds when callers of rejected requests were told to return. A request that is
// sent again is recognized by its fingerprint, since callers have no names.
type returnTimes struct {
	mu sync.Mutex
	at map[string]time.Time // by fingerprint
}

func newReturnTimes() *returnTimes { return &returnTimes{at: make(map[string]time.Time)} }

func (r *returnTimes) told(fingerprint string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.at) >= maxReturns {
		clear(r.at)
	}
	r.at[fingerprint] = at
}

// take reports whether the caller of a request that came at the given time was told when to
// return, and kept to that. The time is forgotten: it counts for one request.
func (r *returnTimes) take(fingerprint string, came time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.at[fingerprint]
	delete(r.at, fingerprint)
	return ok && came.After(at.Add(-returnSlack)) && came.Before(at.Add(returnMemory))
}
