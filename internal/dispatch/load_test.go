package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/dispatch"
)

// kind is a kind of requests, with what its callers got.
type kind struct {
	priority           int
	objective, timeout time.Duration
	// perSecond is the rate of new callers.
	perSecond func(time.Duration) float64
	// repeats is how often a rejected caller repeats at once; others return when told,
	// twice at most.
	repeats int

	callers, asked, answered, inTime, rejected, early int
	reasons                                           map[dispatch.Reason]int
	rejectedAfter                                     time.Duration // the longest time until a rejection
	returns                                           []time.Duration
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

func (k *kind) served() float64   { return float64(k.answered) / float64(max(k.asked, 1)) }
func (k *kind) reached() float64  { return float64(k.answered) / float64(max(k.callers, 1)) }
func (k *kind) inTimeOf() float64 { return float64(k.inTime) / float64(max(k.answered, 1)) }
func (k *kind) report(t *testing.T) {
	t.Logf("priority %d: callers %d requests %d served %.3f of requests %.3f of callers, in time %.3f of answers, rejected %d after at most %v %v",
		k.priority, k.callers, k.asked, k.served(), k.reached(), k.inTimeOf(), k.rejected, k.rejectedAfter, k.reasons)
}

const callersUntil = 40 * time.Second

// play lets callers of the kinds use the pool.
func play(w *world, p *simPool, kinds ...*kind) {
	for _, k := range kinds {
		k.reasons = make(map[dispatch.Reason]int)
		w.arrivals(k.perSecond, func() {
			if w.now < callersUntil {
				k.callers++
				k.ask(w, p, 0, 0, false)
			}
		})
	}
	w.run(callersUntil + 10*time.Second)
}

func (k *kind) ask(w *world, p *simPool, repeated, returned int, returning bool) {
	k.asked++
	start := w.now
	p.request(dispatch.Requested{
		ID: dispatch.RequestID{Entry: "e"}, Priority: k.priority, Objective: k.objective, Timeout: k.timeout,
		Left: k.timeout, Returning: returning,
	}, ask{
		work: w.work(simWork),
		ended: func() {
			k.answered++
			if w.now-start <= k.objective {
				k.inTime++
			}
		},
		rejected: func(r dispatch.Rejected) {
			k.rejected++
			k.reasons[r.Reason]++
			k.rejectedAfter = max(k.rejectedAfter, w.now-start)
			k.returns = append(k.returns, w.now+r.RetryAfter)
			switch {
			case repeated < k.repeats:
				w.after(20*time.Millisecond, func() { k.ask(w, p, repeated+1, returned, false) })
			case k.repeats == 0 && returned < 2:
				w.after(r.RetryAfter, func() { k.ask(w, p, 0, returned+1, true) })
			}
		},
	})
}

func threeKinds(total float64) []*kind {
	return []*kind{
		{priority: 0, objective: 500 * time.Millisecond, timeout: 2500 * time.Millisecond, perSecond: steady(total * 0.4)},
		{priority: 1, objective: 800 * time.Millisecond, timeout: 2500 * time.Millisecond, perSecond: steady(total * 0.3)},
		{priority: 2, objective: 3 * time.Second, timeout: 5 * time.Second, perSecond: steady(total * 0.3)},
	}
}

func newLoad(seed uint64) (*world, *simPool, float64) {
	w := newWorld(seed)
	targets := w.newTargets(8, 3, 0.6, 1, 1.6, 1)
	return w, newSimPool(w, targets, time.Millisecond), capacity(targets, simWork)
}

func TestLoad(t *testing.T) {
	for _, load := range []float64{0.5, 0.75, 0.93, 1.5, 3} {
		w, p, room := newLoad(1)
		kinds := threeKinds(load * room)
		play(w, p, kinds...)
		t.Log(load)
		for _, k := range kinds {
			k.report(t)
		}
	}
	assert.Assert(t, true)
}
