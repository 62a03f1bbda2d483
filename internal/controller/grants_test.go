package controller_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/controller"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// TestPreviousOwnerNeedsNewGrants moves a range away from a target whose lease expired
// but that was never marked as lost. When its heartbeats resume, it must receive grants
// without the range before its lease is renewed.
func TestPreviousOwnerNeedsNewGrants(t *testing.T) {
	a := control.Target{Name: "a", Incarnation: "1", Service: "stock", ChecksFence: true, Status: control.TargetLive}
	b := control.Target{Name: "b", Incarnation: "1", Service: "stock", ChecksFence: true, Status: control.TargetLive}
	ranges := keyspace.New(2).Ranges()
	for i := range ranges {
		ranges[i].Owner, ranges[i].Epoch, ranges[i].Phase = a.Owner(), 5, keyspace.Active
	}
	s, err := control.Decode(wire.Encode(snapshot{
		Version: 5, Targets: []control.Target{a, b},
		Tables: []control.ServiceTable{{Service: "stock", Layout: 1, Ranges: ranges}},
	}))
	assert.NilError(t, err)
	apply := func(index uint64, c control.Command) { s, _ = s.Apply(index, wire.Encode(c)) }
	ref := control.RangeRef{Service: "stock", Start: ranges[0].Start, Epoch: 5}
	apply(6, control.Command{Revoke: &control.Revoke{Ranges: []control.RangeRef{ref}}})
	ref.Epoch = 6
	apply(7, control.Command{Assign: &control.Assign{Ranges: []control.RangeRef{ref}, Owners: []keyspace.Owner{b.Owner()}}})
	assert.Assert(t, controller.LastOwnershipChange(s, a.Owner()) >= 6, "last ownership change at %d, want 6 or later", controller.LastOwnershipChange(s, a.Owner()))
	assert.Equal(t, len(controller.GrantsFor(s, a.Owner()).Ranges), 1)
}
