package forward

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// limitedEntry is an entry in limitSim.
type limitedEntry struct {
	limit     sharedLimit
	perSecond float64 // requests for the target
	silent    bool    // gets no advice
}

// limitSim plays entries that share the rate limit of one target. Advice follows the
// load of the last second, and reaches entries late.
type limitSim struct {
	random   *rand.Rand
	now      timer.Instant
	named    float64
	entries  []*limitedEntry
	requests []timer.Instant // of all entries, before the limit
	arrivals []timer.Instant // at the target
}

const (
	simStep        = 10 * time.Millisecond
	simAdviceEvery = 750 * time.Millisecond
)

func newLimitSim(named float64, rates ...float64) *limitSim {
	s := &limitSim{random: rand.New(rand.NewPCG(1, 2)), now: timer.Instant(time.Minute), named: named}
	for _, perSecond := range rates {
		s.entries = append(s.entries, &limitedEntry{perSecond: perSecond})
	}
	return s
}

func (s *limitSim) rate() float64 {
	total := 0.0
	for _, e := range s.entries {
		total += e.perSecond
	}
	return total
}

// advise tells the entries their parts and the share to admit, from the requests of the
// last second.
func (s *limitSim) advise() {
	since := s.now.Add(-time.Second)
	recent := 0
	for _, at := range s.requests {
		if at >= since {
			recent++
		}
	}
	advice := instance.TargetLimit{Target: "t0", PerSecond: s.named, Admit: min(1, s.named/max(float64(recent), 0.01))}
	for _, e := range s.entries {
		if !e.silent {
			e.limit = e.limit.WithAdvice(advice, e.perSecond/s.rate(), s.now)
		}
	}
}

func (s *limitSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(simStep) {
		if time.Duration(s.now)%simAdviceEvery == 0 {
			s.advise()
		}
		for _, e := range s.entries {
			if s.random.Float64() >= e.perSecond*simStep.Seconds() {
				continue
			}
			s.requests = append(s.requests, s.now)
			var ok bool
			if e.limit, ok = e.limit.WithRequest(s.now, s.random.Float64()); ok {
				s.arrivals = append(s.arrivals, s.now)
				e.limit = e.limit.WithNamed(s.named, s.now)
			}
		}
	}
}

// busiest returns the most arrivals within four seconds since the instant.
func (s *limitSim) busiest(since timer.Instant) int {
	i, _ := slices.BinarySearch(s.arrivals, since)
	list, most, from := s.arrivals[i:], 0, 0
	for i, at := range list {
		for at.Sub(list[from]) > 4*time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// assertHeld runs for a while, and checks the platform's rule: at most one and a half
// times the limit, and 5 requests.
func (s *limitSim) assertHeld(t *testing.T) {
	t.Helper()
	since := s.now
	s.run(20 * time.Second)
	most := int(1.5*4*s.named) + 5
	assert.Assert(t, s.busiest(since) <= most, "%d requests in 4s, allowed %d", s.busiest(since), most)
}

func equalRates(n int, total float64) []float64 {
	return slices.Repeat([]float64{total / float64(n)}, n)
}

func TestEntriesShareRateLimit(t *testing.T) {
	t.Run("three times the limit from 9 unequal entries", func(t *testing.T) {
		s := newLimitSim(10, 12, 6, 3, 3, 2, 1, 1, 1, 1)
		s.run(3 * time.Second)
		s.assertHeld(t)
	})
	t.Run("three times the limit from 68 entries", func(t *testing.T) {
		s := newLimitSim(10, equalRates(68, 30)...)
		s.run(3 * time.Second)
		s.assertHeld(t)
	})
	t.Run("little is rejected below the limit", func(t *testing.T) {
		for _, n := range []int{9, 68} {
			s := newLimitSim(10, equalRates(n, 6)...)
			s.run(60 * time.Second)
			share := float64(len(s.arrivals)) / float64(len(s.requests))
			assert.Assert(t, share > 0.9, "%d entries: %.2f admitted", n, share)
		}
	})
	t.Run("sudden growth", func(t *testing.T) {
		s := newLimitSim(10, equalRates(9, 8)...)
		s.run(10 * time.Second)
		for _, e := range s.entries {
			e.perSecond *= 4
		}
		s.assertHeld(t)
	})
	t.Run("entries that lose control", func(t *testing.T) {
		s := newLimitSim(10, equalRates(9, 30)...)
		s.run(5 * time.Second)
		for _, e := range s.entries[:5] {
			e.silent = true
		}
		s.assertHeld(t)
	})
	t.Run("entries that start again", func(t *testing.T) {
		s := newLimitSim(10, equalRates(9, 30)...)
		s.run(5 * time.Second)
		since := s.now
		for i := range s.entries {
			s.entries[i].limit = sharedLimit{part: 1.0 / defaultEntryCount}
			s.run(time.Second)
		}
		assert.Assert(t, s.busiest(since) <= 65)
	})
	t.Run("a limit that changes", func(t *testing.T) {
		s := newLimitSim(20, equalRates(9, 40)...)
		s.run(5 * time.Second)
		s.named = 5
		s.run(3 * time.Second)
		s.assertHeld(t)
	})
}

func TestSharedLimit(t *testing.T) {
	now := timer.Instant(time.Minute)
	t.Run("there is none until an answer names it", func(t *testing.T) {
		_, ok := sharedLimit{}.WithNamed(0, now).WithRequest(now, 0.99)
		assert.Assert(t, ok)
	})
	t.Run("an answer that names none ends an advised limit", func(t *testing.T) {
		l := sharedLimit{}.WithAdvice(instance.TargetLimit{PerSecond: 1}, 0.1, now)
		assert.Assert(t, l.limited)
		l = l.WithNamed(0, now)
		assert.Assert(t, !l.limited)
		assert.Assert(t, l.heard)
	})
	t.Run("it stays in force without control", func(t *testing.T) {
		l := sharedLimit{part: 0.5}.WithNamed(1, now)
		l, ok := l.WithRequest(now, 0)
		assert.Assert(t, ok)
		later := now.Add(time.Second)
		assert.Assert(t, !l.Allows(later))
		perSecond, limited := l.PerSecond(now.Add(time.Minute))
		assert.Assert(t, limited)
		assert.Equal(t, perSecond, 1.0)
	})
	t.Run("rejected callers are told to return one after another", func(t *testing.T) {
		l := sharedLimit{part: 0.5}.WithNamed(10, now)
		var delays []time.Duration
		for range 3 {
			var d time.Duration
			l, d = l.WithRejection(now)
			delays = append(delays, d.Round(time.Millisecond))
		}
		assert.DeepEqual(t, delays, []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond})
	})
	t.Run("nobody is told to return later than in two seconds", func(t *testing.T) {
		_, d := sharedLimit{part: 0.01}.WithNamed(1, now).WithRejection(now)
		assert.Equal(t, d, maxReturnDelay)
	})
}
