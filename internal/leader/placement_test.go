package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// Guards against keys that never get an owner because a target left while they were first assigned.
func TestKeysOfTargetThatLeavesDuringFirstAssignment(t *testing.T) {
	t.Run("grants by calls", func(t *testing.T) {
		s := newSim(t)
		for n := 1; n <= 3; n++ {
			s.announce(n, nil)
		}
		left := false
		for range 200 {
			s.now = s.now.Add(50 * time.Millisecond)
			s.heartbeat(1)
			s.heartbeat(3)
			effects := s.send(Ticked{At: s.now, State: s.state})
			for _, e := range effects {
				if p, ok := e.(Propose); ok && p.Command.Assign != nil && !left {
					left = true
					s.announce(2, func(t *deployment.Target) { t.Status, t.Sequence = deployment.Draining, 2 })
				}
			}
			s.answer(s.runEffects(effects))
		}
		assert.Assert(t, left)
		s.assertOwned()
	})
	t.Run("grants by heartbeat", func(t *testing.T) {
		w := newHeartbeatWorld(t, 1, 3, 0)
		for len(w.proposals) == 0 || w.proposals[0].command.Assign == nil {
			w.step()
		}
		x := w.targets[1]
		x.sequence++
		w.announce(x, deployment.Draining)
		w.run(10 * time.Second)
		w.assertAllHeld()
	})
}
