package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// newZonesSim starts a leader with two targets in each of the zones a, b and c: 1 and 2 in a,
// 3 and 4 in b, 5 and 6 in c.
func newZonesSim(t *testing.T) *sim {
	s := newSim(t)
	for n := 1; n <= 6; n++ {
		s.announce(n, inZone(string("abc"[(n-1)/2])))
	}
	s.settle(1, 2, 3, 4, 5, 6)
	assert.Assert(t, s.keysIn("a") > 0 && s.keysIn("b") > 0 && s.keysIn("c") > 0)
	return s
}

func inZone(zone string) func(t *deployment.Target) {
	return func(t *deployment.Target) { t.AvailabilityZone = zone }
}

func (s *sim) evacuate(zones ...string) {
	for _, zone := range zones {
		s.commit(deployment.Command{Evacuate: &deployment.Evacuate{Zone: zone, Base: s.index}})
	}
}

func (s *sim) withdraw(zone string) {
	s.commit(deployment.Command{Evacuate: &deployment.Evacuate{Zone: zone, Withdraw: true, Base: s.index}})
}

// keysIn returns the number of keys that targets of a zone own.
func (s *sim) keysIn(zone string) int {
	n := 0
	for _, r := range s.ranges() {
		if t, ok := s.state.Target(r.Target); ok && t.AvailabilityZone == zone {
			n += r.Width()
		}
	}
	return n
}

func TestEvacuatedZone(t *testing.T) {
	all := []int{1, 2, 3, 4, 5, 6}
	t.Run("gives up its keys within a second, with their data", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a")
		for range 10 {
			s.answer(s.tick(100 * time.Millisecond))
		}
		assert.Equal(t, s.keysIn("a"), 0)
		s.assertOwned()
		moved := 0
		for _, r := range s.ranges() {
			if r.Handover == "warm" {
				moved += r.Width()
			}
		}
		assert.Assert(t, moved > 0)
	})
	t.Run("gets no keys, also not its new targets", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a")
		s.settle(all...)
		s.announce(7, inZone("a"))
		s.announce(4, func(t *deployment.Target) { t.AvailabilityZone, t.Status, t.Sequence = "b", deployment.Draining, 2 })
		s.settle(1, 2, 3, 4, 5, 6, 7)
		assert.Equal(t, s.keysIn("a"), 0)
	})
	t.Run("with another one at once", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a", "b")
		s.settle(all...)
		assert.Equal(t, s.keysIn("c"), int(deployment.MaxKey)+1)
	})
	t.Run("keeps its keys while there is no live target elsewhere", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a", "b", "c")
		before := s.state.Version()
		s.settle(all...)
		assert.Equal(t, s.state.Version(), before)
		s.announce(7, inZone("d"))
		s.settle(1, 2, 3, 4, 5, 6, 7)
		assert.Equal(t, s.keysIn("d"), int(deployment.MaxKey)+1)
	})
	t.Run("is moved by a new leader, after its grace period", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a")
		s.startTerm()
		s.model.adoptState(s.state)
		calls := s.tick(50 * time.Millisecond)
		assert.Equal(t, releases(calls), 0)
		s.answer(calls)
		// Grants by the leader before may still arrive for the length of a lease.
		for s.keysIn("a") > 0 && s.now.Sub(s.model.leadingSince) < DefaultTiming().latestExpiry(0).Sub(0)+time.Second {
			for _, n := range all {
				s.heartbeat(n)
			}
			s.answer(s.tick(50 * time.Millisecond))
		}
		assert.Equal(t, s.keysIn("a"), 0)
	})
	t.Run("whose targets all leave", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a")
		for n := 1; n <= 2; n++ {
			withdrawn := incarnation(n)
			s.commit(deployment.Command{Withdraw: &withdrawn})
		}
		s.settle(all...)
		assert.Equal(t, s.keysIn("a"), 0)
	})
}

func TestWithdrawnZone(t *testing.T) {
	all := []int{1, 2, 3, 4, 5, 6}
	t.Run("gets keys again", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a")
		s.settle(all...)
		s.withdraw("a")
		s.settle(all...)
		assert.Assert(t, s.keysIn("a") > 0)
	})
	t.Run("gets keys again under little load", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a")
		s.settle(all...)
		s.withdraw("a")
		for i := range 40 {
			r := instance.ReportRequest{Instance: "entry"}
			for bucket := 0; bucket <= int(deployment.MaxKey); bucket += 4096 {
				r.Keys = append(r.Keys, instance.KeyLoad{Service: testService, Bucket: deployment.Key(bucket), Count: 1})
			}
			if i%8 == 0 {
				s.send(Reported{At: s.now, Report: r})
			}
			for _, n := range all {
				s.heartbeat(n)
			}
			s.answer(s.tick(250 * time.Millisecond))
		}
		for n := 1; n <= 2; n++ {
			assert.Assert(t, slices.ContainsFunc(s.ranges(), func(r deployment.Range) bool { return r.Target == incarnation(n).ID }), "target %d", n)
		}
	})
	t.Run("while its keys are being released", func(t *testing.T) {
		s := newZonesSim(t)
		s.evacuate("a")
		calls := s.tick(50 * time.Millisecond)
		assert.Assert(t, releases(calls) > 0)
		s.withdraw("a")
		s.answer(calls)
		s.settle(all...)
		assert.Assert(t, s.keysIn("a") > 0)
	})
}

// TestEvacuatedOwnerDoesNotRelease checks that keys go to no other target before the lease of
// an owner that does not release them has ended.
func TestEvacuatedOwnerDoesNotRelease(t *testing.T) {
	for name, fenced := range map[string]bool{"silent": false, "that has seen a higher fence": true} {
		t.Run(name, func(t *testing.T) {
			s := newZonesSim(t)
			if fenced {
				for _, r := range s.ranges() {
					if r.Target == incarnation(1).ID {
						s.model.lookupRangeState(testService, r.From, r.Fence).fenced = true
					}
				}
			}
			s.evacuate("a")
			began, keys := s.now, s.keysIn("a")
			for s.keysIn("a") > 0 && s.now.Sub(began) < 10*time.Second {
				for n := 1; n <= 6; n++ {
					s.heartbeat(n)
				}
				for _, e := range s.tick(50 * time.Millisecond) {
					switch c := e.(type) {
					case SendGrant:
						s.answer([]Effect{c})
					case SendRelease:
						s.send(ReleaseEnded{At: s.now, Range: c.Range, Err: fmt.Errorf("no answer")})
					}
				}
				if lease := DefaultTiming().LeaseDuration - DefaultTiming().RenewalInterval; s.now.Sub(began) < lease-100*time.Millisecond {
					assert.Equal(t, s.keysIn("a"), keys, "after %v", s.now.Sub(began))
				}
			}
			assert.Equal(t, s.keysIn("a"), 0)
		})
	}
}

// TestOneOwnerWithEvacuations plays evacuations and withdrawals at any moment, with grants by
// heartbeat, changes of the leader, and messages that are lost, delayed and repeated.
func TestOneOwnerWithEvacuations(t *testing.T) {
	for seed := range int64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playEvacuations(t, seed) })
	}
}

// awaitAllHeld waits until every key is held, for as long as a range takes that just moves to
// a target without keys: until the next heartbeats of its owner and of its next owner.
func (w *heartbeatWorld) awaitAllHeld() {
	for end := w.now.Add(3 * heartbeatPeriod); w.now < end; w.step() {
		held := true
		for key := 0; held && key <= int(deployment.MaxKey); key += 61 {
			held = w.holders(deployment.Key(key)) == 1
		}
		if held {
			return
		}
	}
	w.assertAllHeld()
}

func playEvacuations(t *testing.T, seed int64) {
	w := newHeartbeatWorld(t, seed, 6, 0.1)
	w.zones = []string{"a", "b", "c"}
	w.run(worldStep)
	for _, x := range w.targets {
		w.startTarget(x)
	}
	w.run(6 * time.Second)
	for range 30 {
		zone := w.zones[w.rand.Intn(len(w.zones))]
		w.commit(deployment.Command{Evacuate: &deployment.Evacuate{Zone: zone, Withdraw: w.rand.Intn(2) == 0, Base: w.index}})
		w.run(time.Duration(w.rand.Intn(1500)) * time.Millisecond)
		if w.rand.Intn(6) == 0 {
			w.replaceLeader()
		}
	}
	w.harm = 0
	for _, zone := range w.zones {
		w.commit(deployment.Command{Evacuate: &deployment.Evacuate{Zone: zone, Withdraw: zone != "b", Base: w.index}})
	}
	w.run(20 * time.Second)
	w.awaitAllHeld()
	for _, x := range w.targets {
		if w.zoneOf(x) == "b" {
			assert.Equal(t, len(x.held), 0, "target %d", x.n)
		}
	}
	w.commit(deployment.Command{Evacuate: &deployment.Evacuate{Zone: "b", Withdraw: true, Base: w.index}})
	holdKeys := func(x *worldTarget) bool { return len(x.held) > 0 }
	for end := w.now.Add(time.Minute); w.now < end && slices.ContainsFunc(w.targets, func(x *worldTarget) bool { return !holdKeys(x) }); {
		w.step()
	}
	w.awaitAllHeld()
	for _, x := range w.targets {
		assert.Assert(t, holdKeys(x), "target %d holds no keys", x.n)
	}
}
