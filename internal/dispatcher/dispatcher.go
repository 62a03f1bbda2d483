// Package dispatcher connects entries with the dispatchers of targets. Each entry is both: it
// asks the dispatcher of a pool for a slot before it sends a request to one of the pool's
// targets, and it decides for the pools that are assigned to it. The decisions themselves are
// those of package dispatch.
package dispatcher

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// tickInterval is how often the pools are told the time while they dispatch.
const tickInterval = 10 * time.Millisecond

// listDelay is for how long an entry still asks by its last list after a new one has come, while
// it decides by the new one at once. Entries get a list with the answers to their reports, which
// they send each 250 ms, so that by then the next dispatchers know of their pools.
const listDelay = 600 * time.Millisecond

// View is the entry's view, which *view.Follower implements.
type View interface {
	View() *view.View
	Changed() <-chan struct{}
	// TargetEnded reports whether a target ended of which the view does not tell yet, and how
	// long ago.
	TargetEnded(t deployment.Target) (time.Duration, bool)
}

// Config configures a Dispatcher.
type Config struct {
	Name string
	// Address is where other entries ask this one for slots. It is empty if they can't; the
	// entry then runs no pools.
	Address string
	View    View
	Clock   timer.Clock
	Log     *log.Logger
	// Open opens a stream to the dispatcher at an address, which ends with ctx.
	Open func(ctx context.Context, address string) (instance.DispatchStream, error)
}

// Dispatcher is an entry's part in dispatch. Its methods are safe for concurrent use.
type Dispatcher struct {
	cfg    Config
	client *client
	pools  *pools
	wake   chan struct{}

	active     atomic.Bool
	assignment atomic.Pointer[dispatch.Assignment]  // nil while no dispatcher is known
	zones      atomic.Pointer[map[string][]string]  // with pools, by service
	coldSince  atomic.Pointer[map[string]coldSince] // a copy of coldAt

	mu       sync.Mutex
	list     []dispatch.Entry
	version  uint64             // of the list; 0 if none is known
	asked    []dispatch.Entry   // the list by which this entry asks
	switchAt timer.Instant      // when it asks by the new list; 0 if it does
	failing  map[string]float64 // failed shares, by target
	changed  bool               // the list or failing has changed
	draining bool
	coldAt   map[string]coldSince // by target
	seen     uint64               // fingerprint of the targets of the last assignment

	// coordinated holds Coordinated of the configuration with the log index. Only run uses it.
	coordinated bool
	configIndex uint64
}

// coldSince tells when the announcement of a cold target was received.
type coldSince struct {
	startMillis int64
	sequence    uint64
	at          timer.Instant
}

// New returns the dispatcher of an entry, which follows its view until ctx ends.
func New(ctx context.Context, cfg Config) *Dispatcher {
	d := &Dispatcher{cfg: cfg, wake: make(chan struct{}, 1), coldAt: make(map[string]coldSince)}
	id := fmt.Sprintf("%s/%08x", cfg.Name, rand.Uint32())
	d.pools = newPools(cfg.Clock, func() reducer { return dispatch.NewPool(dispatch.Config{}) })
	d.client = newClient(ctx, id, cfg, d.pools)
	go d.run(ctx)
	return d
}

// Active reports whether the configuration asks for dispatch.
func (d *Dispatcher) Active() bool { return d.active.Load() }

// Address returns the address to report to the leader: empty while this entry is to run no
// pools.
func (d *Dispatcher) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || !d.active.Load() {
		return ""
	}
	return d.cfg.Address
}

// Version returns the version of the list to report to the leader; 0 if none is needed.
func (d *Dispatcher) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active.Load() {
		return 0
	}
	return max(d.version, instance.NoDispatchers)
}

// Adopt takes over what the leader advises: the list of dispatchers, if the response has one,
// and the failing targets.
func (d *Dispatcher) Adopt(r *instance.ReportResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(r.Dispatchers) > 0 && r.DispatchersVersion != d.version {
		d.list, d.version, d.changed = nil, r.DispatchersVersion, true
		if d.switchAt == 0 {
			d.switchAt = d.cfg.Clock.Now().Add(listDelay)
		}
		for _, z := range r.Dispatchers {
			for _, packed := range z.Addresses {
				if address, ok := instance.UnpackAddress(packed); ok {
					d.list = append(d.list, dispatch.Entry{ID: address, Address: address, Zone: z.Zone})
				}
			}
		}
	}
	failing := make(map[string]float64, len(r.Failing))
	for _, f := range r.Failing {
		failing[f.Target] = f.FailureShare
	}
	if !sameShares(failing, d.failing) {
		d.failing, d.changed = failing, true
	}
	if d.changed {
		notify(d.wake)
	}
}

// minShareChange is the change of a target's failed share of which pools are told.
const minShareChange = 0.05

func sameShares(a, b map[string]float64) bool {
	if len(a) != len(b) {
		return false
	}
	for id, share := range a {
		if old, ok := b[id]; !ok || share-old > minShareChange || old-share > minShareChange {
			return false
		}
	}
	return true
}

// notify signals a channel with a buffer of one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run follows the view, the leader's advice and the time.
func (d *Dispatcher) run(ctx context.Context) {
	var ticks <-chan timer.Instant
	stop := func() {}
	defer func() { stop() }()
	for {
		changed := d.cfg.View.Changed()
		if d.refresh(); d.Active() && ticks == nil {
			ticks, stop = d.cfg.Clock.Subscribe(tickInterval)
		}
	wait:
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
				d.pools.tick()
				if d.switchDue() {
					break wait
				}
			case <-changed:
				break wait
			case <-d.wake:
				break wait
			}
		}
		if !d.Active() && ticks != nil {
			stop()
			ticks, stop = nil, func() {}
		}
	}
}

// switchDue reports whether this entry is to ask by the new list from now on.
func (d *Dispatcher) switchDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.switchAt > 0 && d.cfg.Clock.Now() >= d.switchAt
}

// refresh assigns targets and pools anew after a change.
func (d *Dispatcher) refresh() {
	v := d.cfg.View.View()
	if v.ConfigIndex != d.configIndex {
		d.configIndex, d.coordinated = v.ConfigIndex, v.Config.Coordinated()
	}
	d.active.Store(d.coordinated)
	if !d.Active() {
		d.assignment.Store(nil)
		d.pools.assign(nil)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	if d.switchAt > 0 && (now >= d.switchAt || len(d.asked) == 0) {
		d.asked, d.switchAt, d.changed = d.list, 0, true
	}
	if seen := d.fingerprintOf(v); seen != d.seen || d.changed {
		d.seen, d.changed = seen, false
		d.reassign(v)
	}
}

// fingerprintOf returns a number that changes with the targets of a view, with those that ended
// since, and with the configuration. Most views differ in the owners of keys only, which pools don't depend on.
func (d *Dispatcher) fingerprintOf(v *view.View) uint64 {
	sum := v.ConfigIndex
	for t := range v.All() {
		sum += mix(t.Changed*31 + uint64(t.StartMillis))
	}
	for i := range v.Config.Services {
		for _, t := range d.usable(v, v.Config.Services[i].Name) {
			sum += mix(t.Changed*37 + uint64(t.StartMillis))
		}
	}
	return sum
}

// usable returns the targets of a service that are usable by the view and have not ended since.
func (d *Dispatcher) usable(v *view.View, service string) []deployment.Target {
	ended := func(t deployment.Target) bool { _, ended := d.cfg.View.TargetEnded(t); return ended }
	list := v.Usable(service)
	if !slices.ContainsFunc(list, ended) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), ended)
}

// mix spreads the bits of a number (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// reassign assigns targets to pools and pools to entries, and updates the own pools. The
// caller holds the mutex.
func (d *Dispatcher) reassign(v *view.View) {
	keyed := func(service string) bool { s, _ := v.Config.Service(service); return s.Keyed }
	var targets []deployment.Target
	for t := range v.All() {
		if t.Status != deployment.Left {
			targets = append(targets, t)
		}
	}
	infos := d.targetInfos(v, targets, keyed)
	coldSince := maps.Clone(d.coldAt)
	d.coldSince.Store(&coldSince)
	if len(d.list) == 0 {
		d.assignment.Store(nil)
		d.pools.assign(nil)
		return
	}
	next := dispatch.Assign(targets, d.list, keyed)
	a := next
	if d.switchAt > 0 {
		a = dispatch.Assign(targets, d.asked, keyed)
	}
	d.assignment.Store(&a)
	zones := make(map[string][]string)
	for _, p := range a.Pools() {
		if !slices.Contains(zones[p.Service], p.Zone) {
			zones[p.Service] = append(zones[p.Service], p.Zone)
		}
	}
	d.zones.Store(&zones)
	d.client.setList(d.asked)
	own := make(map[string][]dispatch.TargetInfo)
	for _, p := range next.Pools() {
		if d.cfg.Address == "" || p.Dispatcher.Address != d.cfg.Address {
			continue
		}
		list := make([]dispatch.TargetInfo, 0, len(p.Targets))
		for _, id := range p.Targets {
			if info, ok := infos[id]; ok {
				list = append(list, info)
			}
		}
		own[p.ID] = list
	}
	d.pools.assign(own)
}

// targetInfos returns the targets that may get requests, by ID. The owner of a key gets
// requests as long as entries send them.
func (d *Dispatcher) targetInfos(v *view.View, targets []deployment.Target, keyed func(string) bool) map[string]dispatch.TargetInfo {
	now := d.cfg.Clock.Now()
	out := make(map[string]dispatch.TargetInfo, len(targets))
	add := func(t deployment.Target) {
		s, _ := v.Config.Service(t.Service)
		info := dispatch.TargetInfo{Target: t, FailureShare: d.failing[t.ID]}
		if s.ColdRate > 0 && t.WarmUpMillis > 0 {
			since, ok := d.coldAt[t.ID]
			if !ok || since.startMillis != t.StartMillis || since.sequence != t.Sequence {
				since = coldSince{startMillis: t.StartMillis, sequence: t.Sequence, at: now}
				d.coldAt[t.ID] = since
			}
			info.ColdRate = s.ColdRate
			info.ColdLeft = max(0, time.Duration(t.WarmUpMillis)*time.Millisecond-now.Sub(since.at))
		}
		out[t.ID] = info
	}
	for _, t := range targets {
		if keyed(t.Service) {
			add(t)
		}
	}
	for i := range v.Config.Services {
		if s := &v.Config.Services[i]; !s.Keyed {
			for _, t := range d.usable(v, s.Name) {
				add(t)
			}
		}
	}
	for id := range d.coldAt {
		if _, ok := out[id]; !ok {
			delete(d.coldAt, id)
		}
	}
	return out
}

// ColdLeft returns for how long a target stays cold, if its service limits the requests to
// cold targets. An announcement counts from when it was received.
func (d *Dispatcher) ColdLeft(t deployment.Target) time.Duration {
	if s, _ := d.cfg.View.View().Config.Service(t.Service); t.WarmUpMillis <= 0 || s.ColdRate <= 0 {
		return 0
	}
	left := time.Duration(t.WarmUpMillis) * time.Millisecond
	if known := d.coldSince.Load(); known != nil {
		if since, ok := (*known)[t.ID]; ok && since.startMillis == t.StartMillis && since.sequence == t.Sequence {
			left -= d.cfg.Clock.Now().Sub(since.at)
		}
	}
	return max(0, left)
}

// Zones returns the availability zones with pools of a service.
func (d *Dispatcher) Zones(service string) []string {
	if z := d.zones.Load(); z != nil && d.assignment.Load() != nil {
		return (*z)[service]
	}
	return nil
}

// PoolOf returns the pool of a target, and false while none is known.
func (d *Dispatcher) PoolOf(target string) (dispatch.PoolInfo, bool) {
	a := d.assignment.Load()
	if a == nil {
		return dispatch.PoolInfo{}, false
	}
	p, ok := a.PoolOf(target)
	return p, ok && p.Dispatcher.Address != ""
}

// PoolsIn returns the pools of a service in an availability zone among which this entry chooses.
func (d *Dispatcher) PoolsIn(service, zone string) []dispatch.PoolInfo {
	a := d.assignment.Load()
	if a == nil {
		return nil
	}
	return slices.DeleteFunc(a.Preferred(d.cfg.Name, service, zone), func(p dispatch.PoolInfo) bool { return p.Dispatcher.Address == "" })
}

// Status returns the status that a pool told last, and false if it told none.
func (d *Dispatcher) Status(pool string) (dispatch.Status, bool) { return d.client.status(pool) }

// Ask asks the dispatcher of a pool for a slot. The ID and the time of the request are set.
// The result is to be awaited or withdrawn.
func (d *Dispatcher) Ask(p dispatch.PoolInfo, r dispatch.Requested) *Pending {
	return d.client.ask(p, r)
}

// Drain makes this entry report no address from now on, so that its pools move to others.
// Requests are still served.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// AwaitIdle waits until no request waits in a pool of this entry, or ctx ends.
func (d *Dispatcher) AwaitIdle(ctx context.Context) {
	ticks, stop := d.cfg.Clock.Subscribe(tickInterval)
	defer stop()
	for d.pools.waiting() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// Dispatch serves the stream of another entry until it ends.
func (d *Dispatcher) Dispatch(s instance.DispatchStream) error { return d.pools.serve(s) }

// Running returns the number of pools that this entry decides for, and of requests that wait
// in them.
func (d *Dispatcher) Running() (pools, waiting int) { return d.pools.running(), d.pools.waiting() }
