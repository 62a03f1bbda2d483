package limit

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Link shares a narrow link among transfers. Small ones are sent at once and only
// counted. Large ones ask before each chunk and wait while the link is busy, so
// that small ones find a short queue; the one with the least left goes first. The
// nil value never makes anybody wait.
type Link struct {
	rate float64 // bytes a second

	mu      sync.Mutex
	freeAt  time.Time // when all that was let go so far has left
	waiting []*transfer
	wake    *time.Timer
}

// transfer is a large one that waits to send its next chunk.
type transfer struct {
	chunk, left int
	granted     chan struct{}
}

const (
	// Chunk is how many bytes of a large transfer go at a time. It takes 11 ms on
	// a link of 6 Mbit/s.
	Chunk = 8 << 10
	// linkSlack is for how long bytes may wait at the link, so that it is not
	// idle until a chunk's sender has woken.
	linkSlack = 8 * time.Millisecond
)

// NewLink returns a link of the given speed.
func NewLink(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond} }

// Note counts bytes that are sent without asking.
func (l *Link) Note(bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.use(bytes)
}

// use counts bytes. The lock is held.
func (l *Link) use(bytes int) {
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
}

// Wait returns once a transfer of which the given number of bytes is left may
// send its next chunk, or ctx ends.
func (l *Link) Wait(ctx context.Context, chunk, left int) error {
	if l == nil {
		return nil
	}
	t := &transfer{chunk: chunk, left: left, granted: make(chan struct{})}
	l.mu.Lock()
	l.waiting = append(l.waiting, t)
	l.grant()
	l.mu.Unlock()
	select {
	case <-t.granted:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(x *transfer) bool { return x == t })
	return ctx.Err()
}

// grant lets transfers go until the link is busy, and looks again when it will
// be free. The lock is held.
func (l *Link) grant() {
	for len(l.waiting) > 0 {
		if busy := time.Until(l.freeAt.Add(-linkSlack)); busy > 0 {
			if l.wake != nil {
				l.wake.Stop()
			}
			l.wake = time.AfterFunc(busy, func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.grant()
			})
			return
		}
		next := slices.MinFunc(l.waiting, func(a, b *transfer) int { return a.left - b.left })
		l.waiting = slices.DeleteFunc(l.waiting, func(x *transfer) bool { return x == next })
		l.use(next.chunk)
		close(next.granted)
	}
}
