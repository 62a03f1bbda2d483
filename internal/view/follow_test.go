package view_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// fakeControl is a control instance that only streams views.
type fakeControl struct {
	instance.DeploymentHandler
	delay    time.Duration // before the first update
	current  bool
	version  uint64
	pause    time.Duration // after the first update, which is followed by the next version
	requests chan *instance.WatchRequest
}

func (c *fakeControl) Watch(ctx context.Context, req *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	select {
	case c.requests <- req:
	default:
	}
	time.Sleep(c.delay)
	for version := c.version; ctx.Err() == nil; {
		if err := send(&instance.ViewUpdate{Whole: req.Version == 0, Version: version, ConfigIndex: 1, Current: c.current}); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
		if c.pause > 0 && version == c.version {
			time.Sleep(c.pause)
			version++
		}
	}
	return nil
}

// serve starts the control instances and returns their addresses.
func serve(t *testing.T, controls ...*fakeControl) []string {
	var out []string
	for _, c := range controls {
		c.requests = make(chan *instance.WatchRequest, 100)
		l := listen(t)
		t.Cleanup(instance.ServeDeployment(l, c, instance.Security{}, &instance.Traffic{}))
		out = append(out, l.Addr().String())
	}
	return out
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func startFollower(t *testing.T, seeds []string) *view.Follower {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	return view.Follow(ctx, view.FollowerConfig{Name: "entry", Seeds: seeds, Pool: pool, Log: log.New(io.Discard)})
}

// TestFollowNearby guards against an entry that goes on following a control instance of
// another zone although one of its own zone answers, or that follows none when that fails.
func TestFollowNearby(t *testing.T) {
	far := &fakeControl{current: true, version: 7}
	near := &fakeControl{current: true, version: 8}
	seeds := serve(t, far)
	l := listen(t)
	near.requests = make(chan *instance.WatchRequest, 100)
	stopNear := instance.ServeDeployment(l, near, instance.Security{}, &instance.Traffic{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	nearby := instance.NewNearby("a", timer.NewSystem(ctx))
	f := view.Follow(ctx, view.FollowerConfig{Name: "entry", Seeds: seeds, Pool: pool, Log: log.New(io.Discard), Nearby: nearby})
	awaitVersion(t, f, 7)
	f.SetSeeds(append(seeds, l.Addr().String()))
	nearby.Learn(l.Addr().String(), "a")
	nearby.Learn(seeds[0], "b")
	t.Run("turns to the nearer one", func(t *testing.T) { awaitVersion(t, f, 8) })
	t.Run("turns back when that ends", func(t *testing.T) {
		for len(far.requests) > 0 {
			<-far.requests
		}
		stopNear()
		select {
		case <-far.requests:
		case <-time.After(5 * time.Second):
			t.Fatal("the other control instance was not asked")
		}
	})
}

// awaitVersion waits until the follower's view has the version.
func awaitVersion(t *testing.T, f *view.Follower, version uint64) {
	t.Helper()
	for limit := time.After(20 * time.Second); f.View().Version != version; {
		select {
		case <-f.Changed():
		case <-time.After(20 * time.Millisecond):
		case <-limit:
			t.Fatalf("view has version %d, want %d", f.View().Version, version)
		}
	}
}

func TestFollow(t *testing.T) {
	t.Run("slow first update", func(t *testing.T) {
		f := startFollower(t, serve(t, &fakeControl{delay: 700 * time.Millisecond, current: true, version: 7}))
		awaitVersion(t, f, 7)
	})
	t.Run("other instances accept connections but send nothing", func(t *testing.T) {
		seeds := serve(t, &fakeControl{current: true, version: 7})
		for range 2 {
			seeds = append(seeds, listen(t).Addr().String())
		}
		awaitVersion(t, startFollower(t, seeds), 7)
	})
	t.Run("a stream that pauses is kept while no other instance answers", func(t *testing.T) {
		control := &fakeControl{current: true, version: 7, pause: 1500 * time.Millisecond}
		seeds := serve(t, control)
		f := startFollower(t, append(seeds, listen(t).Addr().String()))
		awaitVersion(t, f, 8)
		assert.Equal(t, len(control.requests), 1)
	})
	t.Run("other instances have no leader", func(t *testing.T) {
		f := startFollower(t, serve(t, &fakeControl{version: 5}, &fakeControl{version: 5}, &fakeControl{current: true, version: 7}))
		awaitVersion(t, f, 7)
	})
	t.Run("another instance resumes from the view's version and an older version is ignored", func(t *testing.T) {
		l := listen(t)
		stop := instance.ServeDeployment(l, &fakeControl{current: true, version: 7}, instance.Security{}, &instance.Traffic{})
		f := startFollower(t, []string{l.Addr().String()})
		awaitVersion(t, f, 7)
		behind := &fakeControl{current: true, version: 5}
		f.SetSeeds(serve(t, behind))
		stop()
		assert.Equal(t, (<-behind.requests).Version, uint64(7))
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, f.View().Version, uint64(7))
	})
}
