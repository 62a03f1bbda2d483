package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func TestNotice(t *testing.T) {
	const drain = 2 * time.Second
	start := timer.Instant(time.Minute)
	at := func(d time.Duration) timer.Instant { return start.Add(d) }
	maySend := func(t *testing.T, n notice, now timer.Instant, want bool) {
		t.Helper()
		_, ok := n.MaySend(now)
		assert.Equal(t, ok, want)
	}
	mayAsk := func(t *testing.T, n notice, now timer.Instant, want bool) {
		t.Helper()
		_, ok := n.MaySendToOwner(now, drain)
		assert.Equal(t, ok, want)
	}
	t.Run("a target without notices", func(t *testing.T) {
		maySend(t, notice{}, at(0), true)
		mayAsk(t, notice{}, at(0), true)
	})
	t.Run("a leaving target gets no more requests", func(t *testing.T) {
		n := notice{}.WithLeaving(at(0))
		maySend(t, n, at(0), false)
		maySend(t, n, at(time.Hour), false)
	})
	t.Run("a leaving owner serves its keys for a while", func(t *testing.T) {
		n := notice{}.WithLeaving(at(0)).WithLeaving(at(drain))
		mayAsk(t, n, at(drain/4), true)
		mayAsk(t, n, at(drain), false)
		assert.Assert(t, !n.MayStillSend(at(drain), drain))
	})
	t.Run("a target that wants rest gets no requests, then one, then all", func(t *testing.T) {
		n := notice{}.WithRest(1500*time.Millisecond, at(0))
		retryAfter, ok := n.MaySend(at(500 * time.Millisecond))
		assert.Assert(t, !ok && retryAfter == time.Second)
		mayAsk(t, n, at(time.Second), false)
		maySend(t, n, at(1500*time.Millisecond), true)
		n = n.WithSent()
		maySend(t, n, at(1600*time.Millisecond), false)
		assert.Assert(t, n.MayStillSend(at(1600*time.Millisecond), drain), "the request that tests it")
		n = n.WithEnded(true)
		maySend(t, n, at(1700*time.Millisecond), true)
	})
	t.Run("a test request without an answer is followed by another", func(t *testing.T) {
		n := notice{}.WithRest(time.Second, at(0)).WithSent().WithEnded(false)
		maySend(t, n, at(time.Second), true)
		maySend(t, n.WithSent(), at(time.Second), false)
	})
	t.Run("a shorter rest does not end a longer one", func(t *testing.T) {
		n := notice{}.WithRest(time.Minute, at(0)).WithRest(time.Second, at(time.Second))
		maySend(t, n, at(30*time.Second), false)
	})
}
