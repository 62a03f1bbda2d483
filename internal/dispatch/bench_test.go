package dispatch_test

import (
	"testing"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// BenchmarkPool measures a request and its end at a pool of 8 targets whose slots are all
// taken, while 100 requests wait. An entry has 0.112 cores.
func BenchmarkPool(b *testing.B) {
	p := dispatch.NewPool(dispatch.Config{})
	infos := make([]dispatch.TargetInfo, 8)
	for i := range infos {
		infos[i].Target = deployment.Target{ID: string(rune('a' + i)), Slots: 3}
	}
	now := timer.Instant(time.Second)
	p.Update(dispatch.TargetsChanged{At: now, Targets: infos})
	var held []dispatch.Granted
	record := func(effects []dispatch.Effect) {
		for _, e := range effects {
			if g, ok := e.(dispatch.Granted); ok {
				held = append(held, g)
			}
		}
	}
	ask := func(number int) {
		record(p.Update(dispatch.Requested{
			At: now, ID: dispatch.RequestID{Entry: "entry", Number: uint64(number)}, Priority: number % 3, Objective: time.Second,
			Timeout: 5 * time.Second, Left: 5 * time.Second, Connected: []string{"a", "c"},
		}))
	}
	for i := range 124 {
		ask(i)
	}
	b.ReportAllocs()
	for i := 124; b.Loop(); i++ {
		now = now.Add(2 * time.Millisecond)
		if len(held) > 0 {
			g := held[0]
			held = held[1:]
			record(p.Update(dispatch.Ended{At: now, ID: g.ID, Target: g.Target, Took: 48 * time.Millisecond, LoadKnown: true, Running: 3, Slowdown: 1}))
		}
		ask(i)
	}
	b.ReportMetric(float64(p.Status(now).Waiting), "waiting")
}
