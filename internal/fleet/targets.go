package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// Announce handles a target's announcement at any control instance. A target announces
// itself repeatedly; each announcement counts as a heartbeat. Announce returns once any
// change in it is committed. A heartbeat without a change is added to the next batch
// for the leader.
func (c *Control) Announce(ctx context.Context, t deployment.Target) error {
	old, known := c.State().Target(t.ID)
	if known && c.Current() && !c.changesTarget(t, old) {
		if t.StartMillis == old.StartMillis && t.Sequence > old.Sequence && old.Status != deployment.Left {
			c.heartbeatBatch.add(deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis})
		}
		return nil
	}
	_, err := callLeader[instance.AnnounceTargetRequest, instance.AnnounceTargetResponse](ctx, c, "Announced", &instance.AnnounceTargetRequest{Target: t}, c.AnnounceTarget)
	return err
}

// heartbeatTimeout limits a heartbeat of a target that is granted keys in the response:
// targets wait for a second, and then send it elsewhere.
const heartbeatTimeout = 600 * time.Millisecond

// AnnounceWithKeys is like Announce for a target that reports its keys. It returns the
// keys that the target is to hold, or nil to renew nothing, if the deployment grants keys
// in the responses to heartbeats.
func (c *Control) AnnounceWithKeys(ctx context.Context, t deployment.Target, keys deployment.KeyReport) (*deployment.KeyLeases, error) {
	// Outside of the group it is not known which services are keyed; the leader tells.
	if _, keyed := c.State().Table(t.Service); !keyed && c.found.Load() == nil || c.cfg.Grants != settings.GrantByHeartbeat {
		return nil, c.Announce(ctx, t)
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req := &instance.KeyHeartbeatRequest{Target: t, Keys: keys}
	res, err := callLeader[instance.KeyHeartbeatRequest, instance.KeyHeartbeatResponse](ctx, c, "KeyHeartbeat", req, c.KeyHeartbeat)
	if err != nil {
		return nil, err
	}
	return res.Leases, nil
}

// KeyHeartbeat handles a heartbeat of a target that is granted keys in the response. Only
// the leader accepts the call; AnnounceWithKeys makes it.
func (c *Control) KeyHeartbeat(ctx context.Context, req *instance.KeyHeartbeatRequest) (*instance.KeyHeartbeatResponse, error) {
	if _, err := c.AnnounceTarget(ctx, &instance.AnnounceTargetRequest{Target: req.Target}); err != nil {
		return nil, err
	}
	if _, keyed := c.State().Table(req.Target.Service); !keyed {
		return &instance.KeyHeartbeatResponse{}, nil
	}
	incarnation := deployment.Incarnation{ID: req.Target.ID, StartMillis: req.Target.StartMillis}
	leases, err := c.lastReplica().leader.KeyHeartbeat(ctx, incarnation, req.Target.Sequence, req.Keys)
	if errors.Is(err, replica.ErrNotLeader) {
		return nil, c.notLeaderError()
	}
	return &instance.KeyHeartbeatResponse{Leases: leases}, err
}

// Withdraw sends a target's withdrawal to the leader. It may be called at any control
// instance. A startMillis of 0 withdraws the incarnation that is known.
func (c *Control) Withdraw(ctx context.Context, id string, startMillis int64) error {
	req := &instance.AnnounceTargetRequest{Target: deployment.Target{ID: id, StartMillis: startMillis}, Withdraw: true}
	_, err := callLeader[instance.AnnounceTargetRequest, instance.AnnounceTargetResponse](ctx, c, "Announced", req, c.AnnounceTarget)
	return err
}

// AnnounceTarget handles a target's announcement or withdrawal. Only the leader accepts
// the call; Announce and Withdraw make it. Only changes are committed. A heartbeat
// without a change is recorded by the leader in memory.
func (c *Control) AnnounceTarget(ctx context.Context, req *instance.AnnounceTargetRequest) (*instance.AnnounceTargetResponse, error) {
	if !c.isLeader() {
		return nil, c.notLeaderError()
	}
	t := req.Target
	incarnation := deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis}
	if req.Withdraw {
		return &instance.AnnounceTargetResponse{}, c.withdrawTarget(ctx, incarnation)
	}
	if err := c.awaitRecovery(ctx); err != nil {
		return nil, err
	}
	old, known := c.lastReplica().group.State().State.Target(t.ID)
	switch {
	case conflictsUnconfigured(c.lastReplica().group.State().State, t):
		// A later configuration may have named the service, if this instance was replaced.
		applied, err := c.lastReplica().group.Barrier(ctx)
		if err != nil {
			return nil, err
		}
		if !conflictsUnconfigured(applied.State, t) {
			return c.AnnounceTarget(ctx, req)
		}
		c.log.Warn("announcement ignored: its service is not configured, and a target has its ID or address",
			"target", t.ID, "born", t.StartMillis, "service", t.Service, "address", t.Address)
	case !known || c.changesTarget(t, old):
		end, err := c.announcing.begin(ctx, incarnation)
		if err != nil {
			return nil, err
		}
		if end == nil {
			return c.AnnounceTarget(ctx, req)
		}
		defer end()
		if _, err := c.propose(ctx, deployment.Command{Announce: &t}); err != nil {
			return nil, err
		}
		now, _ := c.lastReplica().group.State().State.Target(t.ID)
		c.log.Info("target announced", "target", t.ID, "born", t.StartMillis, "service", t.Service, "address", t.Address,
			"status", t.Status, "sequence", t.Sequence, "taken", now.StartMillis == t.StartMillis && now.Sequence == t.Sequence)
		c.lastReplica().leader.HeartbeatReceived(incarnation)
	case t.Sequence > old.Sequence && old.Status != deployment.Left:
		c.lastReplica().leader.HeartbeatReceived(incarnation)
	}
	return &instance.AnnounceTargetResponse{}, nil
}

// awaitRecovery waits until the state includes all that earlier leaders acknowledged. Before that
// a change may look like a repetition.
func (c *Control) awaitRecovery(ctx context.Context) error {
	if c.Recovered() {
		return nil
	}
	_, err := c.lastReplica().group.Barrier(ctx)
	return err
}

// withdrawAttempts is how often a withdrawal is proposed if announcements of the same target are
// committed meanwhile.
const withdrawAttempts = 3

// errTargetUnknown reports a withdrawal without a start of a target that is not known.
var errTargetUnknown = errors.New("target is not known, and its withdrawal names no start")

// withdrawTarget commits the withdrawal of a target, which need not have announced itself before:
// its heartbeat may be late, or this replica may not have applied it yet. It returns once the
// state shows that the incarnation has left.
func (c *Control) withdrawTarget(ctx context.Context, incarnation deployment.Incarnation) error {
	if incarnation.StartMillis == 0 {
		applied, err := c.lastReplica().group.Barrier(ctx)
		if err != nil {
			return err
		}
		t, known := applied.State.Target(incarnation.ID)
		if !known {
			return fmt.Errorf("withdraw %s: %w", incarnation.ID, errTargetUnknown)
		}
		incarnation.StartMillis = t.StartMillis
	}
	for range withdrawAttempts {
		command, needed := c.lastReplica().group.State().State.Withdrawal(incarnation)
		if !needed {
			return nil
		}
		if _, err := c.propose(ctx, command); err != nil {
			return err
		}
		t, _ := c.lastReplica().group.State().State.Target(incarnation.ID)
		c.log.Info("target withdrew", "target", t.ID, "born", incarnation.StartMillis, "service", t.Service, "address", t.Address,
			"known", command.Withdraw != nil, "status", t.Status)
	}
	if _, needed := c.lastReplica().group.State().State.Withdrawal(incarnation); needed {
		return fmt.Errorf("withdraw %s: %w", incarnation.ID, group.ErrNotCommitted)
	}
	return nil
}

// conflictsUnconfigured reports whether an announcement of a service that is not configured would
// end or change a target of another service, with its ID or its address. Heartbeats may come
// from other writers, and these are not targets to use.
func conflictsUnconfigured(s deployment.State, t deployment.Target) bool {
	cfg, index := s.Config()
	if _, named := cfg.Service(t.Service); named || index == 0 {
		return false
	}
	return slices.ContainsFunc(s.Targets(), func(other deployment.Target) bool {
		return other.Service != t.Service && other.Status != deployment.Left && (other.ID == t.ID || other.Address == t.Address)
	})
}

// changesTarget reports whether the announcement t must be committed, given the target's
// record old.
func (c *Control) changesTarget(t, old deployment.Target) bool {
	cfg, _ := c.State().Config()
	return changesTarget(t, old) || cfg.ColdRateOf(t.Service) > 0 && changesCold(t, old, c.cfg.Heartbeat)
}

// changesCold reports whether a target turned cold or warm since its record, or turned cold
// again before the record's time had passed. The record holds no time, so its age is taken
// from the number of heartbeats since, which are sent once a period.
func changesCold(t, old deployment.Target, period time.Duration) bool {
	if t.StartMillis != old.StartMillis || old.Status == deployment.Left || t.Sequence <= old.Sequence {
		return false
	}
	if t.Cold() != old.Cold() {
		return true
	}
	// Heartbeats are not sent at exact intervals: two periods are allowed for.
	left := old.WarmUp() - time.Duration(t.Sequence-old.Sequence)*period
	return t.Cold() && t.WarmUp() > left+2*period
}

// changesTarget reports whether the announcement t must be committed, given the target's
// record old: it is of a later incarnation, or the target has not left and it is newer
// and has another status, address, service or number of slots. A change of other fields
// alone is not recorded.
func changesTarget(t, old deployment.Target) bool {
	if t.StartMillis != old.StartMillis {
		return t.StartMillis > old.StartMillis
	}
	if old.Status == deployment.Left || t.Sequence <= old.Sequence {
		return false
	}
	return t.Status != old.Status || t.Address != old.Address || t.Service != old.Service || t.Slots != old.Slots
}
