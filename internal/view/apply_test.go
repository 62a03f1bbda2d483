package view

import (
	"errors"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// TestChangeOfAnotherConfig applies the changes of two streams, one of which skips a
// configuration that the other has brought: a route is changed and changed back.
func TestChangeOfAnotherConfig(t *testing.T) {
	var states []deployment.State
	state := deployment.State{}
	for i, source := range []string{"first", "second", "first"} {
		change := deployment.ConfigChange{
			Digest: string(rune('a' + i)), Version: uint64(i + 1), Base: uint64(i), Services: []deployment.Service{{Name: "catalog"}},
			Routes: []deployment.Route{{
				Name: "r", Host: source, Prefix: "/", Kind: deployment.Lookup, Timeout: 1, Attempts: 1, Source: []byte(source),
				Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}},
			}},
		}
		state, _ = state.Apply(uint64(i+1), wire.Encode(deployment.Command{ConfigChange: &change}))
		states = append(states, state)
	}
	f := &Follower{cfg: FollowerConfig{Log: log.New(io.Discard)}, changed: make(chan struct{})}
	f.view.Store(&View{})
	assert.NilError(t, f.apply(Delta(nil, states[0])))
	assert.NilError(t, f.apply(Delta(&states[0], states[1])))
	err := f.apply(Delta(&states[0], states[2]))
	assert.Assert(t, errors.Is(err, errOtherConfig), "%v, host %q", err, f.View().Config.Routes[0].Host)
	since := &instance.WatchRequest{Version: f.View().Version, ConfigIndex: f.View().ConfigIndex}
	assert.NilError(t, f.apply(DeltaSince(since, states[2])))
	assert.Equal(t, f.View().Config.Routes[0].Host, "first")
}
