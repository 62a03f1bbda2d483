package deployment_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// agreed applies commands one after another.
type agreed struct {
	state deployment.State
	index uint64
}

func (a *agreed) apply(c deployment.Command) deployment.Result {
	a.index++
	next, value := a.state.Apply(a.index, wire.Encode(c))
	a.state = next
	var r deployment.Result
	if err := wire.Decode(value, &r); err != nil {
		panic(err)
	}
	return r
}

func route(name string, change func(r *deployment.Route)) deployment.Route {
	r := deployment.Route{
		Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: deployment.Lookup,
		Timeout: time.Second, Objective: 300 * time.Millisecond, Attempts: 2,
		Split: []deployment.Share{{Service: "catalog", Weight: 1}},
	}
	if change != nil {
		change(&r)
	}
	return r
}

func first(digest string) deployment.ConfigChange {
	return deployment.ConfigChange{
		Digest: digest, Version: 5, Whole: true,
		Routes:   []deployment.Route{route("look", nil)},
		Services: []deployment.Service{{Name: "catalog", Keyed: true}},
	}
}

func TestConfigChanges(t *testing.T) {
	patch := func(digest string, version, base uint64) deployment.ConfigChange {
		return deployment.ConfigChange{Digest: digest, Version: version, Base: base, Routes: []deployment.Route{route("new", nil)}}
	}
	cases := []struct {
		name   string
		before []deployment.ConfigChange
		change deployment.ConfigChange
		want   deployment.Outcome
		routes int // in force afterwards
	}{
		{"the first one", nil, first("a"), deployment.Accepted, 1},
		{"a resend", []deployment.ConfigChange{first("a")}, first("a"), deployment.Accepted, 1},
		{"a resend after a newer one", []deployment.ConfigChange{first("a"), patch("b", 7, 5)}, first("a"), deployment.Accepted, 2},
		{"a patch", []deployment.ConfigChange{first("a")}, patch("b", 7, 5), deployment.Accepted, 2},
		{"a patch on another version", []deployment.ConfigChange{first("a")}, patch("b", 7, 4), deployment.Conflict, 1},
		{"the loser of a race", []deployment.ConfigChange{first("a"), patch("b", 7, 5)}, patch("c", 7, 5), deployment.Conflict, 2},
		{"a version that does not grow", []deployment.ConfigChange{first("a")}, patch("b", 5, 5), deployment.Invalid, 1},
		{"a patch that drops", []deployment.ConfigChange{first("a")}, deployment.ConfigChange{Digest: "b", Version: 6, Base: 5, DropRoutes: []string{"look"}}, deployment.Accepted, 0},
		{"a patch that drops a service in use", []deployment.ConfigChange{first("a")}, deployment.ConfigChange{Digest: "b", Version: 6, Base: 5, DropServices: []string{"catalog"}}, deployment.Invalid, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a agreed
			for _, o := range c.before {
				assert.Equal(t, a.apply(deployment.Command{ConfigChange: &o}).Outcome, deployment.Accepted)
			}
			got := a.apply(deployment.Command{ConfigChange: &c.change})
			assert.Equal(t, got.Outcome, c.want, "%s", got.Reason)
			doc, _ := a.state.Document()
			assert.Equal(t, len(doc.Routes), c.routes)
		})
	}
}

func TestInvalidRoutes(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *deployment.Route)
	}{
		{"unknown service", func(r *deployment.Route) { r.Split[0].Service = "none" }},
		{"weight below 0", func(r *deployment.Route) { r.Split[0].Weight = -1 }},
		{"objective a minute above the timeout", func(r *deployment.Route) { r.Objective = r.Timeout + time.Minute }},
		{"no attempts", func(r *deployment.Route) { r.Attempts = 0 }},
		{"no host", func(r *deployment.Route) { r.Host = "" }},
		{"unknown kind", func(r *deployment.Route) { r.Kind = "stream" }},
		{"prefix without a slash at its end", func(r *deployment.Route) { r.Prefix = "/look" }},
		{"no timeout", func(r *deployment.Route) { r.Timeout = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a agreed
			o := first("a")
			o.Routes = []deployment.Route{route("look", c.change)}
			assert.Equal(t, a.apply(deployment.Command{ConfigChange: &o}).Outcome, deployment.Invalid)
			_, index := a.state.Document()
			assert.Equal(t, index, uint64(0))
		})
	}
	t.Run("an objective just below that is valid", func(t *testing.T) {
		var a agreed
		o := first("a")
		o.Routes = []deployment.Route{route("look", func(r *deployment.Route) { r.Objective = r.Timeout + time.Minute - time.Millisecond })}
		assert.Equal(t, a.apply(deployment.Command{ConfigChange: &o}).Outcome, deployment.Accepted)
	})
}

func TestRoutingTable(t *testing.T) {
	d := deployment.Document{Routes: []deployment.Route{
		route("short", func(r *deployment.Route) { r.Prefix = "/a/" }),
		route("long", func(r *deployment.Route) { r.Prefix = "/a/b/" }),
		route("other", func(r *deployment.Route) { r.Host, r.Prefix = "other.example", "/a/b/c/" }),
	}}
	table := deployment.NewTable(d)
	cases := []struct{ host, path, want string }{
		{"shop.example", "/a/x", "short"},
		{"shop.example", "/a/b", "short"},
		{"shop.example", "/a/b/", "long"},
		{"shop.example", "/a/b/c/d", "long"},
		{"shop.example", "/b/", ""},
		{"none.example", "/a/", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			r, ok := table.Find(c.host, c.path)
			assert.Equal(t, ok, c.want != "")
			if ok {
				assert.Equal(t, r.Name, c.want)
			}
		})
	}
}

func target(id string, startMillis int64, change func(t *deployment.Target)) *deployment.Target {
	t := &deployment.Target{ID: id, StartMillis: startMillis, Service: "catalog", Address: "10.0.0.1:80", Slots: 3, Status: deployment.Live, Sequence: 5}
	if change != nil {
		change(t)
	}
	return t
}

func TestAnnouncements(t *testing.T) {
	draining := func(t *deployment.Target) { t.Status, t.Sequence = deployment.Draining, 9 }
	cases := []struct {
		name        string
		commands    []deployment.Command
		id          string
		want        deployment.Status
		startMillis int64
	}{
		{"a late heartbeat does not undo a drain", []deployment.Command{
			{Announce: target("a", 1, draining)},
			{Announce: target("a", 1, func(t *deployment.Target) { t.Sequence = 8 })},
		}, "a", deployment.Draining, 1},
		{"a new life under the same ID replaces the old one, whose counts start anew", []deployment.Command{
			{Announce: target("a", 1, draining)},
			{Announce: target("a", 2, func(t *deployment.Target) { t.Sequence = 1 })},
		}, "a", deployment.Live, 2},
		{"a heartbeat of an earlier life is ignored", []deployment.Command{
			{Announce: target("a", 2, nil)},
			{Announce: target("a", 1, func(t *deployment.Target) { t.Sequence = 99 })},
		}, "a", deployment.Live, 2},
		{"a life that left does not return", []deployment.Command{
			{Announce: target("a", 1, nil)},
			{Withdraw: &deployment.Incarnation{ID: "a", StartMillis: 1}},
			{Announce: target("a", 1, func(t *deployment.Target) { t.Sequence = 99 })},
		}, "a", deployment.Left, 1},
		{"a withdrawal of an earlier life is ignored", []deployment.Command{
			{Announce: target("a", 2, nil)},
			{Withdraw: &deployment.Incarnation{ID: "a", StartMillis: 1}},
		}, "a", deployment.Live, 2},
		{"a later life at an address ends the earlier one", []deployment.Command{
			{Announce: target("a", 1, nil)},
			{Announce: target("b", 2, nil)},
		}, "a", deployment.Left, 1},
		{"a late heartbeat does not take the address back", []deployment.Command{
			{Announce: target("b", 2, nil)},
			{Announce: target("a", 1, nil)},
		}, "b", deployment.Live, 2},
		{"silence does not undo a drain", []deployment.Command{
			{Announce: target("a", 1, draining)},
			{MarkSilent: &deployment.Incarnation{ID: "a", StartMillis: 1}},
		}, "a", deployment.Draining, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a agreed
			for _, command := range c.commands {
				a.apply(command)
			}
			got, ok := a.state.Target(c.id)
			assert.Assert(t, ok)
			assert.Equal(t, got.Status, c.want)
			assert.Equal(t, got.StartMillis, c.startMillis)
		})
	}
}

// TestKeyTables assigns and moves ranges at random: the ranges always cover all
// keys once, and a key changes hands only under a higher fence.
func TestKeyTables(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var a agreed
		o := first("a")
		a.apply(deployment.Command{ConfigChange: &o})
		for i, id := range []string{"a", "b", "c"} {
			a.apply(deployment.Command{Announce: target(id, int64(i+1), func(t *deployment.Target) { t.Address = "10.0.0." + id })})
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			table, _ := a.state.Table("catalog")
			p := table.Ranges[rapid.IntRange(0, len(table.Ranges)-1).Draw(rt, "piece")]
			from := deployment.Key(rapid.IntRange(int(p.From), int(p.To)).Draw(rt, "from"))
			to := deployment.Key(rapid.IntRange(int(from), int(p.To)).Draw(rt, "to"))
			ref := deployment.RangeRef{Service: "catalog", From: from, To: to, Fence: p.Fence}
			if rapid.Bool().Draw(rt, "move") {
				a.apply(deployment.Command{Move: []deployment.RangeRef{ref}})
			} else {
				id := rapid.SampledFrom([]string{"a", "b", "c", "none"}).Draw(rt, "target")
				t, _ := a.state.Target(id)
				incarnation := deployment.Incarnation{ID: id, StartMillis: t.StartMillis}
				a.apply(deployment.Command{Assign: &deployment.Assign{Ranges: []deployment.Assignment{{Range: ref, To: incarnation}}}})
			}
			checkTable(rt, table, &a)
		}
	})
}

func checkTable(rt *rapid.T, before deployment.KeyTable, a *agreed) {
	after, _ := a.state.Table("catalog")
	next := 0
	for _, p := range after.Ranges {
		if int(p.From) != next || p.To < p.From {
			rt.Fatalf("pieces do not follow each other: %v", after.Ranges)
		}
		next = int(p.To) + 1
		old := before.Find(p.From)
		if old.Target != p.Target && p.Fence <= old.Fence {
			rt.Fatalf("key %d went from %q to %q under fence %d after %d", p.From, old.Target, p.Target, p.Fence, old.Fence)
		}
	}
	if next != int(deployment.MaxKey)+1 {
		rt.Fatalf("pieces end at %d", next)
	}
	decoded, err := deployment.Decode(a.state.Encode())
	if err != nil {
		rt.Fatalf("decode: %v", err)
	}
	if table, _ := decoded.Table("catalog"); len(table.Ranges) != len(after.Ranges) {
		rt.Fatalf("a snapshot changes the pieces")
	}
}
