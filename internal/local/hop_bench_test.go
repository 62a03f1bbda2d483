package local_test

import (
	"context"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/load"
	"github.com/cranberrywind/cranberrywind/internal/local"
	"github.com/cranberrywind/cranberrywind/internal/standin"
)

// hopLimit is the most that the entry may add to a request's p99 on loopback at
// hopRate requests a second.
const (
	hopLimit = time.Millisecond
	hopRate  = 2000
	hopTime  = 2 * time.Second
)

func benchDeployment(b *testing.B, opts ...local.Option) *local.Deployment {
	b.Helper()
	d, stop, err := local.Start(context.Background(), b.TempDir(), opts...)
	assert.NilError(b, err)
	b.Cleanup(stop)
	assert.NilError(b, d.WaitReady(context.Background()))
	return d
}

// BenchmarkHop compares lookups through one entry with direct calls of the same
// stand-in target, in one run.
func BenchmarkHop(b *testing.B) {
	d := benchDeployment(b, local.WithTargets(1, 64), local.WithWork(0))
	var stock *standin.Target
	for _, t := range d.Targets {
		if t.Name() == "stock-1" {
			stock = t
		}
	}
	run := func(address string) load.KindResult {
		r := load.Run(context.Background(), load.Config{
			Targets: []string{address}, Rate: hopRate, Duration: hopTime, Keys: 1000, Seed: 1, Timeout: 5 * time.Second,
			Kinds: []load.Kind{{Name: "lookup", Method: http.MethodGet, Prefix: "/stock/", Weight: 1}},
		})
		return *r.Kinds["lookup"]
	}
	run(stock.Address())
	var direct, routed hopTimes
	for b.Loop() {
		before := mallocs()
		direct.add(run(stock.Address()))
		between := mallocs()
		routed.add(run(d.Instances[0].Settings.CallerAddress))
		hop := float64(mallocs()-between) - float64(between-before)
		b.ReportMetric(hop/(hopRate*hopTime.Seconds()), "hop_allocs/request")
	}
	b.ReportMetric(direct.median(direct.p50), "direct_p50_us")
	b.ReportMetric(direct.median(direct.p99), "direct_p99_us")
	b.ReportMetric(routed.median(routed.p50), "routed_p50_us")
	b.ReportMetric(routed.median(routed.p99), "routed_p99_us")
	if added := routed.median(routed.p99) - direct.median(direct.p99); added > float64(hopLimit.Microseconds()) {
		b.Errorf("the hop adds %.0f us at p99, more than %s", added, hopLimit)
	}
}

// hopTimes are the percentiles of repeated runs.
type hopTimes struct{ p50, p99 []time.Duration }

func (t *hopTimes) add(r load.KindResult) {
	t.p50 = append(t.p50, r.P50)
	t.p99 = append(t.p99, r.P99)
}

// median returns the middle of the values in microseconds.
func (t *hopTimes) median(values []time.Duration) float64 {
	slices.Sort(values)
	return float64(values[len(values)/2].Microseconds())
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
