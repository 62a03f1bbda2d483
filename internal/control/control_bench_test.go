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

// activeState returns a state in which every range is active, and its leader state.
func activeState(b *testing.B, targets int) (control.State, control.LeaderState) {
	b.Helper()
	ranges := targets * rangesPerTarget
	cfg := strings.Replace(source(""), "ranges = 8", fmt.Sprintf("ranges = %d", ranges), 1)
	m := &stateMachine{t: &testing.T{}}
	m.accept("first", 0, cfg)
	state := m.state
	leader := control.LeaderState{Entries: make(map[control.EntryID]control.EntrySession), Targets: make(map[keyspace.Owner]control.TargetSession)}
	index := m.index
	const now = timer.Instant(time.Hour)
	leader.Now = now
	step := func(c control.Command) {
		index++
		state, _ = state.Apply(index, wire.Encode(c))
	}
	for n := range targets {
		x := target(fmt.Sprintf("stock-%05d", n), true)
		x.Address, x.AvailabilityZone, x.Slots, x.Connections = "10.100.200.100:8080", "availability-zone-1", 3, 120
		x.Incarnation = "6b1f0b0e-8a51-4c6e-9d0a-0b6f6c3b7a11"
		step(control.Command{Announce: &control.Announce{Target: x}})
		leader.Targets[x.Owner()] = control.TargetSession{FirstHeartbeat: 1, LastHeartbeat: now, ConfirmedVersion: 1 << 40}
	}
	leader.Entries[control.EntryID{Instance: "i1", Incarnation: "1"}] = control.EntrySession{Acked: 1 << 40}
	for range 4 {
		if c, ok := control.Plan(state, leader, control.DefaultTiming()); ok && c.Assign != nil {
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
	return state, leader
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

func forEachSize(b *testing.B, run func(b *testing.B, state control.State, leader control.LeaderState)) {
	for _, n := range benchTargets {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			state, leader := activeState(b, n)
			b.ResetTimer()
			run(b, state, leader)
		})
	}
}

// BenchmarkIdlePlan measures one planning round of a state that needs no command.
func BenchmarkIdlePlan(b *testing.B) {
	forEachSize(b, func(b *testing.B, state control.State, leader control.LeaderState) {
		var p control.Planner
		for b.Loop() {
			p, _, _ = p.Next(state, leader, control.DefaultTiming())
		}
	})
}

// BenchmarkFullPlan measures one planning round that checks all ranges.
func BenchmarkFullPlan(b *testing.B) {
	forEachSize(b, func(b *testing.B, state control.State, leader control.LeaderState) {
		for b.Loop() {
			control.Plan(state, leader, control.DefaultTiming())
		}
	})
}

// BenchmarkMarkLost measures marking one target as lost, which revokes its ranges.
func BenchmarkMarkLost(b *testing.B) {
	forEachSize(b, func(b *testing.B, state control.State, _ control.LeaderState) {
		owner := state.Targets()[0].Owner()
		command := wire.Encode(control.Command{MarkLost: &control.MarkLost{Incarnation: owner}})
		for b.Loop() {
			state.Apply(1<<40, command)
		}
	})
}

// BenchmarkSnapshot measures encoding the whole state.
func BenchmarkSnapshot(b *testing.B) {
	forEachSize(b, func(b *testing.B, state control.State, _ control.LeaderState) {
		size := 0
		for b.Loop() {
			size = len(state.Encode())
		}
		b.ReportMetric(float64(size), "bytes")
	})
}
