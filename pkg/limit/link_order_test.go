package limit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// makeIdle makes the link free now. The next chunk makes it busy again for hours.
func (l *Link) makeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freeAt = time.Now()
	l.admitLocked()
}

func (l *Link) waiters() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// TestLinkLeastRemainingFirst checks that the transfer with the fewest remaining
// bytes is admitted first, whatever the order of the calls.
func TestLinkLeastRemainingFirst(t *testing.T) {
	link := NewLink(1)
	link.Count(100_000)
	order := make(chan string, 3)
	for name, remaining := range map[string]int{"long": 300, "short": 100, "middle": 200} {
		before := link.waiters()
		go func() {
			if link.Wait(context.Background(), 100_000, remaining) == nil {
				order <- name
			}
		}()
		for link.waiters() == before {
			time.Sleep(time.Millisecond)
		}
	}
	for _, want := range []string{"short", "middle", "long"} {
		link.makeIdle()
		assert.Equal(t, <-order, want)
	}
}
