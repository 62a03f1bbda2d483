package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// ownedBy returns the first range of the target's latest incarnation or of an earlier one.
func (s *sim) ownedBy(n int) deployment.Range {
	s.t.Helper()
	for _, r := range s.ranges() {
		if r.Target == incarnation(n).ID {
			return r
		}
	}
	s.t.Fatalf("target %d owns nothing", n)
	return deployment.Range{}
}

// renewed runs until a renewal of the target was sent and answered, and returns when it was.
func (s *sim) renewed(n int, targets ...int) timer.Instant {
	s.t.Helper()
	for range 60 {
		for _, m := range targets {
			s.heartbeat(m)
		}
		calls := s.tick(50 * time.Millisecond)
		s.answer(calls)
		for _, e := range calls {
			if c, ok := e.(SendGrant); ok && c.Target.ID == incarnation(n).ID {
				return s.now
			}
		}
	}
	s.t.Fatalf("target %d is not renewed", n)
	return 0
}

// mayHoldUntil returns the end of a lease on a target's clock that runs 2% slow.
func mayHoldUntil(granted timer.Instant) timer.Instant {
	return granted.Add(time.Duration(clockSlowdown * float64(DefaultTiming().LeaseDuration)))
}

// assertKeptUntil runs until some time after the given one, with heartbeats of a target. Its
// calls alone are answered. The key must have no owner with another ID before.
func (s *sim) assertKeptUntil(key deployment.Key, owner string, until timer.Instant, live int) {
	s.t.Helper()
	for s.now < until {
		assert.Equal(s.t, s.ownerOf(key), owner, "%v before its lease ends", until.Sub(s.now))
		s.stepWithout(owner, live)
	}
	for range 40 {
		s.stepWithout(owner, live)
	}
	assert.Equal(s.t, s.ownerOf(key), incarnation(live).ID)
}

// stepWithout advances the clock with a heartbeat of a target. The calls to another one fail.
func (s *sim) stepWithout(silent string, live int) {
	s.heartbeat(live)
	for _, e := range s.tick(50 * time.Millisecond) {
		switch c := e.(type) {
		case SendGrant:
			if c.Target.ID != silent {
				s.answer([]Effect{c})
			}
		case SendRelease:
			s.send(ReleaseEnded{At: s.now, Range: c.Range, Err: errNoAnswer})
		}
	}
}

// failToSend reports that grants were not sent.
func (s *sim) failToSend(calls []Effect) {
	for _, e := range calls {
		if c, ok := e.(SendGrant); ok {
			s.send(GrantEnded{At: s.now, Range: c.Range, Err: replica.ErrNotLeader})
		}
	}
}

// restart announces a later start of target 1.
func (s *sim) restart(status deployment.Status) deployment.Incarnation {
	out := deployment.Incarnation{ID: incarnation(1).ID, StartMillis: incarnation(1).StartMillis + 500}
	s.announce(1, func(t *deployment.Target) { t.StartMillis, t.Status = out.StartMillis, status })
	return out
}

// Guards against keys that are given on while a later start of their owner holds them by a renewal to its ID.
func TestLaterStartMayHoldRenewedKeys(t *testing.T) {
	t.Run("it gets them itself, under a new fence", func(t *testing.T) {
		s := newSim(t)
		s.announce(1, nil)
		s.announce(2, nil)
		s.settle(1, 2)
		s.renewed(1, 1, 2)
		before := s.ownedBy(1)
		next := s.restart(deployment.Live)
		s.tick(50 * time.Millisecond)
		after := s.ownedBy(1)
		assert.Equal(t, after.From, before.From)
		assert.Equal(t, after.StartMillis, next.StartMillis)
		assert.Assert(t, after.Fence > before.Fence)
	})
	t.Run("it is draining and does not release them", func(t *testing.T) {
		s := newSim(t)
		s.announce(1, nil)
		s.announce(2, nil)
		s.settle(1, 2)
		granted := s.renewed(1, 1, 2)
		key := s.ownedBy(1).From
		s.restart(deployment.Draining)
		s.assertKeptUntil(key, incarnation(1).ID, mayHoldUntil(granted), 2)
	})
	t.Run("it is draining and releases them", func(t *testing.T) {
		s := newSim(t)
		s.announce(1, nil)
		s.announce(2, nil)
		s.settle(1, 2)
		s.renewed(1, 1, 2)
		key := s.ownedBy(1).From
		s.restart(deployment.Draining)
		began := s.now
		for s.ownerOf(key) == incarnation(1).ID {
			s.heartbeat(2)
			s.answer(s.tick(50 * time.Millisecond))
			assert.Assert(t, s.now.Sub(began) < time.Second)
		}
	})
	t.Run("it gets them itself and drains before its first grant", func(t *testing.T) {
		s := newSim(t)
		s.announce(1, nil)
		s.announce(2, nil)
		s.settle(1, 2)
		granted := s.renewed(1, 1, 2)
		key := s.ownedBy(1).From
		s.restart(deployment.Live)
		s.failToSend(s.tick(0))
		s.announce(1, func(t *deployment.Target) {
			t.StartMillis, t.Status, t.Sequence = incarnation(1).StartMillis+500, deployment.Draining, 2
		})
		s.assertKeptUntil(key, incarnation(1).ID, mayHoldUntil(granted), 2)
	})
}

// Guards against keys that are given on without a proof, because their owner was to get them under a new fence.
func TestFencedOwnerIsNotReplacedWithoutProof(t *testing.T) {
	fence := func(s *sim) (deployment.Key, timer.Instant) {
		s.announce(1, nil)
		s.announce(2, nil)
		s.settle(1, 2)
		granted := s.renewed(1, 1, 2)
		r := s.ownedBy(1)
		ref := deployment.RangeRef{Service: testService, From: r.From, To: r.To, Fence: r.Fence}
		s.send(GrantEnded{At: s.now, Range: ref, Sent: true, Err: ErrFenced})
		return r.From, granted
	}
	t.Run("if the command is lost and it falls silent", func(t *testing.T) {
		s := newSim(t)
		key, granted := fence(s)
		s.heartbeat(1)
		s.send(Ticked{At: s.now, State: s.state})
		s.send(ProposeEnded{Err: errNoAnswer})
		s.commit(deployment.Command{MarkSilent: &deployment.Incarnation{ID: incarnation(1).ID, StartMillis: incarnation(1).StartMillis}})
		s.assertKeptUntil(key, incarnation(1).ID, mayHoldUntil(granted), 2)
	})
	t.Run("if it drains before its first grant", func(t *testing.T) {
		s := newSim(t)
		key, granted := fence(s)
		s.heartbeat(1)
		s.failToSend(s.tick(0))
		s.announce(1, func(t *deployment.Target) { t.Status, t.Sequence = deployment.Draining, 2 })
		s.assertKeptUntil(key, incarnation(1).ID, mayHoldUntil(granted), 2)
	})
}

// Guards against keys that are given on because a service that nobody configured announced their owner's address.
func TestUnnamedServiceAtAddressProvesNothing(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	granted := s.renewed(1, 1, 2)
	key := s.ownedBy(1).From
	s.announce(3, func(t *deployment.Target) { t.Service, t.Address = "unnamed", "10.0.0.1:80" })
	s.assertKeptUntil(key, incarnation(1).ID, mayHoldUntil(granted), 2)
}

// Guards against leases that are taken for shorter than they may be, so that keys are given on before they end.
func TestLeaseCountsAsLongAsItMayLast(t *testing.T) {
	start := func(t *testing.T) (*sim, deployment.RangeRef) {
		s := newSim(t)
		s.announce(1, nil)
		s.announce(2, nil)
		s.settle(1, 2)
		r := s.ownedBy(1)
		return s, deployment.RangeRef{Service: testService, From: r.From, To: r.To, Fence: r.Fence}
	}
	// The slack for the delivery of a call is not there for the time at which it is sent.
	assertExpiry := func(s *sim, ref deployment.RangeRef, sent timer.Instant, lease time.Duration) {
		s.tick(10 * time.Millisecond)
		end := sent.Add(time.Duration(clockSlowdown*float64(lease)) + deliverySlack)
		expiry := s.model.lookupRangeState(testService, ref.From, ref.Fence).expiry
		assert.Assert(s.t, expiry >= end, "%v too short", end.Sub(expiry))
	}
	t.Run("granted by a leader that goes on while its confirmation is valid", func(t *testing.T) {
		s, ref := start(t)
		s.startTerm()
		assertExpiry(s, ref, s.now.Add(confirmationValidity), DefaultTiming().LeaseDuration)
	})
	t.Run("granted for longer than leases last now", func(t *testing.T) {
		s, ref := start(t)
		s.send(GrantEnded{At: s.now, Range: ref, LeaseDuration: 2 * DefaultTiming().LeaseDuration, Sent: true})
		assertExpiry(s, ref, s.now, 2*DefaultTiming().LeaseDuration)
	})
}

// Guards against a call or command of an earlier term that ends one of this term.
func TestResultsOfAnEarlierTerm(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	r := s.ownedBy(1)
	ref := deployment.RangeRef{Service: testService, From: r.From, To: r.To, Fence: r.Fence}
	s.send(LeadershipTaken{At: s.now, Term: 7, Index: s.index, State: s.state})
	s.tick(10 * time.Millisecond)
	rs := s.model.lookupRangeState(testService, r.From, r.Fence)
	t.Run("a release proves nothing", func(t *testing.T) {
		s.send(ReleaseEnded{At: s.now, Term: 6, Range: ref, Handover: "warm"})
		assert.Assert(t, !rs.released)
	})
	t.Run("a command leaves that of this term pending", func(t *testing.T) {
		s.model.commandPending = true
		s.send(ProposeEnded{Term: 6})
		assert.Assert(t, s.model.commandPending)
		s.send(ProposeEnded{Term: 7})
		assert.Assert(t, !s.model.commandPending)
	})
	t.Run("a grant extends the lease and leaves that of this term in flight", func(t *testing.T) {
		inFlight := rs.inFlight
		s.send(GrantEnded{At: s.now.Add(time.Second), Term: 6, Range: ref, Sent: true, Err: errNoAnswer})
		assert.Equal(t, rs.inFlight, inFlight)
		assert.Equal(t, rs.expiry, DefaultTiming().latestExpiry(s.now.Add(time.Second)))
		assert.Equal(t, rs.unansweredExpiry, rs.expiry)
	})
}

// Guards against leases that count as prolonged by a renewal that a dead target's address refused.
func TestRenewalThatWasNotSentProlongsNoLease(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	granted := s.renewed(1, 1, 2)
	key := s.ownedBy(1).From
	for s.ownerOf(key) == incarnation(1).ID {
		s.heartbeat(2)
		for _, e := range s.tick(50 * time.Millisecond) {
			c, ok := e.(SendGrant)
			if ok && c.Target.ID == incarnation(1).ID {
				s.send(GrantEnded{At: s.now, Range: c.Range, Err: ErrNotSent})
				continue
			}
			s.answer([]Effect{e})
		}
		assert.Assert(t, s.now.Sub(granted) < 10*time.Second)
	}
	assert.Assert(t, s.now > mayHoldUntil(granted))
	assert.Assert(t, s.now <= DefaultTiming().latestExpiry(granted).Add(100*time.Millisecond), "%v after the grant", s.now.Sub(granted))
}
