package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
)

// world is a state with the leader's view of it, on a clock of its own.
type world struct {
	machine
	view   control.View
	timing control.Timing
}

func newWorld(t *testing.T, extra string, targets ...control.Target) *world {
	t.Helper()
	w := &world{machine: machine{t: t}, timing: control.DefaultTiming()}
	w.view = control.View{Entries: make(map[control.EntryID]control.EntryView), Targets: make(map[keyspace.Owner]control.TargetView)}
	w.pass(time.Second)
	w.accept("first", 0, source(extra))
	w.ack("i1", 1)
	for _, target := range targets {
		w.announce(target)
	}
	w.settle()
	return w
}

func target(name string, fence bool) control.Target {
	return control.Target{Name: name, Incarnation: name + "-1", Service: "stock", ChecksFence: fence, Status: control.TargetLive}
}

func (w *world) announce(x control.Target) {
	w.apply(control.Command{Announce: &control.Announce{Target: x}})
	w.beat(x)
}

// beat notes a heartbeat, which renews the target's lease.
func (w *world) beat(x control.Target) {
	v := w.view.Targets[x.Owner()]
	if v.First == 0 {
		v.First = w.view.Now
	}
	v.LastHeartbeat = w.view.Now
	v.Lease = v.Lease.WithGrant(w.view.Now, w.timing.TargetLease)
	w.view.Targets[x.Owner()] = v
}

func (w *world) ack(entry string, version uint64) {
	id := control.EntryID{Instance: entry, Incarnation: "1"}
	e := w.view.Entries[id]
	e.Acked = version
	e.Lease = e.Lease.WithGrant(w.view.Now, w.timing.EntryLease)
	w.view.Entries[id] = e
}

func (w *world) confirm(x control.Target) {
	v := w.view.Targets[x.Owner()]
	v.Granted = w.state.Version()
	w.view.Targets[x.Owner()] = v
}

// plan carries out all commands that are planned now.
func (w *world) plan() {
	w.t.Helper()
	for range 1000 {
		c, ok := control.Plan(w.state, w.view, w.timing)
		if !ok {
			return
		}
		w.apply(c)
		if c.Split != nil {
			w.divide(*c.Split)
		}
	}
	w.t.Fatal("planning does not end")
}

// divide does what a leader does after a split.
func (w *world) divide(s control.Split) {
	keys, _ := w.state.Table(s.Range.Service)
	for i, r := range keys.All() {
		if r.Start == s.At {
			_, last := keys.Span(i)
			w.view.Loads = w.view.Loads.WithSplit(s.Range.Service, s.Range.Start, s.At, last)
		}
	}
}

// settle plans while all entries and live targets confirm at once.
func (w *world) settle() {
	w.t.Helper()
	for range 60 {
		w.pass(10 * time.Millisecond)
		w.plan()
		w.ack("i1", w.state.Version())
		for _, x := range w.state.Targets() {
			if x.Status != control.TargetLost {
				w.beat(x)
				w.confirm(x)
			}
		}
	}
}

func (w *world) pass(d time.Duration) { w.view.Now = w.view.Now.Add(d) }

// phases counts the ranges of a target in each phase.
func (w *world) phases(owner string) map[keyspace.Phase]int {
	keys, _ := w.state.Table("stock")
	out := make(map[keyspace.Phase]int)
	for _, r := range keys.Ranges() {
		if r.Owner.Target == owner {
			out[r.Phase]++
		}
	}
	return out
}

func TestRangesAreSpread(t *testing.T) {
	w := newWorld(t, "", target("a", true), target("b", true))
	assert.Equal(t, w.phases("a")[keyspace.Active], 4)
	assert.Equal(t, w.phases("b")[keyspace.Active], 4)
}

// TestLostOwner checks what must have happened before the ranges of a silent
// owner go to another target.
func TestLostOwner(t *testing.T) {
	cases := []struct {
		name  string
		fence bool
		extra string
		after func(w *world)
		moved bool
	}{
		{"entry has not acknowledged", true, "", func(w *world) { w.pass(w.timing.TargetLease) }, false},
		{"entry acknowledged, lease of the target not over", true, "", func(w *world) {
			a := w.view.Targets[target("a", true).Owner()]
			a.Lease = lease.Granted{}.WithGrant(w.view.Now, w.timing.TargetLease)
			w.view.Targets[target("a", true).Owner()] = a
			w.ack("i1", w.state.Version())
		}, false},
		{"entry acknowledged, lease of the target over", true, "", func(w *world) {
			w.ack("i1", w.state.Version())
			w.pass(w.timing.TargetLease)
		}, true},
		{"entry silent until its lease is over", true, "", func(w *world) { w.pass(2 * w.timing.EntryLease) }, true},
		{"target checks no fence: wait", false, "", func(w *world) {
			w.ack("i1", w.state.Version())
			w.pass(time.Hour)
		}, false},
		{"target checks no fence: move", false, "unfenced_takeover = move\n", func(w *world) {
			w.ack("i1", w.state.Version())
			w.pass(time.Hour)
		}, true},
		{"target checks no fence and refuses connections", false, "", func(w *world) {
			w.ack("i1", w.state.Version())
			owner := target("a", false).Owner()
			v := w.view.Targets[owner]
			v.Refused = true
			w.view.Targets[owner] = v
		}, true},
		{"target checks no fence and a new incarnation announces itself", false, "", func(w *world) {
			x := target("a", false)
			x.Incarnation = "a-2"
			w.announce(x)
			w.ack("i1", w.state.Version())
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.extra, target("a", c.fence), target("b", true))
			w.pass(w.timing.TargetLost + time.Millisecond)
			w.beat(target("b", true))
			w.ack("i1", w.state.Version())
			w.plan()
			assert.Equal(t, w.phases("a")[keyspace.Revoking], 4)
			c.after(w)
			w.beat(target("b", true))
			w.plan()
			assert.Equal(t, w.phases("a")[keyspace.Revoking], map[bool]int{false: 4, true: 0}[c.moved])
		})
	}
}

// TestNewLeaderWaits checks that a leader without any view of the entries gives
// nothing away until the leases of its predecessor are over.
func TestNewLeaderWaits(t *testing.T) {
	w := newWorld(t, "", target("a", true), target("b", true))
	w.pass(time.Hour)
	w.view.Since = w.view.Now
	w.view.Entries = make(map[control.EntryID]control.EntryView)
	w.view.Targets = make(map[keyspace.Owner]control.TargetView)
	w.pass(w.timing.TargetLost + time.Millisecond)
	w.beat(target("b", true))
	w.plan()
	assert.Equal(t, w.phases("a")[keyspace.Revoking], 4)
	t.Run("before the leases are over", func(t *testing.T) {
		assert.Assert(t, w.view.Now < w.view.Since.Add(lease.GranterDuration(w.timing.EntryLease)))
		assert.Equal(t, w.phases("a")[keyspace.Revoking], 4)
	})
	w.pass(w.timing.EntryLease)
	w.beat(target("b", true))
	w.plan()
	assert.Equal(t, w.phases("a")[keyspace.Revoking], 0)
}

func TestDrainingTargetLosesItsRanges(t *testing.T) {
	w := newWorld(t, "", target("a", true), target("b", true))
	x := target("a", true)
	x.Status = control.TargetDraining
	w.announce(x)
	w.settle()
	assert.Equal(t, len(w.phases("a")), 0)
	assert.Equal(t, w.phases("b")[keyspace.Active], 8)
}

func TestBystandersAreNotSuspected(t *testing.T) {
	w := newWorld(t, "", target("a", true), target("b", true))
	reportCrash := func(owner string, fingerprints ...string) {
		w.apply(control.Command{CrashReport: &control.CrashReport{Owner: keyspace.Owner{Target: owner}, Fingerprints: fingerprints}})
	}
	reportCrash("a", "poison", "bystander-1")
	reportCrash("b", "bystander-2")
	reportCrash("b", "poison")
	for _, s := range w.state.Suspects() {
		assert.Equal(t, s.Blocked(), s.Fingerprint == "poison", s.Fingerprint)
		assert.Assert(t, s.Fingerprint != "bystander-2")
	}
	w.apply(control.Command{CrashReport: &control.CrashReport{Cleared: []string{"poison", "bystander-1"}}})
	assert.Equal(t, len(w.state.Suspects()), 1, "only the held request stays")
}
