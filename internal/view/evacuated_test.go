package view

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// zonesState returns the state of a deployment with a target in each of the zones a and b.
func zonesState() deployment.State {
	state := deployment.State{}
	for i, zone := range []string{"a", "b"} {
		state, _ = state.Apply(uint64(i+1), wire.Encode(deployment.Command{Announce: &deployment.Target{
			ID: "target-" + zone, StartMillis: 1, Service: "catalog", Address: fmt.Sprint(i), AvailabilityZone: zone, Status: deployment.Live, Sequence: 1,
		}}))
	}
	return state
}

func evacuate(state deployment.State, index uint64, zone string, withdraw bool) deployment.State {
	state, _ = state.Apply(index, wire.Encode(deployment.Command{Evacuate: &deployment.Evacuate{Zone: zone, Withdraw: withdraw, Base: index}}))
	return state
}

func assertUsable(t *testing.T, v *View, zones ...string) {
	t.Helper()
	got := []string{}
	for _, x := range v.Usable("catalog") {
		got = append(got, x.AvailabilityZone)
		assert.Assert(t, !v.Evacuated(x.AvailabilityZone))
	}
	assert.DeepEqual(t, got, append([]string{}, zones...))
	assert.Equal(t, len(v.Live()), len(zones))
}

// TestEvacuatedZonesInView checks that a view without an evacuated zone's targets results from
// each form of update, and that their targets return with the withdrawal.
func TestEvacuatedZonesInView(t *testing.T) {
	first := zonesState()
	evacuated := evacuate(first, 3, "a", false)
	withdrawn := evacuate(evacuated, 4, "a", true)
	updates := map[string]func(old, state deployment.State) *instance.ViewUpdate{
		"whole":  func(_, state deployment.State) *instance.ViewUpdate { return Delta(nil, state) },
		"change": func(old, state deployment.State) *instance.ViewUpdate { return Delta(&old, state) },
		"reconnect": func(old, state deployment.State) *instance.ViewUpdate {
			return DeltaSince(&instance.WatchRequest{Version: old.Version()}, state)
		},
	}
	for name, update := range updates {
		t.Run(name, func(t *testing.T) {
			v := (&View{}).With(Delta(nil, first))
			assertUsable(t, v, "a", "b")
			v = v.With(update(first, evacuated))
			assertUsable(t, v, "b")
			assert.Equal(t, v.EvacuatedVersion, uint64(3))
			v = v.With(update(evacuated, withdrawn))
			assertUsable(t, v, "a", "b")
		})
	}
	t.Run("in parts", func(t *testing.T) {
		data, err := newPacker().pack(packedKey{}, Delta(nil, evacuated))
		assert.NilError(t, err)
		var parts assembler
		assert.NilError(t, sendParts(Delta(nil, evacuated), data, func(part *instance.ViewUpdate) error {
			u, err := parts.add(part)
			if u != nil {
				assertUsable(t, (&View{}).With(u), "b")
			}
			return err
		}))
	})
}

// TestOwnersInEvacuatedZone checks for how long the owners of keys in an evacuated zone get
// requests: for one second if the view was never unconfirmed for longer than a second, and
// else not at all.
func TestOwnersInEvacuatedZone(t *testing.T) {
	owner := deployment.Target{AvailabilityZone: "a"}
	first := zonesState()
	follower := func(confirmations confirmations) *Follower {
		f := &Follower{cfg: FollowerConfig{Log: log.New(io.Discard)}, changed: make(chan struct{}), confirmations: confirmations}
		f.view.Store((&View{}).With(Delta(nil, first)))
		return f
	}
	confirmedFor := func(first, last time.Duration) confirmations {
		now := time.Now()
		return confirmations{first: now.Add(-first), last: now.Add(-last)}
	}
	evacuated := evacuate(first, 3, "a", false)
	t.Run("with a fresh view", func(t *testing.T) {
		f := follower(confirmedFor(time.Minute, 250*time.Millisecond))
		before := time.Now()
		assert.NilError(t, f.apply(Delta(&first, evacuated)))
		assert.Assert(t, f.View().OwnerAllowed(owner, before.Add(900*time.Millisecond)))
		assert.Assert(t, !f.View().OwnerAllowed(owner, time.Now().Add(time.Second)))
		// A further evacuation starts no other second.
		assert.NilError(t, f.apply(Delta(&evacuated, evacuate(evacuated, 4, "b", false))))
		assert.Assert(t, !f.View().OwnerAllowed(owner, before.Add(1100*time.Millisecond)))
		assert.Assert(t, f.View().OwnerAllowed(deployment.Target{AvailabilityZone: "c"}, before))
	})
	for name, c := range map[string]confirmations{
		"when the entry starts": {}, "with an old view": confirmedFor(time.Minute, 1100*time.Millisecond),
		"after a pause of the process": confirmedFor(time.Minute, 10*time.Second).With(time.Now()),
	} {
		t.Run(name, func(t *testing.T) {
			f := follower(c)
			assert.NilError(t, f.apply(Delta(&first, evacuated)))
			assert.Assert(t, !f.View().OwnerAllowed(owner, time.Now()))
		})
	}
	t.Run("after the withdrawal", func(t *testing.T) {
		f := follower(confirmations{})
		assert.NilError(t, f.apply(Delta(&first, evacuated)))
		assert.NilError(t, f.apply(Delta(&evacuated, evacuate(evacuated, 4, "a", true))))
		assert.Assert(t, f.View().OwnerAllowed(owner, time.Now().Add(time.Hour)))
	})
}
