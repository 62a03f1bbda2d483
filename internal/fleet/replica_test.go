package fleet

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/leader"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/disk"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// failingDisk is a disk whose syncs fail while broken is set.
type failingDisk struct {
	disk.OS
	broken atomic.Bool
}

type failingFile struct {
	disk.File
	disk *failingDisk
}

var errInjected = errors.New("injected failure")

func (d *failingDisk) Append(path string) (disk.File, error) {
	f, err := d.OS.Append(path)
	return failingFile{f, d}, err
}

func (d *failingDisk) Create(path string) (disk.File, error) {
	f, err := d.OS.Create(path)
	return failingFile{f, d}, err
}

func (f failingFile) Sync() error {
	if f.disk.broken.Load() {
		return errInjected
	}
	return f.File.Sync()
}

// failingTargets fails all calls to targets.
type failingTargets struct{}

func (failingTargets) Grant(context.Context, string, leader.KeyCall) error { return errInjected }

func (failingTargets) Release(context.Context, string, leader.KeyCall) (string, error) {
	return "", errInjected
}

// startTestControl starts a control group with one replica.
func startTestControl(t *testing.T, fs disk.FS) *Control {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	address := l.Addr().String()
	c := &Control{
		cfg: settings.Routed{
			Name: "control", Address: address, Seeds: []string{address}, Bootstrap: true, Control: true, DataDir: t.TempDir(),
		},
		targets: failingTargets{},
		pool:    pool,
		clock:   timer.NewSystem(ctx),
		log:     log.New(io.Discard),
		fs:      fs,
	}
	c.publisher = view.NewPublisher(c, c.clock)
	stop, err := c.start(ctx)
	assert.NilError(t, err)
	t.Cleanup(stop)
	t.Cleanup(instance.ServeDeployment(l, c, instance.Security{}, &instance.Traffic{}))
	return c
}

// eventually retries until try returns no error.
func eventually(t *testing.T, try func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := try(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (c *Control) submit(version, base uint64) error {
	result, err := c.SubmitChange(context.Background(), deployment.ConfigChange{
		Digest: string(rune('a' + version)), Version: version, Base: base, Whole: true,
	})
	if err == nil && result.Outcome != deployment.Accepted {
		err = errors.New(result.Reason)
	}
	return err
}

// TestReplicaReopensAfterDiskFailure checks that a replica acknowledges no change while
// its disk fails, and that it still has every acknowledged change once it is reopened.
func TestReplicaReopensAfterDiskFailure(t *testing.T) {
	fs := &failingDisk{}
	c := startTestControl(t, fs)
	eventually(t, func() error { return c.submit(1, 0) })
	fs.broken.Store(true)
	err := c.submit(2, 1)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	assert.Assert(t, c.stopped() || !c.isLeader())
	fs.broken.Store(false)
	eventually(t, func() error {
		cfg, ok, err := c.Configuration(context.Background())
		if err == nil && (!ok || cfg.Version < 1) {
			err = errors.New("the acknowledged configuration is missing")
		}
		return err
	})
	// The change that was not acknowledged may or may not have been stored.
	eventually(t, func() error { return c.submit(2, 1) })
	cfg, _, err := c.Configuration(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, cfg.Version, uint64(2))
}
