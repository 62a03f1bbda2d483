package forward

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// owner returns the target that owns the request's key. It waits a while for
// keys that are on the move, and after a target said that it does not own the
// key.
func (s *Server) owner(ctx context.Context, c *call) (deployment.Target, time.Duration, string) {
	wait, cancel := context.WithTimeout(ctx, time.Duration(ownerWait*float64(time.Until(c.deadline))))
	defer cancel()
	handover := time.After(min(handoverWait, time.Until(c.deadline)/2))
	late := false
	for {
		changed := s.cfg.View.Changed()
		v := s.cfg.View.View()
		p, _ := v.Owner(c.service.Name, c.key)
		t, known := v.Target(p.Target)
		switch {
		case p.Phase == deployment.Unowned || !known || t.StartMillis != p.StartMillis:
			return t, comeBack, "nobody holds the key"
		case (p.Phase == deployment.Owned || late && t.Usable()) && !c.triedRange(p):
			after, reason := s.checkOwner(c, t, p)
			if !errors.Is(reason, errWindow) || !s.awaitRoom(wait, c, t) {
				return t, after, describe(reason)
			}
			continue
		}
		select {
		case <-handover:
			// The owner may not have heard that it is to release the keys.
			late = true
		case <-wait.Done():
			return t, comeBack, "the key is on its way to another target"
		case <-changed:
		}
	}
}

// Reasons why a key's owner gets no request.
var (
	errLeaving    = errors.New("the key's holder is leaving")
	errNoAnswers  = errors.New("the key's holder does not answer")
	errTurnedAway = errors.New("the key is asked for more often than its holder can serve")
	errBusy       = errors.New("the key's holder is busy for too long")
	errWindow     = errors.New("this entry has as many requests at the key's holder as it may")
)

func describe(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// checkOwner checks whether a key's owner can answer in time, or tells when to come
// back and why.
func (s *Server) checkOwner(c *call, t deployment.Target, p deployment.Range) (time.Duration, error) {
	c.rangeID = rangeID(p)
	if !t.Usable() {
		return comeBack, errLeaving
	}
	if after, ok := s.targets.available(t); !ok {
		return after, errNoAnswers
	}
	expected, room := s.targets.expected(t)
	c.target, c.expected, c.fence = t, expected, p.Fence
	switch {
	case s.turnedAway(c.service.Name, c.key):
		return overloadWait, errTurnedAway
	case expected > c.patience():
		return expected / 2, errBusy
	case !room:
		return expected / 2, errWindow
	}
	return 0, nil
}

// burstShare is the part of a route's objective for which a request waits for
// room. A longer wait would keep callers of an overloaded key from an answer that
// is known already.
const burstShare = 0.125

// awaitRoom waits until one of this entry's requests at the target has ended. It
// returns false where a request that began then would be expected too late. It
// answers short bursts for one owner.
func (s *Server) awaitRoom(ctx context.Context, c *call, t deployment.Target) bool {
	longest := min(c.patience()-c.expected, time.Duration(burstShare*float64(c.route.Objective)))
	longest -= time.Since(c.began)
	if longest <= 0 {
		return false
	}
	limit := time.NewTimer(longest)
	defer limit.Stop()
	select {
	case <-s.targets.room(t):
		return true
	case <-ctx.Done():
		return false
	case <-limit.C:
		return false
	}
}

func rangeID(p deployment.Range) string { return p.Target + "/" + strconv.FormatUint(p.Fence, 10) }

func (c *call) triedRange(p deployment.Range) bool { return slices.Contains(c.tried, rangeID(p)) }
