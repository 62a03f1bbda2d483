package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// rangesPerTarget is how many ranges a target owns in the benchmarks.
const rangesPerTarget = 16

var benchTargets = []int{64, 256, 1024, 2300}

// filled returns a state in which every range is active, with a leader's view.
func filled(b *testing.B, targets int) (control.State, control.View) {
	b.Helper()
	ranges := targets * rangesPerTarget
	text := strings.Replace(source(""), "ranges = 8", fmt.Sprintf("ranges = %d", ranges), 1)
	m := &machine{t: &testing.T{}}
	m.accept("first", 0, text)
	state := m.state
	view := control.View{Entries: make(map[control.EntryID]control.EntryView), Targets: make(map[keyspace.Owner]control.TargetView)}
	index := m.index
	const now = timer.Instant(time.Hour)
	view.Now = now
	step := func(c control.Command) {
		index++
		state, _ = state.Apply(index, wire.Encode(c))
	}
	for n := range targets {
		x := target(fmt.Sprintf("stock-%05d", n), true)
		x.Address, x.AvailabilityZone, x.Slots, x.Connections = "10.100.200.100:8080", "availability-zone-1", 3, 120
		x.Incarnation = "6b1f0b0e-8a51-4c6e-9d0a-0b6f6c3b7a11"
		step(control.Command{Announce: &control.Announce{Target: x}})
		view.Targets[x.Owner()] = control.TargetView{First: 1, LastHeartbeat: now, Granted: 1 << 40}
	}
	view.Entries[control.EntryID{Instance: "i1", Incarnation: "1"}] = control.EntryView{Acked: 1 << 40}
	for range 4 {
		if c, ok := control.Plan(state, view, control.DefaultTiming()); ok && c.Assign != nil {
			step(c)
		}
	}
	for _, x := range state.Targets() {
		activate := control.Activate{Owner: x.Owner()}
		keys, _ := state.Table("stock")
		for _, r := range keys.Ranges() {
			if r.Owner == x.Owner() {
				activate.Ranges = append(activate.Ranges, control.RangeRef{Service: "stock", Start: r.Start, Epoch: r.Epoch})
			}
		}
		step(control.Command{Activate: &activate})
	}
	assertActive(b, state, ranges)
	return state, view
}

func assertActive(b *testing.B, state control.State, want int) {
	b.Helper()
	active := 0
	keys, _ := state.Table("stock")
	for _, r := range keys.All() {
		if r.Phase == keyspace.Active {
			active++
		}
	}
	assert.Equal(b, active, want)
}

func eachSize(b *testing.B, run func(b *testing.B, state control.State, view control.View)) {
	for _, n := range benchTargets {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			state, view := filled(b, n)
			b.ResetTimer()
			run(b, state, view)
		})
	}
}

// BenchmarkIdlePlan is one planning round in which nothing is to be done.
func BenchmarkIdlePlan(b *testing.B) {
	eachSize(b, func(b *testing.B, state control.State, view control.View) {
		var p control.Planner
		for b.Loop() {
			p, _, _ = p.Next(state, view, control.DefaultTiming())
		}
	})
}

// BenchmarkFullPlan is one planning round that looks at all ranges.
func BenchmarkFullPlan(b *testing.B) {
	eachSize(b, func(b *testing.B, state control.State, view control.View) {
		for b.Loop() {
			control.Plan(state, view, control.DefaultTiming())
		}
	})
}

// BenchmarkLose applies the loss of one target, which revokes its ranges.
func BenchmarkLose(b *testing.B) {
	eachSize(b, func(b *testing.B, state control.State, _ control.View) {
		owner := state.Targets()[0].Owner()
		command := wire.Encode(control.Command{MarkLost: &control.MarkLost{Owner: owner}})
		for b.Loop() {
			state.Apply(1<<40, command)
		}
	})
}

// BenchmarkSnapshot encodes the whole state.
func BenchmarkSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, state control.State, _ control.View) {
		size := 0
		for b.Loop() {
			size = len(state.Encode())
		}
		b.ReportMetric(float64(size), "bytes")
	})
}
