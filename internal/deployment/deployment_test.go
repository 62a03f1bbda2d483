package deployment_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// machine applies commands to a state, each at the next log index.
type machine struct {
	state deployment.State
	index uint64
}

func (m *machine) apply(c deployment.Command) deployment.Result {
	m.index++
	next, value := m.state.Apply(m.index, wire.Encode(c))
	m.state = next
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
		Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}},
	}
	if change != nil {
		change(&r)
	}
	return r
}

func firstChange(digest string) deployment.ConfigChange {
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
		want   deployment.ChangeOutcome
		routes int // in force afterwards
	}{
		{"first configuration", nil, firstChange("a"), deployment.Accepted, 1},
		{"resend", []deployment.ConfigChange{firstChange("a")}, firstChange("a"), deployment.Accepted, 1},
		{"resend after a newer change", []deployment.ConfigChange{firstChange("a"), patch("b", 7, 5)}, firstChange("a"), deployment.Accepted, 2},
		{"patch", []deployment.ConfigChange{firstChange("a")}, patch("b", 7, 5), deployment.Accepted, 2},
		{"patch of another version", []deployment.ConfigChange{firstChange("a")}, patch("b", 7, 4), deployment.Conflict, 1},
		{"second of two concurrent patches", []deployment.ConfigChange{firstChange("a"), patch("b", 7, 5)}, patch("c", 7, 5), deployment.Conflict, 2},
		{"version that does not increase", []deployment.ConfigChange{firstChange("a")}, patch("b", 5, 5), deployment.Invalid, 1},
		{"patch that drops a route", []deployment.ConfigChange{firstChange("a")}, deployment.ConfigChange{Digest: "b", Version: 6, Base: 5, DropRoutes: []string{"look"}}, deployment.Accepted, 0},
		{"patch that drops a service in use", []deployment.ConfigChange{firstChange("a")}, deployment.ConfigChange{Digest: "b", Version: 6, Base: 5, DropServices: []string{"catalog"}}, deployment.Invalid, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m machine
			for _, earlier := range c.before {
				assert.Equal(t, m.apply(deployment.Command{ConfigChange: &earlier}).Outcome, deployment.Accepted)
			}
			got := m.apply(deployment.Command{ConfigChange: &c.change})
			assert.Equal(t, got.Outcome, c.want, "%s", got.Reason)
			cfg, _ := m.state.Config()
			assert.Equal(t, len(cfg.Routes), c.routes)
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
		{"objective one minute above the timeout", func(r *deployment.Route) { r.Objective = r.Timeout + time.Minute }},
		{"no attempts", func(r *deployment.Route) { r.Attempts = 0 }},
		{"no host", func(r *deployment.Route) { r.Host = "" }},
		{"unknown kind", func(r *deployment.Route) { r.Kind = "stream" }},
		{"prefix without a trailing slash", func(r *deployment.Route) { r.Prefix = "/look" }},
		{"no timeout", func(r *deployment.Route) { r.Timeout = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m machine
			initial := firstChange("a")
			initial.Routes = []deployment.Route{route("look", c.change)}
			assert.Equal(t, m.apply(deployment.Command{ConfigChange: &initial}).Outcome, deployment.Invalid)
			_, index := m.state.Config()
			assert.Equal(t, index, uint64(0))
		})
	}
	t.Run("objective just below one minute above the timeout", func(t *testing.T) {
		var m machine
		initial := firstChange("a")
		initial.Routes = []deployment.Route{route("look", func(r *deployment.Route) { r.Objective = r.Timeout + time.Minute - time.Millisecond })}
		assert.Equal(t, m.apply(deployment.Command{ConfigChange: &initial}).Outcome, deployment.Accepted)
	})
}

func TestRouteTable(t *testing.T) {
	cfg := deployment.Config{Routes: []deployment.Route{
		route("short", func(r *deployment.Route) { r.Prefix = "/a/" }),
		route("long", func(r *deployment.Route) { r.Prefix = "/a/b/" }),
		route("other", func(r *deployment.Route) { r.Host, r.Prefix = "other.example", "/a/b/c/" }),
	}}
	table := deployment.NewRouteTable(cfg)
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
		{"late announcement does not end draining", []deployment.Command{
			{Announce: target("a", 1, draining)},
			{Announce: target("a", 1, func(t *deployment.Target) { t.Sequence = 8 })},
		}, "a", deployment.Draining, 1},
		{"new incarnation under the same ID restarts the sequence", []deployment.Command{
			{Announce: target("a", 1, draining)},
			{Announce: target("a", 2, func(t *deployment.Target) { t.Sequence = 1 })},
		}, "a", deployment.Live, 2},
		{"announcement of an earlier incarnation is ignored", []deployment.Command{
			{Announce: target("a", 2, nil)},
			{Announce: target("a", 1, func(t *deployment.Target) { t.Sequence = 99 })},
		}, "a", deployment.Live, 2},
		{"incarnation that left does not return", []deployment.Command{
			{Announce: target("a", 1, nil)},
			{Withdraw: &deployment.Incarnation{ID: "a", StartMillis: 1}},
			{Announce: target("a", 1, func(t *deployment.Target) { t.Sequence = 99 })},
		}, "a", deployment.Left, 1},
		{"withdrawal of an earlier incarnation is ignored", []deployment.Command{
			{Announce: target("a", 2, nil)},
			{Withdraw: &deployment.Incarnation{ID: "a", StartMillis: 1}},
		}, "a", deployment.Live, 2},
		{"target with a later start at an address replaces the earlier one", []deployment.Command{
			{Announce: target("a", 1, nil)},
			{Announce: target("b", 2, nil)},
		}, "a", deployment.Left, 1},
		{"late announcement of a replaced target is ignored", []deployment.Command{
			{Announce: target("b", 2, nil)},
			{Announce: target("a", 1, nil)},
		}, "b", deployment.Live, 2},
		{"marking as silent does not end draining", []deployment.Command{
			{Announce: target("a", 1, draining)},
			{MarkSilent: &deployment.Incarnation{ID: "a", StartMillis: 1}},
		}, "a", deployment.Draining, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m machine
			for _, command := range c.commands {
				m.apply(command)
			}
			got, ok := m.state.Target(c.id)
			assert.Assert(t, ok)
			assert.Equal(t, got.Status, c.want)
			assert.Equal(t, got.StartMillis, c.startMillis)
		})
	}
}

// TestKeyTables assigns and moves random ranges. The ranges must always cover each
// key once, and the owner of a key may only change under a higher fence.
func TestKeyTables(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var m machine
		change := firstChange("a")
		m.apply(deployment.Command{ConfigChange: &change})
		for i, id := range []string{"a", "b", "c"} {
			m.apply(deployment.Command{Announce: target(id, int64(i+1), func(t *deployment.Target) { t.Address = "10.0.0." + id })})
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			table, _ := m.state.Table("catalog")
			r := table.Ranges[rapid.IntRange(0, len(table.Ranges)-1).Draw(rt, "range")]
			from := deployment.Key(rapid.IntRange(int(r.From), int(r.To)).Draw(rt, "from"))
			to := deployment.Key(rapid.IntRange(int(from), int(r.To)).Draw(rt, "to"))
			ref := deployment.RangeRef{Service: "catalog", From: from, To: to, Fence: r.Fence}
			if rapid.Bool().Draw(rt, "move") {
				m.apply(deployment.Command{Move: []deployment.RangeRef{ref}})
			} else {
				id := rapid.SampledFrom([]string{"a", "b", "c", "none"}).Draw(rt, "target")
				t, _ := m.state.Target(id)
				incarnation := deployment.Incarnation{ID: id, StartMillis: t.StartMillis}
				m.apply(deployment.Command{Assign: &deployment.Assign{Ranges: []deployment.Assignment{{Range: ref, To: incarnation}}}})
			}
			checkTable(rt, table, &m)
		}
	})
}

func checkTable(rt *rapid.T, before deployment.KeyTable, m *machine) {
	after, _ := m.state.Table("catalog")
	next := 0
	for _, r := range after.Ranges {
		if int(r.From) != next || r.To < r.From {
			rt.Fatalf("ranges are not contiguous: %v", after.Ranges)
		}
		next = int(r.To) + 1
		old := before.Find(r.From)
		if old.Target != r.Target && r.Fence <= old.Fence {
			rt.Fatalf("key %d went from %q to %q under fence %d, which is not above %d", r.From, old.Target, r.Target, r.Fence, old.Fence)
		}
	}
	if next != int(deployment.MaxKey)+1 {
		rt.Fatalf("ranges end before key %d", next)
	}
	decoded, err := deployment.Decode(m.state.Encode())
	if err != nil {
		rt.Fatalf("decode: %v", err)
	}
	if table, _ := decoded.Table("catalog"); len(table.Ranges) != len(after.Ranges) {
		rt.Fatalf("a snapshot does not preserve the ranges")
	}
}

func TestCoordinated(t *testing.T) {
	lookup, upload := deployment.Route{Kind: deployment.Lookup}, deployment.Route{Kind: deployment.Upload}
	for _, c := range []struct {
		cfg  deployment.Config
		want bool
	}{
		{deployment.Config{}, false},
		{deployment.Config{Routes: []deployment.Route{lookup}, Services: []deployment.Service{{ColdTime: time.Second}}}, false},
		{deployment.Config{Routes: []deployment.Route{lookup, upload}}, true},
		{deployment.Config{Routes: []deployment.Route{lookup}, Services: []deployment.Service{{}, {ColdRate: 1}}}, true},
	} {
		assert.Equal(t, c.cfg.Coordinated(), c.want, "%+v", c.cfg)
	}
}

func TestKinds(t *testing.T) {
	cases := []struct {
		kind       deployment.Kind
		idempotent bool
	}{
		{deployment.Lookup, true},
		{deployment.Download, true},
		{deployment.Booking, false},
		{deployment.Upload, false},
	}
	for _, c := range cases {
		t.Run(string(c.kind), func(t *testing.T) {
			r := route("r", func(r *deployment.Route) { r.Kind = c.kind })
			cfg := deployment.Config{Routes: []deployment.Route{r}, Services: []deployment.Service{{Name: "catalog"}}}
			assert.NilError(t, cfg.Validate())
			assert.Equal(t, c.kind.Idempotent(), c.idempotent)
		})
	}
}
