package leader

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/overflow"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

const (
	readings     = "readings"
	readingWork  = 220 * time.Millisecond
	readingRound = 250 * time.Millisecond
	readingBytes = 5500
	// targetRate is what one target of three slots serves in a second.
	targetRate = 3 / 0.22
	// zoneTargets targets of a zone serve 245 requests a second.
	zoneTargets = 18
)

// zonesSim is a leader of a service without keys in the zones a, b and c, with an entry and
// zoneTargets targets in each.
type zonesSim struct {
	*sim
	demand map[string]float64 // requests a second, by zone
	silent map[string]bool    // zones whose targets and entry are lost

	slowdown float32 // of all targets
}

func newLeavingSim(t *testing.T, coordinated bool) *zonesSim {
	s := &zonesSim{sim: newSim(t), demand: make(map[string]float64), silent: make(map[string]bool)}
	s.model.WithZoneCosts(overflow.Costs{Delay: 3 * time.Millisecond, LatePerMegabyte: 20})
	services := []deployment.Service{{Name: testService, Keyed: true}, {Name: readings}}
	if coordinated {
		services[1].ColdRate = testColdRate
	}
	s.commit(deployment.Command{ConfigChange: &deployment.ConfigChange{
		Digest: "zones", Version: 2, Base: 1, Services: services,
		Routes: []deployment.Route{readingsRoute("slow", time.Second), readingsRoute("fast", 500*time.Millisecond)},
	}})
	for n := range 3 * zoneTargets {
		s.announceIn(n, 0, 1)
	}
	return s
}

func readingsRoute(name string, objective time.Duration) deployment.Route {
	return deployment.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: deployment.Lookup, Objective: objective, Timeout: 2 * time.Second, Attempts: 1,
		Split: []deployment.WeightedService{{Service: readings, Weight: 1}},
	}
}

func zoneOf(n int) string { return string("abc"[n/zoneTargets]) }

func (s *zonesSim) announceIn(n int, warmUp int64, sequence uint64) {
	s.announce(n, func(t *deployment.Target) {
		t.Service, t.AvailabilityZone, t.WarmUpMillis, t.Sequence = readings, zoneOf(n), warmUp, sequence
	})
}

func (s *zonesSim) setDemand(a, b, c float64) {
	s.demand["a"], s.demand["b"], s.demand["c"] = a, b, c
}

// round reports the demand and the service times of a quarter of a second.
func (s *zonesSim) round() {
	for i, zone := range []string{"a", "b", "c"} {
		if s.silent[zone] {
			continue
		}
		r := instance.ReportRequest{Instance: "entry-" + zone, Zone: zone, Interval: readingRound}
		n := uint32(math.Round(s.demand[zone] * readingRound.Seconds()))
		if n > 0 {
			r.Demand = []instance.ServiceDemand{{Service: readings, Requests: n, Sent: n, Bytes: uint64(n) * readingBytes, Slowdown: s.slowdown * float32(n)}}
		}
		for k := range zoneTargets {
			target := i*zoneTargets + k
			s.heartbeat(target)
			r.Targets = append(r.Targets, instance.TargetLoad{ID: incarnation(target).ID, Successes: 2, ServiceTime: 2 * readingWork})
		}
		s.send(Reported{At: s.now, Report: r})
	}
	s.tick(readingRound)
}

func (s *zonesSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.round()
	}
}

// leaving returns the share of a zone's demand that is advised to leave.
func (s *zonesSim) leaving(zone string) float64 {
	total := 0.0
	for _, share := range s.zoneShares[zone][readings] {
		total += float64(share)
	}
	return total
}

// loads returns the requests a second that reach each zone by the shares.
func (s *zonesSim) loads() map[string]float64 {
	out := make(map[string]float64)
	for zone, demand := range s.demand {
		if s.silent[zone] {
			continue
		}
		out[zone] += demand * (1 - s.leaving(zone))
		for to, share := range s.zoneShares[zone][readings] {
			out[to] += demand * float64(share)
		}
	}
	return out
}

func (s *zonesSim) assertStays() {
	s.t.Helper()
	assert.Assert(s.t, s.advice.ZoneSharesKnown)
	assert.Equal(s.t, len(s.zoneShares), 0, "%v", s.zoneShares)
}

// TestLeavingZone guards against demand that stays where it can't be served, and against
// requests that cross zones for nothing.
func TestLeavingZone(t *testing.T) {
	const room = zoneTargets * targetRate
	t.Run("nothing leaves while each zone has room", func(t *testing.T) {
		s := newLeavingSim(t, true)
		s.setDemand(120, 160, 60)
		s.run(10 * time.Second)
		s.assertStays()
	})
	t.Run("a zone with a third of its room", func(t *testing.T) {
		s := newLeavingSim(t, true)
		for n := range zoneTargets * 2 / 3 {
			s.announce(n, func(t *deployment.Target) {
				t.Service, t.AvailabilityZone, t.Sequence, t.Status = readings, "a", 2, deployment.Draining
			})
		}
		s.setDemand(140, 140, 140)
		s.run(10 * time.Second)
		u := s.loads()
		assert.Assert(t, u["a"] < room/3 && u["a"] > 0.7*room/3, "%v of %v", u["a"], room/3)
		assert.Assert(t, u["b"] < 0.85*room && u["c"] < 0.85*room, "%v", u)
		assert.Equal(t, s.leaving("b")+s.leaving("c"), 0.0)
	})
	t.Run("targets that take twice as long at the moment", func(t *testing.T) {
		s := newLeavingSim(t, true)
		s.slowdown = 1
		s.setDemand(140, 60, 60)
		s.run(10 * time.Second)
		assert.Assert(t, s.loads()["a"] < room/2, "%v of %v", s.loads()["a"], room/2)
	})
	t.Run("a zone whose targets fail half of their requests", func(t *testing.T) {
		s := newLeavingSim(t, true)
		s.setDemand(200, 100, 100)
		for range 40 {
			var failures []instance.TargetLoad
			for n := range zoneTargets {
				failures = append(failures, instance.TargetLoad{ID: incarnation(n).ID, Failures: 2})
			}
			s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: "entry-a", Zone: "a", Interval: readingRound, Targets: failures}})
			s.round()
		}
		assert.Assert(t, s.loads()["a"] < room/2, "%v of %v", s.loads()["a"], room/2)
	})
	t.Run("a zone that is lost and comes back cold", func(t *testing.T) {
		s := newLeavingSim(t, true)
		s.setDemand(60, 300, 140)
		s.run(10 * time.Second)
		assert.Assert(t, s.zoneShares["b"][readings]["a"] > 0)
		s.silent["a"] = true
		s.run(DefaultTiming().HeartbeatTimeout + 2*readingRound)
		assert.Equal(t, s.zoneShares["b"][readings]["a"], float32(0), "a lost zone is advised: %v", s.zoneShares)
		s.silent["a"] = false
		s.setDemand(140, 140, 60)
		for n := range zoneTargets {
			s.announceIn(n, 6000, 2)
		}
		s.run(10 * time.Second)
		assert.Assert(t, s.loads()["a"] <= zoneTargets*testColdRate, "%v at cold targets", s.loads())
		for n := range zoneTargets {
			s.announceIn(n, 0, 3)
		}
		s.run(10 * time.Second)
		s.assertStays()
	})
	t.Run("an evacuated zone", func(t *testing.T) {
		s := newLeavingSim(t, true)
		s.setDemand(60, 300, 140)
		s.run(10 * time.Second)
		assert.Assert(t, s.zoneShares["b"][readings]["a"] > 0)
		s.evacuate("a")
		s.run(readingRound)
		assert.Assert(t, s.leaving("a") > 0.999, "%v", s.zoneShares)
		assert.Assert(t, s.loads()["a"] < 0.1, "%v", s.loads())
		s.setDemand(140, 140, 60)
		s.withdraw("a")
		s.run(10 * time.Second)
		s.assertStays()
	})
	t.Run("a new leader", func(t *testing.T) {
		s := newLeavingSim(t, true)
		s.setDemand(400, 100, 100)
		s.run(10 * time.Second)
		before := s.loads()["a"]
		assert.Assert(t, before < room, "%v", before)
		s.startTerm()
		s.run(entryCountDelay)
		assert.Assert(t, !s.advice.ZoneSharesKnown && len(s.zoneShares) == 0)
		s.run(readingRound)
		assert.Assert(t, s.advice.ZoneSharesKnown)
		for to, share := range s.zoneShares["a"][readings] {
			assert.Assert(t, share <= 0.101, "%s: %v", to, share)
		}
		s.run(4 * time.Second)
		assert.Assert(t, math.Abs(s.loads()["a"]-before) < 0.1*room, "%v, before %v", s.loads()["a"], before)
	})
	t.Run("not coordinated", func(t *testing.T) {
		s := newLeavingSim(t, false)
		s.setDemand(400, 100, 100)
		s.run(10 * time.Second)
		assert.Assert(t, !s.advice.ZoneSharesKnown && len(s.zoneShares) == 0)
	})
	t.Run("a service with keys", func(t *testing.T) {
		s := newLeavingSim(t, true)
		for range 40 {
			s.send(Reported{At: s.now, Report: instance.ReportRequest{Instance: "e", Zone: "a", Interval: readingRound,
				Demand: []instance.ServiceDemand{{Service: testService, Requests: 200}}}})
			s.round()
		}
		s.assertStays()
	})
}

// TestLeavingFollowsWave guards against shares that lag behind demand: a wave of 55% moves
// through three zones every 13 s.
func TestLeavingFollowsWave(t *testing.T) {
	const period, mean, room = 13 * time.Second, 0.75, zoneTargets * targetRate
	s := newLeavingSim(t, true)
	demand := func(phase float64) float64 {
		return mean * room * (1 + 0.55*math.Sin(2*math.Pi*(s.now.Sub(0).Seconds()/period.Seconds()+phase)))
	}
	over, alone, rounds, turns, last, rising := 0.0, 0.0, 0, 0, 0.0, false
	for s.now.Sub(0) < 4*period {
		s.setDemand(demand(0), demand(1.0/3), demand(2.0/3))
		s.round()
		if s.now.Sub(0) < period {
			continue
		}
		rounds++
		for zone, load := range s.loads() {
			over += max(0, load/room-1)
			alone += max(0, s.demand[zone]/room-1)
		}
		if leaving := s.leaving("a"); math.Abs(leaving-last) > 0.01 {
			if up := leaving > last; up != rising {
				rising, turns = up, turns+1
			}
			last = leaving
		}
	}
	over, alone = over/float64(3*rounds), alone/float64(3*rounds)
	t.Logf("mean overload %.3f of a zone's room, %.3f if nothing leaves; %d turns", over, alone, turns)
	assert.Assert(t, over < 0.03, "mean overload %.3f of a zone's room", over)
	assert.Assert(t, turns <= 3*2+1, "%d turns in three waves", turns)
}

// TestZoneSharesOfEntries guards against advice that grows with the number of zones.
func TestZoneSharesOfEntries(t *testing.T) {
	a := Advise{ZoneShares: map[string]instance.ZoneShares{"a": {readings: {"b": 0.2}}, "b": {readings: {"c": 0.1}}}}
	var l Leader
	l.advice.Store(&a)
	for zone, want := range map[string]string{"a": "b", "b": "c"} {
		shares := a.sharesFor([]instance.ReportRequest{{Zone: zone}, {Zone: "d"}})
		assert.Equal(t, len(shares), 1)
		assert.Assert(t, shares[zone][readings][want] > 0)
	}
	empty, without := len(wire.Encode(instance.ReportResponse{})), len(wire.Encode(instance.ReportResponse{ZoneSharesKnown: true}))
	assert.Assert(t, without-empty <= 20, "%d bytes", without-empty)
}
