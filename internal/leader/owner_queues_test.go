package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

const queueObjective = 400 * time.Millisecond

// newQueueSim starts four targets that serve 240 requests a second together.
func newQueueSim(t *testing.T) *sim {
	s := newSim(t)
	s.commit(deployment.Command{ConfigChange: &deployment.ConfigChange{Version: 2, Base: 1, Routes: []deployment.Route{{
		Name: "catalog", Host: "catalog.example", Prefix: "/", Kind: deployment.Lookup, Attempts: 2, Objective: queueObjective, Timeout: time.Second,
		Split: []deployment.WeightedService{{Service: testService, Weight: 1}},
	}}}})
	for n := 1; n <= 4; n++ {
		s.announce(n, nil)
	}
	s.settle(1, 2, 3, 4)
	return s
}

// reportQueues reports requests for all keys together with the queue at each target.
func reportQueues(s *sim, perSecond int, waiting uint32) {
	reportEvenly(s, perSecond)
	var targets []instance.TargetLoad
	for n := 1; n <= 4; n++ {
		targets = append(targets, instance.TargetLoad{ID: incarnation(n).ID, Waiting: &waiting})
	}
	s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: "entry-1", Interval: time.Millisecond, Targets: targets}})
	s.answer(s.tick(s.model.timing.RebalanceInterval))
}

func assertLimitedOwners(t *testing.T, s *sim, n int) {
	t.Helper()
	assert.Equal(t, len(s.advice.OverloadedOwners), n)
}

// Guards against requests that are rejected for an owner that has room, and against queues that nothing limits.
func TestOwnersAreLimitedByTheirQueue(t *testing.T) {
	t.Run("a short queue is not limited, whatever the rate is", func(t *testing.T) {
		s := newQueueSim(t)
		reportQueues(s, 1000, 0)
		assertLimitedOwners(t, s, 0)
	})
	t.Run("the longer the queue is the less is admitted", func(t *testing.T) {
		s := newQueueSim(t)
		reportQueues(s, 1000, 12)
		assertLimitedOwners(t, s, 4)
		before := s.advice.OverloadedOwners[0].Share
		reportQueues(s, 1000, 60)
		assertLimitedOwners(t, s, 4)
		assert.Assert(t, s.advice.OverloadedOwners[0].Share < before)
	})
	t.Run("a long queue is limited below the estimated utilization", func(t *testing.T) {
		s := newQueueSim(t)
		u := targetUsage{target: deployment.Target{ID: incarnation(1).ID, StartMillis: incarnation(1).StartMillis, Slots: 3}, serviceTime: 0.05, rate: 50}
		s.model.queues[incarnation(1)] = ownerQueue{}.With(60, s.model.now)
		admitted, limited := s.model.limitedUtilization(u, queueObjective)
		assert.Assert(t, limited && admitted < u.utilization(), "admitted %.2f", admitted)
	})
	t.Run("a queue that has gone limits nothing", func(t *testing.T) {
		s := newQueueSim(t)
		reportQueues(s, 1000, 12)
		reportQueues(s, 1000, 0)
		assertLimitedOwners(t, s, 0)
	})
	t.Run("a queue without answers is not known", func(t *testing.T) {
		s := newQueueSim(t)
		reportQueues(s, 1000, 0)
		reportEvenly(s, 1000) // for longer than queueValidity
		assertLimitedOwners(t, s, 4)
	})
}
