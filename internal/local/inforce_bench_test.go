package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/local"
)

// BenchmarkInForce measures how long an accepted text takes to be in force at
// every instance, counted from before its proposal.
func BenchmarkInForce(b *testing.B) {
	for _, instances := range []int{4, 10, 20, 40} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			d := benchDeployment(b, local.WithInstances(instances, 3))
			n := 0
			var worst, sum time.Duration
			for b.Loop() {
				n++
				began := time.Now()
				assert.NilError(b, d.Accept(d.Text+fmt.Sprintf("; change %d\n", n)))
				state, err := d.State(context.Background())
				assert.NilError(b, err)
				for !d.Routes(state) {
					time.Sleep(time.Millisecond)
				}
				took := time.Since(began)
				worst, sum = max(worst, took), sum+took
			}
			b.ReportMetric(float64(sum.Milliseconds())/float64(n), "mean_ms")
			b.ReportMetric(float64(worst.Milliseconds()), "max_ms")
		})
	}
}
