package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	keyedWorkers = 5
	// A pair of workers may hold the same keys for maxShared at most.
	maxShared    = 500 * time.Millisecond
	samplePeriod = 10 * time.Millisecond
	assignTime   = 20 * time.Second
	settleTime   = 5 * time.Second
	watchTime    = 8 * time.Second
)

// playForeign has another writer send a heartbeat without the field version. It names the address
// of a worker that holds keys, another ID and a later start.
func playForeign(rec *recorder, trouble bool) error {
	d, stop, err := newDeployment(rec, 2)
	if err != nil {
		return err
	}
	defer stop()
	service := simpleService()
	service["sharded"], service["warm_s"], service["grants"] = true, 2.0, "invocation"
	if err := d.configure(simpleRoutes("huvo11a"), map[string]any{"huvo11a": service}); err != nil {
		return err
	}
	for n := range keyedWorkers {
		if _, err := d.startWorker(n, "huvo11a", nil); err != nil {
			return err
		}
	}
	for start := time.Now(); d.keysHeld() != maxKey+1; time.Sleep(samplePeriod) {
		if time.Since(start) > assignTime {
			return fmt.Errorf("%d keys have an owner: %w", d.keysHeld(), errNotStarted)
		}
	}
	time.Sleep(settleTime)
	victim := d.workers[0]
	if trouble {
		body, err := json.Marshal(map[string]any{
			"service": victim.service, "address": victim.address, "zone": victim.zone, "capacity": 4, "state": "draining",
			"warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		status, _, err := d.callAny(http.MethodPut, "/v1/instances/i-0000f0e1", body, 5*time.Second)
		rec.note("foreign", "sends %s and gets status %d (%v)", body, status, err)
	}
	return d.watchHolds(watchTime)
}

// watchHolds looks for keys that two workers hold at the same time for more than maxShared.
func (d *deployment) watchHolds(limit time.Duration) error {
	type pair struct{ a, b int }
	since := make(map[pair]time.Time)
	longest := time.Duration(0)
	for start := time.Now(); time.Since(start) < limit; time.Sleep(samplePeriod) {
		for a := range d.workers {
			for b := a + 1; b < len(d.workers); b++ {
				p, from, shared := pair{a, b}, 0, false
				if from, shared = d.workers[a].shares(d.workers[b]); !shared {
					delete(since, p)
					continue
				}
				if _, known := since[p]; !known {
					since[p] = time.Now()
					d.rec.note("check", "%s and %s both hold key %d", d.workers[a].id, d.workers[b].id, from)
				}
				longest = max(longest, time.Since(since[p]))
			}
		}
	}
	d.rec.note("check", "two workers held the same keys for %d ms at most", longest.Milliseconds())
	if longest > maxShared {
		return fmt.Errorf("%w: two workers held the same keys for %d ms", errBroken, longest.Milliseconds())
	}
	return nil
}

// valid returns the ranges that the worker holds now.
func (w *worker) valid() []held {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []held
	for _, h := range w.holds {
		if time.Now().Before(h.until) {
			out = append(out, h)
		}
	}
	return out
}

// shares returns a key that both workers hold, if there is one.
func (w *worker) shares(other *worker) (int, bool) {
	for _, x := range w.valid() {
		for _, y := range other.valid() {
			if from := max(x.from, y.from); from <= min(x.to, y.to) {
				return from, true
			}
		}
	}
	return 0, false
}

const maxKey = 65535

// keysHeld returns the number of keys that workers hold.
func (d *deployment) keysHeld() int {
	n := 0
	for _, w := range d.workers {
		for _, h := range w.valid() {
			n += h.to - h.from + 1
		}
	}
	return n
}
