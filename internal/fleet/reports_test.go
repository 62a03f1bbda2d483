package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func TestReportCollector(t *testing.T) {
	start := timer.Instant(time.Minute)
	report := func(entry string) instance.ReportRequest {
		return instance.ReportRequest{Instance: entry, Collect: true}
	}
	advice := &instance.ReportBatchResponse{Advice: instance.ReportResponse{Entries: 3}, Parts: map[string]map[string]float64{"a": {"shelf": 0.4}}}
	t.Run("takes reports before there is advice", func(t *testing.T) {
		var r reportCollector
		res, ok := r.add(report("a"), start)
		assert.Assert(t, ok && res.NoAdvice)
		assert.Equal(t, len(r.take()), 1)
		assert.Equal(t, len(r.take()), 0)
	})
	t.Run("passes on the advice for the entry", func(t *testing.T) {
		var r reportCollector
		r.setDelivered(advice, start)
		res, ok := r.add(report("a"), start)
		assert.Assert(t, ok && res.Entries == 3 && res.Parts["shelf"] == 0.4)
		res, ok = r.add(report("b"), start)
		assert.Assert(t, ok && res.Entries == 3 && res.Parts == nil)
	})
	t.Run("takes no reports while they can't be delivered and the advice is old", func(t *testing.T) {
		var r reportCollector
		r.setDelivered(advice, start)
		r.setFailed()
		_, ok := r.add(report("a"), start.Add(maxAdviceAge/2))
		assert.Assert(t, ok)
		r.take()
		_, ok = r.add(report("a"), start.Add(2*maxAdviceAge))
		assert.Assert(t, !ok)
		assert.Equal(t, len(r.take()), 0, "a rejected report is sent elsewhere and must not count twice")
		r.setDelivered(advice, start.Add(2*maxAdviceAge))
		_, ok = r.add(report("a"), start.Add(2*maxAdviceAge))
		assert.Assert(t, ok)
	})
}

// TestEntriesSpreadOverCollectors checks that many entries report to all control instances
// alike, and that one whose reports fail moves on.
func TestEntriesSpreadOverCollectors(t *testing.T) {
	const entries = 600
	control := []string{"a", "b", "c", "d", "e"}
	counts := make(map[string]int)
	for n := range entries {
		c := &collectors{}
		name := fmt.Sprintf("entry-%d", n)
		first := c.choose(name, control)
		assert.Equal(t, c.choose(name, control), first)
		c.failures.Add(1)
		assert.Assert(t, c.choose(name, control) != first)
		counts[first]++
	}
	for _, address := range control {
		assert.Assert(t, counts[address] > entries/len(control)/2, "%v", counts)
	}
}
