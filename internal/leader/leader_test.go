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
	"github.com/cranberrywind/cranberrywind/pkg/replica"
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
	l, targets := newTestLeader(t)
	calls := callCounter(l, targets)
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

// Guards against calls that were decided in an earlier term: another leader may have moved the keys since.
func TestNoCallsOfAnEarlierTerm(t *testing.T) {
	l, targets := newTestLeader(t)
	calls := callCounter(l, targets)
	l.confirmedAt.Store(int64(timer.BootTime()))
	assert.Equal(t, calls(), int32(2))
	regain := func() {
		l.role = func() replica.RoleChanged { return replica.RoleChanged{Role: replica.Leader, Term: testTerm + 2} }
	}
	targets.onConnect = regain
	assert.Equal(t, calls(), int32(0), "regained while connecting")
	targets.onConnect = nil
	assert.Equal(t, calls(), int32(0), "regained before")
}

const testTerm = 5

// newTestLeader returns a leader in testTerm without a group.
func newTestLeader(t *testing.T) (*Leader, *countingTargets) {
	targets := &countingTargets{}
	role := func() replica.RoleChanged { return replica.RoleChanged{Role: replica.Leader, Term: testTerm} }
	l := &Leader{role: role, targets: targets, clock: timer.NewManual(), log: log.New(io.Discard), ctx: t.Context()}
	lp, stop := loop.New(t.Context(), NewModel(DefaultTiming()), l.runEffects)
	t.Cleanup(stop)
	l.loop = lp
	return l, targets
}

// refusingTargets accept no connections.
type refusingTargets struct{}

func (refusingTargets) Grant(context.Context, string, KeyCall) error { return ErrNotSent }

func (refusingTargets) Release(context.Context, string, KeyCall) (string, error) {
	return "", ErrNotSent
}

// eventRecorder records the events that are sent to a model's loop.
type eventRecorder struct {
	eventLoop
	events []Event
}

func (r *eventRecorder) Send(e Event) error {
	r.events = append(r.events, e)
	return nil
}

// Guards against a grant that counts as sent although no connection was opened.
func TestRefusedGrantIsNotSent(t *testing.T) {
	l, _ := newTestLeader(t)
	recorder := &eventRecorder{}
	l.loop, l.targets = recorder, refusingTargets{}
	l.confirmedAt.Store(int64(timer.BootTime()))
	l.grant(SendGrant{Term: testTerm})
	ended := recorder.events[0].(GrantEnded)
	assert.ErrorIs(t, ended.Err, ErrNotSent)
	assert.Assert(t, !ended.Sent)
}

// callCounter returns a function that makes a grant and a release and returns how many were sent.
func callCounter(l *Leader, targets *countingTargets) func() int32 {
	ref := deployment.RangeRef{Service: testService, To: deployment.MaxKey, Fence: 7}
	return func() int32 {
		before := targets.calls.Load()
		l.grant(SendGrant{Term: testTerm, Range: ref})
		l.release(SendRelease{Term: testTerm, Range: ref})
		return targets.calls.Load() - before
	}
}
