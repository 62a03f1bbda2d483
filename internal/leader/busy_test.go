package leader

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// The size of a large site, whose entries report four times a second.
const (
	busyTargets         = 350 // with keys
	busyUnkeyed         = 250
	busyEntries         = 185
	busyKeysPerReport   = 3
	busyReplacedASecond = 7
)

// newBusySite starts the targets of a large site and grants them all keys.
func newBusySite(tb testing.TB) *largeSim {
	s := &largeSim{sim: newSim(tb), rand: rand.New(rand.NewPCG(1, 2))}
	for range busyTargets {
		s.addBusy()
	}
	for n := range busyUnkeyed {
		s.announce(10_000+n, func(t *deployment.Target) {
			t.Service, t.Address = fmt.Sprint("stateless-", n%2), fmt.Sprintf("10.1.%d.%d:80", n/250, n%250)
		})
	}
	for range 5 {
		s.busySecond(0)
	}
	return s
}

func (s *largeSim) addBusy() {
	s.announce(s.next, func(t *deployment.Target) { t.Address = fmt.Sprintf("10.0.%d.%d:80", s.next/250, s.next%250) })
	s.live = append(s.live, s.next)
	s.next++
}

// drain makes a random target leave.
func (s *largeSim) drain() {
	i := s.rand.IntN(len(s.live))
	s.announce(s.live[i], func(t *deployment.Target) { t.Status, t.Sequence = deployment.Draining, 2 })
	s.live = append(s.live[:i], s.live[i+1:]...)
}

func (s *largeSim) busyReport(entry int) instance.ReportRequest {
	r := instance.ReportRequest{Instance: fmt.Sprint("entry-", entry), Interval: 250 * time.Millisecond}
	for range busyKeysPerReport {
		target := incarnation(s.live[s.rand.IntN(len(s.live))]).ID
		r.Keys = append(r.Keys, instance.KeyLoad{Service: testService, Bucket: deployment.Key(s.rand.IntN(numBuckets)), Count: 1})
		r.Targets = append(r.Targets, instance.TargetLoad{ID: target, Successes: 1, ServiceTime: 50 * time.Millisecond})
	}
	return r
}

// busySecond simulates a second in which targets are replaced. All calls are answered.
func (s *largeSim) busySecond(replaced int) {
	for i := range 20 {
		for n := range busyUnkeyed {
			if n%20 == i {
				s.heartbeat(10_000 + n)
			}
		}
		for j, n := range s.live {
			if j%20 == i {
				s.heartbeat(n)
			}
		}
		for e := range busyEntries {
			if e%5 == i%5 {
				s.send(Reported{At: s.now, Report: s.busyReport(e)})
			}
		}
		if i < replaced {
			s.drain()
			s.addBusy()
		}
		s.answer(s.tick(tickInterval))
	}
}

// drainMany makes n targets leave at once and returns the releases that are sent to them.
func (s *largeSim) drainMany(n int) []SendRelease {
	for range n {
		s.drain()
	}
	var out []SendRelease
	for range 4 {
		for _, e := range s.tick(tickInterval) {
			switch c := e.(type) {
			case SendRelease:
				out = append(out, c)
			case SendGrant:
				s.send(GrantEnded{At: s.now, Range: c.Range, Sent: true})
			}
		}
	}
	assert.Assert(s.t, len(out) >= n, "%d releases", len(out))
	return out
}

// TestEndedReleasesDoNotKeepLeaderBusy guards against plans for each release that ends, which
// leave the leader no time to confirm its leadership.
func TestEndedReleasesDoNotKeepLeaderBusy(t *testing.T) {
	for name, err := range map[string]error{"well": nil, "without an answer": errors.New("timeout")} {
		t.Run(name, func(t *testing.T) {
			s := newBusySite(t)
			ended := s.drainMany(40)
			plans := s.model.planCount
			for _, c := range ended {
				s.runEffects(s.send(ReleaseEnded{At: s.now, Range: c.Range, Err: err}))
			}
			s.tick(tickInterval)
			// One plan for all, and one for the command that it makes.
			assert.Assert(t, s.model.planCount-plans <= 2, "%d plans for %d releases", s.model.planCount-plans, len(ended))
		})
	}
}

// TestPlacementPassesOverTargetsOnce guards against a plan whose work is the product of the
// ranges without an owner and of the targets.
func TestPlacementPassesOverTargetsOnce(t *testing.T) {
	passesFor := func(ranges int) (passes uint64, assigned int) {
		s := newBusySite(t)
		for _, c := range s.drainMany(ranges) {
			s.send(ReleaseEnded{At: s.now, Range: c.Range})
		}
		s.now = s.now.Add(tickInterval)
		before := s.model.usagePasses
		for _, e := range s.send(Ticked{At: s.now, State: s.state}) {
			if p, ok := e.(Propose); ok && p.Command.Assign != nil {
				assigned = len(p.Command.Assign.Ranges)
			}
		}
		return s.model.usagePasses - before, assigned
	}
	few, _ := passesFor(1)
	many, assigned := passesFor(60)
	assert.Assert(t, assigned >= 60, "%d ranges assigned", assigned)
	assert.Assert(t, many <= few, "%d passes for many ranges, %d for one", many, few)
}

// TestPlansLeaveTimeForConfirmations guards against a leader that plans all the time.
func TestPlansLeaveTimeForConfirmations(t *testing.T) {
	for _, took := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 15 * time.Millisecond} {
		share := float64(took) / float64(took+planPause(took))
		assert.Assert(t, took == 0 || share <= maxPlanShare+1e-9, "plans of %v take %.3f of the time", took, share)
	}
	assert.Equal(t, planPause(time.Second), maxPlanPause)
}

// BenchmarkBusySecond measures the leader's decisions of one second of a large site.
func BenchmarkBusySecond(b *testing.B) {
	for _, replaced := range []int{0, busyReplacedASecond} {
		b.Run(fmt.Sprint(replaced, " replaced"), func(b *testing.B) {
			s := newBusySite(b)
			for range 10 {
				s.busySecond(replaced)
			}
			plans := s.model.planCount
			b.ResetTimer()
			for range b.N {
				s.busySecond(replaced)
			}
			b.ReportMetric(float64(s.model.planCount-plans)/float64(b.N), "plans/op")
			b.ReportMetric(float64(len(s.ranges())), "ranges")
		})
	}
}
