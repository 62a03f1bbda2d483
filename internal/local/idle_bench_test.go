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

const idlePeriod = 4 * time.Second

// processCPU returns the processor time that the process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures the cost of a deployment without requests: the processor time
// of the whole process, and the traffic of the leader and of one entry without the
// control role. The numbers of instances and targets vary one at a time.
func BenchmarkIdle(b *testing.B) {
	sizes := []struct{ instances, targets int }{{4, 2}, {8, 2}, {16, 2}, {32, 2}, {4, 8}, {4, 16}, {4, 32}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("instances=%d/targets=%d", size.instances, 3*size.targets), func(b *testing.B) {
			d := benchDeployment(b, local.WithInstances(size.instances, 3), local.WithTargets(size.targets, 4))
			time.Sleep(time.Second)
			for b.Loop() {
				measureIdle(b, d)
			}
		})
	}
}

func measureIdle(b *testing.B, d *local.Deployment) {
	b.Helper()
	leader := slices.IndexFunc(d.Instances, func(inst *local.Instance) bool { return inst.Daemon.ControlRole() == replica.Leader })
	assert.Assert(b, leader >= 0)
	entry := len(d.Instances) - 1
	bytes := func(i int) float64 {
		in, out := d.Instances[i].Daemon.Traffic()
		return float64(in + out)
	}
	usedBefore, leaderBefore, entryBefore := processCPU(), bytes(leader), bytes(entry)
	time.Sleep(idlePeriod)
	seconds := idlePeriod.Seconds()
	b.ReportMetric(float64((processCPU()-usedBefore).Microseconds())/1e4/seconds, "%core")
	b.ReportMetric((bytes(leader)-leaderBefore)/seconds, "leader_B/s")
	b.ReportMetric((bytes(entry)-entryBefore)/seconds, "entry_B/s")
}

// BenchmarkRequestCost measures the processor time that an entry spends on requests,
// as the difference between routed and direct requests, for several numbers of
// requests.
func BenchmarkRequestCost(b *testing.B) {
	d := benchDeployment(b, local.WithTargets(1, 64), local.WithWork(0))
	i := slices.IndexFunc(d.Targets, func(t *standin.Target) bool { return t.Name() == "stock-1" })
	direct, routed := "http://"+d.Targets[i].Address(), callerURL(d, 0)
	burstCPU(b, direct, 2000)
	burstCPU(b, routed, 2000)
	for _, n := range []int{5_000, 10_000, 20_000, 40_000} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			for b.Loop() {
				used := burstCPU(b, routed, n) - burstCPU(b, direct, n)
				b.ReportMetric(float64(used.Microseconds()), "hop_us")
				b.ReportMetric(float64(used.Microseconds())/float64(n), "hop_us/request")
			}
		})
	}
}

// burstCPU sends n lookups from concurrent callers and returns the processor time that
// the whole process used.
func burstCPU(b *testing.B, base string, n int) time.Duration {
	b.Helper()
	const callers = 12
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	before := processCPU()
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
	return processCPU() - before
}
