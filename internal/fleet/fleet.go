// Package fleet assembles one instance of a routed deployment, which is configured
// by routes and services (see internal/deployment). Its counterpart for deployments
// whose members vote on the configuration is internal/daemon. With the control role an
// instance runs a replica of the control group, which may become the leader. With the
// entry role it forwards requests from callers to targets.
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
	"github.com/cranberrywind/cranberrywind/internal/dispatcher"
	"github.com/cranberrywind/cranberrywind/internal/forward"
	"github.com/cranberrywind/cranberrywind/internal/http1"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/leader"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Adapter holds the platform-specific parts of an instance: the names of headers and
// the HTTP interfaces.
type Adapter struct {
	Headers forward.HeaderNames
	// Targets returns a client for the leader's calls to targets, and its clean-up
	// function.
	Targets func(clock timer.Clock) (leader.Targets, func())
	// Operator returns the handler for a control instance's operator address.
	Operator func(c *Control) http.Handler
	// Balancer returns the handler for an entry's balancer address. An entry is ready
	// while the function returns nil.
	Balancer func(ready func() error) http.Handler
}

// Logs holds an instance's two loggers.
type Logs struct {
	Important *log.Logger // failures, and changes of the configuration, leadership and targets
	Routine   *log.Logger // successful requests; dropped first when there are too many lines
	// Dropped returns the numbers of routine and of important lines that were
	// dropped, and the number of lines whose write failed. It may be nil.
	Dropped func() (routine, important, failed uint64)
}

// Instance is one running instance of a routed deployment.
type Instance struct {
	cfg        settings.Routed
	adapter    Adapter
	log        *log.Logger
	routineLog *log.Logger // of successful requests
	clock      *timer.System
	pool       *instance.Pool
	traffic    *instance.Traffic
	metrics    *metrics
	control    *Control
	operator   *http.Server // of the control role
	entry      *forward.Server
	follower   *view.Follower
	dispatcher *dispatcher.Dispatcher
	collectors collectors
	reports    reportLog

	cleanups cleanup.Stack

	mu       sync.Mutex
	stopping bool
	failed   chan error

	asked         bool  // the balancer has asked for the readiness
	lastReadiness error // that was reported last
}

// retryShare is the share of the retry budget that an entry uses. The rest is a
// margin, because each entry counts only its own requests.
const retryShare = 0.75

// Start starts an instance and returns it with its clean-up function, which
// stops it at once. Call Shutdown first for a graceful shutdown.
func Start(ctx context.Context, cfg settings.Routed, adapter Adapter, logs Logs) (*Instance, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	i := &Instance{
		cfg:        cfg,
		adapter:    adapter,
		log:        logs.Important.With("instance", cfg.Name),
		routineLog: logs.Routine.With("instance", cfg.Name),
		clock:      timer.NewSystem(ctx),
		traffic:    &instance.Traffic{},
		metrics:    newMetrics(logs.Dropped),
		failed:     make(chan error, 1),
	}
	i.cleanups.Add(cancel)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, i.traffic)
	pool.SetZone(cfg.AvailabilityZone)
	i.pool = pool
	i.cleanups.Add(closePool)
	if err := i.start(ctx); err != nil {
		i.cleanups.Run()
		return nil, nil, fmt.Errorf("start instance %s: %w", cfg.Name, err)
	}
	i.log.Info("instance started", "availability_zone", cfg.AvailabilityZone, "entry", cfg.Entry, "control", cfg.Control,
		"bootstrap", cfg.Bootstrap, "seeds", cfg.Seeds, "grace", cfg.Grace, "retry_ratio", cfg.RetryRatio, "retry_slack", cfg.RetrySlack,
		"config_apply", cfg.ConfigApply, "target_drain", cfg.TargetDrain, "max_lease", cfg.MaxLease, "grants", cfg.Grants, "link_mbps", cfg.LinkMbps, "memory_mb", cfg.MemoryMB)
	if len(cfg.Unknown) > 0 {
		i.log.Warn("unknown settings of the platform ignored", "names", cfg.Unknown)
	}
	return i, i.cleanups.Run, nil
}

func (i *Instance) start(ctx context.Context) error {
	if i.cfg.Control {
		if err := i.startControlRole(ctx); err != nil {
			return err
		}
	}
	if i.cfg.Entry {
		if err := i.startEntry(ctx); err != nil {
			return err
		}
	}
	i.addGauges()
	if i.cfg.MetricsAddress != "" {
		_, err := i.listenHTTP(i.cfg.MetricsAddress, newAdmin(i.control, i.metrics))
		return err
	}
	return nil
}

// addGauges adds the gauges of the instance's roles to its metrics.
func (i *Instance) addGauges() {
	i.metrics.addGauge("instance_bytes_in", func() any { return i.traffic.In() })
	i.metrics.addGauge("instance_bytes_out", func() any { return i.traffic.Out() })
	i.metrics.addGauge("answered_call_bytes", func() any { return i.traffic.Answered() })
	if c := i.control; c != nil {
		i.metrics.addGauge("replica_role", func() any { return c.lastReplica().group.Role().Role.String() })
		i.metrics.addGauge("replica_term", func() any { return c.lastReplica().group.Role().Term })
		i.metrics.addGauge("applied_index", func() any { return c.lastReplica().group.State().Index })
		i.metrics.addGauge("config_version", func() any { cfg, _ := c.State().Config(); return cfg.Version })
		i.metrics.addGauge("rejected_heartbeats", func() any { return c.rejectedHeartbeats.count.Load() })
		i.metrics.addGauge("feature_level", c.featureGauge)
		i.metrics.addGauge("targets", func() any { return countTargets(c.State().Targets()) })
		i.metrics.addGauge("evacuated_zones", func() any { return len(c.State().Evacuated()) })
		i.metrics.addGauge("replica_load", func() any { return c.lastReplica().group.Load() })
		i.metrics.addGauge("leader_load", func() any { return c.lastReplica().leader.Load() })
		i.metrics.addGauge("view_updates", func() any { return c.publisher.Load() })
		i.metrics.addGauge("zone_shares", func() any { return c.zoneShares() })
	}
	if v := i.follower; v != nil {
		i.metrics.addGauge("view_version", func() any { return v.View().Version })
		i.metrics.addGauge("view_age_milliseconds", func() any { return v.Age().Milliseconds() })
		i.metrics.addGauge("view_current_milliseconds_ago", func() any { return v.CurrentAge().Milliseconds() })
		i.metrics.addGauge("advice_milliseconds_ago", func() any { return i.entry.AdviceAge().Milliseconds() })
		i.metrics.addGauge("config_version", func() any { return v.View().Config.Version })
		i.metrics.addGauge("evacuated_zones", func() any { return v.View().EvacuatedZones() })
		i.metrics.addGauge("config_lag_milliseconds", func() any { return v.ConfigLag().Milliseconds() })
		i.metrics.addGauge("config_confirmed_milliseconds_ago", func() any { return v.ConfigConfirmedAge().Milliseconds() })
		i.metrics.addGauge("config_in_force", func() any { return v.ConfigInForce() })
		i.metrics.addGauge("reports", func() any { return i.reports.read() })
		i.metrics.addGauge("targets_confirmed_milliseconds_ago", func() any { return v.TargetsConfirmedAge().Milliseconds() })
		i.metrics.addGauge("targets_in_force", func() any { return v.TargetsInForce() })
		i.metrics.addGauge("caller_connections", func() any { return i.entry.Connections() })
		i.metrics.addGauge("retry_budgets", func() any { return i.entry.RetryBudgets() })
		i.metrics.addGauge("invalid_retry_after", func() any { return i.entry.InvalidRests() })
		i.metrics.addGauge("path_to_targets_lost", func() any { return i.entry.PathLost() })
		i.metrics.addGauge("path_to_targets_losses", func() any { return i.entry.PathLosses() })
		i.metrics.addGauge("relayed_requests", func() any {
			sent, taken, rejected := i.entry.RelayedRequests()
			return map[string]uint64{"sent": sent, "taken": taken, "rejected": rejected}
		})
		i.metrics.addGauge("responses_not_written", func() any { return i.entry.NotWritten() })
		i.metrics.addGauge("request_body_bytes", func() any { return i.entry.HeldBodyBytes() })
		i.metrics.addGauge("rate_limits", func() any { return i.entry.RateLimits() })
		i.metrics.addGauge("rejections", func() any { return i.entry.Rejections() })
		i.metrics.addGauge("dispatch", func() any { return i.dispatchGauge() })
		i.metrics.addGauge("zone_requests", func() any {
			stayed, left := i.entry.ZoneRequests()
			return map[string]map[string]uint64{"stayed": stayed, "left": left}
		})
	}
}

// dispatchGauge returns the numbers of decisions and fallbacks of this entry's requests, and of
// the pools that it runs. It is null while the configuration does not call for dispatch.
func (i *Instance) dispatchGauge() any {
	if !i.dispatcher.Active() {
		return nil
	}
	grants, rejections := i.entry.DispatchDecisions()
	pools, waiting := i.dispatcher.Running()
	return map[string]any{
		"grants": grants, "rejections": rejections, "fallbacks": i.dispatcher.Fallbacks(), "pools": pools, "waiting": waiting,
	}
}

// countTargets returns the number of targets by service and status.
func countTargets(targets []deployment.Target) map[string]int {
	out := make(map[string]int)
	for _, t := range targets {
		out[t.Service+"."+string(t.Status)]++
	}
	return out
}

func (i *Instance) startControlRole(ctx context.Context) error {
	targets, closeTargets := i.adapter.Targets(i.clock)
	i.cleanups.Add(closeTargets)
	c, stopReplica, err := startControl(ctx, i.cfg, targets, i.pool, i.clock, i.log)
	if err != nil {
		return err
	}
	i.control = c
	i.cleanups.Add(stopReplica)
	address := i.cfg.ListenAddress
	if address == "" {
		address = i.cfg.Address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	i.cleanups.Add(instance.ServeDeployment(l, i.control, instance.Security{}, i.traffic))
	operator, err := i.listenHTTP(i.cfg.OperatorAddress, i.adapter.Operator(i.control))
	i.operator = operator
	return err
}

// Reload applies new seeds. Other settings take effect at the next start.
func (i *Instance) Reload(cfg settings.Routed) {
	i.log.Info("settings reloaded", "seeds", cfg.Seeds)
	if i.control != nil {
		i.control.SetSeeds(cfg.Seeds)
	}
	if i.follower != nil {
		i.follower.SetSeeds(cfg.Seeds)
	}
}

func (i *Instance) startEntry(ctx context.Context) error {
	if i.cfg.PreferZone {
		i.collectors.nearby = instance.NewNearby(i.cfg.AvailabilityZone, i.clock)
	}
	i.follower = view.Follow(ctx, view.FollowerConfig{Name: i.cfg.Name, Seeds: i.cfg.Seeds, Pool: i.pool, Log: i.log, Nearby: i.collectors.nearby, Level: deployment.FeatureLevel,
		ConfigApply: i.cfg.ConfigApply, TargetDrain: i.cfg.TargetDrain})
	targets, closeTargets := targethttp.NewPool(i.clock)
	i.cleanups.Add(closeTargets)
	l, err := net.Listen("tcp", i.cfg.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if err := i.startDispatcher(ctx); err != nil {
		return err
	}
	leaderClient := instance.NewLeaderClient(i.pool, i.cfg.Seeds, reportTimeout)
	server, stopServer := forward.Serve(ctx, l, forward.Config{
		Name:             i.cfg.Name,
		AvailabilityZone: i.cfg.AvailabilityZone,
		Headers:          i.adapter.Headers,
		View:             i.follower,
		Pool:             targets,
		Clock:            i.clock,
		Log:              i.log,
		RoutineLog:       i.routineLog,
		Observer:         i.metrics,
		Report:           func(r instance.ReportRequest) *instance.ReportResponse { return i.sendReport(ctx, leaderClient, r) },
		RetryRatio:       i.cfg.RetryRatio,
		RetrySlack:       i.cfg.RetrySlack,
		RetryShare:       retryShare,
		ConfigApply:      i.cfg.ConfigApply,

		TargetDrain:       i.cfg.TargetDrain,
		GrantsByHeartbeat: i.cfg.Grants == settings.GrantByHeartbeat,
		RelayAddress:      i.cfg.RelayAddress,
		Link:              newLink(i.cfg.LinkMbps),
		Dispatcher:        i.dispatcher,
		BodyBudget:        int(i.cfg.MemoryMB * bodyShare * (1 << 20)),
	})
	i.entry = server
	i.cleanups.Add(stopServer)
	if i.cfg.ConfigApply > 0 {
		go i.confirmConfigs(ctx)
	}
	if i.cfg.RelayAddress != "" {
		l, err := net.Listen("tcp", i.cfg.RelayAddress)
		if err != nil {
			return fmt.Errorf("listen for other entries: %w", err)
		}
		server.ServePeers(l)
	}
	_, err = i.listenHTTP(i.cfg.BalancerAddress, i.adapter.Balancer(i.ready))
	return err
}

// startDispatcher starts to ask other entries for slots of targets, and to decide on theirs.
func (i *Instance) startDispatcher(ctx context.Context) error {
	i.dispatcher = dispatcher.New(ctx, dispatcher.Config{
		Name: i.cfg.Name, Address: i.cfg.DispatchAddress, View: i.follower, Clock: i.clock, Log: i.log, Open: i.pool.OpenDispatch,
	})
	if i.cfg.DispatchAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", i.cfg.DispatchAddress)
	if err != nil {
		return fmt.Errorf("listen for requests for slots: %w", err)
	}
	i.cleanups.Add(instance.ServeDispatch(l, i.dispatcher, instance.Security{}, i.traffic))
	return nil
}

const (
	// narrowLinkMbps is the bandwidth below which large responses are scheduled.
	narrowLinkMbps = 100.0
	bytesPerMbit   = 1e6 / 8
	// bodyShare is the share of an instance's memory for the bodies of requests. The heap
	// grows to several times that before it is collected.
	bodyShare = 1.0 / 8
	// responseShare is the share of a link for responses to callers. The rest is for
	// requests to targets, traffic between instances, and packet headers.
	responseShare = 0.92
)

// newLink returns a link that schedules large responses, or nil if mbps is not
// set or at least narrowLinkMbps.
func newLink(mbps float64) *limit.Link {
	if mbps <= 0 || mbps >= narrowLinkMbps {
		return nil
	}
	return limit.NewLink(mbps * bytesPerMbit * responseShare)
}

// Failed returns a channel that receives the error after which the instance can't
// continue.
func (i *Instance) Failed() <-chan error { return i.failed }

func (i *Instance) fail(err error) {
	select {
	case i.failed <- err:
	default:
	}
}

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

func (i *Instance) listenHTTP(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	i.cleanups.Add(func() { _ = s.Close() })
	go func() {
		if err := s.Serve(http1.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			i.fail(fmt.Errorf("serve %s: %w", address, err))
		}
	}()
	return s, nil
}

// operatorTime is how long operators' and targets' calls in flight may take to end in a
// graceful shutdown.
const operatorTime = time.Second

// stopOperator takes no further calls of operators and targets, and waits for the responses
// to those in flight: what was accepted has to be acknowledged.
func (i *Instance) stopOperator(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	if err := i.operator.Shutdown(ctx); err != nil {
		i.log.Warn("calls of operators or targets were cut off", "error", err)
	}
}

// exitMargin is the part of the grace period that is left for the process to exit
// after Shutdown.
const exitMargin = 400 * time.Millisecond

// Shutdown performs a graceful shutdown. It reports not ready to the balancer and
// transfers leadership. With the entry role it then waits for the configured Drain time,
// so that the balancer stops sending connections, and closes callers' connections once
// the requests in flight are finished.
func (i *Instance) Shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, i.cfg.Grace-exitMargin)
	defer cancel()
	i.log.Info("graceful shutdown started", "drain", i.cfg.Drain, "grace", i.cfg.Grace)
	i.mu.Lock()
	i.stopping = true
	i.mu.Unlock()
	if i.control != nil {
		i.stopOperator(ctx)
		i.control.transferLeadership(ctx)
	}
	if i.entry != nil {
		i.entry.Drain(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(i.cfg.Drain):
		}
		if err := i.entry.Shutdown(ctx); err != nil {
			i.log.Warn("graceful shutdown timed out", "error", err)
		}
		i.dispatcher.AwaitIdle(ctx)
	}
	i.log.Info("graceful shutdown finished")
}
