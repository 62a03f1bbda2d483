package limit

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Link schedules transfers on a network link of low bandwidth. Small transfers are
// sent at once and only counted. Large transfers call Wait before each chunk and are
// held back while the link is busy, which keeps the queue short for small transfers.
// The large transfer with the fewest remaining bytes goes first. On a nil Link
// nothing waits.
type Link struct {
	rate float64 // bytes per second

	mu      sync.Mutex
	freeAt  time.Time // when the link will have sent all bytes counted so far
	pending int       // bytes of large transfers that have not been admitted
	waiting []*transfer
	timer   *time.Timer
}

// transfer is a large transfer that waits to send its next chunk.
type transfer struct {
	chunk, remaining int           // bytes
	admitted         chan struct{} // closed when the chunk may be sent
}

const (
	// ChunkBytes is the number of bytes of a large transfer that are sent at a time.
	// They take 11 ms on a link of 6 Mbit/s.
	ChunkBytes = 8 << 10
	// maxLinkBacklog is the queueing delay at the link up to which the next chunk is
	// admitted, so that the link is not idle while the sender wakes up.
	maxLinkBacklog = 8 * time.Millisecond
)

// NewLink returns a link with the given bandwidth.
func NewLink(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond} }

// Count adds bytes that are sent without Wait to the backlog of the link.
func (l *Link) Count(bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countLocked(bytes)
}

// Delay returns how long it takes until the link has sent bytes that are added now. It is 0
// on a nil Link.
func (l *Link) Delay(bytes int) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.freeAt)) + time.Duration(float64(l.pending+bytes)/l.rate*float64(time.Second))
}

// Expect adds bytes of a large transfer that will be sent by Wait, so that Delay counts them
// before. It takes back as many when the number is negative.
func (l *Link) Expect(bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending += bytes
}

// countLocked adds bytes to the backlog. The caller holds l.mu.
func (l *Link) countLocked(bytes int) {
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
}

// Wait blocks until a transfer with the given remaining bytes may send its next
// chunk. It returns the error of ctx if ctx ends first.
func (l *Link) Wait(ctx context.Context, chunk, remaining int) error {
	if l == nil {
		return nil
	}
	t := &transfer{chunk: chunk, remaining: remaining, admitted: make(chan struct{})}
	l.mu.Lock()
	l.waiting = append(l.waiting, t)
	l.admitLocked()
	l.mu.Unlock()
	select {
	case <-t.admitted:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(x *transfer) bool { return x == t })
	return ctx.Err()
}

// admitLocked admits waiting transfers until the link is busy, and then sets a timer
// to continue when the link is free. The caller holds l.mu.
func (l *Link) admitLocked() {
	for len(l.waiting) > 0 {
		if wait := time.Until(l.freeAt.Add(-maxLinkBacklog)); wait > 0 {
			if l.timer != nil {
				l.timer.Stop()
			}
			l.timer = time.AfterFunc(wait, func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.admitLocked()
			})
			return
		}
		next := slices.MinFunc(l.waiting, func(a, b *transfer) int { return a.remaining - b.remaining })
		l.waiting = slices.DeleteFunc(l.waiting, func(x *transfer) bool { return x == next })
		l.countLocked(next.chunk)
		close(next.admitted)
	}
}
