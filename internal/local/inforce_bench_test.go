package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/local"
)

// BenchmarkInForce measures the time from the proposal of a configuration until it is
// in force at every instance.
func BenchmarkInForce(b *testing.B) {
	for _, instances := range []int{4, 10, 20, 40} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			d := benchDeployment(b, local.WithInstances(instances, 3))
			n := 0
			var worst, sum time.Duration
			for b.Loop() {
				n++
				start := time.Now()
				assert.NilError(b, d.AcceptConfig(d.Config+fmt.Sprintf("; change %d\n", n)))
				state, err := d.State(context.Background())
				assert.NilError(b, err)
				for !d.RoutesVersion(state) {
					time.Sleep(time.Millisecond)
				}
				took := time.Since(start)
				worst, sum = max(worst, took), sum+took
			}
			b.ReportMetric(float64(sum.Milliseconds())/float64(n), "mean_ms")
			b.ReportMetric(float64(worst.Milliseconds()), "max_ms")
		})
	}
}

// BenchmarkChangeRate measures the processor time of the whole process and the traffic
// of one entry while configurations are accepted at several rates.
func BenchmarkChangeRate(b *testing.B) {
	const duration = 4 * time.Second
	for _, rate := range []int{0, 5, 10, 20, 40} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			d := benchDeployment(b, local.WithInstances(6, 3))
			time.Sleep(time.Second)
			last := d.Instances[len(d.Instances)-1].Daemon
			n := 0
			for b.Loop() {
				in, out := last.Traffic()
				before, start := processCPU(), time.Now()
				for i := range rate * int(duration.Seconds()) {
					time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
					n++
					assert.NilError(b, d.AcceptConfig(d.Config+fmt.Sprintf("; change %d\n", n)))
				}
				time.Sleep(time.Until(start.Add(duration)))
				b.ReportMetric(float64((processCPU()-before).Microseconds())/1e4/duration.Seconds(), "%core")
				inAfter, outAfter := last.Traffic()
				b.ReportMetric(float64(inAfter+outAfter-in-out)/duration.Seconds(), "entry_B/s")
			}
		})
	}
}
