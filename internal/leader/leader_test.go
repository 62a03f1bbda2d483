package leader

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/loop"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// countedTargets counts the calls that leave.
type countedTargets struct {
	calls   atomic.Int32
	connect func() // before a call leaves
}

func (c *countedTargets) Grant(_ context.Context, _ string, g Grant) error {
	if c.connect != nil {
		c.connect()
	}
	if g.Allowed() {
		c.calls.Add(1)
	}
	return nil
}

func (c *countedTargets) Release(ctx context.Context, address string, g Grant) (string, error) {
	return "", c.Grant(ctx, address, g)
}

// TestNoOrdersWithoutAQuorum wakes a leader from a suspension, of which the steady
// clock knows nothing: what it had decided before must not leave any more.
func TestNoOrdersWithoutAQuorum(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	targets := &countedTargets{}
	l := &Leader{targets: targets, clock: timer.NewManual(), log: log.New(io.Discard), ctx: ctx}
	lp, stop := loop.New(ctx, NewModel(DefaultTiming()), l.run)
	defer stop()
	l.loop = lp
	ref := deployment.RangeRef{Service: testService, To: deployment.MaxKey, Fence: 7}
	calls := func() int32 {
		before := targets.calls.Load()
		l.grant(SendGrant{Range: ref})
		l.release(SendRelease{Range: ref})
		return targets.calls.Load() - before
	}
	l.quorum.Store(int64(bootTime()))
	assert.Equal(t, calls(), int32(2))
	tooOld := func() { l.quorum.Store(int64(bootTime() - quorumValid - time.Millisecond)) }
	tooOld()
	assert.Equal(t, calls(), int32(0))
	// Suspended after the decision, while it connects.
	l.quorum.Store(int64(bootTime()))
	targets.connect = tooOld
	assert.Equal(t, calls(), int32(0))
}
