package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/leader"
	"github.com/cranberrywind/cranberrywind/internal/membership"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/disk"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Control is the control role of an instance. It serves other instances, and the
// platform's adapter on behalf of operators and targets.
type Control struct {
	cfg            settings.Routed
	targets        leader.Targets
	pool           *instance.Pool
	clock          timer.Clock
	log            *log.Logger
	publisher      *view.Publisher
	heartbeatBatch heartbeatBatch
	collector      reportCollector
	confirmation   configConfirmation
	announcing     *announcing
	openReplica    atomic.Pointer[openReplica]
	fs             disk.FS          // nil for the operating system's file system
	compaction     group.Compaction // the zero value for the usual bounds
	seeds          atomic.Pointer[[]string]
	refusals       refusals
	found          atomic.Pointer[foundLeader] // nil while the replica follows the leader itself

	rejectedHeartbeats rejectedHeartbeats
}

// openReplica is an open replica with the leader and the membership manager that use
// it. It is replaced when the replica is reopened after a disk failure.
type openReplica struct {
	group   *group.Group[deployment.State]
	leader  *leader.Leader
	members *membership.Manager
}

var (
	_ instance.DeploymentHandler = (*Control)(nil)
	_ view.Source                = (*Control)(nil)
)

// ErrUnavailable is returned with every error of a call to the leader but
// deployment.ErrFeatureLevel, for example when the control group did not decide in time. The request may still take effect
// later.
var ErrUnavailable = errors.New("control group is not available")

const (
	// attemptTimeout limits one call to the leader, callTimeout all attempts together.
	attemptTimeout = 700 * time.Millisecond
	callTimeout    = 900 * time.Millisecond
)

// lastReplica returns the replica that was opened last. If it has stopped, its state
// can still be read, and its group rejects everything else.
func (c *Control) lastReplica() *openReplica { return c.openReplica.Load() }

// SubmitChange sends an operator's configuration change to the leader and returns
// the decision. It may be called at any control instance.
func (c *Control) SubmitChange(ctx context.Context, change deployment.ConfigChange) (deployment.Result, error) {
	// The leader may be of an earlier build, which does not check the level.
	if err := c.admit(deployment.Command{ConfigChange: &change}); err != nil {
		return deployment.Result{}, err
	}
	// What is part of this replica's state is committed, and needs no leader to be acknowledged.
	if result, ok := c.State().AcceptedBefore(change); ok {
		return result, nil
	}
	res, err := callLeader[instance.ConfigChangeRequest, instance.ConfigChangeResponse](ctx, c, "Change", &instance.ConfigChangeRequest{Change: change}, c.ChangeConfig)
	if err != nil {
		if result, ok := c.State().AcceptedBefore(change); ok {
			return result, nil
		}
		return deployment.Result{}, err
	}
	return res.Result, nil
}

// EvacuateZone sends an operator's call to evacuate an availability zone, or to withdraw
// that, to the leader and returns the decision. It may be called at any control instance. If
// ctx ends before the command is sent, the command is not sent: nobody waits for its outcome,
// and the operator may have made a later call.
func (c *Control) EvacuateZone(ctx context.Context, zone string, withdraw bool) (deployment.Result, error) {
	if err := deployment.ValidateZone(zone); err != nil {
		return deployment.Result{Outcome: deployment.Invalid, Reason: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read, err := callLeader[instance.BarrierRequest, instance.BarrierResponse](ctx, c, "Barrier", &instance.BarrierRequest{}, c.Barrier)
	if err == nil {
		err = wrapUnavailable(ctx.Err())
	}
	if err != nil {
		return deployment.Result{}, err
	}
	deadline, _ := ctx.Deadline()
	ctx, cancelCommand := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancelCommand()
	req := &instance.EvacuateRequest{Evacuate: deployment.Evacuate{Zone: zone, Withdraw: withdraw, Base: read.Index}}
	res, err := callLeader[instance.EvacuateRequest, instance.EvacuateResponse](ctx, c, "Evacuate", req, c.Evacuate)
	if err != nil {
		return deployment.Result{}, err
	}
	return res.Result, nil
}

// Configuration returns a configuration that includes every change acknowledged before
// the call, and whether one has been accepted yet.
func (c *Control) Configuration(ctx context.Context) (deployment.Config, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &instance.BarrierRequest{WithConfig: c.found.Load() != nil}
	res, err := callLeader[instance.BarrierRequest, instance.BarrierResponse](ctx, c, "Barrier", req, c.Barrier)
	if err != nil {
		return deployment.Config{}, false, err
	}
	if res.Config != nil {
		return *res.Config, true, nil
	}
	for {
		changed := c.lastReplica().group.Watch()
		applied := c.lastReplica().group.State()
		if applied.Index >= res.Index {
			cfg, index := applied.State.Config()
			return cfg, index > 0, nil
		}
		select {
		case <-ctx.Done():
			return deployment.Config{}, false, fmt.Errorf("%w: state is at index %d, not yet at %d", ErrUnavailable, applied.Index, res.Index)
		case <-changed:
		}
	}
}

// callLeader runs local if this instance leads, and else calls the method at the
// known leader. It retries until callTimeout while there is no leader or the command
// was not committed.
func callLeader[Req, Res any](ctx context.Context, c *Control, method string, req *Req, local func(context.Context, *Req) (*Res, error)) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		var res *Res
		var err error
		if c.isLeader() {
			res, err = local(ctx, req)
		} else {
			res, err = callRemoteLeader[Req, Res](ctx, c, method, req)
		}
		if err == nil || !errors.Is(err, replica.ErrNotLeader) && !errors.Is(err, group.ErrNotCommitted) {
			return res, wrapUnavailable(err)
		}
		if !timer.Sleep(ctx, 20*time.Millisecond) {
			return nil, wrapUnavailable(err)
		}
	}
}

// wrapUnavailable adds ErrUnavailable to an error, but not to deployment.ErrFeatureLevel,
// which the leader returns.
func wrapUnavailable(err error) error {
	if err == nil || errors.Is(err, deployment.ErrFeatureLevel) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// callRemoteLeader calls the method once at the known leader.
func callRemoteLeader[Req, Res any](ctx context.Context, c *Control, method string, req *Req) (*Res, error) {
	address := c.leaderAddress()
	if address == "" {
		return nil, &instance.NotLeaderError{}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return instance.Call[Req, Res](ctx, c.pool, address, method, req)
}

// notLeaderError returns the error for another instance that carries the leader's
// address.
func (c *Control) notLeaderError() error {
	return &instance.NotLeaderError{Leader: c.lastReplica().group.LeaderAddress()}
}

// isLeader reports whether this replica is running and is the leader.
func (c *Control) isLeader() bool {
	return !c.stopped() && c.lastReplica().group.Role().Role == replica.Leader
}

// stopped reports whether the replica has stopped after a disk failure.
func (c *Control) stopped() bool {
	select {
	case <-c.lastReplica().group.Done():
		return true
	default:
		return false
	}
}

// ChangeConfig commits an operator's configuration change. Only the leader accepts the
// call; SubmitChange makes it.
func (c *Control) ChangeConfig(ctx context.Context, req *instance.ConfigChangeRequest) (*instance.ConfigChangeResponse, error) {
	if !c.isLeader() {
		return nil, c.notLeaderError()
	}
	result, err := c.propose(ctx, deployment.Command{ConfigChange: &req.Change})
	if err != nil {
		c.log.Warn("configuration change not decided", "version", req.Change.Version, "base", req.Change.Base, "error", err)
		return nil, err
	}
	c.log.Info("configuration change decided", "version", req.Change.Version, "base", req.Change.Base, "whole", req.Change.Whole,
		"outcome", result.Outcome, "in_force", result.Version, "reason", result.Reason)
	return &instance.ConfigChangeResponse{Result: result}, nil
}

// Evacuate commits an operator's call to evacuate an availability zone or to withdraw that.
// Only the leader accepts the call; EvacuateZone makes it.
func (c *Control) Evacuate(ctx context.Context, req *instance.EvacuateRequest) (*instance.EvacuateResponse, error) {
	if !c.isLeader() {
		return nil, c.notLeaderError()
	}
	e := req.Evacuate
	result, err := c.propose(ctx, deployment.Command{Evacuate: &e})
	if err != nil {
		c.log.Warn("evacuation not decided", "zone", e.Zone, "withdraw", e.Withdraw, "base", e.Base, "error", err)
		return nil, err
	}
	c.log.Info("evacuation decided", "zone", e.Zone, "withdraw", e.Withdraw, "base", e.Base, "outcome", result.Outcome, "reason", result.Reason,
		"evacuated", zoneNames(c.State().Evacuated()))
	return &instance.EvacuateResponse{Result: result}, nil
}

// propose commits a command and returns its result, or an error that matches
// deployment.ErrFeatureLevel if the command needs a higher level than the agreed one.
func (c *Control) propose(ctx context.Context, command deployment.Command) (deployment.Result, error) {
	if err := c.State().Admit(command); err != nil {
		return deployment.Result{}, err
	}
	committed, err := c.lastReplica().group.Propose(ctx, wire.Encode(command))
	if err != nil {
		return deployment.Result{}, err
	}
	var result deployment.Result
	return result, wire.Decode(committed.Value, &result)
}

// Barrier returns a log index that is at or after that of every command acknowledged
// before the call.
func (c *Control) Barrier(ctx context.Context, req *instance.BarrierRequest) (*instance.BarrierResponse, error) {
	if !c.isLeader() {
		return nil, c.notLeaderError()
	}
	applied, err := c.lastReplica().group.Barrier(ctx)
	if err != nil {
		return nil, err
	}
	res := &instance.BarrierResponse{Index: applied.Index}
	if cfg, index := applied.State.Config(); req.WithConfig && index > 0 {
		res.Config = &cfg
	}
	return res, nil
}

// Report records an entry's measurements and returns the leader's advice. An instance that
// is not the leader collects the report if that is asked for. If it can't deliver reports, its
// answer still confirms the configuration.
func (c *Control) Report(_ context.Context, req *instance.ReportRequest) (*instance.ReportResponse, error) {
	if c.isLeader() {
		l := c.lastReplica().leader
		res := l.Report(*req)
		confirmation := l.ConfirmConfig(req.TargetsKnown)
		res.AvailabilityZone, res.Config = c.cfg.AvailabilityZone, &confirmation
		return &res, nil
	}
	if req.Collect && c.Current() {
		if res, ok := c.collector.add(*req, c.clock.Now()); ok {
			res.AvailabilityZone, res.Config = c.cfg.AvailabilityZone, c.confirmation.take(req.TargetsKnown)
			return res, nil
		}
		if confirmation := c.confirmation.take(req.TargetsKnown); confirmation != nil {
			return &instance.ReportResponse{NoAdvice: true, Refused: true, AvailabilityZone: c.cfg.AvailabilityZone, Config: confirmation}, nil
		}
	}
	return nil, c.notLeaderError()
}

// zoneShares returns the shares of requests that leave their availability zone, by zone and
// service; nil if this instance does not lead, or if none leave.
func (c *Control) zoneShares() map[string]instance.ZoneShares {
	if !c.isLeader() {
		return nil
	}
	return c.lastReplica().leader.ZoneShares()
}

// ReportBatch records the reports that another control instance collected.
func (c *Control) ReportBatch(_ context.Context, req *instance.ReportBatchRequest) (*instance.ReportBatchResponse, error) {
	if !c.isLeader() {
		return nil, c.notLeaderError()
	}
	res := c.lastReplica().leader.ReportBatch(*req)
	return &res, nil
}

// ReportHeartbeats records a batch of heartbeats that another control instance
// received.
func (c *Control) ReportHeartbeats(_ context.Context, req *instance.HeartbeatsRequest) (*instance.Empty, error) {
	if !c.isLeader() {
		return nil, c.notLeaderError()
	}
	c.lastReplica().leader.HeartbeatsReceived(req.Incarnations)
	return &instance.Empty{}, nil
}

// Watch streams updates of the view to an entry.
func (c *Control) Watch(ctx context.Context, req *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	if err := c.checkLevel("entry", req.Instance, req.Level); err != nil {
		return err
	}
	c.log.Info("entry subscribed to the view", "entry", req.Instance, "view_version", req.Version)
	return c.publisher.Publish(ctx, req, func(u *instance.ViewUpdate) error {
		// The level may have been raised since the entry subscribed.
		if err := c.checkLevel("entry", req.Instance, req.Level); err != nil {
			return err
		}
		return send(u)
	})
}

// State returns the state that this replica has applied.
func (c *Control) State() deployment.State { return c.lastReplica().group.State().State }

// Changed returns a channel that is closed when the state, the group's membership or
// the replica's role changes next.
func (c *Control) Changed() <-chan struct{} { return c.lastReplica().group.Watch() }

// Current reports whether this replica has recovered, is running and leads or follows a leader.
func (c *Control) Current() bool { return c.hasLeader() && c.Recovered() }

// Recovered reports whether the state includes all that was committed when the replica heard of
// its leader after its start.
func (c *Control) Recovered() bool { return c.lastReplica().group.Recovered() }

// hasLeader reports whether this replica is running and leads or follows a leader. A replica
// that was removed from the group hears no more of its last leader.
func (c *Control) hasLeader() bool {
	return !c.stopped() && c.isMember() && c.lastReplica().group.Role().Leader != ""
}

// ControlAddresses returns the addresses of the control instances: those of the
// replicas in the group, or the seeds if this replica has no membership yet.
func (c *Control) ControlAddresses() []string {
	var out []string
	for _, m := range c.lastReplica().group.Members().All() {
		out = append(out, m.Address)
	}
	if len(out) == 0 {
		return *c.seeds.Load()
	}
	return out
}

// Probe returns the replica's identity and whether it has a membership.
func (c *Control) Probe(context.Context, *instance.ProbeRequest) (*instance.ProbeResponse, error) {
	return &instance.ProbeResponse{
		Self: c.lastReplica().group.Self(), Formed: c.lastReplica().group.Formed(), Level: deployment.FeatureLevel,
	}, nil
}

// errFormed reports that the group was formed with other members.
var errFormed = errors.New("group was formed with other members")

// Form sets the group's first membership on the replica.
func (c *Control) Form(_ context.Context, req *instance.FormRequest) (*instance.Empty, error) {
	g := c.lastReplica().group
	if m := g.Members(); g.Formed() && !slices.Equal(m.Voters, req.Members.Voters) {
		return nil, errFormed
	}
	return &instance.Empty{}, g.Form(req.Members)
}

// Join records the request of a replica to join the group.
func (c *Control) Join(_ context.Context, req *instance.JoinRequest) (*instance.Empty, error) {
	if !c.isLeader() {
		return nil, c.notLeaderError()
	}
	if err := c.checkLevel("replica", string(req.Member.ID), req.Level); err != nil {
		return nil, err
	}
	c.lastReplica().group.NoteLevel(req.Member.ID, req.Level)
	c.lastReplica().leader.LevelHeard(string(req.Member.ID), req.Level)
	c.lastReplica().members.Join(req.Member)
	return &instance.Empty{}, nil
}

const (
	transferTimeout    = 600 * time.Millisecond // about one election timeout
	transferPollPeriod = 10 * time.Millisecond
)

// transferLeadership transfers leadership to the live voting replica that has
// replicated the most of the log, and waits up to transferTimeout for it.
func (c *Control) transferLeadership(ctx context.Context) {
	if !c.isLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	status, err := c.lastReplica().group.Status(ctx)
	if err != nil {
		c.log.Warn("leadership not transferred", "error", err)
		return
	}
	best := replica.PeerStatus{}
	for _, v := range status.Members.Voters {
		if p := status.Peer(v.ID); v.ID != status.ID && p.Alive && p.Match >= best.Match {
			best = p
		}
	}
	if best.ID == "" {
		return
	}
	if err := c.lastReplica().group.Transfer(best.ID); err != nil {
		c.log.Warn("leadership not transferred", "to", best.ID, "error", err)
		return
	}
	for c.isLeader() {
		if !timer.Sleep(ctx, transferPollPeriod) {
			break
		}
	}
	c.log.Info("leadership transfer ended", "to", best.ID, "leads", c.isLeader())
}
