package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// reportNotice reports what target n said of itself to an entry.
func (s *sim) reportNotice(n int, leaving bool, rest time.Duration) {
	s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: "entry", Targets: []instance.TargetLoad{
		{ID: incarnation(n).ID, StartMillis: incarnation(n).StartMillis, Leaving: leaving, Rest: rest},
	}}})
}

func TestLeavingTargetHandsOver(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	status := func() deployment.Status {
		x, _ := s.state.Target(incarnation(1).ID)
		return x.Status
	}
	s.reportNotice(1, true, 0)
	for range 10 {
		s.heartbeat(1)
		s.heartbeat(2)
		s.answer(s.tick(100 * time.Millisecond))
	}
	assert.Equal(t, status(), deployment.Draining)
	for _, r := range s.ranges() {
		assert.Equal(t, r.Target, incarnation(2).ID)
	}
	t.Run("a notice of an earlier incarnation is ignored", func(t *testing.T) {
		s.announce(1, func(x *deployment.Target) { x.StartMillis++ })
		s.reportNotice(1, true, 0)
		s.tick(100 * time.Millisecond)
		assert.Assert(t, status() != deployment.Draining)
	})
}

// TestRestingTargetTakesNoKeys checks that a target that wants no requests counts as full
// for as long as it says, and then takes keys again.
func TestRestingTargetTakesNoKeys(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	s.reportNotice(1, false, 2*time.Second)
	utilization := func() float64 {
		for _, u := range s.model.targetUsages(testService) {
			if u.target.ID == incarnation(1).ID {
				return u.utilization()
			}
		}
		return 0
	}
	assert.Assert(t, utilization() >= 1)
	for range 30 {
		s.heartbeat(1)
		s.heartbeat(2)
		s.answer(s.tick(100 * time.Millisecond))
	}
	assert.Assert(t, utilization() < 1)
}

// TestDrainingTargetsAreAdvised checks that entries hear of a draining target with the
// advice, and not for ever.
func TestDrainingTargetsAreAdvised(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.announce(2, nil)
	s.settle(1, 2)
	assert.Equal(t, len(s.advice.Leaving), 0)
	s.announce(1, func(x *deployment.Target) { x.Status, x.Sequence = deployment.Draining, 9 })
	s.tick(time.Second)
	assert.DeepEqual(t, s.advice.Leaving, []deployment.Incarnation{incarnation(1)})
	s.tick(leavingAdviceTime)
	s.tick(time.Second)
	assert.Equal(t, len(s.advice.Leaving), 0)
}
