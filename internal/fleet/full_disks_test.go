package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// ackBound is the time within which a valid change has to be acknowledged.
const ackBound = 4 * time.Second

// catchUpBound is the time after which an instance that is back counts again.
const catchUpBound = 4 * time.Second

// within retries until try returns no error, for no longer than the limit.
func within(t *testing.T, limit time.Duration, try func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := try(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(limit), poll.WithDelay(20*time.Millisecond))
}

// testGroup is the control instances of a deployment in one process.
type testGroup struct {
	t        *testing.T
	controls []*Control
	disks    []*faultyDisk
	stops    []func() // that end the instances
	seeds    []string
	handle   func(*Control) instance.DeploymentHandler
	change   []func(*settings.Routed)

	compaction group.Compaction
	version    uint64 // of the last change that was acknowledged
}

// startTestGroup starts control instances, of which the first three form the group.
func startTestGroup(t *testing.T, instances int, change ...func(*settings.Routed)) *testGroup {
	handle := func(c *Control) instance.DeploymentHandler { return c }
	return startTestGroupServing(t, instances, handle, change...)
}

// startTestGroupServing is startTestGroup with other handlers of the instances' calls.
func startTestGroupServing(t *testing.T, instances int, handle func(*Control) instance.DeploymentHandler, change ...func(*settings.Routed)) *testGroup {
	g := &testGroup{t: t, handle: handle, change: change, compaction: group.Compaction{Entries: 100}}
	var listeners []net.Listener
	for i := range instances {
		l := g.listen()
		listeners = append(listeners, l)
		if i < 3 {
			g.seeds = append(g.seeds, l.Addr().String())
		}
	}
	for i, l := range listeners {
		g.start(l, i < 3, t.TempDir())
	}
	return g
}

func (g *testGroup) listen() net.Listener {
	g.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(g.t, err)
	return l
}

// start starts an instance with its data in a folder.
func (g *testGroup) start(l net.Listener, bootstrap bool, dir string) {
	g.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	address := l.Addr().String()
	fs := &faultyDisk{}
	c := &Control{
		cfg: settings.Routed{Name: address, Address: address, Seeds: slices.Clone(g.seeds), Bootstrap: bootstrap, Control: true, DataDir: dir}, targets: failingTargets{},
		pool: pool, clock: timer.NewSystem(ctx), log: log.New(io.Discard), fs: fs, announcing: newAnnouncing(), compaction: g.compaction,
	}
	for _, f := range g.change {
		f(&c.cfg)
	}
	c.publisher = view.NewPublisher(c, c.clock)
	stopControl, err := c.start(ctx)
	assert.NilError(g.t, err)
	stopServing := instance.ServeDeployment(l, g.handle(c), instance.Security{}, &instance.Traffic{})
	stop := sync.OnceFunc(func() {
		stopServing()
		stopControl()
		closePool()
		cancel()
	})
	g.t.Cleanup(stop)
	g.controls, g.disks, g.stops = append(g.controls, c), append(g.disks, fs), append(g.stops, stop)
}

// awaitVoters waits until the group has the number of voters.
func (g *testGroup) awaitVoters(voters int) {
	g.t.Helper()
	eventually(g.t, func() error {
		if n := len(g.controls[0].lastReplica().group.Members().Voters); n != voters {
			return fmt.Errorf("%d voters, want %d", n, voters)
		}
		return nil
	})
}

// changeAt sends the next change to an instance, again after an error, as an operator does.
func (g *testGroup) changeAt(i int) {
	g.t.Helper()
	began := time.Now()
	change := deployment.ConfigChange{Digest: fmt.Sprint(g.version + 1), Version: g.version + 1, Base: g.version, Whole: true}
	var result deployment.Result
	within(g.t, ackBound, func() error {
		var err error
		if result, err = g.controls[i].SubmitChange(context.Background(), change); err != nil {
			err = fmt.Errorf("instance %d: %w", i, err)
		}
		return err
	})
	assert.Equal(g.t, result.Outcome, deployment.Accepted, "instance %d: %s", i, result.Reason)
	assert.Assert(g.t, time.Since(began) <= ackBound, "instance %d: acknowledged after %v", i, time.Since(began))
	g.version++
}

// assertReadEverywhere checks that every instance reads back the last change.
func (g *testGroup) assertReadEverywhere() {
	g.t.Helper()
	var want deployment.Config
	for i, c := range g.controls {
		within(g.t, catchUpBound, func() error {
			cfg, _, err := c.Configuration(context.Background())
			if err == nil && cfg.Version != g.version {
				err = fmt.Errorf("version %d, want %d", cfg.Version, g.version)
			}
			if err != nil {
				return fmt.Errorf("instance %d: %w", i, err)
			}
			if i == 0 {
				want = cfg
			}
			assert.DeepEqual(g.t, cfg, want)
			return nil
		})
	}
}

// Guards against instances beyond the largest number of voters that acknowledge nothing.
func TestChangesAreAcknowledgedOutsideOfTheGroup(t *testing.T) {
	g := startTestGroup(t, 8)
	g.awaitVoters(7)
	for i := range g.controls {
		g.changeAt(i)
	}
	g.assertReadEverywhere()
}

// Guards against heartbeats that are acknowledged outside of the group without renewing keys.
func TestKeysAreGrantedOutsideOfTheGroup(t *testing.T) {
	g := startTestGroup(t, 8, func(cfg *settings.Routed) {
		cfg.Grants, cfg.Heartbeat, cfg.MaxLease = settings.GrantByHeartbeat, 200*time.Millisecond, 5*time.Second
	})
	g.awaitVoters(7)
	change := deployment.ConfigChange{Digest: "a", Version: 1, Whole: true, Services: []deployment.Service{{Name: "shelf", Keyed: true, Connections: 10}, {Name: "catalog", Connections: 10}}}
	eventually(t, func() error {
		_, err := g.controls[0].SubmitChange(context.Background(), change)
		return err
	})
	heartbeat := func(c *Control, service string, sequence uint64) (*deployment.KeyLeases, error) {
		return c.AnnounceWithKeys(context.Background(), deployment.Target{
			ID: service, StartMillis: 1, Service: service, Address: "127.0.0.1:1", Status: deployment.Live, Slots: 1, Sequence: sequence,
		}, deployment.KeyReport{})
	}
	for i, c := range g.controls {
		within(t, ackBound, func() error {
			leases, err := heartbeat(c, "catalog", uint64(1+i))
			if err == nil && leases != nil {
				err = fmt.Errorf("instance %d grants keys of a service without keys", i)
			}
			return err
		})
		sequence := uint64(1 + 1000*i)
		within(t, ackBound, func() error {
			sequence++
			leases, err := heartbeat(c, "shelf", sequence)
			if err == nil && (leases == nil || len(leases.Ranges) == 0) {
				err = fmt.Errorf("instance %d grants no keys", i)
			}
			return err
		})
	}
}

// withoutJoin is a control instance at which no replica can join the group.
type withoutJoin struct{ *Control }

func (withoutJoin) Join(context.Context, *instance.JoinRequest) (*instance.Empty, error) {
	return nil, errInjected
}

// Guards against entries that go on following a replica that was removed from the group. The
// replica asks to join again at once, and is refused, so that it stays removed.
func TestRemovedReplicaIsNotCurrent(t *testing.T) {
	g := startTestGroupServing(t, 3, func(c *Control) instance.DeploymentHandler { return withoutJoin{c} })
	g.awaitVoters(3)
	g.changeAt(0)
	leads := slices.IndexFunc(g.controls, (*Control).isLeader)
	removed := g.controls[(leads+1)%3]
	id := removed.lastReplica().group.Self().ID
	lead := g.controls[leads].lastReplica().group
	assert.NilError(t, lead.ProposeMembers(context.Background(), lead.Members().Without(id)))
	eventually(t, func() error {
		if _, member := removed.lastReplica().group.Members().Find(id); member {
			return errors.New("the replica does not know yet that it was removed")
		}
		return nil
	})
	assert.Assert(t, !removed.Current())
}

// Guards against an instance that acknowledges nothing any more once its replica was replaced.
func TestChangesAreAcknowledgedAfterAReplicaWasReplaced(t *testing.T) {
	g := startTestGroup(t, 8)
	g.awaitVoters(7)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.propose(ctx)
	const full = 1 // one of the first members
	g.awaitFailure(g.disks[full], opOpen)
	id := g.controls[full].lastReplica().group.Self().ID
	eventually(t, func() error {
		if _, member := g.controls[0].lastReplica().group.Members().Find(id); member {
			return errors.New("the replica was not replaced")
		}
		return nil
	})
	g.changeAt(full)
	g.disks[full].failing.Store(int32(none))
	g.changeAt(full)
	g.assertReadEverywhere()
}

// propose keeps proposing commands that change nothing, until ctx ends.
func (g *testGroup) propose(ctx context.Context) {
	command := wire.Encode(deployment.Command{Withdraw: &deployment.Incarnation{ID: "unknown"}})
	for ctx.Err() == nil {
		proposed := false
		for _, c := range g.controls {
			if c.isLeader() {
				_, err := c.lastReplica().group.Propose(ctx, command)
				proposed = err == nil
			}
		}
		if !proposed {
			timer.Sleep(ctx, 5*time.Millisecond)
		}
	}
}

// fail lets an operation fail on the disk of an instance for some time, counted from the first
// failure.
func (g *testGroup) fail(i int, op operation) {
	g.t.Helper()
	d := g.disks[i]
	g.awaitFailure(d, op)
	timer.Sleep(context.Background(), 700*time.Millisecond) // the replica is opened at least once
	d.failing.Store(int32(none))
}

func (g *testGroup) awaitFailure(d *faultyDisk, op operation) {
	g.t.Helper()
	failed := d.failed.Load()
	d.failing.Store(int32(op))
	eventually(g.t, func() error {
		if d.failed.Load() == failed {
			return errors.New("no operation has failed")
		}
		return nil
	})
}

// Guards against control instances that stay out of use after their disks were full in turn.
func TestChangesAreAcknowledgedAfterFullDisks(t *testing.T) {
	cases := map[string][]operation{"five disks": {opWrite, opShortWrite, opSync, opRename, opTruncate}}
	for op, name := range map[operation]string{
		opMkdir: "mkdir", opList: "list", opRead: "read", opCreate: "create", opOpen: "open", opRename: "rename", opRemove: "remove",
		opSyncDir: "sync of the folder", opWrite: "write", opShortWrite: "short write", opSync: "sync", opTruncate: "truncate", opClose: "close",
	} {
		cases[name] = []operation{op, op, op}
	}
	for name, failures := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTestGroup(t, len(failures))
			g.awaitVoters(len(failures))
			g.changeAt(0)
			ctx, cancel := context.WithCancel(context.Background())
			var load sync.WaitGroup
			for range 2 {
				load.Go(func() { g.propose(ctx) })
			}
			for i, op := range failures {
				g.fail(i, op)
				eventually(t, func() error {
					if !g.controls[i].Current() {
						return fmt.Errorf("replica %d does not follow", i)
					}
					return nil
				})
			}
			cancel()
			load.Wait()
			for i := range g.controls {
				g.changeAt(i)
			}
			g.assertReadEverywhere()
		})
	}
}
