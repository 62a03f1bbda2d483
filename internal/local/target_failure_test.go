package local_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/local"
	"github.com/cranberrywind/cranberrywind/internal/standin"
)

// crashedTargets returns how many targets a request has crashed.
func crashedTargets(d *local.Deployment) int {
	n := 0
	for _, target := range d.Targets {
		if target.Crashed() {
			n++
		}
	}
	return n
}

// TestCrashingRequestIsBlocked resends a request that crashes each target that runs it,
// through all entries, until it has been rejected 20 times. At most two targets may
// crash, and other requests must be served or rejected with a Retry-After header.
func TestCrashingRequestIsBlocked(t *testing.T) {
	cases := []struct{ name, method, path, otherPath string }{
		{"keyed lookup", http.MethodGet, "/stock/k1?crash", "/stock/k2"},
		{"download", http.MethodGet, "/sheets/a?crash", "/sheets/b"},
		{"booking with a new idempotency key each time", http.MethodPost, "/orders/1?crash", "/stock/k2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := startReady(t, local.WithTargets(5, 4))
			var wg sync.WaitGroup
			stop := make(chan struct{})
			failures := make(chan response, 1000)
			wg.Go(func() { sendUntil(d, c.otherPath, stop, failures) })
			blocked := 0
			for i := 0; i < 200 && blocked < 20; i++ {
				header := map[string]string{"Idempotency-Key": fmt.Sprintf("p%d", i)}
				r := send(t, c.method, callerURL(d, i%3)+c.path, "", header)
				assert.Assert(t, r.outcome != "done", "%+v", r)
				if r.outcome == "not_run" && r.status == http.StatusServiceUnavailable {
					blocked++
				}
			}
			close(stop)
			wg.Wait()
			close(failures)
			assert.Assert(t, crashedTargets(d) <= 2, "%d targets crashed", crashedTargets(d))
			assert.Equal(t, blocked, 20, "the request was not blocked")
			for r := range failures {
				t.Errorf("another request failed: %+v", r)
			}
		})
	}
}

// sendUntil sends lookups of path until stop is closed and collects those that are
// neither served nor rejected with a Retry-After header.
func sendUntil(d *local.Deployment, path string, stop <-chan struct{}, failures chan<- response) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r, err := trySend(http.MethodGet, fmt.Sprintf("%s%s?n=%d", callerURL(d, i%3), path, i), "", nil)
		if err != nil || (r.outcome != "done" && r.header.Get("Retry-After") == "") {
			select {
			case failures <- r:
			default:
			}
		}
	}
}

// TestDownloadIsCompleteOrFails uses targets that break the connection or stall during
// a download: the caller gets the complete download or an error, never a part that
// looks complete.
func TestDownloadIsCompleteOrFails(t *testing.T) {
	cases := []struct {
		name   string
		change func(*standin.Config)
	}{
		{"first target breaks connection", func(c *standin.Config) { c.BreakAfter = 100_000 }},
		{"first target stalls", func(c *standin.Config) { c.StallAfter = 100_000 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := startReady(t, local.WithTargets(1, 4))
			parsed, err := config.Parse("text", []byte(d.Config))
			assert.NilError(t, err)
			service, _ := parsed.Service("price_sheets")
			for _, name := range []string{"a-bad", "b-bad"} {
				_, err = d.StartTarget(service, name, c.change)
				assert.NilError(t, err)
			}
			assert.NilError(t, d.WaitReady(t.Context()))
			for range 4 {
				r := send(t, http.MethodGet, callerURL(d, 0)+"/sheets/a", "", nil)
				assertResponse(t, r, http.StatusOK, "done")
				assert.Assert(t, r.body == string(standin.DownloadBody(256<<10)), "%d bytes", len(r.body))
			}
		})
	}
	t.Run("all targets break connection", func(t *testing.T) {
		d, stop, err := local.Start(context.Background(), t.TempDir(), local.WithTargets(0, 4))
		assert.NilError(t, err)
		t.Cleanup(stop)
		parsed, err := config.Parse("text", []byte(d.Config))
		assert.NilError(t, err)
		service, _ := parsed.Service("price_sheets")
		_, err = d.StartTarget(service, "a-bad", func(c *standin.Config) { c.BreakAfter = 1000 })
		assert.NilError(t, err)
		assert.NilError(t, d.WaitTargets(t.Context()))
		r, err := trySend(http.MethodGet, callerURL(d, 0)+"/sheets/a", "", nil)
		assert.Assert(t, err != nil, "an incomplete download of %d bytes looked complete", len(r.body))
	})
}

// TestConcurrentAnswersMatchRequests sends concurrent requests whose answers arrive out
// of order, some after their deadline: each request must get its own answer.
func TestConcurrentAnswersMatchRequests(t *testing.T) {
	d := startReady(t, local.WithTargets(3, 8))
	var wg sync.WaitGroup
	for n := range 20 {
		wg.Go(func() {
			for i := range 20 {
				path := fmt.Sprintf("/stock/key-%d-%d", n, i)
				query := fmt.Sprintf("?work_ms=%d", (n*7+i*13)%40)
				if i%10 == 9 {
					query = "?work_ms=2000"
				}
				r, err := trySend(http.MethodGet, callerURL(d, i%3)+path+query, "", nil)
				if err != nil {
					t.Error(err)
					continue
				}
				want := fmt.Sprintf("%q:%q", "path", path)
				if r.outcome == "done" && !strings.Contains(r.body, want) {
					t.Errorf("requested %s, got %s", path, r.body)
				}
			}
		})
	}
	wg.Wait()
}
