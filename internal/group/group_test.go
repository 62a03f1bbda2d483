package group_test

import (
	"context"
	"encoding/binary"
	"errors"
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

// counter is a state machine that adds up its commands.
type counter uint64

func (c counter) Apply(_ uint64, command []byte) (counter, []byte) {
	c += counter(binary.LittleEndian.Uint64(command))
	return c, binary.LittleEndian.AppendUint64(nil, uint64(c))
}

func (c counter) Encode() []byte { return binary.LittleEndian.AppendUint64(nil, uint64(c)) }

func decodeCounter(data []byte) (counter, error) {
	return counter(binary.LittleEndian.Uint64(data)), nil
}

func add(n uint64) []byte { return binary.LittleEndian.AppendUint64(nil, n) }

// network delivers messages between replicas in this process, by address.
type network struct {
	mu     sync.Mutex
	groups map[string]*group.Group[counter]
}

func (n *network) Send(address string, e group.Envelope) {
	n.mu.Lock()
	g := n.groups[address]
	n.mu.Unlock()
	if g != nil {
		go g.Receive(e)
	}
}

func (n *network) set(address string, g *group.Group[counter]) {
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
	byName map[string]*group.Group[counter]
	stop   map[string]func()
	// address overrides an instance's address, which is its name by default.
	address map[string]string
}

func (c *cluster) start(name string, fs disk.FS) error {
	ctx, cancel := context.WithCancel(context.Background())
	address, ok := c.address[name]
	if !ok {
		address = name
	}
	g, stop, err := group.Open(ctx, group.Config[counter]{
		Name:      "count",
		Instance:  name,
		Address:   address,
		Dir:       filepath.Join(c.dir, name),
		Decode:    decodeCounter,
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
		t: t, net: &network{groups: make(map[string]*group.Group[counter])}, dir: t.TempDir(),
		names: []string{"a", "b", "c", "d", "e"}[:replicas], byName: make(map[string]*group.Group[counter]), stop: make(map[string]func()),
		address: make(map[string]string),
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

// leader waits until a replica leads and returns it.
func (c *cluster) leader() *group.Group[counter] {
	c.t.Helper()
	var found *group.Group[counter]
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, g := range c.byName {
			if g.Role().Role == replica.Leader {
				found = g
				return poll.Success()
			}
		}
		return poll.Continue("no leader yet")
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

// add proposes a command to the current leader until it is committed.
func (c *cluster) add(n uint64) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := c.leader().Propose(ctx, add(n)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// assertTotal checks the counter behind a read barrier.
func (c *cluster) assertTotal(want uint64) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		applied, err := c.leader().Barrier(ctx)
		if err != nil {
			return poll.Continue("%v", err)
		}
		assert.Equal(c.t, uint64(applied.State), want)
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

func TestRestartKeepsState(t *testing.T) {
	c := newCluster(t)
	for range 10 {
		c.add(1)
	}
	for _, name := range c.names {
		c.stop[name]()
	}
	for _, name := range c.names {
		assert.NilError(t, c.start(name, nil))
	}
	c.assertTotal(10)
}

func TestEmptyFolderGetsNewReplicaID(t *testing.T) {
	c := newCluster(t)
	c.add(1)
	old := c.byName["a"].Self().ID
	c.stop["a"]()
	assert.NilError(t, os.RemoveAll(filepath.Join(c.dir, "a")))
	assert.NilError(t, c.start("a", nil))
	assert.Assert(t, c.byName["a"].Self().ID != old)
	assert.Assert(t, !c.byName["a"].Formed())
	c.add(1)
	c.assertTotal(2)
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
	c.add(1)
	stopped := c.follower()
	c.stop[stopped]()
	c.add(1)
	c.address[stopped] = "moved"
	assert.NilError(t, c.start(stopped, nil))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.byName[stopped].State().State == 2 {
			return poll.Success()
		}
		return poll.Continue("at %d", c.byName[stopped].State().State)
	})
}

func TestFailedSyncStopsReplica(t *testing.T) {
	c := newCluster(t)
	c.add(1)
	leader := c.leader().Self().Instance
	c.stop[leader]()
	fs := &failingFS{}
	assert.NilError(t, c.start(leader, fs))
	fs.mu.Lock()
	fs.broken = true
	fs.mu.Unlock()
	c.add(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if errors.Is(c.byName[leader].Err(), errSync) {
			return poll.Success()
		}
		return poll.Continue("replica %s still runs", leader)
	})
	c.stop[leader]()
	delete(c.byName, leader)
	c.add(1)
	c.assertTotal(3)
}

// TestCatchUpBySnapshot stops a replica until it has missed more entries than
// the leader's log keeps: it must catch up by a snapshot.
func TestCatchUpBySnapshot(t *testing.T) {
	c := newCluster(t)
	c.add(1)
	stopped := c.follower()
	c.stop[stopped]()
	g := c.leader()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 100 {
				if _, err := g.Propose(context.Background(), add(1)); err != nil {
					t.Errorf("propose: %v", err)
					return
				}
			}
		})
	}
	wg.Wait()
	assert.NilError(t, c.start(stopped, nil))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.byName[stopped].State().State == 5001 {
			return poll.Success()
		}
		return poll.Continue("at %d", c.byName[stopped].State().State)
	})
}
