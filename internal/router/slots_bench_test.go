package router_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// The fake deployment is Zarqa's stock service: 17 targets of 3 slots that
// differ in speed, behind entries of unequal load.
const (
	slotTargets  = 17
	slotSlots    = 3
	slotEntries  = 10
	slotDelay    = 1500 * time.Microsecond // one way
	slotWork     = 10 * time.Millisecond   // mean, at a target of speed 1
	slotDeadline = 800 * time.Millisecond
	slotTime     = 20 * time.Second
	slotTick     = 10 * time.Millisecond
)

// happening is something that the fake deployment does at an instant.
type happening struct {
	at  timer.Instant
	seq int
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// fake is entries' routers and targets with slots on a manual clock.
type fake struct {
	now     timer.Instant
	seq     int
	agenda  agenda
	rng     *rand.Rand
	routers []*router.Router
	busy    []int
	speed   []float64
	open    map[router.RequestID]router.Arrived
	began   map[router.RequestID]timer.Instant
	next    router.RequestID

	done, refused, sheds, sent int
	times                      *hdrhistogram.Histogram
}

func (f *fake) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.agenda, happening{at: f.now.Add(d), seq: f.seq, do: do})
}

func newFake(cfg router.Config, entries int, seed uint64) *fake {
	f := &fake{
		rng: rand.New(rand.NewPCG(seed, 2)), open: make(map[router.RequestID]router.Arrived),
		began: make(map[router.RequestID]timer.Instant), times: hdrhistogram.New(1, int64(time.Minute), 3),
	}
	view := &router.View{Version: 1, ConfigVersion: 1, Targets: make(map[string]control.Target), Tables: make(map[string]keyspace.Table)}
	view.Config.Services = []config.Service{{Name: "stock", Kind: config.Lookup, Key: config.KeySource{From: config.KeyPath}, RetryBudget: 0.1, MaxWaiting: 256}}
	for i := range entries {
		view.Config.Instances = append(view.Config.Instances, config.Instance{Name: fmt.Sprint(i), Entry: true})
	}
	ranges := keyspace.New(slotTargets * 8).Ranges()
	for i := range ranges {
		t := target(fmt.Sprint(i%slotTargets), "stock")
		t.Slots = slotSlots
		view.Targets[t.Name] = t
		ranges[i].Owner, ranges[i].Epoch, ranges[i].Phase = t.Owner(), 1, keyspace.Active
	}
	view.Tables["stock"], _ = keyspace.FromRanges(ranges)
	for i := range slotTargets {
		f.busy = append(f.busy, 0)
		f.speed = append(f.speed, 0.5+1.5*float64(i)/(slotTargets-1))
	}
	for i := range entries {
		cfg.Seed = seed + uint64(i)
		r, _ := router.New(cfg).Update(router.Renewed{View: view, Lease: lease.Held{}.WithRenewal(0, time.Hour, 1)})
		f.routers = append(f.routers, r)
	}
	return f
}

// capacity is how many requests a second the targets can answer under a load
// that is even over keys.
func (f *fake) capacity() float64 {
	slowest := f.speed[0]
	return slowest * slotSlots * slotTargets / slotWork.Seconds()
}

func (f *fake) update(entry int, e router.Event) {
	_, effects := f.routers[entry].Update(e)
	for _, effect := range effects {
		switch x := effect.(type) {
		case router.Admit:
			f.after(slotDelay, func() { f.arriveAtTarget(entry, x) })
		case router.Refuse:
			f.refused++
			delete(f.open, x.ID)
		}
	}
}

func (f *fake) arriveAtTarget(entry int, x router.Admit) {
	var n int
	_, _ = fmt.Sscan(x.Route.Target.Name, &n)
	f.sent++
	if f.busy[n] >= slotSlots {
		f.sheds++
		f.after(slotDelay, func() { f.shed(entry, x.ID) })
		return
	}
	f.busy[n]++
	work := time.Duration(f.rng.ExpFloat64() * float64(slotWork) / f.speed[n])
	f.after(work, func() {
		f.busy[n]--
		f.after(slotDelay, func() { f.answered(entry, x.ID) })
	})
}

func (f *fake) shed(entry int, id router.RequestID) {
	f.update(entry, router.Ended{ID: id, Now: f.now, Result: router.ResultShed})
	e := f.open[id]
	delete(f.open, id)
	e.Now, e.Retry, e.Shed = f.now, true, true
	f.arrive(entry, e)
}

func (f *fake) answered(entry int, id router.RequestID) {
	f.done++
	_ = f.times.RecordValue(int64(f.now.Sub(f.began[id])))
	delete(f.open, id)
	delete(f.began, id)
	f.update(entry, router.Ended{ID: id, Now: f.now, Result: router.ResultAnswered})
}

func (f *fake) arrive(entry int, e router.Arrived) {
	began, again := f.began[e.ID]
	f.next++
	delete(f.began, e.ID)
	e.ID = f.next
	if !again {
		began = f.now
	}
	f.began[e.ID] = began
	f.open[e.ID] = e
	f.update(entry, e)
}

// run offers a load that is a share of the capacity. Entry 0 gets a share of
// its own, as a small entry or one far from callers does.
func (f *fake) run(share float64) {
	gap := time.Duration(float64(time.Second) / (f.capacity() * share))
	var offer func()
	offer = func() {
		entry := f.rng.IntN(len(f.routers))
		if f.rng.IntN(2) == 0 {
			entry = f.rng.IntN((len(f.routers) + 1) / 2)
		}
		f.arrive(entry, router.Arrived{
			Service: "stock", Point: keyspace.Point(f.rng.Uint64()), Fingerprint: "f", Now: f.now, Deadline: f.now.Add(slotDeadline),
		})
		f.after(time.Duration(f.rng.ExpFloat64()*float64(gap)), offer)
	}
	var tick func()
	tick = func() {
		for i := range f.routers {
			f.update(i, router.Ticked{Now: f.now})
		}
		f.after(slotTick, tick)
	}
	offer()
	tick()
	for f.now < timer.Instant(slotTime) {
		x := heap.Pop(&f.agenda).(happening)
		f.now = x.at
		x.do()
	}
}

// BenchmarkSlots compares how entries share targets' slots, on the same seeds.
func BenchmarkSlots(b *testing.B) {
	policies := []struct {
		name    string
		cfg     router.Config
		entries int
	}{
		{"fixed_no_pause", router.Config{Limits: router.FixedLimit, NoPause: true}, slotEntries},
		{"fixed", router.Config{Limits: router.FixedLimit}, slotEntries},
		{"share", router.Config{Limits: router.ShareLimit}, slotEntries},
		{"adaptive", router.Config{Limits: router.AdaptiveLimit}, slotEntries},
		{"home_entry", router.Config{Limits: router.FixedLimit}, 1},
	}
	for _, share := range []float64{0.7, 1, 2} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=%.1f/%s", share, p.name), func(b *testing.B) {
				var f *fake
				for b.Loop() {
					f = newFake(p.cfg, p.entries, 7)
					f.run(share)
				}
				b.ReportMetric(float64(f.done)/slotTime.Seconds()/f.capacity(), "goodput/capacity")
				b.ReportMetric(float64(f.sheds)/float64(f.done), "sheds/answer")
				b.ReportMetric(float64(f.times.ValueAtQuantile(50))/1e6, "p50_ms")
				b.ReportMetric(float64(f.times.ValueAtQuantile(99))/1e6, "p99_ms")
			})
		}
	}
}
