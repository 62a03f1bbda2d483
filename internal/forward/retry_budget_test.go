package forward

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

// TestRetryBurstOfAllEntries checks that all entries together save up no more retries
// than the deployment allows, whatever their number.
func TestRetryBurstOfAllEntries(t *testing.T) {
	const slack, share = 410.0, 0.75
	for _, entries := range []int{1, 10, 68, 185, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			s := &Server{cfg: Config{RetryRatio: 0.2, RetrySlack: slack, RetryShare: share}, retryBudgets: make(map[string]limit.Budget)}
			assert.Assert(t, s.retryBurst() <= 1, "before the number of entries is known")
			s.advice.Store(&instance.ReportResponse{Entries: entries})
			assert.Assert(t, s.retryBurst()*float64(entries) <= slack)
			assert.Assert(t, s.retryBurst()*float64(entries) >= 0.5*slack)
		})
	}
}
