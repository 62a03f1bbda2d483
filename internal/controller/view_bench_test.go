package controller_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/controller"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

const (
	rangesPerTarget = 16
	baseIndex       = 1000 // log index of the state before the change
)

// snapshot is the part of a control snapshot that the tests fill in.
type snapshot struct {
	Version uint64                 `msgpack:"version"`
	Targets []control.Target       `msgpack:"targets"`
	Tables  []control.ServiceTable `msgpack:"tables"`
}

func state(b *testing.B, targets int) control.State {
	b.Helper()
	s := snapshot{Version: baseIndex}
	ranges := keyspace.New(targets * rangesPerTarget).Ranges()
	for n := range targets {
		t := control.Target{
			Name: fmt.Sprintf("stock-%05d", n), Incarnation: "6b1f0b0e-8a51-4c6e-9d0a-0b6f6c3b7a11", Service: "stock",
			Address: "10.100.200.100:8080", AvailabilityZone: "availability-zone-1", Slots: 3, Connections: 120,
			ChecksFence: true, Status: control.TargetLive, Changed: baseIndex,
		}
		s.Targets = append(s.Targets, t)
		for i := range rangesPerTarget {
			r := &ranges[n*rangesPerTarget+i]
			r.Owner, r.Epoch, r.Phase, r.Changed = t.Owner(), baseIndex, keyspace.Active, baseIndex
		}
	}
	s.Tables = []control.ServiceTable{{Service: "stock", Layout: 1, Ranges: ranges}}
	out, err := control.Decode(wire.Encode(s))
	assert.NilError(b, err)
	return out
}

// BenchmarkView measures building and encoding the view for one entry: the whole view
// at the entry's start, and the changes after one target is lost.
func BenchmarkView(b *testing.B) {
	for _, targets := range []int{64, 256, 1024, 2300} {
		s := state(b, targets)
		markLost := control.Command{MarkLost: &control.MarkLost{Incarnation: s.Targets()[0].Owner()}}
		after, _ := s.Apply(baseIndex+1, wire.Encode(markLost))
		for name, since := range map[string]uint64{"whole": 0, "changes": baseIndex} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, targets), func(b *testing.B) {
				size := 0
				for b.Loop() {
					size = len(wire.Encode(controller.ViewOf(after, since, 0)))
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}
