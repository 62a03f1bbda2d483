package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

func TestFencedTargetGetsNewGrant(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	before := s.ranges()[0]
	ref := deployment.RangeRef{Service: testService, From: before.From, To: before.To, Fence: before.Fence}
	s.send(GrantEnded{At: s.now, Range: ref, Sent: true, Err: ErrFenced})
	s.tick(50 * time.Millisecond)
	after := s.ranges()[0]
	assert.Equal(t, after.Target, before.Target)
	assert.Assert(t, after.Fence > before.Fence)
}

// TestSilentFencedOwnerKeepsKeysUntilExpiry fences an owner that sends no heartbeats and
// may still serve its keys under the last grant.
func TestSilentFencedOwnerKeepsKeysUntilExpiry(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	before := s.ranges()[0]
	other := 1
	if before.Target == incarnation(1).ID {
		other = 2
	}
	for range 26 {
		s.heartbeat(other)
		s.answer(s.tick(100 * time.Millisecond))
	}
	granted := s.now
	ref := deployment.RangeRef{Service: testService, From: before.From, To: before.To, Fence: before.Fence}
	s.send(GrantEnded{At: granted, Range: ref, Sent: true})
	s.send(GrantEnded{At: granted, Range: ref, Sent: true, Err: ErrFenced})
	expiry := DefaultTiming().latestExpiry(granted)
	for s.now.Add(100*time.Millisecond) <= expiry {
		s.heartbeat(other)
		for _, e := range s.tick(100 * time.Millisecond) {
			if g, ok := e.(SendGrant); ok && g.Range.From == before.From {
				t.Fatalf("keys are granted to %s %v after their owner's last grant", g.Target.ID, s.now.Sub(granted))
			}
		}
		assert.Equal(t, s.ranges()[0].Target, before.Target, "%v after their owner's last grant", s.now.Sub(granted))
	}
	for range 3 {
		s.heartbeat(other)
		s.tick(100 * time.Millisecond)
	}
	assert.Equal(t, s.ranges()[0].Target, incarnation(other).ID)
}
