package dispatch_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
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

	callers, asked, answered, inTime, rejected int
	reasons                                    map[dispatch.Reason]int
	rejectedAfter                              time.Duration // the longest time until a rejection
	returns                                    []time.Duration
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

func (k *kind) served() float64  { return float64(k.answered) / float64(max(k.asked, 1)) }
func (k *kind) reached() float64 { return float64(k.answered) / float64(max(k.callers, 1)) }
func (k *kind) report(t *testing.T) {
	t.Logf("priority %d: callers %d requests %d served %.3f of requests %.3f of callers, in time %.3f of answers, rejected %d after at most %v %v",
		k.priority, k.callers, k.asked, k.served(), k.reached(), float64(k.inTime)/float64(max(k.answered, 1)), k.rejected, k.rejectedAfter, k.reasons)
}

const (
	callersUntil = 40 * time.Second
	playEnd      = callersUntil + 10*time.Second
)

// play lets callers of the kinds use the pool until the end.
func play(t *testing.T, end time.Duration, w *world, p *simPool, kinds ...*kind) {
	t.Helper()
	for _, k := range kinds {
		k.reasons = make(map[dispatch.Reason]int)
		w.arrivals(k.perSecond, func() {
			if w.now < callersUntil {
				k.callers++
				k.ask(w, p, 0, 0, false)
			}
		})
	}
	w.run(end)
	for _, k := range kinds {
		k.report(t)
	}
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

// checkOrder checks that a less urgent kind is served at most 5 in 100 more often than a
// more urgent one.
func checkOrder(t *testing.T, kinds []*kind) {
	t.Helper()
	for i, more := range kinds {
		for _, less := range kinds[i+1:] {
			assert.Assert(t, less.served() <= more.served()+0.05, "priority %d %.3f, priority %d %.3f", more.priority, more.served(), less.priority, less.served())
			assert.Assert(t, less.reached() <= more.reached()+0.05, "callers of priority %d %.3f, of %d %.3f", more.priority, more.reached(), less.priority, less.reached())
		}
	}
}

// checkReturns checks that no more callers are told to return in a span than can be served.
func checkReturns(t *testing.T, room float64, kinds []*kind) {
	t.Helper()
	const span = 4 * time.Second
	counts := make(map[time.Duration]int)
	for _, k := range kinds {
		for _, at := range k.returns {
			counts[at/span]++
		}
	}
	for i, n := range counts {
		assert.Assert(t, float64(n) <= room*span.Seconds(), "%d return in span %d, %.0f can be served", n, i, room*span.Seconds())
	}
}

// checkPrompt checks that no caller waits for a rejection beyond its objective.
func checkPrompt(t *testing.T, kinds []*kind) {
	t.Helper()
	for _, k := range kinds {
		assert.Assert(t, k.rejectedAfter < k.objective, "priority %d was rejected after %v", k.priority, k.rejectedAfter)
	}
}

func TestDemandBeyondRoom(t *testing.T) {
	for _, load := range []float64{0.5, 1.5, 3} {
		t.Run(fmt.Sprint(load, " times the room"), func(t *testing.T) {
			w, p, room := newLoad(1)
			kinds := threeKinds(load * room)
			play(t, playEnd, w, p, kinds...)
			answered := 0
			for _, k := range kinds {
				answered += k.answered
				assert.Assert(t, load > 1 || k.rejected == 0)
			}
			checkOrder(t, kinds)
			checkReturns(t, room, kinds)
			checkPrompt(t, kinds)
			assert.Assert(t, float64(answered) >= 0.95*min(load, 1)*room*callersUntil.Seconds(), "room is left")
		})
	}
}

func TestDemandSwings(t *testing.T) {
	w, p, room := newLoad(2)
	swing := func(share float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 {
			return share * room * 0.9 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/13))
		}
	}
	kinds := threeKinds(0)
	for i, share := range []float64{0.4, 0.3, 0.3} {
		kinds[i].perSecond = swing(share)
	}
	play(t, playEnd, w, p, kinds...)
	checkOrder(t, kinds)
	checkReturns(t, room, kinds)
	checkPrompt(t, kinds)
	assert.Assert(t, kinds[0].rejected == 0, "the most urgent kind always has room")
}

// TestCallersThatRepeatAtOnce guards against callers that gain a place by repeating at once
// instead of returning when told.
func TestCallersThatRepeatAtOnce(t *testing.T) {
	w, p, room := newLoad(3)
	patient, hasty := threeKinds(0.75 * room * 2)[0], threeKinds(0.75 * room * 2)[0]
	patient.perSecond, hasty.perSecond = steady(0.75*room), steady(0.75*room)
	hasty.repeats = 3
	play(t, callersUntil+5*time.Minute, w, p, patient, hasty) // all places are due
	assert.Assert(t, patient.reached() >= hasty.reached())
	assert.Assert(t, patient.served() >= hasty.served())
	checkReturns(t, room, []*kind{patient, hasty})
}

// TestKeyedTarget plays loads at pools of one target: requests wait for it. It guards
// against kinds with long objectives that outlast more urgent ones in the queue.
func TestKeyedTarget(t *testing.T) {
	for _, load := range []float64{0.5, 0.75, 1.5} {
		t.Run(fmt.Sprint(load, " times the room"), func(t *testing.T) {
			sum := threeKinds(0)
			for seed := range uint64(20) {
				w := newWorld(seed)
				targets := w.newTargets(1, 3, 1)
				kinds := threeKinds(load * capacity(targets, simWork))
				play(t, playEnd, w, newSimPool(w, targets, time.Millisecond), kinds...)
				for i, k := range kinds {
					sum[i].add(k)
				}
			}
			for _, k := range sum {
				k.report(t)
			}
			checkOrder(t, sum)
		})
	}
}

func (k *kind) add(other *kind) {
	k.callers += other.callers
	k.asked += other.asked
	k.answered += other.answered
	k.inTime += other.inTime
	k.rejected += other.rejected
	k.rejectedAfter = max(k.rejectedAfter, other.rejectedAfter)
}

// TestDispatcherGone replaces the pool by one that knows nothing. No target may hold more
// than twice its slots, and callers are still served.
func TestDispatcherGone(t *testing.T) {
	w, p, room := newLoad(5)
	kinds := threeKinds(0.5 * room)
	most := 0
	w.every(time.Millisecond, func() {
		for _, target := range p.targets {
			most = max(most, target.running+len(target.queue))
		}
	})
	w.after(callersUntil/2, func() {
		p.pool = dispatch.NewPool(dispatch.Config{})
		p.update(dispatch.TargetsChanged{At: p.at(), Targets: p.infos()})
	})
	play(t, playEnd, w, p, kinds...)
	for _, k := range kinds {
		assert.Equal(t, k.rejected, 0)
		assert.Assert(t, k.served() > 0.99)
	}
	assert.Assert(t, most <= 6, "a target of 3 slots held %d", most)
}

// TestSilentTarget guards against a target that never answers and swallows requests.
func TestSilentTarget(t *testing.T) {
	w, p, room := newLoad(6)
	silent := p.targets["t0002"]
	silent.silent = true
	kinds := threeKinds(0.5 * room)
	play(t, playEnd, w, p, kinds...)
	for _, k := range kinds {
		assert.Equal(t, k.rejected, 0)
	}
	probes := int((callersUntil + 10*time.Second) / kinds[0].timeout)
	assert.Assert(t, len(silent.asked) <= silent.info.Slots+probes, "it got %d requests", len(silent.asked))
}

// TestColdTargets guards against cold targets that crash under more requests than they
// bear, also while two dispatchers believe to be the one, and control repeats itself.
func TestColdTargets(t *testing.T) {
	const turn, bound = 10 * time.Second, 12 // 12.2 a second
	for _, cold := range []int{2, 8} {
		t.Run(fmt.Sprint(cold, " of 8 targets turn cold"), func(t *testing.T) {
			w, p, room := newLoad(7)
			other := newSimPool(w, slices.Collect(maps.Values(p.targets)), time.Millisecond)
			kinds, more := threeKinds(room), threeKinds(room)
			tell := func() {
				infos := p.infos()
				for i := range infos[:cold] {
					infos[i].ColdLeft, infos[i].ColdRate = max(0, 30*time.Second-w.now), 2.8
				}
				p.update(dispatch.TargetsChanged{At: p.at(), Targets: infos})
				other.update(dispatch.TargetsChanged{At: other.at(), Targets: infos})
			}
			w.after(turn, func() { w.every(100*time.Millisecond, tell); tell() })
			for _, k := range more {
				w.arrivals(k.perSecond, func() {
					if w.now < callersUntil {
						k.reasons = make(map[dispatch.Reason]int)
						k.ask(w, other, 0, 0, false)
					}
				})
			}
			play(t, playEnd, w, p, kinds...)
			for _, info := range p.infos()[:cold] {
				target := p.targets[info.Target.ID]
				target.asked = slices.DeleteFunc(target.asked, func(at time.Duration) bool { return at > 30*time.Second })
				most := target.busiestSecond(turn + 5*time.Millisecond)
				t.Log(info.Target.ID, most)
				assert.Assert(t, most <= bound, "%s got %d requests in a second", info.Target.ID, most)
				assert.Assert(t, most > 0)
			}
			checkOrder(t, kinds)
		})
	}
}
