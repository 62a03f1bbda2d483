package group_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// TestConfirmationCountsFromItsHeartbeats guards against a confirmation that counts from
// heartbeats which were sent after those that a quorum answered.
func TestConfirmationCountsFromItsHeartbeats(t *testing.T) {
	c := newCluster(t)
	c.callLeader(func(ctx context.Context, g *group.Group[ledger]) error {
		last := timer.BootTime()
		for range 50 {
			asked := timer.BootTime()
			confirmation, err := g.Confirm(ctx)
			if err != nil {
				return err
			}
			assert.Assert(t, confirmation.Sent >= asked && confirmation.Sent >= last)
			assert.Assert(t, confirmation.Answered >= confirmation.Sent && confirmation.Answered <= timer.BootTime())
			last = confirmation.Answered
		}
		return nil
	})
	alone := newClusterOf(t, 1)
	alone.callLeader(func(ctx context.Context, g *group.Group[ledger]) error {
		confirmation, err := g.Confirm(ctx)
		assert.Assert(t, err != nil || confirmation.Sent == 0, "there is nobody to send heartbeats to")
		return err
	})
}
