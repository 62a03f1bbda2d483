package leader

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// levelSim runs a model with the levels that members and entries announce.
type levelSim struct {
	*sim
	members map[string]uint64 // by instance; these are heard all the time
	silent  string            // member that is not heard
	entries map[string]uint64 // that report all the time
	holders []string          // of the last report
}

func newLevelSim(t *testing.T, configured bool) *levelSim {
	s := &levelSim{sim: &sim{t: t, model: NewModel(DefaultTiming())}, members: map[string]uint64{"a": 2, "b": 2, "c": 2}, entries: map[string]uint64{"e1": 2, "e2": 2}}
	if configured {
		s.commit(deployment.Command{ConfigChange: &deployment.ConfigChange{Version: 1, Whole: true}})
	}
	s.send(LeadershipTaken{At: s.now, Index: s.index, State: s.state})
	return s
}

// run lets the time pass in steps of planInterval and returns after how long the level was
// raised, or 0.
func (s *levelSim) run(d time.Duration) time.Duration {
	before := s.state.FeatureLevel()
	for passed := time.Duration(0); passed < d; passed += planInterval {
		s.now = s.now.Add(planInterval)
		for name, level := range s.entries {
			s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: name, Level: level}})
		}
		var members []group.MemberLevel
		for name, level := range s.members {
			members = append(members, group.MemberLevel{Member: replica.Member{Instance: name}, Level: level, At: s.now, Heard: name != s.silent})
		}
		for _, e := range s.send(Ticked{At: s.now, State: s.state, Members: members}) {
			switch e := e.(type) {
			case LevelReport:
				s.holders = e.HeldBackBy
			case Propose:
				s.commit(e.Command)
				s.send(ProposeEnded{})
			}
		}
		if s.state.FeatureLevel() > before {
			return passed + planInterval
		}
	}
	return 0
}

func (s *levelSim) assertHeldBackBy(name string) {
	s.t.Helper()
	assert.Equal(s.t, s.run(2*levelWindow), time.Duration(0))
	assert.Assert(s.t, slices.ContainsFunc(s.holders, func(h string) bool { return strings.Contains(h, name+":") }), "%v", s.holders)
}

// TestLevelIsRaised guards against a level that is raised while an instance does not support
// it, or too late for the first configuration of a new deployment.
func TestLevelIsRaised(t *testing.T) {
	t.Run("within a second on a new deployment", func(t *testing.T) {
		s := newLevelSim(t, false)
		took := s.run(2 * levelWindow)
		assert.Assert(t, took > 0 && took <= time.Second, "%v", took)
		assert.Equal(t, s.state.FeatureLevel(), uint64(2))
		s.run(time.Second)
		assert.Equal(t, len(s.holders), 0)
	})
	t.Run("once every entry of a running deployment has had the time to report", func(t *testing.T) {
		s := newLevelSim(t, true)
		took := s.run(2 * levelWindow)
		assert.Assert(t, took >= levelWindow && took <= levelWindow+time.Second, "%v", took)
	})
	t.Run("not above what a member supports", func(t *testing.T) {
		s := newLevelSim(t, false)
		s.members["a"], s.members["b"] = 4, 3
		assert.Assert(t, s.run(2*levelWindow) > 0)
		assert.Equal(t, s.state.FeatureLevel(), uint64(2))
		s.assertHeldBackBy("c")
	})
	t.Run("not beside a member that announces none", func(t *testing.T) {
		s := newLevelSim(t, false)
		s.members["b"] = 0
		s.assertHeldBackBy("b")
		s.members["b"] = 2
		assert.Assert(t, s.run(time.Second) > 0)
	})
	t.Run("not beside a member that is not heard", func(t *testing.T) {
		s := newLevelSim(t, false)
		s.silent = "c"
		s.assertHeldBackBy("c")
	})
	t.Run("not beside an entry that announces none, until it was not heard for the window", func(t *testing.T) {
		s := newLevelSim(t, true)
		s.entries["e2"] = 0
		s.assertHeldBackBy("e2")
		delete(s.entries, "e2")
		took := s.run(2 * levelWindow)
		assert.Assert(t, took >= levelWindow, "%v", took)
	})
	t.Run("not beside a replica that asks to join and announces none", func(t *testing.T) {
		s := newLevelSim(t, false)
		s.send(LevelHeard{At: s.now, Name: "d"})
		assert.Assert(t, s.run(2*levelWindow) >= levelWindow)
	})
	t.Run("not by a leader that does not know the members", func(t *testing.T) {
		s := newLevelSim(t, false)
		clear(s.members)
		assert.Equal(t, s.run(2*levelWindow), time.Duration(0))
	})
}
