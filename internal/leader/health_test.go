package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// reportFrom tells what some entries saw of a target, each the same.
func (p *play) reportFrom(entries int, seen instance.TargetLoad) {
	for n := range entries {
		r := instance.ReportRequest{Instance: fmt.Sprintf("entry-%d", n), Targets: []instance.TargetLoad{seen}}
		p.send(Reported{At: p.now, Report: r})
	}
	p.tick(300 * time.Millisecond)
}

// TestFailingTargets tells entries of targets of which each of them sees little.
func TestFailingTargets(t *testing.T) {
	newTest := func() *play {
		p := newPlay(t)
		p.announce(1, nil)
		p.announce(2, nil)
		p.settle(1, 2)
		return p
	}
	t.Run("one failure each at many entries", func(t *testing.T) {
		p := newTest()
		p.reportFrom(4, instance.TargetLoad{ID: "t1", Failures: 1, Answers: 1, Busy: time.Millisecond})
		assert.Equal(t, len(p.advice.Failing), 1)
		assert.Equal(t, p.advice.Failing[0].Target, "t1")
		assert.Equal(t, p.advice.Failing[0].Share, 0.5)
	})
	t.Run("few among many answers", func(t *testing.T) {
		p := newTest()
		p.reportFrom(4, instance.TargetLoad{ID: "t1", Failures: 1, Answers: 9, Busy: time.Millisecond})
		assert.Equal(t, len(p.advice.Failing), 0)
	})
	t.Run("forgotten once nothing more is heard", func(t *testing.T) {
		p := newTest()
		p.reportFrom(4, instance.TargetLoad{ID: "t1", Failures: 1})
		assert.Equal(t, len(p.advice.Failing), 1)
		p.now = p.now.Add(healthForget * healthSpan)
		p.tick(300 * time.Millisecond)
		assert.Equal(t, len(p.advice.Failing), 0)
		assert.Equal(t, len(p.model.health), 0)
	})
}
