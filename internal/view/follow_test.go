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
)

// control is a control instance that only streams views.
type control struct {
	instance.DeploymentHandler
	delay   time.Duration // before the first update
	current bool
	version uint64
	asked   chan *instance.WatchRequest
}

func (c *control) Watch(ctx context.Context, req *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	select {
	case c.asked <- req:
	default:
	}
	time.Sleep(c.delay)
	for ctx.Err() == nil {
		if err := send(&instance.ViewUpdate{Whole: req.Version == 0, Version: c.version, DocIndex: 1, Current: c.current}); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// serve starts control instances and returns their addresses.
func serve(t *testing.T, list ...*control) []string {
	var out []string
	for _, c := range list {
		c.asked = make(chan *instance.WatchRequest, 100)
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

func follow(t *testing.T, seeds []string) *view.Follower {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	return view.Follow(ctx, view.FollowerConfig{Name: "entry", Seeds: seeds, Pool: pool, Log: log.New(io.Discard)})
}

// awaitVersion waits until the follower has a version of the view.
func awaitVersion(t *testing.T, f *view.Follower, version uint64) {
	t.Helper()
	for limit := time.After(20 * time.Second); f.View().Version != version; {
		select {
		case <-f.Changed():
		case <-time.After(20 * time.Millisecond):
		case <-limit:
			t.Fatalf("view has version %d, not %d", f.View().Version, version)
		}
	}
}

func TestFollow(t *testing.T) {
	t.Run("first update is slow", func(t *testing.T) {
		f := follow(t, serve(t, &control{delay: 700 * time.Millisecond, current: true, version: 7}))
		awaitVersion(t, f, 7)
	})
	t.Run("others accept connections and stay silent", func(t *testing.T) {
		seeds := serve(t, &control{current: true, version: 7})
		for range 2 {
			seeds = append(seeds, listen(t).Addr().String())
		}
		awaitVersion(t, follow(t, seeds), 7)
	})
	t.Run("others are out of touch with the leader", func(t *testing.T) {
		f := follow(t, serve(t, &control{version: 5}, &control{version: 5}, &control{current: true, version: 7}))
		awaitVersion(t, f, 7)
	})
	t.Run("goes on elsewhere from the version it has, and never back", func(t *testing.T) {
		l := listen(t)
		stop := instance.ServeDeployment(l, &control{current: true, version: 7}, instance.Security{}, &instance.Traffic{})
		f := follow(t, []string{l.Addr().String()})
		awaitVersion(t, f, 7)
		late := &control{current: true, version: 5}
		f.SetSeeds(serve(t, late))
		stop()
		assert.Equal(t, (<-late.asked).Version, uint64(7))
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, f.View().Version, uint64(7))
	})
}
