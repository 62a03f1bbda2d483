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

// network carries messages between groups in this process.
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

// trio is a group of replicas, three of them unless a test asks otherwise.
type trio struct {
	t     testing.TB
	net   *network
	dir   string
	names []string
	run   map[string]*group.Group[counter]
	stop  map[string]func()
	// address is where an instance listens, if not at its name.
	address map[string]string
}

func (x *trio) start(name string, fs disk.FS) error {
	ctx, cancel := context.WithCancel(context.Background())
	address, ok := x.address[name]
	if !ok {
		address = name
	}
	g, stop, err := group.Open(ctx, group.Config[counter]{
		Name:      "count",
		Instance:  name,
		Address:   address,
		Dir:       filepath.Join(x.dir, name),
		Decode:    decodeCounter,
		Transport: x.net,
		Clock:     timer.NewSystem(ctx),
		Timing:    group.DefaultTiming(),
		FS:        fs,
	})
	if err != nil {
		cancel()
		return err
	}
	x.run[name] = g
	x.net.set(address, g)
	x.stop[name] = func() {
		x.net.set(address, nil)
		stop()
		cancel()
	}
	return nil
}

func newTrio(t testing.TB) *trio { return newGroupOf(t, 3) }

func newGroupOf(t testing.TB, replicas int) *trio {
	x := &trio{
		t: t, net: &network{groups: make(map[string]*group.Group[counter])}, dir: t.TempDir(),
		names: []string{"a", "b", "c", "d", "e"}[:replicas], run: make(map[string]*group.Group[counter]), stop: make(map[string]func()),
		address: make(map[string]string),
	}
	var members replica.Members
	for _, name := range x.names {
		assert.NilError(t, x.start(name, nil))
		members.Voters = append(members.Voters, x.run[name].Self())
	}
	t.Cleanup(func() {
		for _, stop := range x.stop {
			stop()
		}
	})
	for _, name := range x.names {
		assert.NilError(t, x.run[name].Form(members))
	}
	return x
}

// leader waits for a replica that leads.
func (x *trio) leader() *group.Group[counter] {
	x.t.Helper()
	var found *group.Group[counter]
	poll.WaitOn(x.t, func(poll.LogT) poll.Result {
		for _, g := range x.run {
			if g.Role().Role == replica.Leader {
				found = g
				return poll.Success()
			}
		}
		return poll.Continue("no leader yet")
	}, poll.WithDelay(5*time.Millisecond))
	return found
}

// follower returns the name of a replica that does not lead.
func (x *trio) follower() string {
	x.t.Helper()
	leader := x.leader()
	for _, name := range x.names {
		if x.run[name] != leader {
			return name
		}
	}
	x.t.Fatal("no follower")
	return ""
}

// add commits a command, whoever leads.
func (x *trio) add(n uint64) {
	x.t.Helper()
	poll.WaitOn(x.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := x.leader().Propose(ctx, add(n)); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

func (x *trio) assertTotal(want uint64) {
	x.t.Helper()
	poll.WaitOn(x.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		applied, err := x.leader().Barrier(ctx)
		if err != nil {
			return poll.Continue("%v", err)
		}
		assert.Equal(x.t, uint64(applied.State), want)
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

func TestRestartKeepsEverything(t *testing.T) {
	x := newTrio(t)
	for range 10 {
		x.add(1)
	}
	for _, name := range x.names {
		x.stop[name]()
	}
	for _, name := range x.names {
		assert.NilError(t, x.start(name, nil))
	}
	x.assertTotal(10)
}

func TestEmptiedFolderIsANewReplica(t *testing.T) {
	x := newTrio(t)
	x.add(1)
	old := x.run["a"].Self().ID
	x.stop["a"]()
	assert.NilError(t, os.RemoveAll(filepath.Join(x.dir, "a")))
	assert.NilError(t, x.start("a", nil))
	assert.Assert(t, x.run["a"].Self().ID != old)
	assert.Assert(t, !x.run["a"].Formed())
	x.add(1)
	x.assertTotal(2)
	assert.Assert(t, x.run["a"].Role().Role == replica.Follower)
}

// syncFails is a file system whose syncs fail from some point on.
type syncFails struct {
	disk.OS
	mu     sync.Mutex
	broken bool
}

type syncFailsFile struct {
	disk.File
	fs *syncFails
}

var errSync = errors.New("injected sync failure")

func (f *syncFails) Append(path string) (disk.File, error) {
	file, err := f.OS.Append(path)
	return syncFailsFile{file, f}, err
}

func (f syncFailsFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.broken {
		return errSync
	}
	return f.File.Sync()
}

// TestMovedInstance starts a replica again at another address, with its disk.
func TestMovedInstance(t *testing.T) {
	x := newTrio(t)
	x.add(1)
	away := x.follower()
	x.stop[away]()
	x.add(1)
	x.address[away] = "moved"
	assert.NilError(t, x.start(away, nil))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if x.run[away].State().State == 2 {
			return poll.Success()
		}
		return poll.Continue("at %d", x.run[away].State().State)
	})
}

func TestFailedSyncStopsTheReplica(t *testing.T) {
	x := newTrio(t)
	x.add(1)
	leader := x.leader().Self().Instance
	x.stop[leader]()
	fs := &syncFails{}
	assert.NilError(t, x.start(leader, fs))
	fs.mu.Lock()
	fs.broken = true
	fs.mu.Unlock()
	x.add(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if errors.Is(x.run[leader].Err(), errSync) {
			return poll.Success()
		}
		return poll.Continue("replica %s still runs", leader)
	})
	x.stop[leader]()
	delete(x.run, leader)
	x.add(1)
	x.assertTotal(3)
}

// TestRestartAfterManyChanges shows that a replica that missed more entries
// than the log keeps catches up by one snapshot.
func TestRestartAfterManyChanges(t *testing.T) {
	x := newTrio(t)
	x.add(1)
	away := x.follower()
	x.stop[away]()
	g := x.leader()
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
	assert.NilError(t, x.start(away, nil))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if x.run[away].State().State == 5001 {
			return poll.Success()
		}
		return poll.Continue("at %d", x.run[away].State().State)
	})
}
