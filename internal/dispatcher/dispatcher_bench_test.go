package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// benchTargets is the number of targets of the pool in benchmarks and tests.
const benchTargets = 8

func testTargets(n, slots int) []dispatch.TargetInfo {
	var out []dispatch.TargetInfo
	for i := range n {
		out = append(out, dispatch.TargetInfo{Target: deployment.Target{ID: "catalog-zone-a-" + string(rune('a'+i)), StartMillis: 1, Slots: slots}})
	}
	return out
}

// testPool is a pool that a test asks for slots.
const testPool = "catalog/a/0"

func newTestPools(clock timer.Clock, targets, slots int) *pools {
	p := newPools(clock, func() reducer { return dispatch.NewPool(dispatch.Config{}) })
	p.assign(map[string][]dispatch.TargetInfo{testPool: testTargets(targets, slots)})
	return p
}

func newTestClient(tb testing.TB, address string, local *pools) *client {
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	pool, stop := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	tb.Cleanup(stop)
	return newClient(ctx, "entry/1", Config{Address: address, Log: log.New(io.Discard), Open: pool.OpenDispatch}, local)
}

type handlerFunc func(s instance.DispatchStream) error

func (h handlerFunc) Dispatch(s instance.DispatchStream) error { return h(s) }

// BenchmarkRoundTrip measures the processor time of a request for a slot, its grant and its
// end, of both sides together.
func BenchmarkRoundTrip(b *testing.B) {
	clock := timer.NewSystem(context.Background())
	p := newTestPools(clock, benchTargets, 4)
	run := func(b *testing.B, c *client, address string) {
		info := dispatch.PoolInfo{ID: testPool, Dispatcher: dispatch.Entry{Address: address}}
		r := dispatch.Requested{Priority: 1, Objective: time.Second, Timeout: 2 * time.Second, Left: 2 * time.Second, Connected: []string{"catalog-zone-a-a", "catalog-zone-a-b"}}
		before := processorTime()
		b.ReportAllocs()
		for b.Loop() {
			pending := c.ask(info, r)
			d, err := pending.Await(context.Background(), nil)
			if err != nil || !d.Granted {
				b.Fatal(d, err)
			}
			pending.End(dispatch.Ended{Outcome: dispatch.Succeeded, Took: 60 * time.Millisecond, LoadKnown: true, Running: 1, Slowdown: 1})
		}
		b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
	}
	b.Run("to another entry", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		b.Cleanup(instance.ServeDispatch(l, handlerFunc(p.serve), instance.Security{}, &instance.Traffic{}))
		run(b, newTestClient(b, "", nil), l.Addr().String())
	})
	b.Run("to the entry itself", func(b *testing.B) { run(b, newTestClient(b, "own", p), "own") })
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	runtime.Gosched()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAssign measures a change of the list of dispatchers or of a target in a deployment
// with as many entries and targets as the largest that is asked for has.
func BenchmarkAssign(b *testing.B) {
	var targets []deployment.Target
	for i := range 280 {
		service := []string{"lookups", "histories", "payments"}[i%3]
		targets = append(targets, deployment.Target{ID: fmt.Sprintf("target-%d", i), Service: service, AvailabilityZone: fmt.Sprint("z", i%4)})
	}
	var entries []dispatch.Entry
	for i := range 106 {
		entries = append(entries, dispatch.Entry{ID: fmt.Sprint("10.0.0.", i, ":7001"), Address: fmt.Sprint("10.0.0.", i, ":7001"), Zone: fmt.Sprint("z", i%4)})
	}
	for b.Loop() {
		dispatch.Assign(targets, entries, func(service string) bool { return service == "histories" })
	}
}
