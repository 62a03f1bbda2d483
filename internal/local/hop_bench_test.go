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

// maxHopP99 is how much the entry may add to the p99 latency of requests on loopback
// at hopRate requests a second.
const (
	maxHopP99   = time.Millisecond
	hopRate     = 2000
	hopDuration = 2 * time.Second
)

// benchDeployment starts a deployment and waits until it is ready.
func benchDeployment(b *testing.B, opts ...local.Option) *local.Deployment {
	b.Helper()
	d, stop, err := local.Start(context.Background(), b.TempDir(), opts...)
	assert.NilError(b, err)
	b.Cleanup(stop)
	assert.NilError(b, d.WaitReady(context.Background()))
	return d
}

// BenchmarkHop compares the latency and allocations of lookups through one entry with
// those of lookups sent directly to the same stand-in target.
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
			Addresses: []string{address}, Rate: hopRate, Duration: hopDuration, Keys: 1000, Seed: 1, Timeout: 5 * time.Second,
			Kinds: []load.Kind{{Name: "lookup", Method: http.MethodGet, Prefix: "/stock/", Weight: 1}},
		})
		return *r.Kinds["lookup"]
	}
	run(stock.Address())
	var direct, routed hopPercentiles
	for b.Loop() {
		before := mallocs()
		direct.add(run(stock.Address()))
		between := mallocs()
		routed.add(run(d.Instances[0].Settings.CallerAddress))
		hopMallocs := float64(mallocs()-between) - float64(between-before)
		b.ReportMetric(hopMallocs/(hopRate*hopDuration.Seconds()), "hop_allocs/request")
	}
	b.ReportMetric(direct.median(direct.p50), "direct_p50_us")
	b.ReportMetric(direct.median(direct.p99), "direct_p99_us")
	b.ReportMetric(routed.median(routed.p50), "routed_p50_us")
	b.ReportMetric(routed.median(routed.p99), "routed_p99_us")
	if added := routed.median(routed.p99) - direct.median(direct.p99); added > float64(maxHopP99.Microseconds()) {
		b.Errorf("the entry adds %.0f us at p99, more than %s", added, maxHopP99)
	}
}

// hopPercentiles holds the latency percentiles of repeated runs.
type hopPercentiles struct{ p50, p99 []time.Duration }

func (t *hopPercentiles) add(r load.KindResult) {
	t.p50 = append(t.p50, r.P50)
	t.p99 = append(t.p99, r.P99)
}

// median sorts values and returns their median in microseconds.
func (t *hopPercentiles) median(values []time.Duration) float64 {
	slices.Sort(values)
	return float64(values[len(values)/2].Microseconds())
}

// mallocs returns how many heap objects the process has allocated.
func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
