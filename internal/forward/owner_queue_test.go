package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Guards against requests that are rejected for the long queue of an owner of other keys.
func TestQueueOfOneOwnerIsNotAnothers(t *testing.T) {
	const work = 390 * time.Millisecond
	clock := timer.NewManual()
	clock.Advance(time.Second)
	s := &Server{targets: newTargetStates(clock)}
	check := func(owner deployment.Target) error {
		c := &call{
			request: &request{}, deadline: time.Now().Add(time.Hour), service: deployment.Service{Name: "catalog", Keyed: true},
			route: &deployment.Route{Kind: deployment.Lookup, Objective: 1500 * time.Millisecond, Timeout: 3 * time.Second},
		}
		_, err := s.checkOwner(c, owner, deployment.Range{Target: owner.ID, StartMillis: owner.StartMillis, Phase: deployment.Owned})
		return err
	}
	busy, other := testTarget(1, "a"), testTarget(2, "a")
	busy.Service, other.Service = "catalog", "catalog"
	for range 20 {
		exchange(s.targets, clock, busy, 9*work, success(24))
	}
	assert.ErrorIs(t, check(busy), errOwnerBusy)
	assert.NilError(t, check(other))
	_, known := s.targets.queueAge(other)
	assert.Assert(t, !known)
	age, known := s.targets.queueAge(busy)
	assert.Assert(t, known && age == 0, "%v", age)
}

// Guards against rejections that metrics can't tell apart.
func TestRejectionsAreCountedByReason(t *testing.T) {
	s := &Server{}
	for _, err := range []error{errOwnerBusy, errOwnerBusy, errKeyOverloaded} {
		s.rejections.add("catalog", err.Error())
	}
	s.rejections.add("ledger", errWindowFull.Error())
	assert.DeepEqual(t, s.Rejections(), map[string]map[string]uint64{
		"catalog": {errOwnerBusy.Error(): 2, errKeyOverloaded.Error(): 1}, "ledger": {errWindowFull.Error(): 1},
	})
}
