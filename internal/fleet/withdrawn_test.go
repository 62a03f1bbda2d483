package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
)

func heartbeatOf(startMillis int64, sequence uint64) deployment.Target {
	return deployment.Target{
		ID: "t", StartMillis: startMillis, Service: "catalog", Address: "127.0.0.1:1", Status: deployment.Live, Slots: 1, Sequence: sequence,
	}
}

// assertUnusable checks that the target gets no requests by the state of any instance.
func (g *testGroup) assertUnusable() {
	g.t.Helper()
	for i, c := range g.controls {
		within(g.t, catchUpBound, func() error {
			if !c.Current() {
				return fmt.Errorf("instance %d is not current", i)
			}
			if t, known := c.State().Target("t"); known && t.Usable() {
				return fmt.Errorf("instance %d has the target as %s", i, t.Status)
			}
			return nil
		})
	}
}

// Guards against a withdrawal that is acknowledged and not recorded, since the target's first
// heartbeat has not arrived yet.
func TestWithdrawalBeforeFirstHeartbeat(t *testing.T) {
	cases := []struct {
		name   string
		before []deployment.Target // announced before the withdrawal of the start 20
		after  deployment.Target   // announced after it
	}{
		{"target is not known", nil, heartbeatOf(20, 1)},
		{"target is known with an earlier start", []deployment.Target{heartbeatOf(10, 7)}, heartbeatOf(20, 1)},
		{"target is known", []deployment.Target{heartbeatOf(20, 1)}, heartbeatOf(20, 2)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := startTestGroup(t, 3)
			g.awaitVoters(3)
			announce := func(x deployment.Target) {
				within(t, ackBound, func() error { return g.controls[0].Announce(context.Background(), x) })
			}
			for _, x := range c.before {
				announce(x)
			}
			within(t, ackBound, func() error { return g.controls[1].Withdraw(context.Background(), "t", 20) })
			announce(c.after)
			g.assertUnusable()
			t.Run("a later start is used", func(t *testing.T) {
				announce(heartbeatOf(30, 1))
				within(t, catchUpBound, func() error {
					if now, _ := g.controls[0].State().Target("t"); !now.Usable() || now.StartMillis != 30 {
						return fmt.Errorf("target %+v", now)
					}
					return nil
				})
			})
		})
	}
	t.Run("a withdrawal that can't be recorded is not acknowledged", func(t *testing.T) {
		g := startTestGroup(t, 3)
		g.awaitVoters(3)
		g.changeAt(0)
		assert.ErrorContains(t, g.controls[0].Withdraw(context.Background(), "t", 0), errTargetUnknown.Error())
	})
}

// restart ends all instances and starts them again with their disks.
func (g *testGroup) restart() {
	g.t.Helper()
	old, stops := g.controls, g.stops
	for _, stop := range stops {
		stop()
	}
	g.controls, g.stops, g.disks = nil, nil, nil
	for _, c := range old {
		l, err := net.Listen("tcp", c.cfg.Address)
		assert.NilError(g.t, err)
		g.start(l, false, c.cfg.DataDir)
	}
}

// Guards against a leader that acknowledges a withdrawal without recording it, since it has not
// applied its log after a start and does not know the target yet.
func TestWithdrawalWhileLogIsApplied(t *testing.T) {
	const changes, routes = 100, 1000
	g := startTestGroup(t, 3)
	g.awaitVoters(3)
	// The log is then long enough for a withdrawal to arrive while it is applied.
	g.compaction = group.Compaction{Entries: 1 << 40, Bytes: 1 << 40, Time: time.Hour}
	g.restart()
	within(t, ackBound, func() error { return g.controls[0].Announce(context.Background(), heartbeatOf(20, 1)) })
	for n := range uint64(changes) {
		change := deployment.ConfigChange{Digest: fmt.Sprint(n), Version: n + 1, Base: n, Whole: true, Services: []deployment.Service{{Name: "catalog"}}}
		for i := range routes {
			change.Routes = append(change.Routes, deployment.Route{
				Name: fmt.Sprint("r", i), Host: "shop.example", Prefix: fmt.Sprintf("/%d/", i), Kind: deployment.Lookup, Attempts: 1,
				Timeout: time.Second, Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}}, Source: fmt.Appendf(nil, "%d of %d", i, n),
			})
		}
		within(t, ackBound, func() error {
			_, err := g.controls[0].SubmitChange(context.Background(), change)
			return err
		})
	}
	g.restart()
	var leader *Control
	within(t, ackBound, func() error {
		i := slices.IndexFunc(g.controls, (*Control).isLeader)
		if i < 0 {
			return errors.New("no instance leads")
		}
		leader = g.controls[i]
		return nil
	})
	assert.Assert(t, !leader.Recovered(), "the log was applied before the withdrawal")
	within(t, ackBound, func() error { return leader.Withdraw(context.Background(), "t", 20) })
	g.assertUnusable()
}
