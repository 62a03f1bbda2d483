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

// The simulated deployment has the size of the example deployment zarqa with its stock
// service: 17 targets of 3 slots that differ in speed, behind entries with unequal load.
const (
	simTargets      = 17
	slotsPerTarget  = 3
	simEntries      = 10
	networkDelay    = 1500 * time.Microsecond // one way
	meanServiceTime = 10 * time.Millisecond   // at a target of speed 1
	requestDeadline = 800 * time.Millisecond
	simDuration     = 20 * time.Second
	simTickPeriod   = 10 * time.Millisecond
)

// simEvent is a function that the simulation runs at an instant.
type simEvent struct {
	at     timer.Instant
	seq    int
	action func()
}

// events is a heap of events, ordered by time and then by sequence number.
type events []simEvent

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simulation runs the routers of several entries and targets with slots on a simulated
// clock.
type simulation struct {
	now        timer.Instant
	seq        int
	events     events
	rng        *rand.Rand
	routers    []*router.Router
	busy       []int
	speed      []float64
	unanswered map[router.AttemptID]router.Arrived
	started    map[router.AttemptID]timer.Instant
	nextID     router.AttemptID

	answered, rejected, sheds, sent int
	latencies                       *hdrhistogram.Histogram
}

func (s *simulation) after(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, action: action})
}

func newSimulation(cfg router.Config, entries int, seed uint64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), unanswered: make(map[router.AttemptID]router.Arrived),
		started: make(map[router.AttemptID]timer.Instant), latencies: hdrhistogram.New(1, int64(time.Minute), 3),
	}
	view := &router.View{Version: 1, ConfigVersion: 1, Targets: make(map[string]control.Target), Tables: make(map[string]keyspace.Table)}
	view.Config.Services = []config.Service{{Name: "stock", Kind: config.Lookup, Key: config.KeySource{From: config.KeyPath}, RetryBudget: 0.1, MaxWaiting: 256}}
	for i := range entries {
		view.Config.Instances = append(view.Config.Instances, config.Instance{Name: fmt.Sprint(i), Entry: true})
	}
	ranges := keyspace.New(simTargets * 8).Ranges()
	for i := range ranges {
		t := target(fmt.Sprint(i%simTargets), "stock")
		t.Slots = slotsPerTarget
		view.Targets[t.Name] = t
		ranges[i].Owner, ranges[i].Epoch, ranges[i].Phase = t.Owner(), 1, keyspace.Active
	}
	view.Tables["stock"], _ = keyspace.FromRanges(ranges)
	for i := range simTargets {
		s.busy = append(s.busy, 0)
		s.speed = append(s.speed, 0.5+1.5*float64(i)/(simTargets-1))
	}
	for i := range entries {
		cfg.Seed = seed + uint64(i)
		r, _ := router.New(cfg).Update(router.Renewed{View: view, Lease: lease.Held{}.WithRenewal(0, time.Hour, 1)})
		s.routers = append(s.routers, r)
	}
	return s
}

// capacity returns how many requests a second the targets can answer if the load is
// even over keys. The slowest target limits it.
func (s *simulation) capacity() float64 {
	slowest := s.speed[0]
	return slowest * slotsPerTarget * simTargets / meanServiceTime.Seconds()
}

func (s *simulation) update(entry int, e router.Event) {
	_, effects := s.routers[entry].Update(e)
	for _, effect := range effects {
		switch x := effect.(type) {
		case router.Admit:
			s.after(networkDelay, func() { s.arriveAtTarget(entry, x) })
		case router.Reject:
			s.rejected++
			delete(s.unanswered, x.ID)
		}
	}
}

func (s *simulation) arriveAtTarget(entry int, x router.Admit) {
	var n int
	_, _ = fmt.Sscan(x.Destination.Target.Name, &n)
	s.sent++
	if s.busy[n] >= slotsPerTarget {
		s.sheds++
		s.after(networkDelay, func() { s.returnShed(entry, x.ID) })
		return
	}
	s.busy[n]++
	serviceTime := time.Duration(s.rng.ExpFloat64() * float64(meanServiceTime) / s.speed[n])
	s.after(serviceTime, func() {
		s.busy[n]--
		s.after(networkDelay, func() { s.returnAnswer(entry, x.ID) })
	})
}

func (s *simulation) returnShed(entry int, id router.AttemptID) {
	s.update(entry, router.Ended{ID: id, Now: s.now, Result: router.ResultShed})
	e := s.unanswered[id]
	delete(s.unanswered, id)
	e.Now, e.Retry, e.NotRun = s.now, true, true
	s.arrive(entry, e)
}

func (s *simulation) returnAnswer(entry int, id router.AttemptID) {
	s.answered++
	_ = s.latencies.RecordValue(int64(s.now.Sub(s.started[id])))
	delete(s.unanswered, id)
	delete(s.started, id)
	s.update(entry, router.Ended{ID: id, Now: s.now, Result: router.ResultAnswered})
}

func (s *simulation) arrive(entry int, e router.Arrived) {
	started, retried := s.started[e.ID]
	s.nextID++
	delete(s.started, e.ID)
	e.ID = s.nextID
	if !retried {
		started = s.now
	}
	s.started[e.ID] = started
	s.unanswered[e.ID] = e
	s.update(entry, e)
}

// run offers a load that is a share of the capacity. Entries in the first half get
// three times as many requests as the others, which stand for small entries or entries
// far from callers.
func (s *simulation) run(share float64) {
	gap := time.Duration(float64(time.Second) / (s.capacity() * share))
	var offer func()
	offer = func() {
		entry := s.rng.IntN(len(s.routers))
		if s.rng.IntN(2) == 0 {
			entry = s.rng.IntN((len(s.routers) + 1) / 2)
		}
		s.arrive(entry, router.Arrived{
			Service: "stock", Point: keyspace.Point(s.rng.Uint64()), Fingerprint: "f", Now: s.now, Deadline: s.now.Add(requestDeadline),
		})
		s.after(time.Duration(s.rng.ExpFloat64()*float64(gap)), offer)
	}
	var tick func()
	tick = func() {
		for i := range s.routers {
			s.update(i, router.Ticked{Now: s.now})
		}
		s.after(simTickPeriod, tick)
	}
	offer()
	tick()
	for s.now < timer.Instant(simDuration) {
		x := heap.Pop(&s.events).(simEvent)
		s.now = x.at
		x.action()
	}
}

// BenchmarkSlots compares the limit policies of entries that share targets' slots,
// with the same seed.
func BenchmarkSlots(b *testing.B) {
	policies := []struct {
		name    string
		cfg     router.Config
		entries int
	}{
		{"fixed_no_pause", router.Config{Limits: router.FixedLimit, NoShedBackoff: true}, simEntries},
		{"fixed", router.Config{Limits: router.FixedLimit}, simEntries},
		{"share", router.Config{Limits: router.ShareLimit}, simEntries},
		{"adaptive", router.Config{Limits: router.AdaptiveLimit}, simEntries},
		{"home_entry", router.Config{Limits: router.FixedLimit}, 1},
	}
	for _, share := range []float64{0.7, 1, 2} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=%.1f/%s", share, p.name), func(b *testing.B) {
				var s *simulation
				for b.Loop() {
					s = newSimulation(p.cfg, p.entries, 7)
					s.run(share)
				}
				b.ReportMetric(float64(s.answered)/simDuration.Seconds()/s.capacity(), "goodput/capacity")
				b.ReportMetric(float64(s.sheds)/float64(s.answered), "sheds/answer")
				b.ReportMetric(float64(s.latencies.ValueAtQuantile(50))/1e6, "p50_ms")
				b.ReportMetric(float64(s.latencies.ValueAtQuantile(99))/1e6, "p99_ms")
			})
		}
	}
}
