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

// harness sends events to one router and keeps the effects of the last one.
type harness struct {
	t       *testing.T
	router  *router.Router
	now     timer.Instant
	version uint64
	nextID  router.AttemptID
	effects []router.Effect
}

var services = []config.Service{
	{Name: "stock", Kind: config.Lookup, Key: config.KeySource{From: config.KeyPath}, RetryBudget: 0.1, MaxWaiting: 2},
	{Name: "sheets", Kind: config.Download, Key: config.KeySource{From: config.KeyNone}, RetryBudget: 0.1, MaxWaiting: 2},
	{Name: "needy", Kind: config.Download, Key: config.KeySource{From: config.KeyNone}, DependsOn: []string{"absent"}},
	{Name: "absent", Kind: config.Lookup, Key: config.KeySource{From: config.KeyPath}},
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, router: router.New(router.Config{Limits: router.FixedLimit, Seed: 1})}
	h.renew(keyspace.Active)
	return h
}

func target(name, service string) control.Target {
	return control.Target{Name: name, Incarnation: "1", Service: service, Slots: 2, Status: control.TargetLive}
}

// renew sends a lease and a view in which target a owns all keys of stock.
func (h *harness) renew(phase keyspace.Phase, changes ...func(*router.View)) {
	h.t.Helper()
	h.version++
	table, err := keyspace.FromRanges([]keyspace.Range{{Owner: target("a", "stock").Owner(), Epoch: 5, Phase: phase}})
	assert.NilError(h.t, err)
	view := &router.View{
		Version: h.version, ConfigVersion: 1, Config: config.Config{Services: services},
		Targets: map[string]control.Target{"a": target("a", "stock"), "b": target("b", "sheets"), "c": target("c", "sheets")},
		Tables:  map[string]keyspace.Table{"stock": table},
	}
	for _, change := range changes {
		change(view)
	}
	h.send(router.Renewed{View: view, Lease: lease.Held{}.WithRenewal(h.now, time.Second, h.version), Now: h.now})
}

func (h *harness) send(e router.Event) {
	h.router, h.effects = h.router.Update(e)
}

// arrive sends a request and returns its ID.
func (h *harness) arrive(service string, changes ...func(*router.Arrived)) router.AttemptID {
	h.nextID++
	e := router.Arrived{ID: h.nextID, Service: service, Now: h.now, Deadline: h.now.Add(time.Second), Fingerprint: fmt.Sprint(h.nextID)}
	for _, change := range changes {
		change(&e)
	}
	h.send(e)
	return h.nextID
}

func (h *harness) end(id router.AttemptID, result router.AttemptResult) {
	h.send(router.Ended{ID: id, Now: h.now, Result: result})
}

// assertAdmitted checks that the first request admitted by the last event goes to the
// target.
func (h *harness) assertAdmitted(name string) {
	h.t.Helper()
	for _, e := range h.effects {
		if x, ok := e.(router.Admit); ok {
			assert.Equal(h.t, x.Destination.Target.Name, name)
			return
		}
	}
	h.t.Fatalf("no request was admitted: %+v", h.effects)
}

func (h *harness) assertRejected(reason router.Reason) {
	h.t.Helper()
	for _, e := range h.effects {
		if x, ok := e.(router.Reject); ok {
			assert.Equal(h.t, x.Reason, reason)
			assert.Assert(h.t, x.RetryAfter > 0, "rejection without a retry-after time")
			return
		}
	}
	h.t.Fatalf("no request was rejected: %+v", h.effects)
}

func (h *harness) assertAcked(version uint64) {
	h.t.Helper()
	for _, e := range h.effects {
		if x, ok := e.(router.Ack); ok {
			assert.Equal(h.t, x.Version, version)
			return
		}
	}
	h.t.Fatalf("no version was acknowledged: %+v", h.effects)
}

func (h *harness) assertNoEffects() {
	h.t.Helper()
	assert.Equal(h.t, len(h.effects), 0, "%+v", h.effects)
}

func TestRejections(t *testing.T) {
	cases := []struct {
		name string
		run  func(h *harness)
		want router.Reason
	}{
		{"lease expired", func(h *harness) { h.now = h.now.Add(time.Second); h.arrive("stock") }, router.ReasonNoLease},
		{"unknown service", func(h *harness) { h.arrive("nope") }, router.ReasonNoService},
		{"dependency without a live target", func(h *harness) { h.arrive("needy") }, router.ReasonDependency},
		{"blocked request", func(h *harness) {
			h.send(router.SuspectsAdded{Blocked: map[string]bool{"bad": true}})
			h.arrive("stock", func(e *router.Arrived) { e.Fingerprint = "bad" })
		}, router.ReasonBlocked},
		{"attempts that did not run earn no retries", func(h *harness) {
			retry := func(e *router.Arrived) { e.Retry = true }
			for range 10 {
				h.end(h.arrive("sheets", retry), router.ResultAnswered)
			}
			for range 50 {
				h.end(h.arrive("sheets", func(e *router.Arrived) { e.Retry, e.NotRun = true, true }), router.ResultAnswered)
			}
			h.arrive("sheets", retry)
		}, router.ReasonBudget},
		{"retry budget of a new configuration applies at once", func(h *harness) {
			h.end(h.arrive("sheets"), router.ResultAnswered)
			h.renew(keyspace.Active, func(v *router.View) {
				v.ConfigVersion = 2
				v.Config.Services = slices.Clone(v.Config.Services)
				v.Config.Services[1].RetryBudget = 0
			})
			h.arrive("sheets", func(e *router.Arrived) { e.Retry = true })
		}, router.ReasonBudget},
		{"crash notices from two targets", func(h *harness) {
			for _, name := range []string{"x", "y"} {
				h.send(router.CrashNoticed{Owner: keyspace.Owner{Target: name}, Fingerprints: []string{"bad"}, Now: h.now})
			}
			h.arrive("stock", func(e *router.Arrived) { e.Fingerprint = "bad" })
		}, router.ReasonBlocked},
		{"deadline passed", func(h *harness) { h.arrive("stock", func(e *router.Arrived) { e.Deadline = h.now }) }, router.ReasonDeadline},
		{"deadline passed in the queue", func(h *harness) {
			for range 3 {
				h.arrive("stock")
			}
			h.now = h.now.Add(900 * time.Millisecond)
			h.renew(keyspace.Active)
			h.now = h.now.Add(200 * time.Millisecond)
			h.send(router.Ticked{Now: h.now})
		}, router.ReasonDeadline},
		{"queue full", func(h *harness) {
			for range 5 {
				h.arrive("stock")
			}
		}, router.ReasonQueueFull},
		{"retry budget exhausted", func(h *harness) {
			for range 11 {
				h.end(h.arrive("sheets", func(e *router.Arrived) { e.Retry = true }), router.ResultAnswered)
			}
			h.arrive("sheets", func(e *router.Arrived) { e.Retry = true })
		}, router.ReasonBudget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			c.run(h)
			h.assertRejected(c.want)
		})
	}
}

func TestRouting(t *testing.T) {
	t.Run("a request goes to its key's owner, within the owner's slots", func(t *testing.T) {
		h := newHarness(t)
		first := h.arrive("stock")
		h.assertAdmitted("a")
		h.arrive("stock")
		h.assertAdmitted("a")
		h.arrive("stock")
		h.assertNoEffects()
		h.end(first, router.ResultAnswered)
		h.assertAdmitted("a")
	})
	t.Run("a request waits while its range moves", func(t *testing.T) {
		h := newHarness(t)
		h.renew(keyspace.Revoking)
		h.arrive("stock")
		h.assertNoEffects()
		h.renew(keyspace.Active)
		h.assertAdmitted("a")
	})
	t.Run("requests without a key are spread over targets", func(t *testing.T) {
		h := newHarness(t)
		h.arrive("sheets")
		h.assertAdmitted("b")
		h.arrive("sheets")
		h.assertAdmitted("c")
	})
	t.Run("a failed target gets no requests during its backoff", func(t *testing.T) {
		h := newHarness(t)
		h.end(h.arrive("sheets"), router.ResultFailed)
		h.arrive("sheets")
		h.assertAdmitted("c")
		h.now = h.now.Add(150 * time.Millisecond)
		h.arrive("sheets")
		h.assertAdmitted("b")
	})
	t.Run("only one suspected request runs at a time", func(t *testing.T) {
		h := newHarness(t)
		h.send(router.SuspectsAdded{Suspected: map[string]bool{"odd": true}})
		odd := func(e *router.Arrived) { e.Fingerprint = "odd" }
		first := h.arrive("stock", odd)
		h.assertAdmitted("a")
		h.arrive("stock", odd)
		h.assertNoEffects()
		h.end(first, router.ResultAnswered)
		h.assertAdmitted("a")
	})
}

// TestAcknowledgement checks that a version is acknowledged only once no attempt runs
// in a range that it revoked.
func TestAcknowledgement(t *testing.T) {
	h := newHarness(t)
	id := h.arrive("stock")
	h.renew(keyspace.Revoking)
	h.assertNoEffects()
	h.renew(keyspace.Revoking)
	h.assertNoEffects()
	h.end(id, router.ResultAnswered)
	h.assertAcked(h.version)
	t.Run("attempts at a lost target are cancelled", func(t *testing.T) {
		h := newHarness(t)
		id := h.arrive("stock")
		h.renew(keyspace.Revoking, func(v *router.View) {
			lostTarget := target("a", "stock")
			lostTarget.Status = control.TargetLost
			v.Targets["a"] = lostTarget
		})
		assert.Equal(t, h.effects[0], router.Effect(router.Cancel{ID: id}))
	})
}

// TestRequestMatchedByReplacedConfig sends requests whose paths were matched by the
// configuration before the one in force.
func TestRequestMatchedByReplacedConfig(t *testing.T) {
	withPrefix := func(prefix string) func(v *router.View) {
		return func(v *router.View) {
			v.ConfigVersion = 2
			v.Config.Services = slices.Clone(services)
			v.Config.Services[0].Prefix = prefix
		}
	}
	matched := func(e *router.Arrived) { e.Path, e.ConfigVersion = "/stock/oil", 1 }
	t.Run("a path that has moved is rejected", func(t *testing.T) {
		h := newHarness(t)
		h.renew(keyspace.Active, withPrefix("/other/"))
		id := h.arrive("stock", matched)
		reject, ok := h.effects[0].(router.Reject)
		assert.Assert(t, ok, "%+v", h.effects)
		assert.Equal(t, reject.ID, id)
		assert.Equal(t, reject.Reason, router.ReasonConfigChanged)
	})
	t.Run("a path that stays is admitted", func(t *testing.T) {
		h := newHarness(t)
		h.renew(keyspace.Active, withPrefix("/stock/"))
		h.arrive("stock", matched)
		_, ok := h.effects[0].(router.Admit)
		assert.Assert(t, ok, "%+v", h.effects)
	})
	t.Run("a waiting request is rejected when its path moves", func(t *testing.T) {
		h := newHarness(t)
		h.renew(keyspace.Revoking, func(v *router.View) { v.Config.Services = slices.Clone(services) })
		h.arrive("stock", matched)
		assert.Equal(t, len(h.effects), 0)
		h.renew(keyspace.Revoking, withPrefix("/other/"))
		assert.Assert(t, slices.ContainsFunc(h.effects, func(e router.Effect) bool {
			reject, ok := e.(router.Reject)
			return ok && reject.Reason == router.ReasonConfigChanged
		}), "%+v", h.effects)
	})
}

// TestSlotsAfterRestart ends attempts at a target that has restarted since, while the new
// incarnation's slots are in use.
func TestSlotsAfterRestart(t *testing.T) {
	h := newHarness(t)
	old := []router.AttemptID{h.arrive("stock"), h.arrive("stock")}
	h.renew(keyspace.Active, func(v *router.View) {
		restarted := target("a", "stock")
		restarted.Incarnation = "2"
		v.Targets["a"] = restarted
		table, err := keyspace.FromRanges([]keyspace.Range{{Owner: restarted.Owner(), Epoch: 6, Phase: keyspace.Active}})
		assert.NilError(t, err)
		v.Tables["stock"] = table
	})
	for range 2 {
		h.arrive("stock")
		h.assertAdmitted("a")
	}
	for _, id := range old {
		h.end(id, router.ResultAbandoned)
	}
	h.arrive("stock")
	h.assertNoEffects()
}
