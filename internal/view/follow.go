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
	// openLimit is for how long a stream may take to bring the first update: a
	// few round trips over a link that other traffic fills.
	openLimit = 1500 * time.Millisecond
	// openStagger is how long one control instance is waited for before another
	// is asked besides. One without power does not answer at all.
	openStagger = 250 * time.Millisecond
	// mostOpening bounds how many are asked at a time.
	mostOpening = 3
	retryPause  = 50 * time.Millisecond
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
	n := int(h.Sum32() >> 1)
	for ctx.Err() == nil {
		f.follow(ctx, &n)
		timer.Sleep(ctx, retryPause)
	}
}

// follow asks one control instance after the other until a stream comes from one
// that is in touch with the leader, and stays with that until it is lost.
func (f *Follower) follow(ctx context.Context, n *int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := make(map[string]*stream)
	chosen := make(chan *stream, mostOpening)
	lost := make(chan *stream, mostOpening)
	for {
		if address := f.candidate(n, opening); address != "" {
			s := &stream{address: address}
			s.ctx, s.cancel = context.WithCancelCause(ctx)
			opening[address] = s
			go func() {
				f.watch(s, chosen)
				lost <- s
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(openStagger):
		case s := <-lost:
			delete(opening, s.address)
			timer.Sleep(ctx, retryPause)
		case s := <-chosen:
			for _, other := range opening {
				if other != s {
					other.cancel(errNotNeeded)
				}
			}
			<-s.ctx.Done()
			return
		}
	}
}

// candidate returns the next control instance to ask, or "" where enough are
// being asked.
func (f *Follower) candidate(n *int, opening map[string]*stream) string {
	if len(opening) >= mostOpening {
		return ""
	}
	control := slices.Sorted(slices.Values(f.View().Control))
	for _, seed := range *f.seeds.Load() {
		if !slices.Contains(control, seed) {
			control = append(control, seed)
		}
	}
	for range control {
		*n++
		if address := control[*n%len(control)]; opening[address] == nil {
			return address
		}
	}
	return ""
}

// stream is one stream of the view, or the try to open it.
type stream struct {
	address string
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// errNotNeeded ends a try to open a stream after another one has come.
var errNotNeeded = errors.New("another control instance answered first")

// watch follows one control instance until it falls silent. It tells once that
// the instance is in touch with its leader.
func (f *Follower) watch(s *stream, chosen chan<- *stream) {
	silence := time.AfterFunc(openLimit, func() { s.cancel(errSilent) })
	defer silence.Stop()
	first, told := true, false
	view := f.View()
	req := &instance.WatchRequest{Instance: f.cfg.Name, Version: view.Version, DocIndex: view.DocIndex}
	err := f.cfg.Pool.Watch(s.ctx, s.address, req, func(u *instance.ViewUpdate) error {
		if u.Current || first {
			silence.Reset(silenceLimit)
		}
		if u.Current {
			f.heard.Store(time.Now().UnixNano())
		}
		if first {
			f.cfg.Log.Info("view stream open", "control", s.address, "version", u.Version, "current", u.Current)
			first = false
		}
		if u.Current && !told {
			told = true
			chosen <- s
		}
		f.take(u)
		return nil
	})
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	s.cancel(err)
	if !errors.Is(err, errNotNeeded) && !errors.Is(err, context.Canceled) {
		f.cfg.Log.Warn("view stream lost; asking another control instance", "control", s.address, "version", f.View().Version, "error", err)
	}
}

// take applies an update. A view never goes back: updates of a sender that has
// not caught up with it are passed over.
func (f *Follower) take(u *instance.ViewUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	if u.Version < old.Version {
		return
	}
	next := old.With(u)
	f.view.Store(next)
	if u.Version == old.Version && !u.Whole {
		return
	}
	if u.DocIndex != old.DocIndex {
		f.cfg.Log.Info("configuration in force", "version", next.Document.Version, "index", u.DocIndex)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}
