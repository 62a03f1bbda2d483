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

// accepted returns a state with the configuration in force. The vote's signature
// can't be made for a zero key, so that the state is decoded from a snapshot.
func accepted(t rapid.TB) control.State {
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

// command draws a command that may or may not fit the state.
func command(t *rapid.T, s control.State) control.Command {
	name := fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "target"))
	x := control.Target{Name: name, Incarnation: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "incarnation")), Service: "stock", Status: control.TargetLive}
	keys, _ := s.Table("stock")
	r := keys.At(rapid.IntRange(0, keys.Len()-1).Draw(t, "range"))
	ref := control.RangeRef{Service: "stock", Start: r.Start, Epoch: r.Epoch}
	return rapid.SampledFrom([]control.Command{
		{Announce: &control.Announce{Target: x}},
		{MarkLost: &control.MarkLost{Owner: x.Owner()}},
		{Assign: &control.Assign{Ranges: []control.RangeRef{ref}, Owners: []keyspace.Owner{x.Owner()}}},
		{Activate: &control.Activate{Owner: r.Owner, Ranges: []control.RangeRef{ref}}},
		{Revoke: &control.Revoke{Ranges: []control.RangeRef{ref}}},
		{Split: &control.Split{Range: ref, At: r.Start + 1 + keyspace.Point(rapid.Uint32().Draw(t, "at"))}},
		{CrashReport: &control.CrashReport{Owner: x.Owner(), Fingerprints: []string{name}}},
	}).Draw(t, "command")
}

// TestChangesMakeTheWholeView checks that a view kept up by changes, taken at
// any moments, is the view that a new entry gets.
func TestChangesMakeTheWholeView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := accepted(t)
		kept := &router.View{}
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			state, _ = state.Apply(uint64(i)+2, wire.Encode(command(t, state)))
			if rapid.IntRange(0, 3).Draw(t, "skip") > 0 {
				continue
			}
			kept = applied(t, state, kept)
		}
		assert.DeepEqual(t, shown(applied(t, state, kept)), shown(applied(t, state, &router.View{})))
	})
}

func applied(t *rapid.T, state control.State, last *router.View) *router.View {
	t.Helper()
	view, err := viewOf(controller.ViewOf(state, last.Version, last.ConfigVersion), last)
	assert.NilError(t, err)
	return view
}

// shown is the part of a view that is compared, in an ordered form.
func shown(v *router.View) []string {
	out := []string{fmt.Sprint(v.Version, v.ConfigVersion, v.Config.Deployment, v.Targets, v.Blocked, v.Suspected)}
	for name, keys := range v.Tables {
		out = append(out, fmt.Sprint(name, keys.Ranges()))
	}
	return out
}
