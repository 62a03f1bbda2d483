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

// BenchmarkPropose commits commands on groups of several sizes with a number of
// proposers at once, each command synced by a majority.
func BenchmarkPropose(b *testing.B) {
	for _, replicas := range []int{1, 3, 5} {
		for _, proposers := range []int{1, 8, 64, 256} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", replicas, proposers), func(b *testing.B) {
				x := newGroupOf(b, replicas)
				x.add(1)
				g := x.leader()
				propose(b, g, proposers)
			})
		}
	}
}

func propose(b *testing.B, g *group.Group[counter], proposers int) {
	b.Helper()
	var mu sync.Mutex
	var times []time.Duration
	work := make(chan struct{}, proposers)
	var wg sync.WaitGroup
	for range proposers {
		wg.Go(func() {
			for range work {
				began := time.Now()
				if _, err := g.Propose(context.Background(), add(1)); err != nil {
					b.Error(err)
				}
				mu.Lock()
				times = append(times, time.Since(began))
				mu.Unlock()
			}
		})
	}
	began := time.Now()
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "commands/s")
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50_us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99_us")
}
