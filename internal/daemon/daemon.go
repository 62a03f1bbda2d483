// Package daemon assembles one instance of a deployment with a voted configuration:
// its control role and its entry role, if it has them, and the listeners for other
// instances, callers, targets and operators.
package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/cranberrywind/cranberrywind/internal/balancer"
	"github.com/cranberrywind/cranberrywind/internal/burn"
	"github.com/cranberrywind/cranberrywind/internal/caller"
	"github.com/cranberrywind/cranberrywind/internal/cleanup"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/http1"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/operator"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/target"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Daemon is one running instance.
type Daemon struct {
	cfg      settings.Instance
	log      *log.Logger
	clock    *timer.System
	pool     *instance.Pool
	security instance.Security
	control  *controlRole
	entry    *entry.Entry
	caller   *caller.Handler
	check    *balancer.Check
	burn     *burn.Recorder
	metrics  *metrics

	cleanups cleanup.Stack

	mu      sync.Mutex
	servers []*http.Server
	failed  chan error
}

// Timing holds the intervals and timeouts of an instance. It must be the same on all
// instances of a deployment.
type Timing struct {
	Group   group.Timing
	Control control.Timing
}

// DefaultTiming returns the timing of a deployment within one region.
func DefaultTiming() Timing {
	return Timing{Group: group.DefaultTiming(), Control: control.DefaultTiming()}
}

// Start starts an instance and returns it with a function that stops it immediately.
// For a graceful shutdown, call Shutdown first.
func Start(ctx context.Context, cfg settings.Instance, timing Timing, logger *log.Logger) (*Daemon, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Daemon{
		cfg:     cfg,
		log:     logger.With("instance", cfg.Name, "availability_zone", cfg.AvailabilityZone),
		clock:   timer.NewSystem(ctx),
		metrics: newMetrics(),
		failed:  make(chan error, 1),
	}
	d.burn = burn.NewRecorder(func() time.Duration { return time.Duration(d.clock.Now()) })
	d.cleanups.Add(cancel)
	d.check = balancer.New(d.ready)
	if cfg.TLS.Certificate != "" {
		security, err := instance.LoadSecurity(cfg.TLS.Certificate, cfg.TLS.Key, cfg.TLS.Authority)
		if err != nil {
			d.cleanups.Run()
			return nil, nil, fmt.Errorf("start instance %s: %w", cfg.Name, err)
		}
		d.security = security
	}
	if !d.security.Enabled() {
		d.log.Warn("connections between instances are not encrypted: set certificates in section [tls]")
	}
	pool, closePool := instance.NewPool(ctx, d.security, d.metrics.traffic)
	d.pool = pool
	d.cleanups.Add(closePool)
	if err := d.start(ctx, timing); err != nil {
		d.cleanups.Run()
		return nil, nil, fmt.Errorf("start instance %s: %w", cfg.Name, err)
	}
	d.log.Info("instance started", "entry", cfg.Entry, "control", cfg.Control)
	return d, d.cleanups.Run, nil
}

func (d *Daemon) start(ctx context.Context, timing Timing) error {
	client, closeClient := target.NewClient(d.clock)
	d.cleanups.Add(closeClient)
	if d.cfg.Control {
		if err := d.startControl(ctx, timing, client); err != nil {
			return err
		}
	}
	if err := d.listenInstances(); err != nil {
		return err
	}
	if d.cfg.Entry {
		if err := d.startEntry(ctx, client); err != nil {
			return err
		}
	}
	return d.listenOperators()
}

// Failed returns a channel that receives the first error that makes the instance unable
// to continue.
func (d *Daemon) Failed() <-chan error { return d.failed }

func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

func (d *Daemon) listenInstances() error {
	address := d.cfg.ListenAddress
	if address == "" {
		address = d.cfg.Address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	d.cleanups.Add(instance.Serve(l, &handler{daemon: d}, d.security, d.metrics.traffic))
	return nil
}

func (d *Daemon) startEntry(ctx context.Context, client *target.Client) error {
	var addresses []string
	for _, p := range d.cfg.Bootstrap {
		addresses = append(addresses, p.Address)
	}
	e, stopEntry := entry.Start(ctx, entry.Config{
		Name:        d.cfg.Name,
		Control:     addresses,
		Pool:        d.pool,
		Clock:       d.clock,
		Router:      router.Config{Limits: router.AdaptiveLimit, Seed: uint64(time.Now().UnixNano())},
		ConnRefused: client.ConnRefused,
		Log:         d.log,
	})
	d.entry = e
	d.cleanups.Add(stopEntry)
	d.caller = caller.New(caller.Config{
		Entry:    e,
		Client:   client,
		Observer: d,
		Log:      d.log,
		Capacity: d.cfg.Capacity,
	})
	root := chi.NewRouter()
	d.check.Mount(root)
	root.Mount("/", d.caller.Routes())
	if err := d.listenHTTP(d.cfg.CallerAddress, root); err != nil {
		return err
	}
	return d.listenHTTP(d.cfg.TargetAddress, target.Handler(d.announce))
}

// announce forwards a target's heartbeat to the control leader.
func (d *Daemon) announce(ctx context.Context, req *instance.AnnounceRequest) (*instance.AnnounceResponse, error) {
	return instance.CallLeader[instance.AnnounceRequest, instance.AnnounceResponse](ctx, d.entry.ControlClient(), "Announce", req)
}

func (d *Daemon) listenOperators() error {
	r := chi.NewRouter()
	d.check.Mount(r)
	operator.Mount(r, d)
	return d.listenHTTP(d.cfg.OperatorAddress, r)
}

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes is above the limit of internal/caller, so that callers who
	// exceed that limit get its error response, which names the limit.
	maxHeaderBytes = 1 << 20
)

func (d *Daemon) listenHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.cleanups.Add(func() { _ = s.Close() })
	go func() {
		if err := s.Serve(http1.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			d.fail(fmt.Errorf("serve %s: %w", address, err))
		}
	}()
	return nil
}

// ready returns nil while the entry holds its lease, or if the instance has no entry
// role. The balancer's readiness check calls it.
func (d *Daemon) ready() error {
	if d.entry == nil {
		return nil
	}
	return d.entry.Ready()
}

// Ready returns nil while the instance can serve.
func (d *Daemon) Ready() error { return d.ready() }

// Observe counts a response to a caller in the error budget and the metrics.
func (d *Daemon) Observe(service string, outcome caller.Outcome, good bool, took time.Duration) {
	d.burn.Add(service, good)
	d.metrics.observe(service, string(outcome), good, took)
}

// Burn reports how fast each service uses up its error budget, as counted by this
// instance.
func (d *Daemon) Burn() burn.Report {
	return d.burn.Report(func(service string) float64 {
		if d.entry == nil {
			return 0
		}
		s, _ := d.entry.View().Config.Service(service)
		return s.Objective
	})
}

// Metrics returns this instance's metrics.
func (d *Daemon) Metrics() *expvar.Map { return d.metrics.root }

// RoutesVersion reports whether the entry is ready and routes by the version of the view
// or a later one.
func (d *Daemon) RoutesVersion(version uint64) bool {
	return d.entry != nil && d.entry.Ready() == nil && d.entry.View().Version >= version
}

// ControlRole returns the role of this instance's replica in the control group, or
// Follower if it has none.
func (d *Daemon) ControlRole() replica.Role {
	if d.control == nil {
		return replica.Follower
	}
	return d.control.state.Role().Role
}

// Traffic returns the bytes that this instance received from and sent to others.
func (d *Daemon) Traffic() (in, out int64) { return d.metrics.traffic.In(), d.metrics.traffic.Out() }
