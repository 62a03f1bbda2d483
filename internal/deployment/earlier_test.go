package deployment_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// Guards against a state that outgrows memory because only the number of its earlier
// configurations is bounded.
func TestEarlierConfigsAreBoundedByBytes(t *testing.T) {
	const (
		routes      = 8000
		sourceBytes = 1000
		changes     = 20
		most        = 48 << 20 // of 280 MB
	)
	kept := func(whole bool) int {
		var state deployment.State
		var indexes []uint64
		for i := range uint64(changes) {
			c := deployment.ConfigChange{Digest: fmt.Sprint(i), Version: i + 1, Base: i, Whole: whole || i == 0, Services: []deployment.Service{{Name: "catalog"}}}
			for j := range routes {
				if whole || i == 0 || j == 0 {
					c.Routes = append(c.Routes, route(fmt.Sprint("r", j), func(r *deployment.Route) {
						r.Source = []byte(strings.Repeat(fmt.Sprint(i%10), sourceBytes))
					}))
				}
			}
			next, _ := state.Apply(i+1, wire.Encode(deployment.Command{ConfigChange: &c}))
			state, indexes = next, append(indexes, i+1)
		}
		n := 0
		for _, index := range indexes[:changes-1] {
			if _, ok := state.ConfigAt(index); ok {
				n++
			}
		}
		return n
	}
	t.Run("all routes change", func(t *testing.T) {
		n := kept(true)
		assert.Assert(t, n > 1 && n*routes*sourceBytes <= most, "%d configurations of %d routes are kept", n, routes)
	})
	t.Run("one route changes", func(t *testing.T) { assert.Equal(t, kept(false), 16) })
}
