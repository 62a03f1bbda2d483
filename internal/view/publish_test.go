package view

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Guards against control instances that compare the whole state for every update of every stream.
func TestUpdateCostsNoMoreThanItsChange(t *testing.T) {
	state, index := deployment.State{}, uint64(0)
	apply := func(c deployment.Command) {
		index++
		state, _ = state.Apply(index, wire.Encode(c))
	}
	change := deployment.ConfigChange{Digest: "a", Version: 1, Services: []deployment.Service{{Name: "catalog"}}}
	for i := range 1100 {
		change.Routes = append(change.Routes, deployment.Route{
			Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: deployment.Lookup, Timeout: 1, Attempts: 1,
			Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}},
		})
	}
	p := NewPublisher(nil, timer.NewManual())
	p.source = idleSource{}
	first := state
	apply(deployment.Command{ConfigChange: &change})
	for i := range 600 {
		apply(deployment.Command{Announce: &deployment.Target{ID: fmt.Sprint(i), StartMillis: 1, Service: "catalog", Address: fmt.Sprint(i), Status: deployment.Live, Sequence: 1}})
	}
	for name, have := range map[string]*instance.WatchRequest{"since the start": {}, "since an earlier view": {Version: 1, ConfigIndex: first.Version()}} {
		t.Run(name, func(t *testing.T) {
			allocations := testing.AllocsPerRun(100, func() {
				assert.NilError(t, p.sendUpdate(have, &state, state, func(*instance.ViewUpdate) error { return nil }))
			})
			assert.Assert(t, allocations < 20, "%v allocations for an update without changes", allocations)
		})
	}
}

// idleSource is a replica that knows its leader.
type idleSource struct{ Source }

func (idleSource) Current() bool              { return true }
func (idleSource) ControlAddresses() []string { return nil }
