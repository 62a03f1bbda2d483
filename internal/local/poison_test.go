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

// crashes counts the targets that a request asked to crash and that ended.
func crashes(d *local.Deployment) int {
	n := 0
	for _, x := range d.Targets {
		if x.Crashed() {
			n++
		}
	}
	return n
}

// TestPoisonRequest resends a request that crashes each target that runs it,
// through all entries, for a long time. Two targets may crash, no more, and other
// requests go on.
func TestPoisonRequest(t *testing.T) {
	cases := []struct{ name, method, path, bystander string }{
		{"keyed lookup", http.MethodGet, "/stock/k1?crash", "/stock/k2"},
		{"download", http.MethodGet, "/sheets/a?crash", "/sheets/b"},
		{"booking under ever new keys", http.MethodPost, "/orders/1?crash", "/stock/k2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := startReady(t, local.WithTargets(5, 4))
			var wg sync.WaitGroup
			stop := make(chan struct{})
			bad := make(chan reply, 1000)
			wg.Go(func() { bystand(d, c.bystander, stop, bad) })
			blocked := 0
			for i := 0; i < 200 && blocked < 20; i++ {
				header := map[string]string{"Idempotency-Key": fmt.Sprintf("p%d", i)}
				r := send(t, c.method, callerOf(d, i%3)+c.path, "", header)
				assert.Assert(t, r.outcome != "done", "%+v", r)
				if r.outcome == "not_run" && r.status == http.StatusServiceUnavailable {
					blocked++
				}
			}
			close(stop)
			wg.Wait()
			close(bad)
			assert.Assert(t, crashes(d) <= 2, "%d targets died", crashes(d))
			assert.Equal(t, blocked, 20, "the request was not held")
			for r := range bad {
				t.Errorf("bystander: %+v", r)
			}
		})
	}
}

// bystand sends other requests to the same service; each must be answered.
func bystand(d *local.Deployment, path string, stop <-chan struct{}, bad chan<- reply) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r, err := trySend(http.MethodGet, fmt.Sprintf("%s%s?n=%d", callerOf(d, i%3), path, i), "", nil)
		if err != nil || (r.outcome != "done" && r.header.Get("Retry-After") == "") {
			select {
			case bad <- r:
			default:
			}
		}
	}
}

// TestDownloadIsWholeOrBroken lets targets break off or stall in the middle.
func TestDownloadIsWholeOrBroken(t *testing.T) {
	cases := []struct {
		name   string
		change func(*standin.Config)
	}{
		{"first target breaks off", func(c *standin.Config) { c.BreakAfter = 100_000 }},
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
				r := send(t, http.MethodGet, callerOf(d, 0)+"/sheets/a", "", nil)
				assertReply(t, r, http.StatusOK, "done")
				assert.Assert(t, r.body == string(standin.DownloadBody(256<<10)), "%d bytes", len(r.body))
			}
		})
	}
	t.Run("all targets break off", func(t *testing.T) {
		d, stop, err := local.Start(context.Background(), t.TempDir(), local.WithTargets(0, 4))
		assert.NilError(t, err)
		t.Cleanup(stop)
		parsed, err := config.Parse("text", []byte(d.Config))
		assert.NilError(t, err)
		service, _ := parsed.Service("price_sheets")
		_, err = d.StartTarget(service, "a-bad", func(c *standin.Config) { c.BreakAfter = 1000 })
		assert.NilError(t, err)
		assert.NilError(t, d.WaitTargets(t.Context()))
		r, err := trySend(http.MethodGet, callerOf(d, 0)+"/sheets/a", "", nil)
		assert.Assert(t, err != nil, "a part of %d bytes looked whole", len(r.body))
	})
}

// TestAnswersAreKeptApart sends many requests at once whose answers come out of
// order, some of them cancelled by their deadline.
func TestAnswersAreKeptApart(t *testing.T) {
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
				r, err := trySend(http.MethodGet, callerOf(d, i%3)+path+query, "", nil)
				if err != nil {
					t.Error(err)
					continue
				}
				want := fmt.Sprintf("%q:%q", "path", path)
				if r.outcome == "done" && !strings.Contains(r.body, want) {
					t.Errorf("asked for %s, got %s", path, r.body)
				}
			}
		})
	}
	wg.Wait()
}
