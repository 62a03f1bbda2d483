package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
)

// simulation is a control state with its leader state on a simulated clock.
type simulation struct {
	stateMachine
	leader control.LeaderState
	timing control.Timing
}

func newSimulation(t *testing.T, extra string, targets ...control.Target) *simulation {
	t.Helper()
	sim := &simulation{stateMachine: stateMachine{t: t}, timing: control.DefaultTiming()}
	sim.leader = control.LeaderState{Entries: make(map[control.EntryID]control.EntrySession), Targets: make(map[keyspace.Owner]control.TargetSession)}
	sim.advance(time.Second)
	sim.accept("first", 0, source(extra))
	sim.ack("i1", 1)
	for _, target := range targets {
		sim.announce(target)
	}
	sim.settle()
	return sim
}

func target(name string, checksFence bool) control.Target {
	return control.Target{Name: name, Incarnation: name + "-1", Service: "stock", ChecksFence: checksFence, Status: control.TargetLive}
}

func (sim *simulation) announce(x control.Target) {
	sim.apply(control.Command{Announce: &control.Announce{Target: x}})
	sim.heartbeat(x)
}

// heartbeat records a heartbeat, which renews the target's lease.
func (sim *simulation) heartbeat(x control.Target) {
	session := sim.leader.Targets[x.Owner()]
	if session.FirstHeartbeat == 0 {
		session.FirstHeartbeat = sim.leader.Now
	}
	session.LastHeartbeat = sim.leader.Now
	session.Lease = session.Lease.WithGrant(sim.leader.Now, sim.timing.TargetLeaseDuration)
	sim.leader.Targets[x.Owner()] = session
}

func (sim *simulation) ack(entry string, version uint64) {
	id := control.EntryID{Instance: entry, Incarnation: "1"}
	e := sim.leader.Entries[id]
	e.Acked = version
	e.Lease = e.Lease.WithGrant(sim.leader.Now, sim.timing.EntryLeaseDuration)
	sim.leader.Entries[id] = e
}

func (sim *simulation) confirmGrants(x control.Target) {
	session := sim.leader.Targets[x.Owner()]
	session.ConfirmedVersion = sim.state.Version()
	sim.leader.Targets[x.Owner()] = session
}

// applyPlan applies planned commands until there are none.
func (sim *simulation) applyPlan() {
	sim.t.Helper()
	for range 1000 {
		c, ok := control.Plan(sim.state, sim.leader, sim.timing)
		if !ok {
			return
		}
		sim.apply(c)
		if c.Split != nil {
			sim.splitLoads(*c.Split)
		}
	}
	sim.t.Fatal("planning does not end")
}

// splitLoads splits the load of a range, as the leader does after a split.
func (sim *simulation) splitLoads(s control.Split) {
	keys, _ := sim.state.Table(s.Range.Service)
	for i, r := range keys.All() {
		if r.Start == s.At {
			_, last := keys.Span(i)
			sim.leader.Loads = sim.leader.Loads.WithSplit(s.Range.Service, s.Range.Start, s.At, last)
		}
	}
}

// settle applies plans while all entries, and all targets that are not lost, confirm
// immediately.
func (sim *simulation) settle() {
	sim.t.Helper()
	for range 60 {
		sim.advance(10 * time.Millisecond)
		sim.applyPlan()
		sim.ack("i1", sim.state.Version())
		for _, x := range sim.state.Targets() {
			if x.Status != control.TargetLost {
				sim.heartbeat(x)
				sim.confirmGrants(x)
			}
		}
	}
}

func (sim *simulation) advance(d time.Duration) { sim.leader.Now = sim.leader.Now.Add(d) }

// countPhases counts a target's ranges in each phase.
func (sim *simulation) countPhases(owner string) map[keyspace.Phase]int {
	keys, _ := sim.state.Table("stock")
	out := make(map[keyspace.Phase]int)
	for _, r := range keys.Ranges() {
		if r.Owner.Target == owner {
			out[r.Phase]++
		}
	}
	return out
}

func TestRangesAreSpreadEvenly(t *testing.T) {
	sim := newSimulation(t, "", target("a", true), target("b", true))
	assert.Equal(t, sim.countPhases("a")[keyspace.Active], 4)
	assert.Equal(t, sim.countPhases("b")[keyspace.Active], 4)
}

// TestRangesOfLostOwnerMove checks under which conditions the ranges of a lost owner
// are assigned to another target.
func TestRangesOfLostOwnerMove(t *testing.T) {
	cases := []struct {
		name        string
		checksFence bool
		extra       string
		after       func(sim *simulation)
		moved       bool
	}{
		{"entry has not acknowledged", true, "", func(sim *simulation) { sim.advance(sim.timing.TargetLeaseDuration) }, false},
		{"entry acknowledged, target's lease not expired", true, "", func(sim *simulation) {
			a := sim.leader.Targets[target("a", true).Owner()]
			a.Lease = lease.Granted{}.WithGrant(sim.leader.Now, sim.timing.TargetLeaseDuration)
			sim.leader.Targets[target("a", true).Owner()] = a
			sim.ack("i1", sim.state.Version())
		}, false},
		{"entry acknowledged, target's lease expired", true, "", func(sim *simulation) {
			sim.ack("i1", sim.state.Version())
			sim.advance(sim.timing.TargetLeaseDuration)
		}, true},
		{"entry silent until its lease has expired", true, "", func(sim *simulation) { sim.advance(2 * sim.timing.EntryLeaseDuration) }, true},
		{"target checks no fence, takeover waits", false, "", func(sim *simulation) {
			sim.ack("i1", sim.state.Version())
			sim.advance(time.Hour)
		}, false},
		{"target checks no fence, takeover moves", false, "unfenced_takeover = move\n", func(sim *simulation) {
			sim.ack("i1", sim.state.Version())
			sim.advance(time.Hour)
		}, true},
		{"target checks no fence and refuses connections", false, "", func(sim *simulation) {
			sim.ack("i1", sim.state.Version())
			owner := target("a", false).Owner()
			session := sim.leader.Targets[owner]
			session.ConnRefused = true
			sim.leader.Targets[owner] = session
		}, true},
		{"target checks no fence and a new incarnation announces itself", false, "", func(sim *simulation) {
			x := target("a", false)
			x.Incarnation = "a-2"
			sim.announce(x)
			sim.ack("i1", sim.state.Version())
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, c.extra, target("a", c.checksFence), target("b", true))
			sim.advance(sim.timing.HeartbeatTimeout + time.Millisecond)
			sim.heartbeat(target("b", true))
			sim.ack("i1", sim.state.Version())
			sim.applyPlan()
			assert.Equal(t, sim.countPhases("a")[keyspace.Revoking], 4)
			c.after(sim)
			sim.heartbeat(target("b", true))
			sim.applyPlan()
			assert.Equal(t, sim.countPhases("a")[keyspace.Revoking], map[bool]int{false: 4, true: 0}[c.moved])
		})
	}
}

// TestNewLeaderWaitsForOldLeases checks that a leader that knows no entries assigns no
// revoked range until the leases of its predecessor have expired.
func TestNewLeaderWaitsForOldLeases(t *testing.T) {
	sim := newSimulation(t, "", target("a", true), target("b", true))
	sim.advance(time.Hour)
	sim.leader.TermStart = sim.leader.Now
	sim.leader.Entries = make(map[control.EntryID]control.EntrySession)
	sim.leader.Targets = make(map[keyspace.Owner]control.TargetSession)
	sim.advance(sim.timing.HeartbeatTimeout + time.Millisecond)
	sim.heartbeat(target("b", true))
	sim.applyPlan()
	assert.Equal(t, sim.countPhases("a")[keyspace.Revoking], 4)
	t.Run("before the leases have expired", func(t *testing.T) {
		assert.Assert(t, sim.leader.Now < sim.leader.TermStart.Add(lease.GranterDuration(sim.timing.EntryLeaseDuration)))
		assert.Equal(t, sim.countPhases("a")[keyspace.Revoking], 4)
	})
	sim.advance(sim.timing.EntryLeaseDuration)
	sim.heartbeat(target("b", true))
	sim.applyPlan()
	assert.Equal(t, sim.countPhases("a")[keyspace.Revoking], 0)
}

func TestDrainingTargetLosesItsRanges(t *testing.T) {
	sim := newSimulation(t, "", target("a", true), target("b", true))
	x := target("a", true)
	x.Status = control.TargetDraining
	sim.announce(x)
	sim.settle()
	assert.Equal(t, len(sim.countPhases("a")), 0)
	assert.Equal(t, sim.countPhases("b")[keyspace.Active], 8)
}

func TestOnlyRepeatedSuspectIsBlocked(t *testing.T) {
	sim := newSimulation(t, "", target("a", true), target("b", true))
	reportCrash := func(name string, fingerprints ...string) {
		sim.apply(control.Command{CrashReport: &control.CrashReport{Incarnation: keyspace.Owner{Target: name}, Fingerprints: fingerprints}})
	}
	reportCrash("a", "poison", "bystander-1")
	reportCrash("b", "bystander-2")
	reportCrash("b", "poison")
	for _, s := range sim.state.Suspects() {
		assert.Equal(t, s.Blocked(), s.Fingerprint == "poison", s.Fingerprint)
		assert.Assert(t, s.Fingerprint != "bystander-2")
	}
	sim.apply(control.Command{CrashReport: &control.CrashReport{Cleared: []string{"poison", "bystander-1"}}})
	assert.Equal(t, len(sim.state.Suspects()), 1, "only the blocked request must stay")
}
