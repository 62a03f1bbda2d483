package view_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/view"
)

// silenceable passes connections on to an address. Those that are open when silence is called
// stay open, and nothing passes any more; later ones work.
type silenceable struct {
	mu    sync.Mutex
	flags []*atomic.Bool
}

func (s *silenceable) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flags {
		f.Store(true)
	}
}

func (s *silenceable) serve(t *testing.T, backend string) string {
	l := listen(t)
	go func() {
		for {
			front, err := l.Accept()
			if err != nil {
				return
			}
			back, err := net.Dial("tcp", backend)
			if err != nil {
				_ = front.Close()
				continue
			}
			silent := &atomic.Bool{}
			s.mu.Lock()
			s.flags = append(s.flags, silent)
			s.mu.Unlock()
			pass := func(to, from net.Conn) {
				buf := make([]byte, 32<<10)
				for {
					n, err := from.Read(buf)
					if !silent.Load() {
						_, _ = to.Write(buf[:n])
					}
					if err != nil {
						if !silent.Load() {
							_ = to.Close()
						}
						return
					}
				}
			}
			go pass(back, front)
			go pass(front, back)
		}
	}()
	return l.Addr().String()
}

// versionedControl is a control instance that streams the newest version.
type versionedControl struct {
	instance.DeploymentHandler
	version *atomic.Uint64
}

func (c versionedControl) Watch(ctx context.Context, req *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	for ctx.Err() == nil {
		if err := send(&instance.ViewUpdate{Whole: req.Version == 0, Version: c.version.Load(), ConfigIndex: 1, Current: true}); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (versionedControl) Probe(context.Context, *instance.ProbeRequest) (*instance.ProbeResponse, error) {
	return &instance.ProbeResponse{}, nil
}

// Guards against an entry that serves on by an old view, since its connections to all control
// instances went silent without a reset, and every new stream and call shares them.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	const within = 3 * time.Second // after which a machine counts as in touch again
	var between silenceable
	var seeds []string
	version := &atomic.Uint64{}
	version.Store(1)
	for range 3 {
		l := listen(t)
		t.Cleanup(instance.ServeDeployment(l, versionedControl{version: version}, instance.Security{}, &instance.Traffic{}))
		seeds = append(seeds, between.serve(t, l.Addr().String()))
	}
	pool, closePool := instance.NewPool(t.Context(), instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	f := view.Follow(t.Context(), view.FollowerConfig{Name: "entry", Seeds: seeds, Pool: pool, Log: log.New(io.Discard)})
	awaitVersion(t, f, 1)
	probe := func(address string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := instance.Call[instance.ProbeRequest, instance.ProbeResponse](ctx, pool, address, "Probe", &instance.ProbeRequest{})
		return err
	}
	for _, address := range seeds { // connections to all of them are open, as an entry has them
		assert.NilError(t, probe(address))
	}
	between.silence()
	time.Sleep(time.Second)
	between.silence()
	version.Store(2)
	t.Run("views", func(t *testing.T) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.View().Version == 2 {
				return poll.Success()
			}
			return poll.Continue("view of version %d", f.View().Version)
		}, poll.WithTimeout(within))
	})
	t.Run("calls", func(t *testing.T) {
		for _, address := range seeds {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if err := probe(address); err != nil {
					return poll.Continue("%v", err)
				}
				return poll.Success()
			}, poll.WithTimeout(within))
		}
	})
}
