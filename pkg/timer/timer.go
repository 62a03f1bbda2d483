// Package timer provides a monotonic clock that delivers periodic ticks. System is
// the clock of the process; Manual is a clock that tests advance.
//
//	clock := timer.NewSystem(ctx)
//	ticks, stop := clock.Subscribe(25 * time.Millisecond)
//	defer stop()
package timer

import (
	"context"
	"sync"
	"time"
)

// Instant is the monotonic time since the clock was created. It has no meaning in
// another process.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Clock returns the time and delivers ticks.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Subscribe delivers a tick every period until the returned function is called.
	// At most one tick is buffered; a slow subscriber misses the others.
	Subscribe(period time.Duration) (<-chan Instant, func())
}

// System is the Clock of the process.
type System struct {
	ctx   context.Context
	start time.Time
}

// NewSystem returns a clock that starts at zero. Its subscriptions end with ctx.
func NewSystem(ctx context.Context) *System {
	return &System{ctx: ctx, start: time.Now()}
}

// Now returns the time since the clock was created.
func (s *System) Now() Instant { return Instant(time.Since(s.start)) }

// Subscribe delivers a tick every period, as described at Clock.
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
			trySend(ticks, s.Now())
		}
	}
}

// trySend sends a tick unless the subscriber has not yet received the last one.
func trySend(ticks chan<- Instant, now Instant) {
	select {
	case ticks <- now:
	default:
	}
}

// Every calls f at every tick of the period until ctx ends.
func Every(ctx context.Context, clock Clock, period time.Duration, f func()) {
	ticks, stop := clock.Subscribe(period)
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

// Sleep waits for d and reports false if ctx ends first.
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

// Manual is a Clock whose time changes only when Advance is called.
type Manual struct {
	mu            sync.Mutex
	now           Instant
	subscriptions map[int]*subscription
	nextID        int
}

type subscription struct {
	period time.Duration
	due    Instant
	ticks  chan Instant
}

// NewManual returns a manual clock at instant zero.
func NewManual() *Manual {
	return &Manual{subscriptions: make(map[int]*subscription)}
}

// Now returns the instant to which Advance has moved the clock.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe delivers a tick when Advance reaches the end of a period.
func (m *Manual) Subscribe(period time.Duration) (<-chan Instant, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.nextID
	m.nextID++
	sub := &subscription{period: period, due: m.now.Add(period), ticks: make(chan Instant, 1)}
	m.subscriptions[id] = sub
	return sub.ticks, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subscriptions, id)
	}
}

// Advance moves the clock forward by d and delivers the ticks that became due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for _, sub := range m.subscriptions {
		for sub.due <= m.now {
			sub.due = sub.due.Add(sub.period)
			trySend(sub.ticks, m.now)
		}
	}
}
