package burn_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/burn"
)

func objective(string) float64 { return 0.99 }

func TestWindows(t *testing.T) {
	now := time.Duration(0)
	r := burn.NewRecorder(func() time.Duration { return now })
	add := func(good, bad int) {
		for range good {
			r.Add("stock", true)
		}
		for range bad {
			r.Add("stock", false)
		}
	}
	add(90, 10)
	now = 10 * time.Minute
	add(100, 0)
	report := r.Report(objective)
	counts := report.Services["stock"].Counts
	assert.Equal(t, counts[0], burn.Count{Good: 100})
	assert.Equal(t, counts[1], burn.Count{Good: 190, Bad: 10})
	assert.Equal(t, int(counts[1].Rate(0.99)+0.5), 5)
	t.Run("a restart shortens the covered time", func(t *testing.T) {
		restarted := burn.NewRecorder(func() time.Duration { return time.Minute })
		merged := burn.Merge([]burn.Report{report, restarted.Report(objective)})
		assert.Equal(t, merged.Covered, time.Minute)
		assert.Equal(t, merged.Services["stock"].Counts[1], burn.Count{Good: 190, Bad: 10})
	})
	t.Run("buckets are reused after the longest window", func(t *testing.T) {
		now = 80 * time.Hour
		add(1, 0)
		last := r.Report(objective).Services["stock"].Counts[len(burn.Windows)-1]
		assert.Equal(t, last, burn.Count{Good: 1})
	})
	t.Run("text shows a bar", func(t *testing.T) {
		var b strings.Builder
		assert.NilError(t, report.WriteText(&b))
		assert.Assert(t, strings.Contains(b.String(), " ######.............. burn"), b.String())
	})
}
