package deployment_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// plainApply returns the routes after a change, without regard to its cost.
func plainApply(routes []deployment.Route, c deployment.ConfigChange) []deployment.Route {
	byName := map[string]deployment.Route{}
	if !c.Whole {
		for _, r := range routes {
			byName[r.Name] = r
		}
	}
	for _, n := range c.DropRoutes {
		delete(byName, n)
	}
	for _, r := range c.Routes {
		byName[r.Name] = r
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b deployment.Route) int { return cmp.Compare(a.Name, b.Name) })
}

// Guards against a change that is applied in part, or otherwise than each route by its name.
func TestChangeSetsAndDropsRoutesByName(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
	services := rapid.SampledFrom([]string{"catalog", "stock", "missing"})
	routes := rapid.SliceOf(rapid.Custom(func(t *rapid.T) deployment.Route {
		r := route(names.Draw(t, "name"), nil)
		r.Split[0].Service = services.Draw(t, "service")
		r.Attempts = rapid.IntRange(0, 2).Draw(t, "attempts")
		r.Source = []byte(rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "source"))
		return r
	}))
	rapid.Check(t, func(t *rapid.T) {
		cfg := deployment.Config{Services: []deployment.Service{{Name: "catalog"}, {Name: "stock"}}}
		valid := true
		for range 4 {
			c := deployment.ConfigChange{
				Whole: rapid.Bool().Draw(t, "whole"), Routes: routes.Draw(t, "set"), DropRoutes: rapid.SliceOf(names).Draw(t, "drop"),
			}
			if c.Whole || rapid.Bool().Draw(t, "with services") {
				c.Services = []deployment.Service{{Name: "catalog"}, {Name: "stock"}}
			}
			if rapid.IntRange(0, 5).Draw(t, "drop a service") == 0 {
				c.DropServices = []string{"stock"}
			}
			next := c.ApplyTo(cfg)
			assert.DeepEqual(t, append([]deployment.Route{}, next.Routes...), append([]deployment.Route{}, plainApply(cfg.Routes, c)...))
			if valid {
				assert.Equal(t, fmt.Sprint(c.ValidateChange(next)), fmt.Sprint(next.Validate()))
			}
			cfg, valid = next, next.Validate() == nil
		}
	})
}

// Guards against small changes that cost as much as the whole configuration: a log of them takes
// long to apply after a restart.
func TestChangeOfOneRouteInALargeConfiguration(t *testing.T) {
	const routes, most = 10_000, 16 // allocations
	cfg := deployment.Config{Services: []deployment.Service{{Name: "catalog"}}}
	for i := range routes {
		cfg.Routes = append(cfg.Routes, route(fmt.Sprintf("r%05d", i), nil))
	}
	change := deployment.ConfigChange{Routes: []deployment.Route{route("r05000", func(r *deployment.Route) { r.Attempts = 1 })}}
	allocations := testing.AllocsPerRun(10, func() {
		next := change.ApplyTo(cfg)
		assert.NilError(t, change.ValidateChange(next))
	})
	assert.Assert(t, allocations <= most, "%v allocations", allocations)
}

// BenchmarkChangeOfOneRoute measures what one change costs in a large configuration.
func BenchmarkChangeOfOneRoute(b *testing.B) {
	for _, routes := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			var state deployment.State
			first := deployment.ConfigChange{Digest: "a", Version: 1, Whole: true, Services: []deployment.Service{{Name: "catalog"}}}
			for i := range routes {
				first.Routes = append(first.Routes, route(fmt.Sprintf("r%06d", i), nil))
			}
			state, _ = state.Apply(1, wire.Encode(deployment.Command{ConfigChange: &first}))
			data := wire.Encode(deployment.Command{ConfigChange: &deployment.ConfigChange{
				Digest: "b", Version: 2, Base: 1, Routes: []deployment.Route{route("r000500", func(r *deployment.Route) { r.Attempts = 1 })},
			}})
			for b.Loop() {
				state.Apply(2, data)
			}
		})
	}
}
