package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// reportFrom sends the same report about a target from several entries.
func (s *sim) reportFrom(entries int, tl instance.TargetLoad) {
	for n := range entries {
		r := instance.ReportRequest{Instance: fmt.Sprintf("entry-%d", n), Targets: []instance.TargetLoad{tl}}
		s.send(Reported{At: s.now, Report: r})
	}
	s.tick(300 * time.Millisecond)
}

// TestFailingTargets checks that entries are advised of failing targets for which each
// of them sees only few requests.
func TestFailingTargets(t *testing.T) {
	newTest := func() *sim {
		s := newSim(t)
		s.announce(1, nil)
		s.announce(2, nil)
		s.settle(1, 2)
		return s
	}
	t.Run("one failure at each of several entries", func(t *testing.T) {
		s := newTest()
		s.reportFrom(4, instance.TargetLoad{ID: "t1", Failures: 1, Successes: 1, ServiceTime: time.Millisecond})
		assert.Equal(t, len(s.advice.Failing), 1)
		assert.Equal(t, s.advice.Failing[0].Target, "t1")
		assert.Equal(t, s.advice.Failing[0].FailureShare, 0.5)
	})
	t.Run("few failures among many answers", func(t *testing.T) {
		s := newTest()
		s.reportFrom(4, instance.TargetLoad{ID: "t1", Failures: 1, Successes: 9, ServiceTime: time.Millisecond})
		assert.Equal(t, len(s.advice.Failing), 0)
	})
	t.Run("dropped without further reports", func(t *testing.T) {
		s := newTest()
		s.reportFrom(4, instance.TargetLoad{ID: "t1", Failures: 1})
		assert.Equal(t, len(s.advice.Failing), 1)
		s.now = s.now.Add(healthExpiryWindows * healthWindow)
		s.tick(300 * time.Millisecond)
		assert.Equal(t, len(s.advice.Failing), 0)
		assert.Equal(t, len(s.model.health), 0)
	})
}

// TestReturningSuspectIsRememberedAgain reports a kind of request that crashed a target,
// clears it since it was answered, and reports it again a minute later.
func TestReturningSuspectIsRememberedAgain(t *testing.T) {
	s := newSim(t)
	for n := 1; n <= 3; n++ {
		s.announce(n, nil)
	}
	crash := func(n int, fingerprints, cleared []string) {
		report := deployment.CrashReport{Incarnation: incarnation(n), Fingerprints: fingerprints, Cleared: cleared}
		s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: "entry-1", CrashReports: []deployment.CrashReport{report}}})
		s.tick(50 * time.Millisecond)
	}
	suspected := func() bool {
		list, _ := s.state.Suspects()
		return slices.ContainsFunc(list, func(x deployment.Suspect) bool { return x.Fingerprint == "a" })
	}
	crash(1, []string{"a"}, nil)
	s.tick(50 * time.Millisecond)
	assert.Assert(t, suspected())
	crash(2, []string{"b"}, []string{"a"})
	assert.Assert(t, !suspected())
	s.tick(suspectTTL)
	crash(3, []string{"a"}, nil)
	s.tick(time.Second)
	assert.Assert(t, suspected())
}
