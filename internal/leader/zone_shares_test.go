package leader

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/overflow"
)

const (
	readings     = "readings"
	readingWork  = 220 * time.Millisecond
	readingRound = 250 * time.Millisecond
	zoneTargets  = 18
	zoneRoom     = zoneTargets * 3 / 0.22 // requests a second
)

// zonesSim is a leader of a service without keys in the zones a, b and c, with an entry and
// zoneTargets targets of three slots in each.
type zonesSim struct {
	*sim
	demand   map[string]float64 // requests a second, by zone
	lost     map[string]bool    // zones whose targets and entry are lost
	slowdown float32            // of all targets
	failures uint32             // of each target of zone a in a round
}

func newZoneSharesSim(t *testing.T, coldRate float64, a, b, c float64) *zonesSim {
	s := &zonesSim{sim: newSim(t), demand: map[string]float64{"a": a, "b": b, "c": c}, lost: make(map[string]bool)}
	s.model.WithZoneCosts(overflow.Costs{Delay: 3 * time.Millisecond, LatePerMegabyte: 20})
	change := deployment.ConfigChange{Digest: "zones", Version: 2, Base: 1,
		Services: []deployment.Service{{Name: testService, Keyed: true}, {Name: readings, ColdRate: coldRate}}}
	for name, objective := range map[string]time.Duration{"slow": time.Second, "fast": 500 * time.Millisecond} {
		change.Routes = append(change.Routes, deployment.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: deployment.Lookup,
			Objective: objective, Timeout: 2 * time.Second, Attempts: 1, Split: []deployment.WeightedService{{Service: readings, Weight: 1}}})
	}
	s.commit(deployment.Command{ConfigChange: &change})
	s.announceZones(3*zoneTargets, 1, nil)
	return s
}

// announceZones announces the first targets, those of zone a before the others.
func (s *zonesSim) announceZones(targets int, sequence uint64, change func(*deployment.Target)) {
	for n := range targets {
		s.announce(n, func(t *deployment.Target) {
			t.Service, t.AvailabilityZone, t.Sequence = readings, string("abc"[n/zoneTargets]), sequence
			if change != nil {
				change(t)
			}
		})
	}
}

// run reports demand and service times each quarter of a second.
func (s *zonesSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.tick(readingRound) {
		for i, zone := range []string{"a", "b", "c"} {
			if s.lost[zone] {
				continue
			}
			n := uint32(math.Round(s.demand[zone] * readingRound.Seconds()))
			r := instance.ReportRequest{Instance: "entry-" + zone, Zone: zone, Interval: readingRound, DispatchersVersion: instance.NoDispatchers,
				Demand: []instance.ServiceDemand{{Service: readings, Requests: n, Sent: n, Bytes: uint64(n) * 5500, Slowdown: s.slowdown * float32(n)},
					{Service: testService, Requests: 500 * uint32(i)}}}
			for k := range zoneTargets {
				s.heartbeat(i*zoneTargets + k)
				load := instance.TargetLoad{ID: incarnation(i*zoneTargets + k).ID, Successes: 2, ServiceTime: 2 * readingWork}
				if zone == "a" {
					load.Failures = s.failures
				}
				r.Targets = append(r.Targets, load)
			}
			s.send(Reported{At: s.now, Report: r})
		}
	}
}

// loads returns the requests a second that reach each zone by the shares.
func (s *zonesSim) loads() map[string]float64 {
	out := make(map[string]float64)
	for zone, demand := range s.demand {
		if s.lost[zone] {
			continue
		}
		out[zone] += demand
		for to, share := range s.zoneShares[zone][readings] {
			out[to] += demand * float64(share)
			out[zone] -= demand * float64(share)
		}
	}
	return out
}

// assertLoad checks that a zone gets at least and at most these requests a second.
func (s *zonesSim) assertLoad(zone string, least, most float64) {
	s.t.Helper()
	load := s.loads()[zone]
	assert.Assert(s.t, s.advice.ZoneSharesKnown && load >= least && load <= most, "zone %s gets %.1f: %v", zone, load, s.zoneShares)
}

// TestZoneShares guards against demand that stays where it can't be served, requests that
// cross zones for nothing, and advice for services with keys.
func TestZoneShares(t *testing.T) {
	cases := []struct {
		name        string
		a, b, c     float64 // demand
		least, most float64 // requests a second that reach zone a
		prepare     func(s *zonesSim)
	}{
		{name: "each zone has room", a: 120, b: 160, c: 60, least: 120, most: 120, prepare: func(*zonesSim) {}},
		{name: "a third of its room", a: 140, b: 140, c: 140, least: 0.7 * zoneRoom / 3, most: zoneRoom / 3, prepare: func(s *zonesSim) {
			s.announceZones(zoneTargets*2/3, 2, func(t *deployment.Target) { t.Status = deployment.Draining })
		}},
		{name: "targets that fail half", a: 200, b: 100, c: 100, most: zoneRoom / 2, prepare: func(s *zonesSim) { s.failures = 2 }},
		{name: "targets that take twice as long", a: 140, b: 60, c: 60, most: zoneRoom / 2, prepare: func(s *zonesSim) { s.slowdown = 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newZoneSharesSim(t, testColdRate, c.a, c.b, c.c)
			c.prepare(s)
			s.run(10 * time.Second)
			s.assertLoad("a", c.least, c.most)
			s.assertLoad("b", c.b, 0.85*zoneRoom)
			s.assertLoad("c", c.c, 0.85*zoneRoom)
			for _, shares := range s.zoneShares {
				assert.Assert(t, len(shares) == 1 && shares[readings] != nil, "%v", shares)
			}
		})
	}
	t.Run("not coordinated", func(t *testing.T) {
		s := newZoneSharesSim(t, 0, 400, 100, 100)
		s.run(10 * time.Second)
		assert.Assert(t, !s.advice.ZoneSharesKnown && len(s.zoneShares) == 0)
	})
}

// TestZoneSharesAfterFaults guards against requests that are advised to go where they can't be
// served, and against shares that stay when they have no use any more.
func TestZoneSharesAfterFaults(t *testing.T) {
	start := func(t *testing.T) *zonesSim {
		s := newZoneSharesSim(t, testColdRate, 60, 300, 140)
		s.run(10 * time.Second)
		s.assertLoad("a", 61, zoneRoom)
		return s
	}
	t.Run("a zone is lost and comes back cold", func(t *testing.T) {
		s := start(t)
		s.lost["a"] = true
		s.run(DefaultTiming().HeartbeatTimeout + 2*readingRound)
		s.assertLoad("a", 0, 0)
		s.lost["a"] = false
		s.demand["a"], s.demand["b"] = 140, 140
		s.announceZones(zoneTargets, 2, func(t *deployment.Target) { t.WarmUpMillis = 6000 })
		s.run(10 * time.Second)
		s.assertLoad("a", 0, zoneTargets*testColdRate)
		s.announceZones(zoneTargets, 3, nil)
		s.run(10 * time.Second)
		s.assertLoad("a", 140, 140)
	})
	t.Run("a zone is evacuated", func(t *testing.T) {
		s := start(t)
		s.evacuate("a")
		s.run(readingRound)
		s.assertLoad("a", 0, 0.1)
		s.withdraw("a")
		s.demand["b"] = 140
		s.run(10 * time.Second)
		s.assertLoad("a", 60, 60)
	})
	t.Run("a new leader", func(t *testing.T) {
		s := start(t)
		before := s.loads()["b"]
		s.startTerm()
		s.run(entryCountDelay)
		assert.Assert(t, !s.advice.ZoneSharesKnown && len(s.zoneShares) == 0, "it has not heard from all entries")
		s.run(readingRound)
		s.assertLoad("b", 300*(1-2*0.101), 300)
		s.run(4 * time.Second)
		s.assertLoad("b", before-0.1*zoneRoom, before+0.1*zoneRoom)
	})
}

// TestZoneSharesFollowWave guards against shares that lag behind demand: a wave of 55% moves
// through three zones every 13 s.
func TestZoneSharesFollowWave(t *testing.T) {
	const period, waves = 13 * time.Second, 3
	s := newZoneSharesSim(t, testColdRate, 0, 0, 0)
	over, rounds, turns, last, rising := 0.0, 0, 0, 0.0, false
	for s.now.Sub(0) < (waves+1)*period {
		for i, zone := range []string{"a", "b", "c"} {
			s.demand[zone] = 0.75 * zoneRoom * (1 + 0.55*math.Sin(2*math.Pi*(s.now.Sub(0).Seconds()/period.Seconds()+float64(i)/3)))
		}
		s.run(readingRound)
		if s.now.Sub(0) < period {
			continue
		}
		rounds++
		for _, load := range s.loads() {
			over += max(0, load/zoneRoom-1)
		}
		if left := s.demand["a"] - s.loads()["a"]; left >= 0 && math.Abs(left-last) > 0.01*zoneRoom {
			if up := left > last; up != rising {
				rising, turns = up, turns+1
			}
			last = left
		}
	}
	mean := over / float64(3*rounds)
	t.Logf("mean overload %.3f of a zone's room, %d turns", mean, turns)
	assert.Assert(t, mean < 0.03, "mean overload %.3f of a zone's room", mean)
	assert.Assert(t, turns <= 2*waves+1, "%d turns in %d waves", turns, waves)
}
