package view

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Follower keeps an entry's view up to date from one control instance at a
// time.
type Follower struct {
	cfg     FollowerConfig
	view    atomic.Pointer[View]
	seeds   atomic.Pointer[[]string]
	heard   atomic.Int64 // Unix nanoseconds of the last update from a current sender
	mu      sync.Mutex
	changed chan struct{}
}

// FollowerConfig is what a follower is told at start.
type FollowerConfig struct {
	Name  string
	Seeds []string // addresses of control instances
	Pool  *instance.Pool
	Log   *log.Logger
}

const (
	// silenceLimit is for how long a stream may bring nothing, or its sender be
	// out of touch with the leader, before another control instance is asked.
	silenceLimit = 900 * time.Millisecond
	// openLimit is for how long a stream may take to bring the first update.
	// An instance without power does not answer at all.
	openLimit  = 300 * time.Millisecond
	retryPause = 50 * time.Millisecond
)

// errSilent ends a stream whose sender is silent or out of touch.
var errSilent = errors.New("control instance is silent or out of touch with its leader")

// Follow starts a follower. It ends with ctx.
func Follow(ctx context.Context, cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, changed: make(chan struct{})}
	f.view.Store(&View{Control: cfg.Seeds})
	f.SetSeeds(cfg.Seeds)
	go f.run(ctx)
	return f
}

// SetSeeds replaces the addresses that are asked besides those of the view.
func (f *Follower) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// View returns the latest view.
func (f *Follower) View() *View { return f.view.Load() }

// Age returns the time since the view was last confirmed by a control instance
// in touch with its leader. It is for logs: the time of day may jump.
func (f *Follower) Age() time.Duration {
	heard := f.heard.Load()
	if heard == 0 {
		return -1
	}
	return time.Since(time.Unix(0, heard))
}

// Changed returns a channel that is closed at the next change of the view.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// run goes through the control instances, beginning with one that depends on
// the entry's name, so that entries spread over them.
func (f *Follower) run(ctx context.Context) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.cfg.Name))
	for n := int(h.Sum32() >> 1); ctx.Err() == nil; n++ {
		control := slices.Sorted(slices.Values(f.View().Control))
		for _, seed := range *f.seeds.Load() {
			if !slices.Contains(control, seed) {
				control = append(control, seed)
			}
		}
		address := control[n%len(control)]
		err := f.watch(ctx, address)
		if ctx.Err() == nil {
			f.cfg.Log.Warn("view stream lost; asking another control instance", "control", address, "version", f.View().Version, "error", err)
		}
		timer.Sleep(ctx, retryPause)
	}
}

// watch follows one control instance until it falls silent.
func (f *Follower) watch(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(openLimit, func() { cancel(errSilent) })
	defer silence.Stop()
	first := true
	err := f.cfg.Pool.Watch(ctx, address, &instance.WatchRequest{Instance: f.cfg.Name}, func(u *instance.ViewUpdate) error {
		if u.Current || first {
			silence.Reset(silenceLimit)
		}
		if u.Current {
			f.heard.Store(time.Now().UnixNano())
		}
		if first {
			f.cfg.Log.Info("view stream open", "control", address, "version", u.Version, "current", u.Current)
			first = false
		}
		return f.take(u)
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// errOlder ends a stream whose sender has not caught up with this view.
var errOlder = errors.New("control instance has an older view")

// take applies an update. A view never goes back.
func (f *Follower) take(u *instance.ViewUpdate) error {
	old := f.view.Load()
	if u.Version < old.Version {
		if u.Whole {
			return errOlder
		}
		return nil
	}
	next := old.With(u)
	f.view.Store(next)
	if u.Version == old.Version && !u.Whole {
		return nil
	}
	if u.DocIndex != old.DocIndex {
		f.cfg.Log.Info("configuration in force", "version", next.Document.Version, "index", u.DocIndex)
	}
	f.mu.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	return nil
}
