package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// bench drives one router by events.
type bench struct {
	t       *testing.T
	router  *router.Router
	now     timer.Instant
	version uint64
	next    router.RequestID
	effects []router.Effect
}

var services = []config.Service{
	{Name: "stock", Kind: config.Lookup, Key: config.KeySource{From: config.KeyPath}, RetryBudget: 0.1, MaxWaiting: 2},
	{Name: "sheets", Kind: config.Download, Key: config.KeySource{From: config.KeyNone}, RetryBudget: 0.1, MaxWaiting: 2},
	{Name: "needy", Kind: config.Download, Key: config.KeySource{From: config.KeyNone}, DependsOn: []string{"absent"}},
	{Name: "absent", Kind: config.Lookup, Key: config.KeySource{From: config.KeyPath}},
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, router: router.New(router.Config{Limits: router.FixedLimit, Seed: 1})}
	b.renew(keyspace.Active)
	return b
}

func target(name, service string) control.Target {
	return control.Target{Name: name, Incarnation: "1", Service: service, Slots: 2, Status: control.TargetLive}
}

// renew brings a lease and a view in which target a owns all keys of stock.
func (b *bench) renew(phase keyspace.Phase, changes ...func(*router.View)) {
	b.t.Helper()
	b.version++
	keys, err := keyspace.FromRanges([]keyspace.Range{{Owner: target("a", "stock").Owner(), Epoch: 5, Phase: phase}})
	assert.NilError(b.t, err)
	view := &router.View{
		Version: b.version, ConfigVersion: 1, Config: config.Config{Services: services},
		Targets: map[string]control.Target{"a": target("a", "stock"), "b": target("b", "sheets"), "c": target("c", "sheets")},
		Tables:  map[string]keyspace.Table{"stock": keys},
	}
	for _, change := range changes {
		change(view)
	}
	b.send(router.Renewed{View: view, Lease: lease.Held{}.WithRenewal(b.now, time.Second, b.version), Now: b.now})
}

func (b *bench) send(e router.Event) {
	b.router, b.effects = b.router.Update(e)
}

// arrive sends a request and returns its ID.
func (b *bench) arrive(service string, changes ...func(*router.Arrived)) router.RequestID {
	b.next++
	e := router.Arrived{ID: b.next, Service: service, Now: b.now, Deadline: b.now.Add(time.Second), Fingerprint: fmt.Sprint(b.next)}
	for _, change := range changes {
		change(&e)
	}
	b.send(e)
	return b.next
}

func (b *bench) end(id router.RequestID, result router.Result) {
	b.send(router.Ended{ID: id, Now: b.now, Result: result})
}

// assertAdmitted checks that the last event admitted one request to the target.
func (b *bench) assertAdmitted(name string) {
	b.t.Helper()
	for _, e := range b.effects {
		if x, ok := e.(router.Admit); ok {
			assert.Equal(b.t, x.Route.Target.Name, name)
			return
		}
	}
	b.t.Fatalf("nothing was admitted: %+v", b.effects)
}

func (b *bench) assertRefused(reason router.Reason) {
	b.t.Helper()
	for _, e := range b.effects {
		if x, ok := e.(router.Refuse); ok {
			assert.Equal(b.t, x.Reason, reason)
			assert.Assert(b.t, x.After > 0, "a refusal must say when to come back")
			return
		}
	}
	b.t.Fatalf("nothing was refused: %+v", b.effects)
}

func (b *bench) assertAcked(version uint64) {
	b.t.Helper()
	for _, e := range b.effects {
		if x, ok := e.(router.Acked); ok {
			assert.Equal(b.t, x.Version, version)
			return
		}
	}
	b.t.Fatalf("nothing was acknowledged: %+v", b.effects)
}

func (b *bench) assertQuiet() {
	b.t.Helper()
	assert.Equal(b.t, len(b.effects), 0, "%+v", b.effects)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name string
		run  func(b *bench)
		want router.Reason
	}{
		{"lease over", func(b *bench) { b.now = b.now.Add(time.Second); b.arrive("stock") }, router.ReasonNoLease},
		{"unknown service", func(b *bench) { b.arrive("nope") }, router.ReasonNoService},
		{"dependency without a target", func(b *bench) { b.arrive("needy") }, router.ReasonDependency},
		{"held request", func(b *bench) {
			b.send(router.SuspectsChanged{Blocked: map[string]bool{"bad": true}})
			b.arrive("stock", func(e *router.Arrived) { e.Fingerprint = "bad" })
		}, router.ReasonBlocked},
		{"turned-down requests earn no retries", func(b *bench) {
			again := func(e *router.Arrived) { e.Retry = true }
			for range 10 {
				b.end(b.arrive("sheets", again), router.ResultAnswered)
			}
			for range 50 {
				b.end(b.arrive("sheets", func(e *router.Arrived) { e.Retry, e.Shed = true, true }), router.ResultAnswered)
			}
			b.arrive("sheets", again)
		}, router.ReasonBudget},
		{"a new text's budget holds at once", func(b *bench) {
			b.end(b.arrive("sheets"), router.ResultAnswered)
			b.renew(keyspace.Active, func(v *router.View) {
				v.ConfigVersion = 2
				v.Config.Services = slices.Clone(v.Config.Services)
				v.Config.Services[1].RetryBudget = 0
			})
			b.arrive("sheets", func(e *router.Arrived) { e.Retry = true })
		}, router.ReasonBudget},
		{"noticed at two deaths", func(b *bench) {
			for _, name := range []string{"x", "y"} {
				b.send(router.CrashNoticed{Owner: keyspace.Owner{Target: name}, Fingerprints: []string{"bad"}, Now: b.now})
			}
			b.arrive("stock", func(e *router.Arrived) { e.Fingerprint = "bad" })
		}, router.ReasonBlocked},
		{"deadline over", func(b *bench) { b.arrive("stock", func(e *router.Arrived) { e.Deadline = b.now }) }, router.ReasonDeadline},
		{"deadline over while it waits", func(b *bench) {
			for range 3 {
				b.arrive("stock")
			}
			b.now = b.now.Add(900 * time.Millisecond)
			b.renew(keyspace.Active)
			b.now = b.now.Add(200 * time.Millisecond)
			b.send(router.Ticked{Now: b.now})
		}, router.ReasonDeadline},
		{"too many wait", func(b *bench) {
			for range 5 {
				b.arrive("stock")
			}
		}, router.ReasonQueueFull},
		{"no more retries", func(b *bench) {
			for range 11 {
				b.end(b.arrive("sheets", func(e *router.Arrived) { e.Retry = true }), router.ResultAnswered)
			}
			b.arrive("sheets", func(e *router.Arrived) { e.Retry = true })
		}, router.ReasonBudget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			c.run(b)
			b.assertRefused(c.want)
		})
	}
}

func TestRouting(t *testing.T) {
	t.Run("a key goes to its owner, within its slots", func(t *testing.T) {
		b := newBench(t)
		first := b.arrive("stock")
		b.assertAdmitted("a")
		b.arrive("stock")
		b.assertAdmitted("a")
		b.arrive("stock")
		b.assertQuiet()
		b.end(first, router.ResultAnswered)
		b.assertAdmitted("a")
	})
	t.Run("a request waits while its range moves", func(t *testing.T) {
		b := newBench(t)
		b.renew(keyspace.Revoking)
		b.arrive("stock")
		b.assertQuiet()
		b.renew(keyspace.Active)
		b.assertAdmitted("a")
	})
	t.Run("requests without a key spread over targets", func(t *testing.T) {
		b := newBench(t)
		b.arrive("sheets")
		b.assertAdmitted("b")
		b.arrive("sheets")
		b.assertAdmitted("c")
	})
	t.Run("a failing target is left alone for a while", func(t *testing.T) {
		b := newBench(t)
		b.end(b.arrive("sheets"), router.ResultFailed)
		b.arrive("sheets")
		b.assertAdmitted("c")
		b.now = b.now.Add(150 * time.Millisecond)
		b.arrive("sheets")
		b.assertAdmitted("b")
	})
	t.Run("one suspected request runs at a time", func(t *testing.T) {
		b := newBench(t)
		b.send(router.SuspectsChanged{Suspected: map[string]bool{"odd": true}})
		odd := func(e *router.Arrived) { e.Fingerprint = "odd" }
		first := b.arrive("stock", odd)
		b.assertAdmitted("a")
		b.arrive("stock", odd)
		b.assertQuiet()
		b.end(first, router.ResultAnswered)
		b.assertAdmitted("a")
	})
}

// TestAcknowledgement checks that a version is acknowledged only when no
// request runs under what it took away.
func TestAcknowledgement(t *testing.T) {
	b := newBench(t)
	id := b.arrive("stock")
	b.renew(keyspace.Revoking)
	b.assertQuiet()
	b.renew(keyspace.Revoking)
	b.assertQuiet()
	b.end(id, router.ResultAnswered)
	b.assertAcked(b.version)
	t.Run("attempts at a lost target are cancelled", func(t *testing.T) {
		b := newBench(t)
		id := b.arrive("stock")
		b.renew(keyspace.Revoking, func(v *router.View) {
			lost := target("a", "stock")
			lost.Status = control.TargetLost
			v.Targets["a"] = lost
		})
		assert.Equal(t, b.effects[0], router.Effect(router.Cancel{ID: id}))
	})
}
