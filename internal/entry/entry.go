// Package entry runs the router of one entry: it renews the router's lease and view,
// makes requests wait for the router's decisions, reports crashes to control and calls
// the booking logs.
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
	tickPeriod       = 10 * time.Millisecond
	syncTimeout      = 250 * time.Millisecond // of one call to renew the lease or acknowledge a version
	callTimeout      = 300 * time.Millisecond // of one call of another kind
	syncRetryDelay   = 20 * time.Millisecond  // after a failed renewal
	routerQueueSize  = 16384                  // events
	loadReportPeriod = time.Second            // between load reports
)

// Config holds the settings and dependencies of an entry.
type Config struct {
	Name        string
	Control     []string // addresses of control instances
	Pool        *instance.Pool
	Clock       timer.Clock
	Router      router.Config
	ConnRefused func(ctx context.Context, address string) bool // reports whether the address refuses connections
	Log         *log.Logger
}

// Entry is a running entry. Its methods are safe for concurrent use.
type Entry struct {
	cfg           Config
	incarnation   string
	loop          *loop.Loop[*router.Router, router.Event, router.Effect]
	sync          *instance.LeaderClient
	control       *instance.LeaderClient
	bookingLogs   bookingLogClients
	crashReporter crashReporter

	nextID    atomic.Uint64
	acked     atomic.Uint64
	ackSignal chan struct{} // signals that acked has increased
	loads     atomic.Pointer[router.LoadReport]
	heldLease atomic.Pointer[lease.Held]
	view      atomic.Pointer[router.View]

	// needFullView says that the last view received could not be applied, so that the
	// next renewal asks for the whole view. Only renewLoop uses it.
	needFullView bool

	mu      sync.Mutex
	pending map[router.AttemptID]*pendingRequest
}

// pendingRequest is a request that waits for a decision or runs at a target.
type pendingRequest struct {
	decision chan decision
	cancel   context.CancelFunc
}

// decision is either a destination or a rejection.
type decision struct {
	destination router.Destination
	rejection   *Rejection
}

// Rejection states why a request is not sent to a target, or not sent again.
type Rejection struct {
	Reason     router.Reason
	RetryAfter time.Duration // time after which the caller may try again
}

// Start starts an entry and returns it with a function that stops it.
func Start(ctx context.Context, cfg Config) (*Entry, func()) {
	ctx, cancel := context.WithCancel(ctx)
	e := &Entry{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		sync:        instance.NewLeaderClient(cfg.Pool, cfg.Control, syncTimeout),
		control:     instance.NewLeaderClient(cfg.Pool, cfg.Control, callTimeout),
		pending:     make(map[router.AttemptID]*pendingRequest),
		ackSignal:   make(chan struct{}, 1),
	}
	e.heldLease.Store(&lease.Held{})
	e.view.Store(&router.View{})
	e.bookingLogs = bookingLogClients{pool: cfg.Pool, addresses: cfg.Control, leaders: make(map[string]*instance.LeaderClient)}
	e.crashReporter = crashReporter{entry: e, pending: make(map[keyspace.Owner]*pendingReport)}
	l, stopLoop := loop.New(ctx, router.New(cfg.Router), e.runEffects, loop.WithQueue(routerQueueSize))
	e.loop = l
	ticks, stopTicks := cfg.Clock.Subscribe(tickPeriod)
	go e.tickLoop(ctx, ticks)
	go e.loadReportLoop(ctx)
	go e.renewLoop(ctx)
	go e.ackLoop(ctx)
	return e, func() {
		stopTicks()
		cancel()
		stopLoop()
	}
}

// View returns the view that the entry bases its decisions on.
func (e *Entry) View() *router.View { return e.view.Load() }

// ControlClient returns the client for calls to the control leader.
func (e *Entry) ControlClient() *instance.LeaderClient { return e.control }

// Ready returns nil while the entry holds its lease, and lease.ErrExpired otherwise.
func (e *Entry) Ready() error { return e.heldLease.Load().Check(e.cfg.Clock.Now()) }

func (e *Entry) tickLoop(ctx context.Context, ticks <-chan timer.Instant) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks:
			e.loop.TrySend(router.Ticked{Now: now})
		}
	}
}

// loadReportLoop asks the router for a load report once in each loadReportPeriod.
func (e *Entry) loadReportLoop(ctx context.Context) {
	timer.Every(ctx, e.cfg.Clock, loadReportPeriod, func() { e.loop.TrySend(router.LoadRequested{}) })
}

// runEffects carries out the router's effects.
func (e *Entry) runEffects(_ context.Context, effects []router.Effect) error {
	for _, effect := range effects {
		switch x := effect.(type) {
		case router.Admit:
			e.deliver(x.ID, decision{destination: x.Destination})
		case router.Reject:
			e.deliver(x.ID, decision{rejection: &Rejection{Reason: x.Reason, RetryAfter: x.RetryAfter}})
		case router.Cancel:
			e.cancelAttempt(x.ID)
		case router.LoadReport:
			e.loads.Store(&x)
		case router.Ack:
			e.acked.Store(x.Version)
			select {
			case e.ackSignal <- struct{}{}:
			default:
			}
		}
	}
	return nil
}

func (e *Entry) deliver(id router.AttemptID, d decision) {
	if p := e.pendingOf(id); p != nil {
		p.decision <- d
	}
}

func (e *Entry) cancelAttempt(id router.AttemptID) {
	if p := e.pendingOf(id); p != nil {
		p.cancel()
	}
}

func (e *Entry) pendingOf(id router.AttemptID) *pendingRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pending[id]
}

// renewLoop renews the lease again as soon as the last renewal has ended, and pauses
// only after a failure.
func (e *Entry) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.renew(ctx); err != nil {
			e.cfg.Log.Debug("lease not renewed", "error", err)
			sleep(ctx, syncRetryDelay)
		}
	}
}

// ackLoop reports each acknowledged version to the leader at once: no target serves a
// moving range until all entries have acknowledged the move.
func (e *Entry) ackLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.ackSignal:
		}
		req := &instance.SyncRequest{Instance: e.cfg.Name, Incarnation: e.incarnation, Acked: e.acked.Load(), AckOnly: true}
		callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
		_, err := instance.CallLeader[instance.SyncRequest, instance.SyncResponse](callCtx, e.control, "Sync", req)
		cancel()
		if err != nil {
			e.cfg.Log.Debug("version not acknowledged", "error", err)
		}
	}
}

// renew asks the control leader for a lease, whose duration counts from before the
// request was sent.
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
	if e.needFullView {
		req.Version, req.ConfigVersion = 0, 0
	}
	sentAt := e.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, 4*syncTimeout)
	defer cancel()
	res, err := instance.CallLeader[instance.SyncRequest, instance.SyncResponse](ctx, e.sync, "Sync", req)
	if err != nil {
		return err
	}
	return e.applySync(sentAt, res)
}

// applySync applies the leader's response to a request that was sent at sentAt.
func (e *Entry) applySync(sentAt timer.Instant, res *instance.SyncResponse) error {
	event := router.Renewed{Now: e.cfg.Clock.Now()}
	if res.View != nil {
		view, err := nextView(res.View, e.view.Load())
		e.needFullView = err != nil
		if err != nil {
			return err
		}
		event.View = view
		e.sync.SetAddresses(withFallback(res.View.Control, e.cfg.Control))
		e.control.SetAddresses(withFallback(res.View.Control, e.cfg.Control))
		e.bookingLogs.setAddresses(withFallback(res.View.Control, e.cfg.Control))
		e.view.Store(view)
	}
	heldLease := e.heldLease.Load().WithRenewal(sentAt, res.Lease, e.view.Load().Version)
	e.heldLease.Store(&heldLease)
	event.Lease = heldLease
	return e.loop.Send(event)
}

// withFallback returns addresses, or fallback if there are none.
func withFallback(addresses, fallback []string) []string {
	if len(addresses) == 0 {
		return fallback
	}
	return addresses
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
