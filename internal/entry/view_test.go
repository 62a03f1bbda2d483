package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/controller"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

const source = `[deployment]
name = d
[bookings]
[member m]
public_key = AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=
[instance i1]
address = 127.0.0.1:1
availability_zone = z
roles = entry, control
[service stock]
kind = lookup
prefix = /stock/
key = path:1
ranges = 6
`

// acceptedState returns a state with the configuration in force. It decodes the state
// from a snapshot, since no vote can be signed for the configuration's all-zero key.
func acceptedState(t rapid.TB) control.State {
	t.Helper()
	type snapshot struct {
		Version uint64                   `msgpack:"version"`
		History []control.AcceptedConfig `msgpack:"history"`
		Tables  []control.ServiceTable   `msgpack:"tables"`
	}
	state, err := control.Decode(wire.Encode(snapshot{
		Version: 1,
		History: []control.AcceptedConfig{{Version: 1, Index: 1, Source: []byte(source)}},
		Tables:  []control.ServiceTable{{Service: "stock", Layout: 1, Ranges: keyspace.New(6).Ranges()}},
	}))
	assert.NilError(t, err)
	return state
}

// randomCommand draws a command, which may be invalid in the state.
func randomCommand(t *rapid.T, s control.State) control.Command {
	name := fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "target"))
	x := control.Target{Name: name, Incarnation: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "incarnation")), Service: "stock", Status: control.TargetLive}
	table, _ := s.Table("stock")
	r := table.At(rapid.IntRange(0, table.Len()-1).Draw(t, "range"))
	ref := control.RangeRef{Service: "stock", Start: r.Start, Epoch: r.Epoch}
	return rapid.SampledFrom([]control.Command{
		{Announce: &control.Announce{Target: x}},
		{MarkLost: &control.MarkLost{Incarnation: x.Owner()}},
		{Assign: &control.Assign{Ranges: []control.RangeRef{ref}, Owners: []keyspace.Owner{x.Owner()}}},
		{Activate: &control.Activate{Owner: r.Owner, Ranges: []control.RangeRef{ref}}},
		{Revoke: &control.Revoke{Ranges: []control.RangeRef{ref}}},
		{Split: &control.Split{Range: ref, At: r.Start + 1 + keyspace.Point(rapid.Uint32().Draw(t, "at"))}},
		{CrashReport: &control.CrashReport{Incarnation: x.Owner(), Fingerprints: []string{name}}},
	}).Draw(t, "command")
}

// TestIncrementalViewEqualsFullView checks that a view that was updated by changes at
// arbitrary versions equals the full view that a new entry receives.
func TestIncrementalViewEqualsFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := acceptedState(t)
		incremental := &router.View{}
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			state, _ = state.Apply(uint64(i)+2, wire.Encode(randomCommand(t, state)))
			if rapid.IntRange(0, 3).Draw(t, "skip") > 0 {
				continue
			}
			incremental = applyChanges(t, state, incremental)
		}
		assert.DeepEqual(t, viewStrings(applyChanges(t, state, incremental)), viewStrings(applyChanges(t, state, &router.View{})))
	})
}

func applyChanges(t *rapid.T, state control.State, prev *router.View) *router.View {
	t.Helper()
	view, err := nextView(controller.ViewOf(state, prev.Version, prev.ConfigVersion), prev)
	assert.NilError(t, err)
	return view
}

// viewStrings returns the parts of a view to compare, in a fixed order.
func viewStrings(v *router.View) []string {
	out := []string{fmt.Sprint(v.Version, v.ConfigVersion, v.Config.Deployment, v.Targets, v.Blocked, v.Suspected)}
	for name, table := range v.Tables {
		out = append(out, fmt.Sprint(name, table.Ranges()))
	}
	return out
}
