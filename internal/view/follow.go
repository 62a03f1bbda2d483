package view

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
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
	currentAt   atomic.Int64 // on the boot clock, when the last complete update with Current set came
	newerConfig atomic.Pointer[newerConfig]
	lease       atomic.Pointer[configLease] // changed while mu is held
	targetLease atomic.Pointer[targetLease] // changed while mu is held
	source      atomic.Pointer[string]      // address of the control instance that is followed
	done        <-chan struct{}             // closed when the follower stops
	mu          sync.Mutex
	changed     chan struct{}

	confirmations confirmations // guarded by mu
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Name  string
	Seeds []string // addresses of control instances
	Pool  *instance.Pool
	Log   *log.Logger
	// Nearby makes the follower prefer control instances of its own availability zone. It
	// may be nil.
	Nearby *instance.Nearby
	Level  uint64 // feature level to announce
	// ConfigApply is the time within which an acknowledged configuration has to be in force.
	ConfigApply time.Duration
	// TargetDrain is for how long a target that is leaving still serves requests; 0 if an
	// entry may send to it at any time.
	TargetDrain time.Duration
}

const (
	// stallTimeout is the time without a current update after which other control
	// instances are asked as well. The stream that stalled is kept until one of them
	// answers: on a link that is full of other traffic a new one would do no better.
	stallTimeout = 900 * time.Millisecond
	// openTimeout is the time limit for the first message of a stream, and for each
	// further one until one is current: a few round trips over a full link.
	openTimeout = 1500 * time.Millisecond
	// silenceTimeout ends a stream that brings no message. Its connection may have
	// failed without a reset, and another stream to the same instance would share it.
	silenceTimeout = 3 * time.Second
	// openStagger is the delay before another control instance is asked in
	// parallel, since one that is powered off never responds.
	openStagger = 250 * time.Millisecond
	// maxOpening limits the control instances that are asked in parallel.
	maxOpening = 3
	retryDelay = 50 * time.Millisecond
	// nearPeriod is how often a follower of a farther control instance looks for one in
	// its own availability zone.
	nearPeriod = time.Second
	// refusedDelay is the time before a control instance that has refused the entry is
	// asked again.
	refusedDelay = time.Second
)

// errStalled ends a stream after openTimeout or silenceTimeout.
var errStalled = errors.New("control instance sends no updates or has no leader")

// Follow starts a follower, which runs until ctx ends.
func Follow(ctx context.Context, cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, done: ctx.Done(), changed: make(chan struct{})}
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

// CurrentAge returns the time since the last complete update of a control instance that has a
// leader, or -1 if none came. Unlike Age it does not depend on the time of day.
func (f *Follower) CurrentAge() time.Duration {
	at := f.currentAt.Load()
	if at == 0 {
		return -1
	}
	return timer.BootTime() - time.Duration(at)
}

// Confirmed reports whether a control instance that has a leader has ever confirmed the view.
func (f *Follower) Confirmed() bool { return f.confirmedAt.Load() != 0 }

// Source returns the address of the control instance that the entry follows, or followed
// last; empty if it never did.
func (f *Follower) Source() string {
	if s := f.source.Load(); s != nil {
		return *s
	}
	return ""
}

// Changed returns a channel that is closed when the view changes next, or when a target ends of
// which the view does not tell yet.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// run follows one control instance at a time. The first one depends on the entry's
// name, so that entries spread over the control instances.
func (f *Follower) run(ctx context.Context) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.cfg.Name))
	pos := int(h.Sum32() >> 1)
	streams := make(map[string]*stream) // the one that is followed, and those that are opened beside it
	var followed *stream
	current := make(chan *stream) // brought a current message
	ended := make(chan *stream)
	open := time.NewTimer(0) // when the next stream is opened
	defer open.Stop()
	look := time.NewTicker(nearPeriod)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			if followed != nil && len(streams) == 1 && f.hasNearer(followed.address) {
				open.Reset(0)
			}
		case s := <-current:
			if streams[s.address] != s {
				continue
			}
			followed = s
			f.source.Store(&s.address)
			maps.DeleteFunc(streams, func(_ string, other *stream) bool {
				if other != s {
					other.cancel(errNotNeeded)
				}
				return other != s
			})
			open.Reset(stallTimeout)
		case s := <-ended:
			if streams[s.address] != s {
				continue
			}
			delete(streams, s.address)
			f.cfg.Nearby.Failed(s.address)
			if followed == s {
				followed = nil
			}
			if followed == nil {
				open.Reset(retryDelay)
			}
		case <-open.C:
			if followed != nil && len(streams) == 1 && !f.hasNearer(followed.address) {
				f.cfg.Log.Warn("view stream stalled; asking other control instances too", "control", followed.address,
					"version", f.View().Version, "view_age_ms", f.Age().Milliseconds())
			}
			if address := f.nextCandidate(&pos, streams); address != "" {
				s := &stream{address: address}
				s.ctx, s.cancel = context.WithCancelCause(ctx)
				streams[address] = s
				go f.watch(s, current, ended)
			}
			open.Reset(openStagger)
		}
	}
}

// nextCandidate returns the address of the next control instance to ask, or "" if
// maxOpening or all of them have a stream.
func (f *Follower) nextCandidate(pos *int, streams map[string]*stream) string {
	if len(streams) >= maxOpening {
		return ""
	}
	control := f.controlAddresses()
	for _, list := range [][]string{f.cfg.Nearby.Prefer(control), control} {
		for range list {
			*pos++
			if address := list[*pos%len(list)]; streams[address] == nil {
				return address
			}
		}
	}
	return ""
}

// controlAddresses returns the addresses of the control instances that the view names, and
// those of the seeds.
func (f *Follower) controlAddresses() []string {
	control := slices.Sorted(slices.Values(f.View().Control))
	for _, seed := range *f.seeds.Load() {
		if !slices.Contains(control, seed) {
			control = append(control, seed)
		}
	}
	return control
}

// hasNearer reports whether a control instance of the entry's own availability zone can be
// followed, and the one at the address runs in another zone.
func (f *Follower) hasNearer(address string) bool {
	return f.cfg.Nearby != nil && !f.cfg.Nearby.IsNear(address) && slices.ContainsFunc(f.controlAddresses(), f.cfg.Nearby.IsNear)
}

// stream is an update stream from one control instance, or the attempt to open it.
type stream struct {
	address string
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// errNotNeeded cancels the other streams once one is followed.
var errNotNeeded = errors.New("another control instance answered first")

// watch applies the updates of one control instance until the stream fails or times
// out. It sends s to current at each current message, and to ended at the end.
func (f *Follower) watch(s *stream, current, ended chan<- *stream) {
	watchdog := time.AfterFunc(openTimeout, func() { s.cancel(errStalled) })
	defer watchdog.Stop()
	messages := 0
	opened, bytesBefore := time.Now(), f.cfg.Pool.BytesReceived(s.address)
	view := f.View()
	req := &instance.WatchRequest{Instance: f.cfg.Name, Version: view.Version, ConfigIndex: view.ConfigIndex, Parts: true, Level: f.cfg.Level}
	var parts assembler
	err := f.cfg.Pool.Watch(s.ctx, s.address, req, func(u *instance.ViewUpdate) error {
		if messages++; messages == 1 {
			f.cfg.Log.Info("view stream open", "control", s.address, "version", u.Version, "current", u.Current)
			watchdog.Reset(openTimeout)
		}
		if u.Current {
			f.hear()
			watchdog.Reset(silenceTimeout)
			select {
			case current <- s:
			case <-s.ctx.Done():
			}
		}
		if u.IsPart() {
			f.noteConfig(u.ConfigIndex)
			var err error
			if u, err = parts.add(u); u == nil {
				return err
			}
		}
		if err := f.apply(u); err != nil {
			return err
		}
		if u.Current {
			f.confirm()
		}
		return nil
	})
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	s.cancel(err)
	if !errors.Is(err, errNotNeeded) && !errors.Is(err, context.Canceled) {
		f.cfg.Log.Warn("view stream lost; asking another control instance", "control", s.address, "version", f.View().Version,
			"open_ms", time.Since(opened).Milliseconds(), "messages", messages, "received_bytes", f.cfg.Pool.BytesReceived(s.address)-bytesBefore, "error", err)
	}
	if errors.Is(err, instance.ErrRejected) {
		f.cfg.Log.Error("control instance refuses this entry", "control", s.address, "level", f.cfg.Level, "error", err)
		select { // the answer does not change soon
		case <-time.After(refusedDelay):
		case <-f.done:
			return
		}
	}
	select {
	case ended <- s:
	case <-f.done:
	}
}

// confirm records that a control instance with a leader has confirmed the view.
func (f *Follower) confirm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.confirmedAt.Store(now.UnixNano())
	f.currentAt.Store(int64(timer.BootTime()))
	f.confirmations = f.confirmations.With(now)
}

// errOtherConfig ends a stream whose next change applies to another configuration than
// the view's, which another stream has brought meanwhile.
var errOtherConfig = errors.New("change applies to another configuration")

// apply applies an update, unless it is older than the view because its sender has
// not caught up yet.
func (f *Follower) apply(u *instance.ViewUpdate) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	if u.Version < old.Version {
		return nil
	}
	if u.ConfigBase != 0 && u.ConfigBase != old.ConfigIndex {
		return errOtherConfig
	}
	next := old.With(u)
	if u.EvacuatedChanged {
		f.noteEvacuated(old, next)
	}
	lag := f.ConfigLag()
	f.view.Store(next)
	if next.Version != old.Version {
		f.setTargetLease(f.currentTargetLease().WithView(next.Version))
	}
	if next.ConfigIndex != old.ConfigIndex {
		f.setLease(f.currentLease().WithConfig(next.ConfigIndex))
	}
	if u.Version == old.Version && !u.Whole {
		return nil
	}
	if u.ConfigIndex != old.ConfigIndex {
		f.cfg.Log.Info("configuration in force", "version", next.Config.Version, "index", u.ConfigIndex, "heard_ms_ago", lag.Milliseconds())
	}
	for _, t := range u.Targets {
		if before, ok := old.Target(t.ID); ok && before.StartMillis == t.StartMillis && before.Usable() && !t.Usable() {
			f.cfg.Log.Info("target is leaving", "target", t.ID, "born", t.StartMillis, "source", "view", "target_status", t.Status,
				"version", u.Version, "changed", t.Changed, "view_age_ms", f.CurrentAge().Milliseconds())
		}
	}
	f.signalChanged()
	return nil
}

// signalChanged wakes those that wait for a change. The caller holds f.mu.
func (f *Follower) signalChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// noteEvacuated handles that the next view has other evacuated zones than the old one.
func (f *Follower) noteEvacuated(old, next *View) {
	now := time.Now()
	fresh := f.confirmations.Fresh(now)
	if fresh {
		next.allowOwners(old, now.Add(ownerGrace))
	}
	if len(old.evacuated) > 0 || len(next.evacuated) > 0 {
		f.cfg.Log.Info("evacuated zones changed", "zones", slices.Sorted(maps.Keys(next.evacuated)), "version", next.Version, "view_fresh", fresh)
	}
}
