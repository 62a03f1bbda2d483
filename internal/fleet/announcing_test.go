package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// TestAnnouncementsAreCommittedOnce plays many targets that start together and send their
// announcements again and again, and checks how many commits that makes.
func TestAnnouncementsAreCommittedOnce(t *testing.T) {
	const targets, repeats = 300, 5
	a := newAnnouncing()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var commits, running, most atomic.Int64
	var known sync.Map
	var wg sync.WaitGroup
	announce := func(incarnation deployment.Incarnation) {
		for {
			if _, ok := known.Load(incarnation); ok {
				return
			}
			end, err := a.begin(ctx, incarnation)
			assert.Check(t, err)
			if end == nil {
				continue
			}
			if n := running.Add(1); n > most.Load() {
				most.Store(n)
			}
			time.Sleep(time.Millisecond) // the commit
			commits.Add(1)
			known.Store(incarnation, true)
			running.Add(-1)
			end()
			return
		}
	}
	for n := range targets * repeats {
		incarnation := deployment.Incarnation{ID: fmt.Sprintf("t%d", n%targets), StartMillis: 1}
		wg.Go(func() { announce(incarnation) })
	}
	wg.Wait()
	assert.Assert(t, commits.Load() >= targets && commits.Load() < 2*targets, "%d commits", commits.Load())
	assert.Assert(t, most.Load() <= maxAnnouncing, "%d at a time", most.Load())
	t.Run("waiting ends with the caller", func(t *testing.T) {
		incarnation := deployment.Incarnation{ID: "slow"}
		end, err := a.begin(ctx, incarnation)
		assert.NilError(t, err)
		defer end()
		short, cancelShort := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancelShort()
		_, err = a.begin(short, incarnation)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
