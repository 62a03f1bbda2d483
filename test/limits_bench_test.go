package test

import (
	"testing"
	"time"
)

const (
	// drainLimit is the time after the announcement of a drain in which the target
	// may still get requests.
	drainLimit = 3 * time.Second
	// networkAllowance is added to a deadline for the network between caller and
	// entry.
	networkAllowance = 100 * time.Millisecond
)

// BenchmarkDrainingTarget measures the time from the announcement of a drain to the last
// request that the target gets.
func BenchmarkDrainingTarget(b *testing.B) {
	for b.Loop() {
		_, _, last := newSystem(b, 4).drainUnderLoad()
		b.ReportMetric(float64(last.Milliseconds()), "last_ms")
		if last > drainLimit {
			b.Errorf("the target got a request %s after the announcement of its drain, more than %s", last, drainLimit)
		}
	}
}

// BenchmarkDeadlines measures the slowest response while an owner is killed and the
// control leader is paused. Each caller must get a response by its deadline. The paused
// instance is excluded as entry, since it can't respond to requests in flight.
func BenchmarkDeadlines(b *testing.B) {
	for b.Loop() {
		s := newSystem(b, 5)
		s.startTargets(3, true)
		owner, leader := s.owner("stock", "k1"), s.leader()
		l := startLoad(s, 6, leader)
		s.targets[owner].kill()
		s.instances[leader].pause()
		time.Sleep(6 * time.Second)
		s.instances[leader].resume()
		l.stop()
		b.ReportMetric(float64(l.slowest.Milliseconds()), "slowest_ms")
		if l.slowest > requestDeadline+networkAllowance {
			b.Errorf("a response took %s, more than %s", l.slowest, requestDeadline)
		}
	}
}
