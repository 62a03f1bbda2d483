// Package entry runs the router of one entry: it keeps the router's lease and
// view fresh, lets requests wait for its decisions and reaches the booking logs.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/loop"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	tickPeriod  = 10 * time.Millisecond
	syncTimeout = 250 * time.Millisecond // of one try to renew the lease
	callTimeout = 300 * time.Millisecond // of one try of any other call
	syncPause   = 20 * time.Millisecond  // after a renewal that failed
	routerQueue = 16384                  // events
	loadPeriod  = time.Second            // between two reports of load
)

// Config is what an entry is told at start.
type Config struct {
	Name    string
	Control []string // addresses of control instances
	Pool    *instance.Pool
	Clock   timer.Clock
	Router  router.Config
	Refuses func(ctx context.Context, address string) bool // whether it refuses connections
	Log     *log.Logger
}

// Entry is a running entry. Its methods are safe for concurrent use.
type Entry struct {
	cfg         Config
	incarnation string
	loop        *loop.Loop[*router.Router, router.Event, router.Effect]
	sync        *instance.Leader
	control     *instance.Leader
	bookings    bookings
	crashes     crashes

	next  atomic.Uint64
	acked atomic.Uint64
	acks  chan struct{} // signals that acked has grown
	loads atomic.Pointer[router.LoadReport]
	held  atomic.Pointer[lease.Held]
	view  atomic.Pointer[router.View]

	// behind says that the last changes did not fit: the next renewal asks for
	// the whole view. Only keepSynced uses it.
	behind bool

	mu   sync.Mutex
	open map[router.RequestID]*pending
}

// pending is a request that waits for a decision or runs at a target.
type pending struct {
	decision chan decision
	cancel   context.CancelFunc
}

// decision is either a route or a refusal.
type decision struct {
	route   router.Route
	refusal *Refusal
}

// Refusal is the final answer to a request that did not run.
type Refusal struct {
	Reason router.Reason
	After  time.Duration
}

// Start starts an entry and returns it with its clean-up function.
func Start(ctx context.Context, cfg Config) (*Entry, func()) {
	ctx, cancel := context.WithCancel(ctx)
	e := &Entry{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		sync:        instance.NewLeader(cfg.Pool, cfg.Control, syncTimeout),
		control:     instance.NewLeader(cfg.Pool, cfg.Control, callTimeout),
		open:        make(map[router.RequestID]*pending),
		acks:        make(chan struct{}, 1),
	}
	e.held.Store(&lease.Held{})
	e.view.Store(&router.View{})
	e.bookings = bookings{pool: cfg.Pool, addresses: cfg.Control, leaders: make(map[string]*instance.Leader)}
	e.crashes = crashes{entry: e, open: make(map[keyspace.Owner]*crash)}
	l, stopLoop := loop.New(ctx, router.New(cfg.Router), e.run, loop.WithQueue(routerQueue))
	e.loop = l
	ticks, stopTicks := cfg.Clock.Subscribe(tickPeriod)
	go e.tick(ctx, ticks)
	go e.askLoads(ctx)
	go e.keepSynced(ctx)
	go e.keepAcknowledged(ctx)
	return e, func() {
		stopTicks()
		cancel()
		stopLoop()
	}
}

// View returns what the entry routes by.
func (e *Entry) View() *router.View { return e.view.Load() }

// Control returns the finder of the control leader.
func (e *Entry) Control() *instance.Leader { return e.control }

// Ready returns nil while the entry may route, lease.ErrExpired otherwise.
func (e *Entry) Ready() error { return e.held.Load().Check(e.cfg.Clock.Now()) }

func (e *Entry) tick(ctx context.Context, ticks <-chan timer.Instant) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks:
			e.loop.TrySend(router.Ticked{Now: now})
		}
	}
}

// askLoads has the router report its load regularly.
func (e *Entry) askLoads(ctx context.Context) {
	timer.Every(ctx, e.cfg.Clock, loadPeriod, func() { e.loop.TrySend(router.LoadRequested{}) })
}

// run carries out the router's effects.
func (e *Entry) run(_ context.Context, effects []router.Effect) error {
	for _, effect := range effects {
		switch x := effect.(type) {
		case router.Admit:
			e.decide(x.ID, decision{route: x.Route})
		case router.Reject:
			e.decide(x.ID, decision{refusal: &Refusal{Reason: x.Reason, After: x.RetryAfter}})
		case router.Cancel:
			e.cancelAttempt(x.ID)
		case router.LoadReport:
			e.loads.Store(&x)
		case router.Ack:
			e.acked.Store(x.Version)
			select {
			case e.acks <- struct{}{}:
			default:
			}
		}
	}
	return nil
}

func (e *Entry) decide(id router.RequestID, d decision) {
	if p := e.pendingOf(id); p != nil {
		p.decision <- d
	}
}

func (e *Entry) cancelAttempt(id router.RequestID) {
	if p := e.pendingOf(id); p != nil {
		p.cancel()
	}
}

func (e *Entry) pendingOf(id router.RequestID) *pending {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open[id]
}

func (e *Entry) keepSynced(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.renew(ctx); err != nil {
			e.cfg.Log.Debug("lease not renewed", "error", err)
			sleep(ctx, syncPause)
		}
	}
}

// keepAcknowledged tells the leader at once when this entry has taken over a
// version: a range that moves is served by nobody until all entries have.
func (e *Entry) keepAcknowledged(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.acks:
		}
		req := &instance.SyncRequest{Instance: e.cfg.Name, Incarnation: e.incarnation, Acked: e.acked.Load(), AckOnly: true}
		bounded, cancel := context.WithTimeout(ctx, syncTimeout)
		_, err := instance.CallLeader[instance.SyncRequest, instance.SyncResponse](bounded, e.control, "Sync", req)
		cancel()
		if err != nil {
			e.cfg.Log.Debug("version not acknowledged", "error", err)
		}
	}
}

// renew asks the control leader for a lease, counted from before the request.
func (e *Entry) renew(ctx context.Context) error {
	view := e.view.Load()
	req := &instance.SyncRequest{
		Instance:      e.cfg.Name,
		Incarnation:   e.incarnation,
		Version:       view.Version,
		ConfigVersion: view.ConfigVersion,
		Acked:         e.acked.Load(),
	}
	if loads := e.loads.Swap(nil); loads != nil {
		req.Loads = loads.Services
	}
	if e.behind {
		req.Version, req.ConfigVersion = 0, 0
	}
	asked := e.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, 4*syncTimeout)
	defer cancel()
	res, err := instance.CallLeader[instance.SyncRequest, instance.SyncResponse](ctx, e.sync, "Sync", req)
	if err != nil {
		return err
	}
	return e.take(asked, res)
}

func (e *Entry) take(asked timer.Instant, res *instance.SyncResponse) error {
	event := router.Renewed{Now: e.cfg.Clock.Now()}
	if res.View != nil {
		view, err := viewOf(res.View, e.view.Load())
		e.behind = err != nil
		if err != nil {
			return err
		}
		event.View = view
		e.sync.SetAddresses(addresses(res.View.Control, e.cfg.Control))
		e.control.SetAddresses(addresses(res.View.Control, e.cfg.Control))
		e.bookings.setAddresses(addresses(res.View.Control, e.cfg.Control))
		e.view.Store(view)
	}
	held := e.held.Load().WithRenewal(asked, res.Lease, e.view.Load().Version)
	e.held.Store(&held)
	event.Lease = held
	return e.loop.Send(event)
}

func addresses(named, fallback []string) []string {
	if len(named) == 0 {
		return fallback
	}
	return named
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
