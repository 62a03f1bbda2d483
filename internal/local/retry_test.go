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

// sendMany sends lookups through all entries, a few at a time.
func sendMany(t *testing.T, d *local.Deployment, n int, path func(i int) string) {
	t.Helper()
	const callers = 6
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; i < n; i += callers {
				if _, err := trySend(http.MethodGet, callerOf(d, i%3)+path(i), "", nil); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
}

func received(d *local.Deployment, name string) int {
	for _, x := range d.Targets {
		if x.Name() == name {
			return len(x.Records())
		}
	}
	return 0
}

// TestRetriesStayWithinTheBudget lets half of the requests fail at their target:
// what is sent again stays within a tenth of the requests and the burst of each
// entry.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const (
		requests = 600
		burst    = 10 // retries that each entry may have saved up
	)
	d := startReady(t, local.WithTargets(2, 8), local.WithWork(0))
	sendMany(t, d, requests, func(i int) string {
		if i/6%2 == 0 {
			return fmt.Sprintf("/stock/k%d?status=500", i)
		}
		return fmt.Sprintf("/stock/k%d", i)
	})
	sent := received(d, "stock-1") + received(d, "stock-2")
	t.Logf("%d requests, sent %d times", requests, sent)
	assert.Assert(t, sent > requests, "nothing was sent again")
	assert.Assert(t, sent <= requests+requests/10+3*burst)
}

// TestFailingTargetAttractsNothing puts a target that fails at once beside one
// that works: it must not get the most requests for being the fastest.
func TestFailingTargetAttractsNothing(t *testing.T) {
	const requests = 600
	d := startReady(t, local.WithTargets(1, 8))
	parsed, err := config.Parse("text", []byte(d.Config))
	assert.NilError(t, err)
	service, _ := parsed.Service("price_sheets")
	_, err = d.StartTarget(service, "a-bad", func(c *standin.Config) { c.FailStatus = http.StatusInternalServerError })
	assert.NilError(t, err)
	assert.NilError(t, d.WaitReady(t.Context()))
	sendMany(t, d, requests, func(int) string { return "/sheets/a" })
	bad := received(d, "a-bad")
	t.Logf("the failing target got %d of %d requests", bad, requests)
	assert.Assert(t, bad < requests/10)
}
