package local_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/examples"
	"github.com/cranberrywind/cranberrywind/internal/load"
	"github.com/cranberrywind/cranberrywind/internal/local"
)

// BenchmarkSkew sends lookups with Zipf-distributed keys. It compares the balance and
// latency when ranges move by load with a static baseline in which none move.
func BenchmarkSkew(b *testing.B) {
	const (
		targets = 6
		slots   = 3
		work    = 10 * time.Millisecond
		warmUp  = 20 * time.Second
		measure = 10 * time.Second
	)
	rate := 0.5 * targets * slots / work.Seconds()
	for _, name := range []string{"static", "by_load"} {
		b.Run(name, func(b *testing.B) {
			source, err := examples.Config("zarqa")
			assert.NilError(b, err)
			if name == "static" {
				source = strings.ReplaceAll(source, "moves_a_minute = 120", "moves_a_minute = 0")
			}
			d := benchDeployment(b, local.WithConfig(source), local.WithTargets(targets, slots), local.WithWork(work))
			cfg := load.Config{
				Addresses: []string{d.Instances[0].Settings.CallerAddress, d.Instances[1].Settings.CallerAddress, d.Instances[2].Settings.CallerAddress},
				Rate:      rate, Duration: warmUp, Keys: 5000, Skew: 1.2, Seed: 5, Timeout: 10 * time.Second,
				Kinds: []load.Kind{{Name: "lookup", Method: http.MethodGet, Prefix: "/stock/", Weight: 1}},
			}
			for b.Loop() {
				epochsBefore := rangeEpochs(b, d)
				load.Run(context.Background(), cfg)
				countsBefore := acceptedByTarget(d)
				cfg.Duration = measure
				k := load.Run(context.Background(), cfg).Kinds["lookup"]
				b.ReportMetric(imbalance(countsBefore, acceptedByTarget(d)), "max/mean")
				b.ReportMetric(float64(countMoved(epochsBefore, rangeEpochs(b, d))), "ranges_moved")
				b.ReportMetric(float64(k.Outcomes["done"])/float64(k.Sent), "answered_share")
				b.ReportMetric(float64(k.P50.Microseconds())/1e3, "p50_ms")
				b.ReportMetric(float64(k.P99.Microseconds())/1e3, "p99_ms")
			}
		})
	}
}

// acceptedByTarget returns how many requests each stock target has accepted.
func acceptedByTarget(d *local.Deployment) map[string]int {
	out := make(map[string]int)
	for _, t := range d.Targets {
		if strings.HasPrefix(t.Name(), "stock-") {
			out[t.Name()] = len(t.Records())
		}
	}
	return out
}

// imbalance returns the ratio of the largest to the mean number of requests that a
// target accepted between two counts.
func imbalance(before, after map[string]int) float64 {
	var counts []int
	sum := 0
	for name, n := range after {
		counts = append(counts, n-before[name])
		sum += n - before[name]
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(max(sum, 1))
}

// rangeEpochs returns the epoch of each range of service stock, by its start.
func rangeEpochs(b *testing.B, d *local.Deployment) map[uint64]uint64 {
	b.Helper()
	state, err := d.State(context.Background())
	assert.NilError(b, err)
	table, _ := state.Table("stock")
	out := make(map[uint64]uint64)
	for _, r := range table.All() {
		out[uint64(r.Start)] = r.Epoch
	}
	return out
}

// countMoved returns how many ranges of both tables have a new epoch.
func countMoved(before, after map[uint64]uint64) int {
	n := 0
	for start, epoch := range after {
		if old, ok := before[start]; ok && old != epoch {
			n++
		}
	}
	return n
}
