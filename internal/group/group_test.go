package group_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/disk"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// ledger is a state machine that counts its commands and keeps their IDs.
type ledger struct {
	commands uint64
	ids      []uint64 // of the commands that have one, in order
}

// Apply appends to the IDs in place: a replica applies only to its newest state.
func (l ledger) Apply(_ uint64, command []byte) (ledger, []byte) {
	l.commands++
	if id := binary.LittleEndian.Uint64(command); id != 0 {
		l.ids = append(l.ids, id)
	}
	return l, binary.LittleEndian.AppendUint64(nil, l.commands)
}

func (l ledger) Encode() []byte {
	out := binary.LittleEndian.AppendUint64(nil, l.commands)
	for _, id := range l.ids {
		out = binary.LittleEndian.AppendUint64(out, id)
	}
	return out
}

func decodeLedger(data []byte) (ledger, error) {
	l := ledger{commands: binary.LittleEndian.Uint64(data)}
	for data = data[8:]; len(data) > 0; data = data[8:] {
		l.ids = append(l.ids, binary.LittleEndian.Uint64(data))
	}
	return l, nil
}

// command returns a command with an ID, or without one if id is 0.
func command(id uint64) []byte { return binary.LittleEndian.AppendUint64(nil, id) }

// proposals records the outcome of each proposal, by the ID of its command.
type proposals struct {
	mu     sync.Mutex
	lastID uint64
	errs   map[uint64]error
}

// propose proposes a new command to a replica.
func (p *proposals) propose(ctx context.Context, g *group.Group[ledger]) error {
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	p.mu.Unlock()
	_, err := g.Propose(ctx, command(id))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errs[id] = err
	return err
}

// check returns the number of acknowledged commands that the state lacks. It returns an
// error if the state contains a command twice, one that must have no effect, or one that
// wasn't proposed here.
func (p *proposals) check(l ledger) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.commands != uint64(len(l.ids)) {
		return 0, fmt.Errorf("%d commands were applied, %d of them with an ID", l.commands, len(l.ids))
	}
	applied := make(map[uint64]bool)
	for _, id := range l.ids {
		err, proposed := p.errs[id]
		switch {
		case applied[id]:
			return 0, fmt.Errorf("command %d was applied twice: %v", id, l.ids)
		case !proposed:
			return 0, fmt.Errorf("command %d was not proposed", id)
		case err != nil && !errors.Is(err, group.ErrOutcomeUnknown):
			return 0, fmt.Errorf("command %d was applied after error %w", id, err)
		}
		applied[id] = true
	}
	missing := 0
	for id, err := range p.errs {
		if err == nil && !applied[id] {
			missing++
		}
	}
	return missing, nil
}

// network delivers messages between replicas in this process, by address.
type network struct {
	mu     sync.Mutex
	groups map[string]*group.Group[ledger]
}

func (n *network) Send(address string, e group.Envelope) {
	n.mu.Lock()
	g := n.groups[address]
	n.mu.Unlock()
	if g != nil {
		go g.Receive(e)
	}
}

func (n *network) set(address string, g *group.Group[ledger]) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[address] = g
}

// cluster is the replicas of one group, by instance name.
type cluster struct {
	t      testing.TB
	net    *network
	dir    string
	names  []string
	byName map[string]*group.Group[ledger]
	stop   map[string]func()
	// address overrides an instance's address, which is its name by default.
	address   map[string]string
	proposals *proposals
}

func (c *cluster) start(name string, fs disk.FS) error {
	ctx, cancel := context.WithCancel(context.Background())
	address, ok := c.address[name]
	if !ok {
		address = name
	}
	g, stop, err := group.Open(ctx, group.Config[ledger]{
		Name:      "count",
		Instance:  name,
		Address:   address,
		Dir:       filepath.Join(c.dir, name),
		Decode:    decodeLedger,
		Transport: c.net,
		Clock:     timer.NewSystem(ctx),
		Timing:    group.DefaultTiming(),
		FS:        fs,
	})
	if err != nil {
		cancel()
		return err
	}
	c.byName[name] = g
	c.net.set(address, g)
	c.stop[name] = func() {
		c.net.set(address, nil)
		stop()
		cancel()
	}
	return nil
}

func newCluster(t testing.TB) *cluster { return newClusterOf(t, 3) }

func newClusterOf(t testing.TB, replicas int) *cluster {
	c := &cluster{
		t: t, net: &network{groups: make(map[string]*group.Group[ledger])}, dir: t.TempDir(),
		names: []string{"a", "b", "c", "d", "e"}[:replicas], byName: make(map[string]*group.Group[ledger]), stop: make(map[string]func()),
		address: make(map[string]string), proposals: &proposals{errs: make(map[uint64]error)},
	}
	var members replica.Members
	for _, name := range c.names {
		assert.NilError(t, c.start(name, nil))
		members.Voters = append(members.Voters, c.byName[name].Self())
	}
	t.Cleanup(func() {
		for _, stop := range c.stop {
			stop()
		}
	})
	for _, name := range c.names {
		assert.NilError(t, c.byName[name].Form(members))
	}
	return c
}

// currentLeader returns a replica that leads, or nil.
func (c *cluster) currentLeader() *group.Group[ledger] {
	for _, g := range c.byName {
		if g.Role().Role == replica.Leader {
			return g
		}
	}
	return nil
}

// leader waits until a replica leads and returns it.
func (c *cluster) leader() *group.Group[ledger] {
	c.t.Helper()
	var found *group.Group[ledger]
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if found = c.currentLeader(); found == nil {
			return poll.Continue("no leader yet")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	return found
}

// follower returns the name of a replica that isn't the leader.
func (c *cluster) follower() string {
	c.t.Helper()
	leader := c.leader()
	for _, name := range c.names {
		if c.byName[name] != leader {
			return name
		}
	}
	c.t.Fatal("no follower")
	return ""
}

// callLeader calls the current leader, again after an error, until it succeeds.
func (c *cluster) callLeader(call func(ctx context.Context, g *group.Group[ledger]) error) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		g := c.currentLeader()
		if g == nil {
			return poll.Continue("no leader yet")
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := call(ctx, g); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// add proposes commands to the current leader until one is acknowledged.
func (c *cluster) add() {
	c.t.Helper()
	c.callLeader(c.proposals.propose)
}

// addBefore proposes commands to the current leader until one is acknowledged or ctx ends.
func (c *cluster) addBefore(ctx context.Context) error {
	for {
		if g := c.currentLeader(); g != nil && c.proposals.propose(ctx, g) == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// assertApplied checks behind a read barrier that every acknowledged command was applied
// exactly once, every one of unknown outcome at most once, and no other one.
func (c *cluster) assertApplied() {
	c.t.Helper()
	var state ledger
	c.callLeader(func(ctx context.Context, g *group.Group[ledger]) error {
		applied, err := g.Barrier(ctx)
		state = applied.State
		return err
	})
	missing, err := c.proposals.check(state)
	assert.NilError(c.t, err)
	assert.Equal(c.t, missing, 0, "acknowledged commands are missing")
}

// waitCaughtUp waits until a replica has applied every acknowledged command once.
func (c *cluster) waitCaughtUp(name string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		missing, err := c.proposals.check(c.byName[name].State().State)
		switch {
		case err != nil:
			return poll.Error(err)
		case missing > 0:
			return poll.Continue("replica %s lacks %d commands", name, missing)
		}
		return poll.Success()
	})
}

func TestRestartKeepsState(t *testing.T) {
	c := newCluster(t)
	for range 10 {
		c.add()
	}
	for _, name := range c.names {
		c.stop[name]()
	}
	for _, name := range c.names {
		assert.NilError(t, c.start(name, nil))
	}
	c.assertApplied()
}

func TestEmptyFolderGetsNewReplicaID(t *testing.T) {
	c := newCluster(t)
	c.add()
	old := c.byName["a"].Self().ID
	c.stop["a"]()
	assert.NilError(t, os.RemoveAll(filepath.Join(c.dir, "a")))
	assert.NilError(t, c.start("a", nil))
	assert.Assert(t, c.byName["a"].Self().ID != old)
	assert.Assert(t, !c.byName["a"].Formed())
	c.add()
	c.assertApplied()
	assert.Assert(t, c.byName["a"].Role().Role == replica.Follower)
}

// failingFS is a file system whose syncs fail while broken is set.
type failingFS struct {
	disk.OS
	mu     sync.Mutex
	broken bool
}

type failingFile struct {
	disk.File
	fs *failingFS
}

var errSync = errors.New("injected sync failure")

func (f *failingFS) Append(path string) (disk.File, error) {
	file, err := f.OS.Append(path)
	return failingFile{file, f}, err
}

func (f failingFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.broken {
		return errSync
	}
	return f.File.Sync()
}

// TestRestartAtNewAddress restarts a replica with its disk at another address.
// The others must send to the address in its messages, not to the one in the
// membership.
func TestRestartAtNewAddress(t *testing.T) {
	c := newCluster(t)
	c.add()
	stopped := c.follower()
	c.stop[stopped]()
	c.add()
	c.address[stopped] = "moved"
	assert.NilError(t, c.start(stopped, nil))
	c.waitCaughtUp(stopped)
}

func TestFailedSyncStopsReplica(t *testing.T) {
	c := newCluster(t)
	c.add()
	leader := c.leader().Self().Instance
	c.stop[leader]()
	fs := &failingFS{}
	assert.NilError(t, c.start(leader, fs))
	fs.mu.Lock()
	fs.broken = true
	fs.mu.Unlock()
	c.add()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if errors.Is(c.byName[leader].Err(), errSync) {
			return poll.Success()
		}
		return poll.Continue("replica %s still runs", leader)
	})
	c.stop[leader]()
	delete(c.byName, leader)
	c.add()
	c.assertApplied()
}

// TestUnknownProposalsAreAppliedAtMostOnce proposes with a context that has ended, and
// restarts the replicas.
func TestUnknownProposalsAreAppliedAtMostOnce(t *testing.T) {
	c := newCluster(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for unknown := 0; unknown < 10; {
		if err := c.proposals.propose(ended, c.leader()); errors.Is(err, group.ErrOutcomeUnknown) {
			unknown++
		}
		c.add()
	}
	c.assertApplied()
	for _, name := range c.names {
		c.stop[name]()
		assert.NilError(t, c.start(name, nil))
	}
	c.assertApplied()
}

// TestCatchUpBySnapshot stops a replica until it has missed more entries than
// the leader's log keeps: it must catch up by a snapshot.
func TestCatchUpBySnapshot(t *testing.T) {
	c := newCluster(t)
	c.add()
	stopped := c.follower()
	c.stop[stopped]()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 100 {
				assert.Check(t, c.addBefore(ctx))
			}
		})
	}
	wg.Wait()
	assert.NilError(t, c.start(stopped, nil))
	c.waitCaughtUp(stopped)
}
