package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// reportLimited plays a load of perSecond requests on each of the first eight sixteenths
// of the keys for some seconds, reported by two entries, the first with three quarters of
// it. Target 1 names the limit.
func (s *sim) reportLimited(perSecond, seconds int, limit float64, targets ...int) {
	for range 5 * seconds {
		for _, n := range targets {
			s.heartbeat(n)
		}
		for entry, quarters := range []int{3, 1} {
			r := instance.ReportRequest{Instance: fmt.Sprintf("entry-%d", entry)}
			for i := range deployment.Key(8) {
				r.Keys = append(r.Keys, instance.KeyLoad{Service: testService, Bucket: i * 4096, Count: uint32(perSecond * quarters / 20)})
			}
			r.Targets = []instance.TargetLoad{{ID: incarnation(1).ID, RateLimit: &limit}}
			s.send(Reported{At: s.now, Report: r})
		}
		s.answer(s.tick(200 * time.Millisecond))
	}
}

// rateAt returns the requests a second for the keys of a target.
func (s *sim) rateAt(n int) float64 {
	rate := 0.0
	for _, u := range s.model.targetUsages(testService) {
		if u.target.ID == incarnation(n).ID {
			rate = u.rate
		}
	}
	return rate
}

func TestNamedLimitIsCapacity(t *testing.T) {
	s := newSim(t)
	for n := 1; n <= 4; n++ {
		s.announce(n, nil)
	}
	s.settle(1, 2, 3, 4)
	s.reportLimited(20, 3, 0, 1, 2, 3, 4)
	assert.Equal(t, len(s.advice.Limits), 0)

	t.Run("keys move away from a target that names a limit", func(t *testing.T) {
		before := s.rateAt(1)
		s.reportLimited(20, 8, 12, 1, 2, 3, 4)
		assert.Assert(t, before > 30, "%.0f requests a second", before)
		assert.Assert(t, s.rateAt(1) < 26, "%.0f requests a second", s.rateAt(1))
	})
	t.Run("entries are advised of the limit and of the share to admit", func(t *testing.T) {
		assert.Equal(t, len(s.advice.Limits), 1)
		l := s.advice.Limits[0]
		assert.Equal(t, l.Target, incarnation(1).ID)
		assert.Equal(t, l.PerSecond, 12.0)
		admitted := l.Admit * s.rateAt(1)
		assert.Assert(t, admitted < 13.5, "%.1f requests a second", admitted)
	})
	t.Run("entries are advised of their parts", func(t *testing.T) {
		parts := s.model.entryParts()
		assert.Assert(t, parts["entry-0"][testService] > 0.7 && parts["entry-0"][testService] < 0.8)
		assert.Assert(t, parts["entry-1"][testService] > 0.2 && parts["entry-1"][testService] < 0.3)
	})
	t.Run("an entry without reports keeps its part", func(t *testing.T) {
		whole := s.advice.Limits[0].Admit
		for range 20 {
			limit := 12.0
			r := instance.ReportRequest{Instance: "entry-1", Targets: []instance.TargetLoad{{ID: incarnation(1).ID, RateLimit: &limit}}}
			for i := range deployment.Key(8) {
				r.Keys = append(r.Keys, instance.KeyLoad{Service: testService, Bucket: i * 4096, Count: 4})
			}
			s.send(Reported{At: s.now, Report: r})
			for n := 1; n <= 4; n++ {
				s.heartbeat(n)
			}
			s.answer(s.tick(200 * time.Millisecond))
		}
		lost := s.model.lostPart(s.model.entryParts(), testService)
		assert.Assert(t, lost > 0.2, "part %.2f is lost", lost)
		assert.Assert(t, s.advice.Limits[0].Admit <= whole+0.01)
	})
	t.Run("a limit that no answer names any more ends", func(t *testing.T) {
		s.reportLimited(4, 1, 0, 1, 2, 3, 4)
		assert.Equal(t, len(s.advice.Limits), 0)
	})
	t.Run("a limit that is not reported for long ends", func(t *testing.T) {
		s.reportLimited(4, 1, 12, 1, 2, 3, 4)
		assert.Equal(t, len(s.advice.Limits), 1)
		for range 60 {
			for n := 1; n <= 4; n++ {
				s.heartbeat(n)
			}
			s.answer(s.tick(200 * time.Millisecond))
		}
		assert.Equal(t, len(s.advice.Limits), 0)
	})
}

// TestNewLeaderAdvisesNoLimitsAtFirst guards against a new leader that has heard from few
// entries and tells them that there are no limits, or that their parts are large.
func TestNewLeaderAdvisesNoLimitsAtFirst(t *testing.T) {
	s := newSim(t)
	s.announce(1, nil)
	s.settle(1)
	s.startTerm()
	s.reportLimited(20, 1, 12, 1)
	assert.Assert(t, !s.advice.LimitsKnown)
	assert.Equal(t, len(s.advice.Limits), 0)
	s.reportLimited(20, 1, 12, 1)
	assert.Assert(t, s.advice.LimitsKnown)
	assert.Equal(t, len(s.advice.Limits), 1)
}
