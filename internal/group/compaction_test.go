package group_test

import (
	"context"
	"io/fs"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// startAlone starts the only voter of a group in the folder.
func startAlone(t *testing.T, dir string, delay *atomic.Int64) (*group.Group[slowState], func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	g, stop, err := group.Open(ctx, group.Config[slowState]{
		Name: "alone", Instance: "a", Address: "a", Dir: dir, Empty: slowState{delay: delay},
		Transport: noNetwork{}, Clock: timer.NewSystem(ctx), Timing: group.DefaultTiming(),
	})
	assert.NilError(t, err)
	if !g.Formed() {
		assert.NilError(t, g.Form(replica.Members{Voters: []replica.Member{g.Self()}}))
	}
	return g, func() {
		stop()
		cancel()
	}
}

// proposeAll proposes n commands of the given size, each after the one before is applied.
func proposeAll(t *testing.T, g *group.Group[slowState], n, size int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.Role().Role == replica.Leader {
			return poll.Success()
		}
		return poll.Continue("no leader yet")
	}, poll.WithDelay(time.Millisecond))
	for range n {
		_, err := g.Propose(t.Context(), make([]byte, size))
		assert.NilError(t, err)
	}
}

// folderBytes returns the size of all files in a folder.
func folderBytes(t *testing.T, dir string) int64 {
	t.Helper()
	total := int64(0)
	assert.NilError(t, filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err == nil {
			total += info.Size()
		}
		return nil
	}))
	return total
}

// Guards against a log that outgrows memory and disk because only the number of its commands is
// bounded, while each of them is large.
func TestLogOfLargeCommandsIsCompacted(t *testing.T) {
	const commands, size, most = 40, 1 << 20, 10 << 20
	dir := t.TempDir()
	g, stop := startAlone(t, dir, &atomic.Int64{})
	defer stop()
	proposeAll(t, g, commands, size)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := folderBytes(t, dir); n > most {
			return poll.Continue("%d bytes on disk after %d commands of %d bytes", n, commands, size)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
}

// Guards against a restart that takes long because only the number of commands in the log is
// bounded, while each of them takes long to apply.
func TestLogOfSlowCommandsIsCompacted(t *testing.T) {
	const commands, each, most = 400, 10 * time.Millisecond, 2 * time.Second
	dir, delay := t.TempDir(), &atomic.Int64{}
	delay.Store(int64(each))
	g, stop := startAlone(t, dir, delay)
	proposeAll(t, g, commands, 8)
	last := g.State().Index
	stop()
	begun := time.Now()
	g, stop = startAlone(t, dir, delay)
	defer stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.Recovered() && g.State().Index >= last {
			return poll.Success()
		}
		return poll.Continue("at index %d of %d", g.State().Index, last)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
	assert.Assert(t, time.Since(begun) < most, "recovered after %v", time.Since(begun))
}
