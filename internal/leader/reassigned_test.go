package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// TestNoRenewalWhileReassignmentIsPending checks that an owner whose grants have expired is
// not granted its keys again after their reassignment was proposed: it may be committed.
func TestNoRenewalWhileReassignmentIsPending(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	proposed := false
	for range 100 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.heartbeat(2)
		for _, e := range s.send(Ticked{At: s.now, State: s.state}) {
			switch c := e.(type) {
			case SendGrant:
				end := GrantEnded{At: s.now, Range: c.Range, Sent: true}
				if c.Target.ID == incarnation(1).ID {
					assert.Assert(t, !proposed, "granted again")
					end.Err = errNoAnswer
				}
				s.send(end)
			case Propose:
				if c.Command.Assign == nil {
					s.commit(c.Command)
					s.send(ProposeEnded{})
					break
				}
				proposed = true
				s.heartbeat(1)
			}
		}
	}
	assert.Assert(t, proposed)
	assert.Equal(t, s.ranges()[0].Phase, deployment.Owned)
}
