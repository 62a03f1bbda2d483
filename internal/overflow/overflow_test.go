package overflow_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/overflow"
)

var costs = overflow.Costs{Delay: 3 * time.Millisecond, LatePerMegabyte: 20}

// service returns a service whose requests take 220 ms, are to be answered within 500 ms and
// move 5.5 kB.
func service(zones ...overflow.Zone) overflow.Service {
	return overflow.Service{Zones: zones, ServiceTime: 220 * time.Millisecond, Objective: 500 * time.Millisecond, PoolSlots: 24, RequestBytes: 5500}
}

func zone(name string, demand, capacity float64) overflow.Zone {
	return overflow.Zone{Name: name, Demand: demand, Capacity: capacity}
}

// utilizations returns how busy each zone is once the shares apply.
func utilizations(s overflow.Service, shares overflow.Shares) map[string]float64 {
	load := make(map[string]float64)
	for _, z := range s.Zones {
		load[z.Name] += z.Demand * (1 - shares.Leaving(z.Name))
		for to, share := range shares[z.Name] {
			load[to] += z.Demand * share
		}
	}
	out := make(map[string]float64)
	for _, z := range s.Zones {
		out[z.Name] = load[z.Name] / max(z.Capacity, 1e-9)
	}
	return out
}

// settled returns the shares after enough rounds with the same load.
func settled(s overflow.Service, from overflow.Shares) overflow.Shares {
	for range 40 {
		from = overflow.Next(from, s, costs)
	}
	return from
}

func TestBest(t *testing.T) {
	t.Run("nothing leaves while each zone has room", func(t *testing.T) {
		s := service(zone("a", 120, 250), zone("b", 160, 230), zone("c", 60, 230))
		assert.Equal(t, len(settled(s, nil)), 0)
	})
	t.Run("a zone with a third of its room gives away what exceeds it", func(t *testing.T) {
		s := service(zone("a", 140, 80), zone("b", 140, 240), zone("c", 140, 240), zone("d", 140, 240))
		shares := settled(s, nil)
		u := utilizations(s, shares)
		assert.Assert(t, u["a"] < 1 && u["a"] > 0.7, "%v", u)
		for _, z := range []string{"b", "c", "d"} {
			assert.Assert(t, u[z] < 0.85 && shares.Leaving(z) == 0, "%v %v", u, shares)
		}
	})
	t.Run("no zone is driven over its room while another has more", func(t *testing.T) {
		s := service(zone("a", 300, 200), zone("b", 195, 200), zone("c", 50, 200), zone("d", 60, 200))
		u := utilizations(s, settled(s, nil))
		for z, x := range u {
			assert.Assert(t, x < 1, "zone %s: %v", z, u)
		}
	})
	t.Run("two of four zones are full and the others nearly", func(t *testing.T) {
		s := service(zone("a", 260, 200), zone("b", 260, 200), zone("c", 180, 200), zone("d", 180, 200))
		u := utilizations(s, settled(s, nil))
		assert.Assert(t, u["a"] < 1.3 && u["c"] > 0.9, "room is left while others are full: %v", u)
		assert.Assert(t, math.Abs(u["a"]-u["b"]) < 0.05, "one zone is favoured: %v", u)
		assert.Assert(t, u["c"] < 1 && u["d"] < 1, "others drive a zone over its room: %v", u)
	})
	t.Run("a zone without targets gives away everything at once", func(t *testing.T) {
		s := service(zone("a", 140, 0), zone("b", 140, 240), zone("c", 140, 240))
		shares := overflow.Next(nil, s, costs)
		assert.Assert(t, shares.Leaving("a") > 0.999, "%v", shares)
	})
	t.Run("a zone that is lost gets nothing at once", func(t *testing.T) {
		before := overflow.Shares{"a": {"b": 0.5}}
		s := service(zone("a", 300, 200), zone("b", 0, 0), zone("c", 50, 240))
		assert.Equal(t, overflow.Next(before, s, costs)["a"]["b"], 0.0)
	})
	t.Run("an answer of 1 MB needs a larger gain than one of 5 kB", func(t *testing.T) {
		s := service(zone("a", 215, 230), zone("b", 60, 230))
		large := s
		large.RequestBytes = 1e6
		small, big := settled(s, nil).Leaving("a"), settled(large, nil).Leaving("a")
		assert.Assert(t, big < small && small > 0, "large %.2f, small %.2f", big, small)
	})
	t.Run("no target anywhere", func(t *testing.T) {
		assert.Equal(t, len(settled(service(zone("a", 100, 0), zone("b", 100, 0)), nil)), 0)
	})
}

// TestSharesFollowDemand guards against shares that swing when demand does: a wave of 55%
// moves through three zones every 13 s, and each round sees the demand of a second before.
func TestSharesFollowDemand(t *testing.T) {
	const round, period, capacity = 250 * time.Millisecond, 13 * time.Second, 200.0
	demand := func(at time.Duration, phase float64) float64 {
		return 150 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/period.Seconds()+phase)))
	}
	at := func(d time.Duration) overflow.Service {
		return service(zone("a", demand(d, 0), capacity), zone("b", demand(d, 1.0/3), capacity), zone("c", demand(d, 2.0/3), capacity))
	}
	var shares overflow.Shares
	turns, over, rounds := 0, 0.0, 0
	last, rising := 0.0, false
	for now := period; now < 4*period; now += round {
		shares = overflow.Next(shares, at(now-time.Second), costs)
		leaving := shares.Leaving("a")
		if math.Abs(leaving-last) > 0.01 {
			if up := leaving > last; up != rising {
				rising = up
				turns++
			}
			last = leaving
		}
		for _, u := range utilizations(at(now), shares) {
			over += max(0, u-1)
		}
		rounds++
	}
	t.Run("one rise and one fall a wave", func(t *testing.T) { assert.Assert(t, turns <= 3*2+1, "%d turns in three waves", turns) })
	t.Run("overload is short", func(t *testing.T) {
		mean := over / float64(3*rounds)
		assert.Assert(t, mean < 0.03, "mean overload %.3f of a zone's room", mean)
	})
}

func TestChoose(t *testing.T) {
	shares := overflow.Shares{"a": {"b": 0.2, "c": 0.1}}
	for random, want := range map[float64]string{0.05: "b", 0.25: "c", 0.31: "a", 0.99: "a"} {
		assert.Equal(t, shares.Choose("a", random), want)
	}
	assert.Equal(t, shares.Choose("b", 0), "b")
}

// BenchmarkNext measures a round for one service in eleven zones, the number at 2,300 instances.
func BenchmarkNext(b *testing.B) {
	var zones []overflow.Zone
	for n := range 11 {
		zones = append(zones, zone(string(rune('a'+n)), 100+20*float64(n), 210))
	}
	s := service(zones...)
	var shares overflow.Shares
	for b.Loop() {
		shares = overflow.Next(shares, s, costs)
	}
}
