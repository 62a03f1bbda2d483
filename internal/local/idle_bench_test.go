package local_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/load"
	"github.com/cranberrywind/cranberrywind/internal/local"
	"github.com/cranberrywind/cranberrywind/internal/standin"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

const idleTime = 4 * time.Second

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures what control costs without any request: processor time
// of the whole process, and the bytes of the leader and of one entry without
// the control role. Instances and targets vary one at a time.
func BenchmarkIdle(b *testing.B) {
	sizes := []struct{ instances, targets int }{{4, 2}, {8, 2}, {16, 2}, {32, 2}, {4, 8}, {4, 16}, {4, 32}}
	for _, x := range sizes {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", x.instances, 3*x.targets), func(b *testing.B) {
			d := benchDeployment(b, local.WithInstances(x.instances, 3), local.WithTargets(x.targets, 4))
			time.Sleep(time.Second)
			for b.Loop() {
				measureIdle(b, d)
			}
		})
	}
}

func measureIdle(b *testing.B, d *local.Deployment) {
	b.Helper()
	leader := slices.IndexFunc(d.Instances, func(x *local.Instance) bool { return x.Daemon.ControlRole() == replica.Leader })
	assert.Assert(b, leader >= 0)
	entry := len(d.Instances) - 1
	bytes := func(i int) float64 {
		in, out := d.Instances[i].Daemon.Traffic()
		return float64(in + out)
	}
	usedBefore, leaderBefore, entryBefore := cpu(), bytes(leader), bytes(entry)
	time.Sleep(idleTime)
	seconds := idleTime.Seconds()
	b.ReportMetric(float64((cpu()-usedBefore).Microseconds())/1e4/seconds, "%core")
	b.ReportMetric((bytes(leader)-leaderBefore)/seconds, "leader_B/s")
	b.ReportMetric((bytes(entry)-entryBefore)/seconds, "entry_B/s")
}

// BenchmarkRequestCost measures the processor time that one request takes at
// the entry, as the difference between routed and direct requests.
func BenchmarkRequestCost(b *testing.B) {
	const seconds = 3
	d := benchDeployment(b, local.WithTargets(1, 64), local.WithWork(0))
	i := slices.IndexFunc(d.Targets, func(t *standin.Target) bool { return t.Name() == "stock-1" })
	run := func(address string, rate float64) float64 {
		before := cpu()
		load.Run(context.Background(), load.Config{
			Targets: []string{address}, Rate: rate, Duration: seconds * time.Second, Keys: 1000, Seed: 1, Timeout: 5 * time.Second,
			Kinds: []load.Kind{{Name: "lookup", Method: http.MethodGet, Prefix: "/stock/", Weight: 1}},
		})
		return float64((cpu() - before).Microseconds()) / seconds
	}
	for _, rate := range []float64{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			for b.Loop() {
				direct := run(d.Targets[i].Address(), rate)
				routed := run(d.Instances[0].Settings.CallerAddress, rate)
				b.ReportMetric(routed-direct, "hop_us/s")
				b.ReportMetric((routed-direct)/rate, "hop_us/request")
			}
		})
	}
}
