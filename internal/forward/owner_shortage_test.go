package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/leader"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	ownerTargets     = 60
	ownerEntries     = 185
	ownerWork        = 390 * time.Millisecond
	ownerQueue       = 12 // further requests get no answer
	ownerStep        = 10 * time.Millisecond
	callerDeadline   = 6 * time.Second
	ownerServiceName = "pantry"
)

// ownerWorld plays the requests of many entries for keys, the targets that own them, and the
// leader that assigns the keys and advises the entries.
type ownerWorld struct {
	clock   *timer.Manual
	random  *rand.Rand
	model   *leader.Model
	state   deployment.State
	index   uint64
	entries []*Server
	route   deployment.Route
	owners  map[string]*ownerTarget
	order   []*ownerTarget
	returns []ownerRequest // requests of callers that return later
	hung    []ownerRequest
	seconds []ownerSecond
	steps   int
}

// ownerTarget is a target with a speed, relative to the usual one.
type ownerTarget struct {
	deployment.Target
	speed            float64
	running, waiting []ownerRequest
}

type ownerRequest struct {
	entry   *Server
	key     deployment.Key
	firstAt timer.Instant // of the first attempt
	at      timer.Instant // when it comes, was sent, or ends
	sentAt  timer.Instant
	work    time.Duration
	target  *ownerTarget
	retried bool
}

// ownerSecond counts the requests whose first attempt came in a second.
type ownerSecond struct {
	owed, inTime, late int
}

// with returns the sum of both.
func (s ownerSecond) with(x ownerSecond) ownerSecond {
	return ownerSecond{owed: s.owed + x.owed, inTime: s.inTime + x.inTime, late: s.late + x.late}
}

// earned returns the worth of the answers as a share of what is owed.
func (s ownerSecond) earned() float64 {
	return (float64(s.inTime) + 0.5*float64(s.late)) / float64(s.owed)
}

func newOwnerWorld(seed uint64) *ownerWorld {
	w := &ownerWorld{
		clock: timer.NewManual(), random: rand.New(rand.NewPCG(seed, 1)), model: leader.NewModel(leader.DefaultTiming()),
		route:  deployment.Route{Name: "stock", Host: "stock.example", Prefix: "/", Attempts: 2, Kind: deployment.Lookup, Objective: 1500 * time.Millisecond, Timeout: 3 * time.Second, Split: []deployment.WeightedService{{Service: ownerServiceName, Weight: 1}}},
		owners: make(map[string]*ownerTarget),
	}
	w.clock.Advance(time.Second)
	w.commit(deployment.Command{ConfigChange: &deployment.ConfigChange{Version: 1, Whole: true, Services: []deployment.Service{{Name: ownerServiceName, Keyed: true}}, Routes: []deployment.Route{w.route}}})
	w.model.Update(leader.LeadershipTaken{At: w.clock.Now(), Index: w.index})
	for range ownerEntries {
		w.entries = append(w.entries, &Server{targets: newTargetStates(w.clock), keys: newKeyCounts()})
	}
	for n := range ownerTargets {
		t := &ownerTarget{Target: testTarget(n, "a"), speed: []float64{0.6, 1, 1.6}[n%3]}
		t.Service, t.Address, t.Sequence = ownerServiceName, t.ID, 1
		w.owners[t.ID], w.order = t, append(w.order, t)
		w.commit(deployment.Command{Announce: &t.Target})
	}
	return w
}

func (w *ownerWorld) commit(c deployment.Command) {
	w.index++
	w.state, _ = w.state.Apply(w.index, wire.Encode(c))
}

// room returns the requests a second that all targets can serve.
func (w *ownerWorld) room() float64 {
	room := 0.0
	for _, t := range w.order {
		room += float64(t.Slots) * t.speed / ownerWork.Seconds()
	}
	return room
}

// lead runs the effects of the leader. Calls succeed at once.
func (w *ownerWorld) lead(effects []leader.Effect) {
	now := w.clock.Now()
	update := func(e leader.Event) {
		_, more := w.model.Update(e)
		w.lead(more)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case leader.SendGrant:
			update(leader.GrantEnded{At: now, Range: e.Range, Sent: true})
		case leader.SendRelease:
			update(leader.ReleaseEnded{At: now, Range: e.Range, Handover: "warm"})
		case leader.Advise:
			for _, s := range w.entries {
				advice := e.Advice
				s.advice.Store(&advice)
				s.targets.setFailureShares(advice.Failing)
			}
		case leader.Propose:
			w.commit(e.Command)
			update(leader.ProposeEnded{})
			update(leader.Ticked{At: now, State: w.state})
		}
	}
}

// run plays the demand, as a multiple of what all targets can serve.
func (w *ownerWorld) run(demand float64, d time.Duration) {
	perStep := demand * w.room() * ownerStep.Seconds()
	due := 0.0
	for end := w.clock.Now().Add(d); w.clock.Now() < end; w.clock.Advance(ownerStep) {
		w.steps++
		now := w.clock.Now()
		for len(w.seconds) <= int(now.Sub(0)/time.Second) {
			w.seconds = append(w.seconds, ownerSecond{})
		}
		w.control()
		for due += perStep; due >= 1; due-- {
			key := deployment.Key(math.Pow(w.random.Float64(), 1/(1-0.3)) * float64(deployment.MaxKey))
			w.second(now).owed++
			w.send(ownerRequest{key: key, firstAt: now, work: time.Duration(math.Exp(w.random.NormFloat64()*workSpread-workSpread*workSpread/2) * float64(ownerWork))})
		}
		w.returns = w.due(w.returns, func(r ownerRequest) { w.send(r) })
		w.hung = w.due(w.hung, func(r ownerRequest) {
			r.entry.targets.requestEnded(r.target.Target, attemptResult{sentAt: r.sentAt, took: w.route.Timeout, failed: true})
			if !r.retried {
				r.retried = true
				w.send(r)
			}
		})
		for _, t := range w.order {
			w.work(t)
		}
	}
}

func (w *ownerWorld) second(at timer.Instant) *ownerSecond {
	return &w.seconds[int(at.Sub(0)/time.Second)]
}

// due removes the requests that are due and calls f for each of them.
func (w *ownerWorld) due(list []ownerRequest, f func(ownerRequest)) []ownerRequest {
	var due []ownerRequest
	list = slices.DeleteFunc(list, func(r ownerRequest) bool {
		if r.at <= w.clock.Now() {
			due = append(due, r)
		}
		return r.at <= w.clock.Now()
	})
	for _, r := range due {
		f(r)
	}
	return list
}

// control lets the leader hear from targets and entries.
func (w *ownerWorld) control() {
	now := w.clock.Now()
	for i, t := range w.order {
		if i%85 == w.steps%85 {
			_, effects := w.model.Update(leader.HeartbeatReceived{At: now, Incarnation: deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis}})
			w.lead(effects)
		}
	}
	for i, s := range w.entries {
		if i%25 == w.steps%25 {
			r := instance.ReportRequest{Instance: fmt.Sprint(i), Interval: 250 * time.Millisecond, Keys: s.keys.take(),
				Targets: s.targets.report(func(string) (deployment.Target, bool) { return deployment.Target{}, true })}
			_, effects := w.model.Update(leader.Reported{At: now, Report: r})
			w.lead(effects)
		}
	}
	if w.steps%5 == 0 {
		_, effects := w.model.Update(leader.Ticked{At: now, State: w.state})
		w.lead(effects)
	}
}

// send sends a request from one of the entries, or rejects it.
func (w *ownerWorld) send(r ownerRequest) {
	now := w.clock.Now()
	s := w.entries[w.random.IntN(len(w.entries))]
	s.keys.add(ownerServiceName, r.key)
	table, ok := w.state.Table(ownerServiceName)
	rg := table.Find(r.key)
	t := w.owners[rg.Target]
	r.target = t
	if !ok || rg.Phase != deployment.Owned {
		w.reject(r, defaultRetryAfter)
		return
	}
	if retryAfter, err := s.checkOwner(w.call(r.key), t.Target, rg); err != nil {
		w.reject(r, retryAfter)
		return
	}
	r.entry, r.target, r.sentAt = s, t, s.targets.requestSent(t.Target)
	switch {
	case len(t.running) < t.Slots:
		w.start(t, r)
	case len(t.waiting) < ownerQueue:
		t.waiting = append(t.waiting, r)
	default:
		r.at = now.Add(w.route.Timeout)
		w.hung = append(w.hung, r)
	}
}

func (w *ownerWorld) call(key deployment.Key) *call {
	service := deployment.Service{Name: ownerServiceName, Keyed: true}
	return &call{request: &request{}, route: &w.route, service: service, key: key, deadline: time.Now().Add(time.Hour)}
}

// reject rejects a request, whose caller returns once.
func (w *ownerWorld) reject(r ownerRequest, retryAfter time.Duration) {
	now := w.clock.Now()
	retryAfter += time.Duration(w.random.Float64() * 0.5 * float64(retryAfter))
	if r.retried {
		return
	}
	r.retried, r.at = true, now.Add(min(retryAfter, (callerDeadline-now.Sub(r.firstAt))/3))
	w.returns = append(w.returns, r)
}

func (w *ownerWorld) start(t *ownerTarget, r ownerRequest) {
	r.at = w.clock.Now().Add(time.Duration(float64(r.work) / t.speed))
	t.running = append(t.running, r)
}

// work ends the requests that are due at a target, and begins others.
func (w *ownerWorld) work(t *ownerTarget) {
	now := w.clock.Now()
	t.running = w.due(t.running, func(r ownerRequest) {
		load := Load{Running: len(t.running) - 1, Waiting: len(t.waiting), Slots: t.Slots, Slowdown: 1}
		r.entry.targets.requestEnded(t.Target, attemptResult{sentAt: r.sentAt, took: now.Sub(r.sentAt), ran: true, success: true, answered: true, loadKnown: true, load: load})
		switch took := now.Sub(r.firstAt); {
		case took <= w.route.Objective:
			w.second(r.firstAt).inTime++
		case took <= callerDeadline:
			w.second(r.firstAt).late++
		}
	})
	for len(t.running) < t.Slots && len(t.waiting) > 0 {
		r := t.waiting[0]
		t.waiting = t.waiting[1:]
		if now.Sub(r.sentAt) < w.route.Timeout {
			w.start(t, r)
		}
	}
}

// between returns the sum over the seconds from, included, to to.
func (w *ownerWorld) between(from, to int) (sum ownerSecond) {
	for _, s := range w.seconds[from:to] {
		sum = sum.with(s)
	}
	return sum
}

// ownerWorlds is the number of random worlds that TestOwnersInShortage sums up: what one of them
// earns before and after a shortage differs by about as much as it changes by chance.
const ownerWorlds = 16

// Guards against owners of keys whose queues fill up in a shortage and make almost all answers late, also after it.
func TestOwnersInShortage(t *testing.T) {
	const demand = 1.6
	var before, shortage, after ownerSecond
	for seed := range ownerWorlds {
		w := newOwnerWorld(uint64(seed + 1))
		w.run(0, 4*time.Second)
		w.run(0.55, 10*time.Second)
		w.run(demand, 14*time.Second)
		w.run(0.55, 8*time.Second)
		before, shortage, after = before.with(w.between(9, 14)), shortage.with(w.between(18, 28)), after.with(w.between(31, 34))
	}
	t.Logf("earned %.3f before, %.3f in the shortage (%d in time, %d late), %.3f after", before.earned(), shortage.earned(), shortage.inTime, shortage.late, after.earned())
	t.Run("most answers come within the objective", func(t *testing.T) {
		assert.Assert(t, shortage.inTime > shortage.late, "%d in time, %d late", shortage.inTime, shortage.late)
	})
	t.Run("the class is served as before once the last requests of the shortage have timed out", func(t *testing.T) {
		assert.Assert(t, after.earned() >= before.earned(), "earned %.3f, %.3f before", after.earned(), before.earned())
	})
}
