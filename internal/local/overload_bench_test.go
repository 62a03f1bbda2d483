package local_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/load"
	"github.com/cranberrywind/cranberrywind/internal/local"
)

// minGoodput is the least goodput, as a share of the capacity, at an offered load of
// twice the capacity.
const minGoodput = 0.9

// BenchmarkOverload sends one service 0.5 and 2 times the requests that its targets
// can run, through ten entries, and measures goodput, outcomes and latency.
func BenchmarkOverload(b *testing.B) {
	const (
		targets = 4
		slots   = 3
		work    = 20 * time.Millisecond
	)
	capacity := targets * slots / work.Seconds()
	d := benchDeployment(b, local.WithInstances(10, 3), local.WithTargets(targets, slots), local.WithWork(work))
	var callers []string
	for _, inst := range d.Instances {
		callers = append(callers, inst.Settings.CallerAddress)
	}
	for _, share := range []float64{0.5, 2} {
		name := map[float64]string{0.5: "half", 2: "twice"}[share]
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := load.Run(context.Background(), load.Config{
					Addresses: callers, Rate: capacity * share, Duration: 8 * time.Second, Keys: 100_000, Seed: 3, Timeout: 10 * time.Second,
					Kinds: []load.Kind{{Name: "lookup", Method: http.MethodGet, Prefix: "/stock/", Weight: 1}},
				})
				k := r.Kinds["lookup"]
				goodput := float64(k.Outcomes["done"]) / 8 / capacity
				b.ReportMetric(goodput, "goodput/capacity")
				b.ReportMetric(float64(k.Outcomes["not_run"])/float64(k.Sent), "not_run_share")
				b.ReportMetric(float64(k.Outcomes["unknown"]+k.Outcomes["broken"]), "unknown_or_broken")
				b.ReportMetric(float64(k.P50.Microseconds())/1e3, "p50_ms")
				b.ReportMetric(float64(k.P99.Microseconds())/1e3, "p99_ms")
				b.ReportMetric(float64(k.RejectedP50.Microseconds())/1e3, "refused_p50_ms")
				b.ReportMetric(float64(k.RejectedP99.Microseconds())/1e3, "refused_p99_ms")
				if share > 1 && goodput < minGoodput {
					b.Errorf("goodput is %.2f of the capacity, less than %.2f", goodput, minGoodput)
				}
			}
		})
	}
}
