package test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// balancer selects only entries whose readiness check succeeds, as the platform's
// balancer does.
type balancer struct {
	s     *system
	mu    sync.Mutex
	ready []string
}

// watch polls the readiness of all entries until stop is closed.
func (b *balancer) watch(stop <-chan struct{}) {
	for {
		var ready []string
		for _, c := range b.s.configs {
			if r := call(http.MethodGet, "http://"+c.caller+"/cranberrywind/ready", "", ""); r.status == http.StatusOK {
				ready = append(ready, c.caller)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// awaitReady waits until the balancer selects all of the instances.
func (b *balancer) awaitReady(configs []instanceConfig) {
	b.s.t.Helper()
	b.s.eventually("balancer", func() error {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, c := range configs {
			if !slices.Contains(b.ready, c.caller) {
				return fmt.Errorf("%s is not among %v", c.name, b.ready)
			}
		}
		return nil
	})
}

func (b *balancer) pick(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[n%len(b.ready)]
}

// TestRollingRestartCutsNoRequest guards against requests that fail when an instance
// shuts down gracefully: it must complete all requests in flight and those that the
// balancer sends before it sees the failed readiness check. Every instance is restarted
// in turn under load, and every request must succeed.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	s := newSystem(t, 4)
	s.startTargets(2, true)
	b := &balancer{s: s}
	stop := make(chan struct{})
	go b.watch(stop)
	b.awaitReady(s.configs)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	total := 0
	for n := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := sendRequest(b.pick(n+i), n, i)
				mu.Lock()
				total++
				if r.err != nil || r.outcome != "done" || r.status != http.StatusOK {
					failed = append(failed, fmt.Sprintf("%+v", r))
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range s.configs {
		s.instances[c.name].shutDown()
		s.startInstance(c.name)
		s.eventually("restart of "+c.name, func() error {
			if r := call(http.MethodGet, "http://"+c.caller+"/cranberrywind/ready", "", ""); r.status != http.StatusOK {
				return fmt.Errorf("status %d, %v", r.status, r.err)
			}
			return nil
		})
		b.awaitReady([]instanceConfig{c})
	}
	close(stop)
	wg.Wait()
	t.Logf("%d requests", total)
	assert.Equal(t, len(failed), 0, "%d of %d: %.2000v", len(failed), total, failed)
	assertOneOwner(t, s.records())
}

// sendRequest sends a lookup, a booking or a download, selected by i.
func sendRequest(address string, n, i int) response {
	switch i % 3 {
	case 0:
		return lookup(address, fmt.Sprintf("k%d", i%40))
	case 1:
		return book(address, fmt.Sprintf("k%d", i%40), fmt.Sprintf("r%d-%d", n, i))
	default:
		return call(http.MethodGet, "http://"+address+"/sheets/a", "", "")
	}
}

// TestDrainingTarget guards against requests that fail when a target drains under load.
// All its keys must move, it must get no requests afterwards, and every lookup must
// succeed.
func TestDrainingTarget(t *testing.T) {
	s := newSystem(t, 4)
	l, drained, _ := s.drainUnderLoad()
	assert.Assert(t, s.owner("stock", "k1") != drained)
	for _, r := range l.lookups {
		assert.Assert(t, r.err == nil && r.outcome == "done", "%+v", r)
	}
	assertOneOwner(t, s.records())
	l.assertBookings(t)
}

// drainUnderLoad drains the owner of a key under load. It returns the load, the target,
// and the time from the announcement of the drain to the last request that the target
// accepted.
func (s *system) drainUnderLoad() (*load, string, time.Duration) {
	s.t.Helper()
	s.startTargets(3, true)
	l := startLoad(s, 3)
	l.waitForLookups(100)
	draining := s.owner("stock", "k1")
	assert.Assert(s.t, s.requestCount(draining) > 0, "the target accepted no request before the drain")
	announced := time.Now()
	s.targets[draining].drain()
	for n := range loadKeys {
		s.eventually("move of the keys", func() error {
			if key := fmt.Sprintf("k%d", n); s.owner("stock", key) == draining {
				return fmt.Errorf("%s still owns %s", draining, key)
			}
			return nil
		})
	}
	before := s.requestCount(draining)
	l.waitForLookups(300)
	assert.Equal(s.t, s.requestCount(draining), before, "a target without keys accepted a request")
	l.stop()
	var last time.Time
	for _, r := range s.records() {
		if r.Target == draining {
			last = maxTime(last, time.Unix(0, r.Begin))
		}
	}
	s.t.Logf("last request %s after the announcement", last.Sub(announced))
	return l, draining, last.Sub(announced)
}

// requestCount returns the number of requests that a target accepted.
func (s *system) requestCount(name string) int {
	s.t.Helper()
	n := 0
	for _, r := range s.records() {
		if r.Target == name {
			n++
		}
	}
	return n
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
