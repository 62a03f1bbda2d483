package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// take takes up to n tokens and returns how many it got.
func take(r Rate, n int, now timer.Instant) (Rate, int) {
	for i := range n {
		next, ok := r.WithRequest(now)
		if !ok {
			return r, i
		}
		r = next
	}
	return r, n
}

func TestRate(t *testing.T) {
	second := timer.Instant(time.Second)
	t.Run("allows its burst and then its rate", func(t *testing.T) {
		r, n := take(NewRate(4, 3, 3, 0), 10, 0)
		assert.Equal(t, n, 3)
		r, n = take(r, 10, second/2)
		assert.Equal(t, n, 2)
		_, n = take(r, 10, 10*second)
		assert.Equal(t, n, 3)
	})
	t.Run("keeps its tokens when its rate changes", func(t *testing.T) {
		r := NewRate(4, 3, 0, 0).WithLimit(1, 3, second/2)
		r, n := take(r, 10, second/2)
		assert.Equal(t, n, 2)
		_, n = take(r, 10, second+second/2)
		assert.Equal(t, n, 1)
	})
	t.Run("a clock that does not advance adds nothing", func(t *testing.T) {
		r, _ := take(NewRate(4, 1, 1, second), 1, second)
		assert.Assert(t, !r.Allows(0))
	})
	t.Run("the zero value allows nothing", func(t *testing.T) {
		assert.Assert(t, !Rate{}.Allows(second))
	})
	t.Run("the interval is that of the rate", func(t *testing.T) {
		assert.Equal(t, NewRate(4, 1, 1, 0).Interval(), 250*time.Millisecond)
	})
}
