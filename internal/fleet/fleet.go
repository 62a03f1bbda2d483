// Package fleet puts the parts of one instance of a routed deployment together:
// the replicated state and the leader's duties where it has the control role,
// the edge towards callers where it has the entry role.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/cleanup"
	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/forward"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/leader"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Adapter is what a platform brings: its dialect towards callers and targets
// and its HTTP interfaces.
type Adapter struct {
	Dialect forward.HeaderNames
	// Targets returns what carries the leader's calls, with its clean-up function.
	Targets func(clock timer.Clock) (leader.Targets, func())
	// Operator returns the handler on a control instance's operator address.
	Operator func(c *Control) http.Handler
	// Balancer returns the handler on an entry's balancer address.
	Balancer func(ready func() error) http.Handler
}

// Logs are the two kinds of an instance's log lines.
type Logs struct {
	Important *log.Logger // failures and what the instance believes
	Routine   *log.Logger // requests that go well; the first to be dropped
	// Dropped returns how many lines were dropped: routine ones, others, and
	// those that could not be written. It may be nil.
	Dropped func() (routine, important, failed uint64)
}

// Fleet is one running instance.
type Fleet struct {
	cfg     settings.Routed
	adapter Adapter
	log     *log.Logger
	routine *log.Logger // of requests that go well
	clock   *timer.System
	pool    *instance.Pool
	traffic *instance.Traffic
	metrics *metrics
	control *Control
	entry   *forward.Server
	follow  *view.Follower

	cleanups cleanup.Stack

	mu       sync.Mutex
	stopping bool
	failed   chan error
}

// retryMargin is the share of the retry budget that entries use: each knows only
// its own requests.
const retryMargin = 0.75

// Start starts an instance and returns it with its clean-up function, which
// ends it at once. Use Shutdown first for a planned stop.
func Start(ctx context.Context, cfg settings.Routed, adapter Adapter, logs Logs) (*Fleet, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		cfg:     cfg,
		adapter: adapter,
		log:     logs.Important.With("instance", cfg.Name),
		routine: logs.Routine.With("instance", cfg.Name),
		clock:   timer.NewSystem(ctx),
		traffic: &instance.Traffic{},
		metrics: newMetrics(logs.Dropped),
		failed:  make(chan error, 1),
	}
	f.cleanups.Add(cancel)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, f.traffic)
	f.pool = pool
	f.cleanups.Add(closePool)
	if err := f.start(ctx); err != nil {
		f.cleanups.Run()
		return nil, nil, fmt.Errorf("start instance %s: %w", cfg.Name, err)
	}
	f.log.Info("instance started", "availability_zone", cfg.AvailabilityZone, "entry", cfg.Entry, "control", cfg.Control,
		"bootstrap", cfg.Bootstrap, "seeds", cfg.Seeds)
	return f, f.cleanups.Run, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if f.cfg.Control {
		if err := f.startControl(ctx); err != nil {
			return err
		}
	}
	if f.cfg.Entry {
		if err := f.startEntry(ctx); err != nil {
			return err
		}
	}
	f.gauges()
	if f.cfg.MetricsAddress != "" {
		return f.listenHTTP(f.cfg.MetricsAddress, f.metrics)
	}
	return nil
}

// gauges adds what the instance believes to its metrics.
func (f *Fleet) gauges() {
	f.metrics.gauge("instance_bytes_in", func() any { return f.traffic.In() })
	f.metrics.gauge("instance_bytes_out", func() any { return f.traffic.Out() })
	if c := f.control; c != nil {
		f.metrics.gauge("replica_role", func() any { return c.replica().group.Role().Role.String() })
		f.metrics.gauge("replica_term", func() any { return c.replica().group.Role().Term })
		f.metrics.gauge("applied_index", func() any { return c.replica().group.State().Index })
		f.metrics.gauge("config_version", func() any { doc, _ := c.State().Document(); return doc.Version })
		f.metrics.gauge("targets", func() any { return countTargets(c.State().Targets()) })
	}
	if v := f.follow; v != nil {
		f.metrics.gauge("view_version", func() any { return v.View().Version })
		f.metrics.gauge("view_age_milliseconds", func() any { return v.Age().Milliseconds() })
		f.metrics.gauge("config_version", func() any { return v.View().Document.Version })
		f.metrics.gauge("caller_connections", func() any { return f.entry.Connections() })
		f.metrics.gauge("retry_budgets", func() any { return f.entry.RetryBudgets() })
	}
}

// countTargets counts targets by service and status.
func countTargets(targets []deployment.Target) map[string]int {
	out := make(map[string]int)
	for _, t := range targets {
		out[t.Service+"."+string(t.Status)]++
	}
	return out
}

func (f *Fleet) startControl(ctx context.Context) error {
	targets, closeTargets := f.adapter.Targets(f.clock)
	f.cleanups.Add(closeTargets)
	c, stopReplica, err := startReplica(ctx, f.cfg, targets, f.pool, f.clock, f.log)
	if err != nil {
		return err
	}
	f.control = c
	f.cleanups.Add(stopReplica)
	listen := f.cfg.ListenAddress
	if listen == "" {
		listen = f.cfg.Address
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	f.cleanups.Add(instance.ServeDeployment(l, f.control, instance.Security{}, f.traffic))
	return f.listenHTTP(f.cfg.OperatorAddress, f.adapter.Operator(f.control))
}

// Reload takes changed settings over: other seeds take effect at once, all else
// at the next start.
func (f *Fleet) Reload(cfg settings.Routed) {
	f.log.Info("settings reloaded", "seeds", cfg.Seeds)
	if f.control != nil {
		f.control.SetSeeds(cfg.Seeds)
	}
	if f.follow != nil {
		f.follow.SetSeeds(cfg.Seeds)
	}
}

func (f *Fleet) startEntry(ctx context.Context) error {
	f.follow = view.Follow(ctx, view.FollowerConfig{Name: f.cfg.Name, Seeds: f.cfg.Seeds, Pool: f.pool, Log: f.log})
	targets, closeTargets := targethttp.NewPool(f.clock)
	f.cleanups.Add(closeTargets)
	l, err := net.Listen("tcp", f.cfg.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	finder := instance.NewLeader(f.pool, f.cfg.Seeds, reportTimeout)
	server, stopServer := forward.Serve(ctx, l, forward.Config{
		Name:             f.cfg.Name,
		AvailabilityZone: f.cfg.AvailabilityZone,
		Headers:          f.adapter.Dialect,
		View:             f.follow,
		Pool:             targets,
		Clock:            f.clock,
		Log:              f.log,
		RoutineLog:       f.routine,
		Observer:         f.metrics,
		Report:           func(r instance.ReportRequest) *instance.ReportResponse { return f.report(ctx, finder, r) },
		RetryRatio:       f.cfg.RetryRatio,
		RetryBurst:       f.cfg.RetryBurst,
		RetryMargin:      retryMargin,
		Link:             narrowLink(f.cfg.LinkMbps),
	})
	f.entry = server
	f.cleanups.Add(stopServer)
	return f.listenHTTP(f.cfg.BalancerAddress, f.adapter.Balancer(f.ready))
}

const (
	// narrowMbps is below which a link counts as narrow.
	narrowMbps   = 100.0
	bytesPerMbit = 1e6 / 8
	// answersShare is the share of a link that answers to callers may take: the
	// rest is for requests to targets, other instances, and packet headers.
	answersShare = 0.92
)

// narrowLink returns the link that large answers share, and nil for one that is
// wide enough for all.
func narrowLink(mbps float64) *limit.Link {
	if mbps <= 0 || mbps >= narrowMbps {
		return nil
	}
	return limit.NewLink(mbps * bytesPerMbit * answersShare)
}

// reportTimeout bounds one try to bring measurements to the leader.
const reportTimeout = 300 * time.Millisecond

// report brings measurements to the leader. They are lost where it can't be
// reached: the next ones follow soon.
func (f *Fleet) report(ctx context.Context, finder *instance.Leader, r instance.ReportRequest) *instance.ReportResponse {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	finder.SetAddresses(f.follow.View().Control)
	res, err := instance.CallLeader[instance.ReportRequest, instance.ReportResponse](ctx, finder, "Report", &r)
	if err != nil {
		f.log.Debug("measurements not delivered", "error", err)
		return nil
	}
	return res
}

// errStopping fails the balancer's check during a planned stop.
var errStopping = errors.New("instance is stopping")

// errNoConfiguration fails it until a configuration is known.
var errNoConfiguration = errors.New("no configuration is known yet")

// ready tells the balancer whether this entry should get new connections.
func (f *Fleet) ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.stopping:
		return errStopping
	case f.follow.View().DocIndex == 0:
		return errNoConfiguration
	}
	return nil
}

// Failed delivers the error that makes the instance unable to go on.
func (f *Fleet) Failed() <-chan error { return f.failed }

func (f *Fleet) fail(err error) {
	select {
	case f.failed <- err:
	default:
	}
}

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

func (f *Fleet) listenHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	f.cleanups.Add(func() { _ = s.Close() })
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.fail(fmt.Errorf("serve %s: %w", address, err))
		}
	}()
	return nil
}

// finishMargin is kept from the grace for the exit itself.
const finishMargin = 400 * time.Millisecond

// Shutdown stops as planned: the balancer is told, kept connections end between
// requests, what was read is answered, and leadership is handed over.
func (f *Fleet) Shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Grace-finishMargin)
	defer cancel()
	f.log.Info("planned stop began", "drain", f.cfg.Drain, "grace", f.cfg.Grace)
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	if f.control != nil {
		f.control.handOver(ctx)
	}
	if f.entry != nil {
		select {
		case <-ctx.Done():
		case <-time.After(f.cfg.Drain):
		}
		if err := f.entry.Stop(ctx); err != nil {
			f.log.Warn("planned stop ran out of time", "error", err)
		}
	}
	f.log.Info("planned stop ended")
}
