// Package timer is a time service that parts subscribe to. A Service reads
// the monotonic clock and delivers ticks; Manual does the same under a test's
// control.
//
//	svc := timer.NewSystem(ctx)
//	ticks, stop := svc.Subscribe(25 * time.Millisecond)
//	defer stop()
package timer

import (
	"context"
	"sync"
	"time"
)

// Instant is a reading of the monotonic clock since the service started. It
// has no meaning in another process.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Service tells the time and delivers ticks.
type Service interface {
	// Now returns the present instant.
	Now() Instant
	// Subscribe delivers a tick every period until the clean-up function is
	// called. A subscriber that is behind misses ticks; they never queue up.
	Subscribe(period time.Duration) (<-chan Instant, func())
}

// System is the service of the running process.
type System struct {
	ctx   context.Context
	start time.Time
}

// NewSystem returns a service on the process's monotonic clock. Its
// subscriptions end with ctx.
func NewSystem(ctx context.Context) *System {
	return &System{ctx: ctx, start: time.Now()}
}

// Now returns the time since the service started.
func (s *System) Now() Instant { return Instant(time.Since(s.start)) }

// Subscribe delivers a tick every period.
func (s *System) Subscribe(period time.Duration) (<-chan Instant, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	ticks := make(chan Instant, 1)
	go s.tick(ctx, period, ticks)
	return ticks, cancel
}

func (s *System) tick(ctx context.Context, period time.Duration, ticks chan<- Instant) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			offer(ticks, s.Now())
		}
	}
}

func offer(ticks chan<- Instant, now Instant) {
	select {
	case ticks <- now:
	default:
	}
}

// Every calls f once in each period until ctx ends.
func Every(ctx context.Context, s Service, period time.Duration, f func()) {
	ticks, stop := s.Subscribe(period)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			f()
		}
	}
}

// Sleep waits for the time to pass and reports whether ctx is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Manual is a service whose time moves only by Advance.
type Manual struct {
	mu   sync.Mutex
	now  Instant
	subs map[int]*subscription
	next int
}

type subscription struct {
	period time.Duration
	due    Instant
	ticks  chan Instant
}

// NewManual returns a manual service at instant zero.
func NewManual() *Manual {
	return &Manual{subs: make(map[int]*subscription)}
}

// Now returns the instant set by Advance.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe delivers a tick when Advance passes a period.
func (m *Manual) Subscribe(period time.Duration) (<-chan Instant, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.next
	m.next++
	sub := &subscription{period: period, due: m.now.Add(period), ticks: make(chan Instant, 1)}
	m.subs[id] = sub
	return sub.ticks, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subs, id)
	}
}

// Advance moves the time forward and delivers the ticks that fell due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for _, sub := range m.subs {
		for sub.due <= m.now {
			sub.due = sub.due.Add(sub.period)
			offer(sub.ticks, m.now)
		}
	}
}
