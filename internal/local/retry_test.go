package local_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/local"
	"github.com/cranberrywind/cranberrywind/internal/standin"
)

// sendLookups sends n lookups through all entries from concurrent callers.
func sendLookups(t *testing.T, d *local.Deployment, n int, path func(i int) string) {
	t.Helper()
	const callers = 6
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; i < n; i += callers {
				if _, err := trySend(http.MethodGet, callerURL(d, i%3)+path(i), "", nil); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
}

// acceptedBy returns how many requests the named target has accepted.
func acceptedBy(d *local.Deployment, name string) int {
	for _, target := range d.Targets {
		if target.Name() == name {
			return len(target.Records())
		}
	}
	return 0
}

// TestRetriesStayWithinBudget makes half of the requests fail at their target: retries
// must not exceed a tenth of the requests plus the burst of each entry.
func TestRetriesStayWithinBudget(t *testing.T) {
	const (
		requests = 600
		burst    = 10 // retry tokens that each entry may have saved up
	)
	d := startReady(t, local.WithTargets(2, 8), local.WithWork(0))
	sendLookups(t, d, requests, func(i int) string {
		if i/6%2 == 0 {
			return fmt.Sprintf("/stock/k%d?status=500", i)
		}
		return fmt.Sprintf("/stock/k%d", i)
	})
	sent := acceptedBy(d, "stock-1") + acceptedBy(d, "stock-2")
	t.Logf("%d requests, sent %d times", requests, sent)
	assert.Assert(t, sent > requests, "no request was retried")
	assert.Assert(t, sent <= requests+requests/10+3*burst)
}

// TestFailingTargetGetsFewRequests runs a working target and one that fails every
// request immediately: its short latency must not make it preferred.
func TestFailingTargetGetsFewRequests(t *testing.T) {
	const requests = 600
	d := startReady(t, local.WithTargets(1, 8))
	parsed, err := config.Parse("text", []byte(d.Config))
	assert.NilError(t, err)
	service, _ := parsed.Service("price_sheets")
	_, err = d.StartTarget(service, "a-bad", func(c *standin.Config) { c.FailStatus = http.StatusInternalServerError })
	assert.NilError(t, err)
	assert.NilError(t, d.WaitReady(t.Context()))
	sendLookups(t, d, requests, func(int) string { return "/sheets/a" })
	bad := acceptedBy(d, "a-bad")
	t.Logf("the failing target got %d of %d requests", bad, requests)
	assert.Assert(t, bad < requests/10)
}
