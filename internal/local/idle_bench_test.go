package local_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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

// BenchmarkRequestCost measures the processor time that requests take at the
// entry, as the difference between routed and direct ones, at several numbers
// of requests.
func BenchmarkRequestCost(b *testing.B) {
	d := benchDeployment(b, local.WithTargets(1, 64), local.WithWork(0))
	i := slices.IndexFunc(d.Targets, func(t *standin.Target) bool { return t.Name() == "stock-1" })
	direct, routed := "http://"+d.Targets[i].Address(), callerOf(d, 0)
	burst(b, direct, 2000)
	burst(b, routed, 2000)
	for _, n := range []int{5_000, 10_000, 20_000, 40_000} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			for b.Loop() {
				used := burst(b, routed, n) - burst(b, direct, n)
				b.ReportMetric(float64(used.Microseconds()), "hop_us")
				b.ReportMetric(float64(used.Microseconds())/float64(n), "hop_us/request")
			}
		})
	}
}

// burst sends n lookups from a few callers at once and returns the processor
// time that the whole process took.
func burst(b *testing.B, base string, n int) time.Duration {
	b.Helper()
	const callers = 12
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	before := cpu()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := range n / callers {
				resp, err := client.Get(fmt.Sprintf("%s/stock/k%d", base, c*n+i))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	return cpu() - before
}
