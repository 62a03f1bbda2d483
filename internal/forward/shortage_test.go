package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// shortage plays requests of many entries to targets that have too few slots for them.
type shortage struct {
	clock   *timer.Manual
	random  *rand.Rand
	entries []*targetStates
	targets []deployment.Target
	route   deployment.Route
	running map[string][]sentRequest
	waiting map[string][]sentRequest
	earned  float64 // an answer in time counts 1, a late one a half
	owed    int
	inTime  int
	late    int
}

// sentRequest is a request at a target.
type sentRequest struct {
	entry          *targetStates
	sentAt, endsAt timer.Instant
	work           time.Duration
}

const (
	shortageEntries, shortageTargets = 185, 205
	shortageQueue                    = 12 // requests that wait at a target; further ones get no answer
	shortageStep                     = 5 * time.Millisecond
	meanWork                         = 510 * time.Millisecond
	workSpread                       = 0.8
)

func newShortage(seed uint64) *shortage {
	s := &shortage{
		clock: timer.NewManual(), random: rand.New(rand.NewPCG(seed, 1)),
		route:   deployment.Route{Kind: deployment.Booking, Objective: 2 * time.Second, Timeout: 4 * time.Second},
		running: make(map[string][]sentRequest), waiting: make(map[string][]sentRequest),
	}
	for range shortageEntries {
		s.entries = append(s.entries, newTargetStates(s.clock))
	}
	for n := range shortageTargets {
		target := testTarget(n, "a")
		target.Service = "ledger"
		s.targets = append(s.targets, target)
	}
	return s
}

// run plays the demand, as a multiple of what all slots can serve.
func (s *shortage) run(demand float64, d time.Duration) {
	perStep := demand * float64(3*shortageTargets) / meanWork.Seconds() * shortageStep.Seconds()
	due := 0.0
	for end := s.clock.Now().Add(d); s.clock.Now() < end; s.clock.Advance(shortageStep) {
		for due += perStep; due >= 1; due-- {
			s.send()
		}
		for _, t := range s.targets {
			s.work(t)
		}
	}
}

// send sends a request from one of the entries, or rejects it.
func (s *shortage) send() {
	s.owed++
	e := s.entries[s.random.IntN(len(s.entries))]
	t, ok := e.choose(choice{candidates: s.targets, zone: "a", route: &s.route, sampled: true})
	if !ok {
		return
	}
	if expected, _ := e.expected(t); expected > maxExpected(s.route, e.short(t.Service), false) {
		return
	}
	r := sentRequest{entry: e, sentAt: e.requestSent(t), work: time.Duration(math.Exp(s.random.NormFloat64()*workSpread-workSpread*workSpread/2) * float64(meanWork))}
	switch {
	case len(s.running[t.ID]) < t.Slots:
		s.start(t, r)
	case len(s.waiting[t.ID]) < shortageQueue:
		s.waiting[t.ID] = append(s.waiting[t.ID], r)
	}
}

func (s *shortage) start(t deployment.Target, r sentRequest) {
	r.endsAt = s.clock.Now().Add(r.work)
	s.running[t.ID] = append(s.running[t.ID], r)
}

// work ends the requests that are due at a target, and begins others.
func (s *shortage) work(t deployment.Target) {
	now := s.clock.Now()
	s.running[t.ID] = slices.DeleteFunc(s.running[t.ID], func(r sentRequest) bool {
		if r.endsAt > now {
			return false
		}
		took := now.Sub(r.sentAt)
		load := Load{Running: len(s.running[t.ID]), Waiting: len(s.waiting[t.ID]), Slots: t.Slots, Slowdown: 1}
		r.entry.requestEnded(t, attemptResult{sentAt: r.sentAt, took: took, ran: true, success: true, answered: true, loadKnown: true, load: load})
		switch {
		case took <= s.route.Objective:
			s.inTime++
			s.earned++
		case took <= s.route.Timeout:
			s.late++
			s.earned += 0.5
		}
		return true
	})
	for len(s.running[t.ID]) < t.Slots && len(s.waiting[t.ID]) > 0 {
		r := s.waiting[t.ID][0]
		s.waiting[t.ID] = s.waiting[t.ID][1:]
		if now.Sub(r.sentAt) < s.route.Timeout {
			s.start(t, r)
		}
	}
}

// Guards against a class that earns far less than its room because work is taken in that can't end in time.
func TestClassKeepsItsShareInShortage(t *testing.T) {
	const demand = 1.6
	s := newShortage(1)
	s.run(0.5, 5*time.Second)
	s.earned, s.owed, s.inTime, s.late = 0, 0, 0, 0
	s.run(demand, 12*time.Second)
	share := s.earned / float64(s.owed)
	t.Logf("worth %.3f of the demand, room %.3f; %d in time, %d late, of %d", share, 1/demand, s.inTime, s.late, s.owed)
	assert.Assert(t, share >= 0.8/demand, "worth %.3f of the demand, room for %.3f", share, 1/demand)
	assert.Assert(t, s.inTime > 4*s.late, "%d in time, %d late", s.inTime, s.late)
}
