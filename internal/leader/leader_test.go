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

// countingTargets counts the calls that are sent.
type countingTargets struct {
	calls     atomic.Int32
	onConnect func() // runs before a call is sent
}

func (c *countingTargets) Grant(_ context.Context, _ string, call KeyCall) error {
	if c.onConnect != nil {
		c.onConnect()
	}
	if call.Allowed() {
		c.calls.Add(1)
	}
	return nil
}

func (c *countingTargets) Release(ctx context.Context, address string, call KeyCall) (string, error) {
	return "", c.Grant(ctx, address, call)
}

// TestNoCallsWithoutConfirmedLeadership checks that a leader that was suspended sends
// none of the calls that it decided on before. The monotonic clock doesn't count the suspension.
func TestNoCallsWithoutConfirmedLeadership(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	targets := &countingTargets{}
	l := &Leader{targets: targets, clock: timer.NewManual(), log: log.New(io.Discard), ctx: ctx}
	lp, stop := loop.New(ctx, NewModel(DefaultTiming()), l.runEffects)
	defer stop()
	l.loop = lp
	ref := deployment.RangeRef{Service: testService, To: deployment.MaxKey, Fence: 7}
	calls := func() int32 {
		before := targets.calls.Load()
		l.grant(SendGrant{Range: ref})
		l.release(SendRelease{Range: ref})
		return targets.calls.Load() - before
	}
	l.confirmedAt.Store(int64(timer.BootTime()))
	assert.Equal(t, calls(), int32(2))
	expireConfirmation := func() { l.confirmedAt.Store(int64(timer.BootTime() - confirmationValidity - time.Millisecond)) }
	expireConfirmation()
	assert.Equal(t, calls(), int32(0))
	// Suspended while connecting.
	l.confirmedAt.Store(int64(timer.BootTime()))
	targets.onConnect = expireConfirmation
	assert.Equal(t, calls(), int32(0))
}
