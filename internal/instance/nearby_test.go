package instance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// TestNearby guards against traffic between zones while an instance of the own zone answers,
// and against an instance that fails and is preferred all the same.
func TestNearby(t *testing.T) {
	all := []string{"a1", "a2", "b1", "unknown"}
	newNearby := func() (*instance.Nearby, *timer.Manual) {
		clock := timer.NewManual()
		n := instance.NewNearby("a", clock)
		n.Learn("b1", "b")
		return n, clock
	}
	t.Run("asks instances of unknown zones until one is near", func(t *testing.T) {
		n, _ := newNearby()
		assert.DeepEqual(t, n.Prefer(all), []string{"a1", "a2", "unknown"})
	})
	t.Run("keeps to the own zone", func(t *testing.T) {
		n, _ := newNearby()
		n.Learn("a1", "a")
		n.Learn("a2", "a")
		assert.DeepEqual(t, n.Prefer(all), []string{"a1", "a2"})
		assert.Assert(t, n.IsNear("a1") && !n.IsNear("b1") && !n.IsNear("unknown"))
	})
	t.Run("leaves out one that failed, for a while", func(t *testing.T) {
		n, clock := newNearby()
		n.Learn("a1", "a")
		n.Failed("a1")
		assert.DeepEqual(t, n.Prefer([]string{"a1", "b1"}), []string{"a1", "b1"})
		assert.Assert(t, !n.IsNear("a1"))
		clock.Advance(4 * time.Second)
		assert.DeepEqual(t, n.Prefer([]string{"a1", "b1"}), []string{"a1"})
	})
	t.Run("a zone without an instance uses all", func(t *testing.T) {
		n, _ := newNearby()
		assert.DeepEqual(t, n.Prefer([]string{"b1"}), []string{"b1"})
	})
	t.Run("nil prefers none", func(t *testing.T) {
		var n *instance.Nearby
		n.Learn("a1", "a")
		n.Failed("a1")
		assert.DeepEqual(t, n.Prefer(all), all)
		assert.Assert(t, !n.IsNear("a1"))
	})
}
