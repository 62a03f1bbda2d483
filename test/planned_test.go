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

// balancer sends requests only to entries that say that they are ready, as the
// platform's balancer does.
type balancer struct {
	s     *system
	mu    sync.Mutex
	ready []string
}

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

// awaitReady waits until the balancer sends to the instances.
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

// TestRollingRestart restarts every instance under load, as planned. No request
// may be cut off: every answer is whole.
func TestRollingRestart(t *testing.T) {
	s := newSystem(t, 4)
	s.startTargets(2, true)
	b := &balancer{s: s}
	stop := make(chan struct{})
	go b.watch(stop)
	b.awaitReady(s.configs)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var bad []string
	total := 0
	for n := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := request(b.pick(n+i), n, i)
				mu.Lock()
				total++
				if r.err != nil || r.outcome != "done" || r.status != http.StatusOK {
					bad = append(bad, fmt.Sprintf("%+v", r))
				}
				mu.Unlock()
			}
		})
	}
	for _, c := range s.configs {
		s.instances[c.name].terminate()
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
	assert.Equal(t, len(bad), 0, "%d of %d: %.2000v", len(bad), total, bad)
	assertOneOwner(t, s.records())
}

// request sends a lookup, a booking or a download in turn.
func request(address string, n, i int) reply {
	switch i % 3 {
	case 0:
		return lookup(address, fmt.Sprintf("k%d", i%40))
	case 1:
		return book(address, fmt.Sprintf("k%d", i%40), fmt.Sprintf("r%d-%d", n, i))
	default:
		return call(http.MethodGet, "http://"+address+"/sheets/a", "", "")
	}
}

// TestLeavingTarget drains a target under load: it loses its keys, receives
// nothing from then on, and no request is cut off or refused.
func TestLeavingTarget(t *testing.T) {
	s := newSystem(t, 4)
	l, leaving, _ := s.drainUnderLoad()
	assert.Assert(t, s.owner("stock", "k1") != leaving)
	for _, r := range l.lookups {
		assert.Assert(t, r.err == nil && r.outcome == "done", "%+v", r)
	}
	assertOneOwner(t, s.records())
	l.assertBookings(t)
}

// drainUnderLoad has the owner of a key announce that it is leaving. It returns
// the load, the target, and how long after the announcement it got its last
// request.
func (s *system) drainUnderLoad() (*load, string, time.Duration) {
	s.t.Helper()
	s.startTargets(3, true)
	l := startLoad(s, 3)
	l.goOn(100)
	leaving := s.owner("stock", "k1")
	assert.Assert(s.t, s.received(leaving) > 0, "the target got nothing before it left")
	asked := time.Now()
	s.targets[leaving].signalDrain()
	for n := range loadKeys {
		s.eventually("the keys' move", func() error {
			if key := fmt.Sprintf("k%d", n); s.owner("stock", key) == leaving {
				return fmt.Errorf("%s still owns %s", leaving, key)
			}
			return nil
		})
	}
	before := s.received(leaving)
	l.goOn(300)
	assert.Equal(s.t, s.received(leaving), before, "a target without keys got new work")
	l.stop()
	var last time.Time
	for _, r := range s.records() {
		if r.Target == leaving {
			last = maxTime(last, time.Unix(0, r.Begin))
		}
	}
	s.t.Logf("last request %s after the announcement", last.Sub(asked))
	return l, leaving, last.Sub(asked)
}

// received counts the requests that a target accepted.
func (s *system) received(name string) int {
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
