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

// Follower keeps an entry's view up to date from the update stream of one control
// instance at a time.
type Follower struct {
	cfg         FollowerConfig
	view        atomic.Pointer[View]
	seeds       atomic.Pointer[[]string]
	confirmedAt atomic.Int64 // Unix nanoseconds of the last update with Current set
	mu          sync.Mutex
	changed     chan struct{}
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Name  string
	Seeds []string // addresses of control instances
	Pool  *instance.Pool
	Log   *log.Logger
}

const (
	// streamTimeout is the time without an update with Current set after which the
	// follower gives up a stream. It counts from the first update.
	streamTimeout = 900 * time.Millisecond
	// openTimeout is the time limit for the first update of a stream: a few round
	// trips over a link that is full of other traffic.
	openTimeout = 1500 * time.Millisecond
	// openStagger is the delay before another control instance is asked in
	// parallel, since one that is powered off never responds.
	openStagger = 250 * time.Millisecond
	// maxOpening limits the control instances that are asked in parallel.
	maxOpening = 3
	retryDelay = 50 * time.Millisecond
)

// errStalled ends a stream after streamTimeout or openTimeout.
var errStalled = errors.New("control instance sends no updates or has no leader")

// Follow starts a follower, which runs until ctx ends.
func Follow(ctx context.Context, cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, changed: make(chan struct{})}
	f.view.Store(&View{Control: cfg.Seeds})
	f.SetSeeds(cfg.Seeds)
	go f.run(ctx)
	return f
}

// SetSeeds replaces the seeds: control instances to ask besides those that the
// view names.
func (f *Follower) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// View returns the latest view.
func (f *Follower) View() *View { return f.view.Load() }

// Age returns the time since a control instance that has a leader last confirmed
// the view, or -1 if none has. Use it only for logs and metrics: it depends on the
// time of day, which may jump.
func (f *Follower) Age() time.Duration {
	confirmedAt := f.confirmedAt.Load()
	if confirmedAt == 0 {
		return -1
	}
	return time.Since(time.Unix(0, confirmedAt))
}

// Changed returns a channel that is closed when the view changes next.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// run follows one control instance after another. The first one depends on the
// entry's name, so that entries spread over the control instances.
func (f *Follower) run(ctx context.Context) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.cfg.Name))
	pos := int(h.Sum32() >> 1)
	for ctx.Err() == nil {
		f.follow(ctx, &pos)
		timer.Sleep(ctx, retryDelay)
	}
}

// follow opens streams from up to maxOpening control instances until one sends an
// update with Current set. It keeps that stream until it ends, and cancels the
// others.
func (f *Follower) follow(ctx context.Context, pos *int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := make(map[string]*stream)
	ready := make(chan *stream, maxOpening)
	lost := make(chan *stream, maxOpening)
	for {
		if address := f.nextCandidate(pos, opening); address != "" {
			s := &stream{address: address}
			s.ctx, s.cancel = context.WithCancelCause(ctx)
			opening[address] = s
			go func() {
				f.watch(s, ready)
				lost <- s
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(openStagger):
		case s := <-lost:
			delete(opening, s.address)
			timer.Sleep(ctx, retryDelay)
		case s := <-ready:
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

// nextCandidate returns the address of the next control instance to ask, or "" if
// maxOpening or all of them are being asked.
func (f *Follower) nextCandidate(pos *int, opening map[string]*stream) string {
	if len(opening) >= maxOpening {
		return ""
	}
	control := slices.Sorted(slices.Values(f.View().Control))
	for _, seed := range *f.seeds.Load() {
		if !slices.Contains(control, seed) {
			control = append(control, seed)
		}
	}
	for range control {
		*pos++
		if address := control[*pos%len(control)]; opening[address] == nil {
			return address
		}
	}
	return ""
}

// stream is an update stream from one control instance, or the attempt to open it.
type stream struct {
	address string
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// errNotNeeded cancels the other attempts once one stream is ready.
var errNotNeeded = errors.New("another control instance answered first")

// watch applies the updates of one control instance until the stream fails or
// times out. It sends s to ready at the first update with Current set.
func (f *Follower) watch(s *stream, ready chan<- *stream) {
	watchdog := time.AfterFunc(openTimeout, func() { s.cancel(errStalled) })
	defer watchdog.Stop()
	first, reported, updates := true, false, 0
	opened, bytesBefore := time.Now(), f.cfg.Pool.BytesReceived(s.address)
	view := f.View()
	req := &instance.WatchRequest{Instance: f.cfg.Name, Version: view.Version, ConfigIndex: view.ConfigIndex}
	err := f.cfg.Pool.Watch(s.ctx, s.address, req, func(u *instance.ViewUpdate) error {
		updates++
		if u.Current || first {
			watchdog.Reset(streamTimeout)
		}
		if u.Current {
			f.confirmedAt.Store(time.Now().UnixNano())
		}
		if first {
			f.cfg.Log.Info("view stream open", "control", s.address, "version", u.Version, "current", u.Current)
			first = false
		}
		if u.Current && !reported {
			reported = true
			ready <- s
		}
		f.apply(u)
		return nil
	})
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	s.cancel(err)
	if !errors.Is(err, errNotNeeded) && !errors.Is(err, context.Canceled) {
		f.cfg.Log.Warn("view stream lost; asking another control instance", "control", s.address, "version", f.View().Version,
			"open_ms", time.Since(opened).Milliseconds(), "updates", updates, "received_bytes", f.cfg.Pool.BytesReceived(s.address)-bytesBefore, "error", err)
	}
}

// apply applies an update, unless it is older than the view because its sender has
// not caught up yet.
func (f *Follower) apply(u *instance.ViewUpdate) {
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
	if u.ConfigIndex != old.ConfigIndex {
		f.cfg.Log.Info("configuration in force", "version", next.Config.Version, "index", u.ConfigIndex)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}
