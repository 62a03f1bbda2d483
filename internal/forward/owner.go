package forward

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// findOwner returns the target that owns the request's key. If the key is moving, or
// its owner in the view answered that it doesn't own the key, findOwner waits for a
// limited time. If no owner can take the request, it returns why, and when the caller
// may try again.
func (s *Server) findOwner(ctx context.Context, c *call) (deployment.Target, time.Duration, string) {
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(ownerWaitShare*float64(time.Until(c.deadline))))
	defer cancel()
	var oldOwnerTimer <-chan time.Time
	if !s.cfg.GrantsByHeartbeat {
		oldOwnerTimer = time.After(min(oldOwnerDelay, time.Until(c.deadline)/2))
	}
	askOldOwner := false
	c.withoutDispatcher = false
	for {
		changed := s.cfg.View.Changed()
		v := s.cfg.View.View()
		r, _ := v.RangeOf(c.service.Name, c.key)
		t, known := v.Target(r.Target)
		switch {
		case r.Phase == deployment.Unowned || !known || t.StartMillis != r.StartMillis:
			return t, defaultRetryAfter, "the key has no owner"
		case !v.OwnerAllowed(t, time.Now()):
			// Wait for the leader to move the key, or for the evacuation to be withdrawn.
			if !hasLive(v.Usable(c.service.Name)) {
				return t, defaultRetryAfter, errEvacuated.Error()
			}
		case r.Phase == deployment.Owned && c.rangeID == rangeID(r) && time.Until(c.ownerRetryAt) > 0:
			// Wait for the owner to learn of the key.
		case r.Phase != deployment.Owned && !c.granted && !s.asksDispatcher(c) && s.targets.coldLimited(t):
			// Wait for the next owner: the old one may take no request from this entry.
		case (r.Phase == deployment.Owned || askOldOwner && t.Usable()) && !c.excludesRange(r):
			retryAfter, err := s.checkOwner(c, t, r)
			if errors.Is(err, errAskDispatcher) {
				if retryAfter, err = s.askForOwner(ctx, c, t, r); errors.Is(err, errAskDispatcher) {
					continue
				}
			}
			if !errors.Is(err, errWindowFull) || !s.awaitWindow(waitCtx, c, t) {
				return t, retryAfter, errorText(err)
			}
			continue
		}
		select {
		case <-oldOwnerTimer:
			// The old owner may not have received the release yet, and still serve
			// the key.
			askOldOwner = true
		case <-waitCtx.Done():
			return t, defaultRetryAfter, "the key is moving to another target"
		case <-changed:
		case <-waitUntil(c.ownerRetryAt):
		}
	}
}

// hasLive reports whether one of the targets sends heartbeats. Only such a target can take
// over keys.
func hasLive(targets []deployment.Target) bool {
	return slices.ContainsFunc(targets, func(t deployment.Target) bool { return t.Status == deployment.Live })
}

// waitUntil returns a channel that receives the time at the given one, or nil if that has
// passed.
func waitUntil(at time.Time) <-chan time.Time {
	if d := time.Until(at); d > 0 {
		return time.After(d)
	}
	return nil
}

// Reasons why a request is not sent to its key's owner.
var (
	errOwnerDraining    = errors.New("the key's owner is draining")
	errOwnerNotice      = errors.New("the key's owner is leaving or wants no requests for now")
	errOwnerUnavailable = errors.New("the circuit breaker of the key's owner is open")
	errKeyOverloaded    = errors.New("the key gets more requests than its owner can serve")
	errOwnerBusy        = errors.New("the key's owner would take too long")
	errRateLimit        = errors.New("the target's rate limit is reached")
	errWindowFull       = errors.New("this entry's window at the key's owner is full")
	errEvacuated        = errors.New("the zone of the key's owner is evacuated, and no target elsewhere can take the key")
)

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// checkOwner checks whether a key's owner can answer in time. If not, it returns
// the reason and when the caller may try again.
func (s *Server) checkOwner(c *call, t deployment.Target, r deployment.Range) (time.Duration, error) {
	c.rangeID = rangeID(r)
	if !t.Usable() || !s.stillServes(t, true) {
		return defaultRetryAfter, errOwnerDraining
	}
	if retryAfter, ok := s.targets.maySendToOwner(t, s.cfg.TargetDrain); !ok {
		return max(retryAfter, defaultRetryAfter), errOwnerNotice
	}
	if left := s.targets.coldLeft(t); left > 0 && !c.granted && !s.asksDispatcher(c) {
		return min(left, maxReturnDelay), errOwnerCold
	}
	if retryAfter, ok := s.targets.available(t); !ok {
		c.target, c.ownerUnreached = t, s.targets.onlyOthersReach(t)
		return retryAfter, errOwnerUnavailable
	}
	if c.admittedBy != t.ID {
		if retryAfter, ok := s.targets.admit(t); !ok {
			return retryAfter, errRateLimit
		}
		c.admittedBy = t.ID
	}
	if s.asksDispatcher(c) {
		c.target, c.expected, c.fence = t, 0, r.Fence
		return 0, errAskDispatcher
	}
	expected, withinWindow := s.targets.expectedOfOwner(t)
	expected += s.bodyTime(c)
	c.target, c.expected, c.fence = t, expected, r.Fence
	switch {
	case s.dispatching() && s.cfg.Dispatcher.ColdLeft(t) > 0:
		return min(s.cfg.Dispatcher.ColdLeft(t), maxReturnDelay), errColdOwner
	case s.rejectOverload(c.service.Name, c.key, t):
		return overloadRetryAfter, errKeyOverloaded
	case expected > s.maxExpected(c):
		return expected / 2, errOwnerBusy
	case !withinWindow:
		return expected / 2, errWindowFull
	}
	return 0, nil
}

// windowWaitShare is the age, as a share of the route's objective, up to which a
// request waits for a place in this entry's window at the owner. A longer wait would
// only delay the rejection of requests for an overloaded key.
const windowWaitShare = 0.125

// awaitWindow waits until one of this entry's requests at the target ends, which
// absorbs short bursts for one owner. It returns false once the request is as old as
// windowWaitShare allows, or so old that the answer would be late.
func (s *Server) awaitWindow(ctx context.Context, c *call, t deployment.Target) bool {
	maxWait := min(s.maxExpected(c)-c.expected, time.Duration(windowWaitShare*float64(c.route.Objective)))
	maxWait -= time.Since(c.start)
	if maxWait <= 0 {
		return false
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case <-s.targets.windowFreed(t):
		return true
	case <-ctx.Done():
		return false
	case <-timeout.C:
		return false
	}
}

func rangeID(r deployment.Range) string { return r.Target + "/" + strconv.FormatUint(r.Fence, 10) }

func (c *call) excludesRange(r deployment.Range) bool { return slices.Contains(c.excluded, rangeID(r)) }
