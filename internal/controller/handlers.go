package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// Sync renews an entry's lease. The lease is recorded before the state is read, so
// that a revocation that is not in this state yet waits for the entry.
func (c *Controller) Sync(ctx context.Context, req *instance.SyncRequest) (*instance.SyncResponse, error) {
	if !c.leads() {
		return nil, c.leaderError(nil)
	}
	id := control.EntryID{Instance: req.Instance, Incarnation: req.Incarnation}
	if req.AckOnly {
		c.recordAck(id, req.Acked)
		return &instance.SyncResponse{}, nil
	}
	// No lease is recorded for an instance that is not in the configuration:
	// revocations would wait for it as long as it syncs.
	if err := admitEntry(c.group.State().State, req.Instance); err != nil {
		return nil, err
	}
	c.renewEntry(id, req.Acked)
	c.recordLoads(req.Loads)
	applied, err := c.group.Barrier(ctx)
	if err != nil {
		return nil, c.leaderError(err)
	}
	state := c.awaitChange(ctx, applied.State, req.Version)
	if err := admitEntry(state, req.Instance); err != nil {
		return nil, err
	}
	c.renewEntry(id, req.Acked)
	out := &instance.SyncResponse{Lease: c.timing.EntryLeaseDuration}
	if state.Version() != req.Version {
		out.View = ViewOf(state, req.Version, req.ConfigVersion)
	}
	return out, nil
}

// awaitChange delays a response without changes for up to EntryRenewInterval. The
// delay does not extend the lease, which the entry counts from when it sent the
// request.
func (c *Controller) awaitChange(ctx context.Context, state control.State, version uint64) control.State {
	if state.Version() != version {
		return state
	}
	wait := time.NewTimer(c.timing.EntryRenewInterval)
	defer wait.Stop()
	for {
		changed := c.group.Watch()
		if state = c.group.State().State; state.Version() != version {
			return state
		}
		select {
		case <-changed:
		case <-wait.C:
			return state
		case <-ctx.Done():
			return state
		}
	}
}

// admitEntry returns ErrRejected unless the instance is an entry in the accepted
// configuration, or no configuration has been accepted yet.
func admitEntry(state control.State, name string) error {
	accepted, parsed := state.Config()
	if accepted.Version == 0 {
		return nil
	}
	for _, i := range parsed.Instances {
		if i.Name == name && i.Entry {
			return nil
		}
	}
	return fmt.Errorf("instance %q is not an entry in the accepted configuration: %w", name, instance.ErrRejected)
}

// renewEntry records an entry's acknowledged version and renews its lease. Other
// incarnations of the entry are forgotten.
func (c *Controller) renewEntry(id control.EntryID, acked uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.leaderState.Entries {
		if other.Instance == id.Instance && other.Incarnation != id.Incarnation {
			delete(c.leaderState.Entries, other)
		}
	}
	e := c.leaderState.Entries[id]
	e.Acked = max(e.Acked, acked)
	e.Lease = e.Lease.WithGrant(c.clock.Now(), c.timing.EntryLeaseDuration)
	c.leaderState.Entries[id] = e
}

func (c *Controller) recordLoads(loads []control.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decayLoads()
	c.leaderState.Loads = c.leaderState.Loads.WithReport(loads)
}

// decayLoads decays the loads by the time since the last call. The caller must hold
// c.mu.
func (c *Controller) decayLoads() {
	now := c.clock.Now()
	c.leaderState.Loads = c.leaderState.Loads.WithDecay(now.Sub(c.lastDecay))
	c.lastDecay = now
}

// recordAck records an entry's acknowledged version and wakes the planner. It does not
// renew the entry's lease.
func (c *Controller) recordAck(id control.EntryID, acked uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.leaderState.Entries[id]
	if !ok {
		return
	}
	e.Acked = max(e.Acked, acked)
	c.leaderState.Entries[id] = e
	c.wakePlanner()
}

// ViewOf returns the changes for an entry that has the given versions of the view and
// of the configuration, 0 for none.
func ViewOf(state control.State, since, configVersion uint64) *instance.View {
	accepted, parsed := state.Config()
	out := &instance.View{
		Since:         since,
		Version:       state.Version(),
		ConfigVersion: accepted.Version,
		Targets:       state.TargetsSince(since),
		Tables:        state.TablesSince(since),
		Suspects:      state.Suspects(),
	}
	if accepted.Version != configVersion {
		out.Source = accepted.Source
	}
	for _, i := range parsed.ControlInstances() {
		out.Control = append(out.Control, i.Address)
	}
	return out
}

// Announce handles a target's heartbeat. It commits changes of the target, renews the
// target's lease and returns the target's grants if it has not confirmed the latest.
func (c *Controller) Announce(ctx context.Context, req *instance.AnnounceRequest) (*instance.AnnounceResponse, error) {
	if !c.leads() {
		return nil, c.leaderError(nil)
	}
	owner := req.Target.Owner()
	c.renewTarget(owner, req.Fence)
	applied, err := c.group.Barrier(ctx)
	if err != nil {
		return nil, c.leaderError(err)
	}
	_, parsed := applied.State.Config()
	if _, ok := parsed.Service(req.Target.Service); !ok {
		return &instance.AnnounceResponse{Reason: fmt.Sprintf("service %q is not in the accepted configuration", req.Target.Service)}, nil
	}
	state := applied.State
	if known, ok := state.Target(req.Target.Name); !ok || targetChanged(known, req.Target) {
		if !c.propose(ctx, control.Command{Announce: &control.Announce{Target: req.Target}}) {
			return nil, c.leaderError(nil)
		}
		c.log.Info("target announced", "target", req.Target.Name, "incarnation", req.Target.Incarnation, "service", req.Target.Service, "status", req.Target.Status)
		state = c.group.State().State
	}
	c.renewTarget(owner, req.Fence)
	out := &instance.AnnounceResponse{Accepted: true, Lease: c.timing.TargetLeaseDuration, Heartbeat: c.timing.HeartbeatInterval}
	if req.Fence < LastOwnershipChange(state, owner) || req.Fence == 0 {
		grants := GrantsFor(state, owner)
		out.Grants = &grants
	}
	return out, nil
}

// targetChanged reports whether a heartbeat describes the target differently from its
// last recorded announcement.
func targetChanged(known, now control.Target) bool {
	now.Changed = known.Changed
	return known != now
}

// renewTarget records a heartbeat and the fence of the target's confirmed grants, and
// renews the target's lease.
func (c *Controller) renewTarget(owner keyspace.Owner, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	session := c.leaderState.Targets[owner]
	now := c.clock.Now()
	if session.FirstHeartbeat == 0 {
		session.FirstHeartbeat = now
	}
	session.LastHeartbeat = now
	session.ConnRefused = false
	session.Lease = session.Lease.WithGrant(now, c.timing.TargetLeaseDuration)
	session.ConfirmedVersion = max(session.ConfirmedVersion, fence)
	c.leaderState.Targets[owner] = session
}

// Propose proposes a configuration.
func (c *Controller) Propose(ctx context.Context, req *instance.ProposeRequest) (*instance.ChangeResponse, error) {
	return c.change(ctx, control.Command{Propose: &req.Propose})
}

// Vote counts a member's vote.
func (c *Controller) Vote(ctx context.Context, req *instance.VoteRequest) (*instance.ChangeResponse, error) {
	return c.change(ctx, control.Command{Vote: &req.Vote})
}

func (c *Controller) change(ctx context.Context, command control.Command) (*instance.ChangeResponse, error) {
	result, err := c.group.Propose(ctx, wire.Encode(command))
	if err != nil {
		return nil, c.leaderError(err)
	}
	out := &instance.ChangeResponse{}
	if err := wire.Decode(result.Value, &out.Result); err != nil {
		return nil, err
	}
	if change := out.Result.Change; change.State == control.ChangeAccepted {
		c.log.Info("configuration accepted", "change_id", change.ChangeID, "version", change.Version, "epoch", result.Index)
	}
	return out, nil
}

// ReportCrash records the requests that were in flight at a target when it crashed.
func (c *Controller) ReportCrash(ctx context.Context, req *instance.CrashReportRequest) (*instance.CrashReportResponse, error) {
	if _, err := c.group.Propose(ctx, wire.Encode(control.Command{CrashReport: &req.CrashReport})); err != nil {
		return nil, c.leaderError(err)
	}
	c.log.Warn("requests suspected after a target crashed", "target", req.CrashReport.Incarnation.Target, "requests", len(req.CrashReport.Fingerprints))
	return &instance.CrashReportResponse{Suspects: c.group.State().State.Suspects()}, nil
}

// Status returns the replicated state, read after a barrier, and the leader's own
// records of balances and entries.
func (c *Controller) Status(ctx context.Context) (*instance.StatusResponse, error) {
	applied, err := c.group.Barrier(ctx)
	if err != nil {
		return nil, c.leaderError(err)
	}
	out := &instance.StatusResponse{State: applied.State.Encode()}
	leader := c.snapshotLeaderState()
	out.Balances = leader.Loads.Balances(applied.State)
	for id, e := range leader.Entries {
		entry := instance.EntryStatus{Instance: id.Instance, Incarnation: id.Incarnation, Acked: e.Acked, LeaseExpired: e.Lease.Expired(leader.Now)}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}
