package limit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// free lets a link be free now. One chunk makes it busy again, for hours.
func (l *Link) free() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freeAt = time.Now()
	l.grant()
}

func (l *Link) waiters() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

func TestLeastLeftGoesFirst(t *testing.T) {
	link := NewLink(1)
	link.Note(100_000)
	order := make(chan string, 3)
	for name, left := range map[string]int{"long": 300, "short": 100, "middle": 200} {
		before := link.waiters()
		go func() {
			if link.Wait(context.Background(), 100_000, left) == nil {
				order <- name
			}
		}()
		for link.waiters() == before {
			time.Sleep(time.Millisecond)
		}
	}
	for _, want := range []string{"short", "middle", "long"} {
		link.free()
		assert.Equal(t, <-order, want)
	}
}
