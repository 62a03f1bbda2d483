package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// BenchmarkRequest measures the router's cost of one request: its arrival, the choice
// of a target and its end.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{16, 256, 1024, 2300} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := fullRouter(targets)
			var now timer.Instant
			var id router.AttemptID
			b.ReportAllocs()
			for b.Loop() {
				id++
				r, _ = r.Update(router.Arrived{
					ID: id, Service: "stock", Point: keyspace.Point(uint64(id) * 0x9e3779b97f4a7c15),
					Deadline: now.Add(time.Second), Now: now, Fingerprint: "f",
				})
				r, _ = r.Update(router.Ended{ID: id, Now: now, Result: router.ResultAnswered})
			}
		})
	}
}

func fullRouter(targets int) *router.Router {
	const rangesPerTarget = 16
	view := &router.View{
		Version: 1, ConfigVersion: 1, Config: config.Config{Services: services},
		Targets: make(map[string]control.Target), Tables: make(map[string]keyspace.Table),
	}
	ranges := keyspace.New(targets * rangesPerTarget).Ranges()
	for n := range targets {
		t := target(fmt.Sprintf("stock-%d", n), "stock")
		view.Targets[t.Name] = t
		for i := range rangesPerTarget {
			x := &ranges[n*rangesPerTarget+i]
			x.Owner, x.Epoch, x.Phase = t.Owner(), 1, keyspace.Active
		}
	}
	table, err := keyspace.FromRanges(ranges)
	if err != nil {
		panic(err)
	}
	view.Tables["stock"] = table
	r := router.New(router.Config{Limits: router.FixedLimit, Seed: 1})
	r, _ = r.Update(router.Renewed{View: view, Lease: lease.Held{}.WithRenewal(0, time.Hour, 1)})
	return r
}
