package view

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const applyBound = 2 * time.Second

// heardFor returns a lease of an entry that has heard control instances every 250 ms until now.
func heardFor(l configLease, from, now time.Duration) configLease {
	for at := from; at <= now; at += 250 * time.Millisecond {
		l = l.WithHeard(at, applyBound)
	}
	return l.WithHeard(now, applyBound)
}

func assertValid(t *testing.T, l configLease, now time.Duration, want bool) {
	t.Helper()
	assert.Equal(t, l.Valid(now, applyBound), want, "%+v at %v", l, now)
}

func TestConfigLease(t *testing.T) {
	const start = time.Hour
	l := configLease{}.WithConfig(7).WithConfirmation(confirmation{index: 7, at: start})
	t.Run("ends by the bound after the last confirmation", func(t *testing.T) {
		assertValid(t, heardFor(l, start-10*time.Second, start+applyBound), start+applyBound, true)
		assertValid(t, heardFor(l, start-10*time.Second, start+applyBound+1), start+applyBound+1, false)
	})
	t.Run("is not renewed by a newer configuration that has not arrived", func(t *testing.T) {
		late := l.WithConfirmation(confirmation{index: 8, at: start + time.Second})
		now := start + applyBound + time.Millisecond
		assertValid(t, heardFor(late, start-10*time.Second, now), now, false)
		assertValid(t, heardFor(late.WithConfig(8), start-10*time.Second, now), now, true)
		assertValid(t, heardFor(late.WithConfig(9), start-10*time.Second, now), now, true)
	})
	t.Run("is not renewed by a control instance that does not know", func(t *testing.T) {
		now := start + applyBound + time.Millisecond
		assertValid(t, heardFor(l.WithConfirmation(confirmation{at: now}), start-10*time.Second, now), now, false)
	})
	t.Run("does not end while no control instance with a leader is heard", func(t *testing.T) {
		assertValid(t, heardFor(l, start-10*time.Second, start), start+time.Minute, true)
	})
	t.Run("leaves time for a confirmation after a break", func(t *testing.T) {
		back := start + time.Minute
		assertValid(t, heardFor(heardFor(l, start-10*time.Second, start), back, back+applyBound), back+applyBound, true)
		assertValid(t, heardFor(heardFor(l, start-10*time.Second, start), back, back+applyBound+time.Millisecond), back+applyBound+time.Millisecond, false)
	})
}

// Guards against an entry in touch that serves by a configuration which was replaced longer ago than the bound.
func TestConfigBindsWithinBound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
		// Changes are acknowledged at random. The entry receives views and answers to its
		// reports over a full link: late, and some never.
		type event struct {
			at time.Duration
			do func(l configLease) configLease
		}
		const start, end = time.Hour, time.Hour + 40*time.Second
		var events []event
		acked := []time.Duration{0}
		newestAt := func(at time.Duration) uint64 {
			index := uint64(0)
			for i, a := range acked {
				if a <= at {
					index = uint64(i + 1)
				}
			}
			return index
		}
		for at := start + upTo(3*time.Second); at < end; at += 50*time.Millisecond + upTo(4*time.Second) {
			acked = append(acked, at)
		}
		for i, at := range acked {
			index, arrival := uint64(i+1), max(at, start)+upTo(6*time.Second)
			events = append(events, event{arrival, func(l configLease) configLease { return l.WithConfig(max(l.index, index)) }})
		}
		for sent := start; sent < end; sent += 250 * time.Millisecond {
			if random.IntN(3) == 0 {
				continue
			}
			made := sent + upTo(500*time.Millisecond)
			c := confirmation{index: newestAt(made), at: sent}
			if random.IntN(20) == 0 {
				c.index = 0
			}
			events = append(events, event{made + upTo(1500*time.Millisecond), func(l configLease) configLease { return l.WithConfirmation(c) }})
		}
		for sent := start; sent < end; sent += 250 * time.Millisecond {
			at := sent + upTo(500*time.Millisecond)
			events = append(events, event{at, func(l configLease) configLease { return l.WithHeard(max(at, l.heardAt), applyBound) }})
		}
		l, served := configLease{}.WithConfig(1), 0
		for now := start; now < end; now += 10 * time.Millisecond {
			for _, e := range events {
				if e.at > now-10*time.Millisecond && e.at <= now {
					l = e.do(l)
				}
			}
			if now < start+5*time.Second || !l.Valid(now, applyBound) {
				continue // it is not in touch yet, or rejects requests
			}
			served++
			assert.Assert(t, l.index >= newestAt(now-applyBound), fmt.Sprintf("seed %d at %v: serves by %d, %d bound", seed, now-start, l.index, newestAt(now-applyBound)))
		}
		assert.Assert(t, served > 0)
	}
}
