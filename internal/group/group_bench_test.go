package group_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/group"
)

// BenchmarkPropose commits commands with a number of concurrent proposers on
// groups of several sizes. A majority syncs each command to disk.
func BenchmarkPropose(b *testing.B) {
	for _, replicas := range []int{1, 3, 5} {
		for _, proposers := range []int{1, 8, 64, 256} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", replicas, proposers), func(b *testing.B) {
				c := newClusterOf(b, replicas)
				c.add()
				g := c.leader()
				propose(b, g, proposers, b.N)
			})
		}
	}
}

// propose commits n commands and reports the rate and latency percentiles.
func propose(b *testing.B, g *group.Group[ledger], proposers, n int) {
	b.Helper()
	var mu sync.Mutex
	var times []time.Duration
	work := make(chan struct{}, proposers)
	var wg sync.WaitGroup
	for range proposers {
		wg.Go(func() {
			for range work {
				began := time.Now()
				if _, err := g.Propose(context.Background(), command(0)); err != nil {
					b.Error(err)
				}
				mu.Lock()
				times = append(times, time.Since(began))
				mu.Unlock()
			}
		})
	}
	began := time.Now()
	for range n {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64(n)/time.Since(began).Seconds(), "commands/s")
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50_us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99_us")
}

// BenchmarkCatchUp measures the time from the start of a replica that missed a
// number of commands until it has applied them.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprintf("missed=%d", missed), func(b *testing.B) {
			c := newCluster(b)
			c.add()
			total := uint64(1)
			for b.Loop() {
				stopped := c.follower()
				c.stop[stopped]()
				propose(b, c.leader(), 64, missed)
				total += uint64(missed)
				began := time.Now()
				if err := c.start(stopped, nil); err != nil {
					b.Fatal(err)
				}
				for c.byName[stopped].State().State.commands < total {
					time.Sleep(time.Millisecond)
				}
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms")
			}
		})
	}
}
