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

// Sync renews an entry's lease. The entry is noted before the state is read:
// a revocation that the reading misses waits for this entry.
func (c *Controller) Sync(ctx context.Context, req *instance.SyncRequest) (*instance.SyncResponse, error) {
	if !c.leads() {
		return nil, c.leaderError(nil)
	}
	id := control.EntryID{Instance: req.Instance, Incarnation: req.Incarnation}
	if req.AckOnly {
		c.noteAck(id, req.Acked)
		return &instance.SyncResponse{}, nil
	}
	// One that the configuration does not name must not be noted: revocations
	// would wait for it as long as it asks.
	if err := admitEntry(c.group.State().State, req.Instance); err != nil {
		return nil, err
	}
	c.noteEntry(id, req.Acked)
	c.noteLoads(req.Loads)
	applied, err := c.group.Barrier(ctx)
	if err != nil {
		return nil, c.leaderError(err)
	}
	state := c.awaitChange(ctx, applied.State, req.Version)
	if err := admitEntry(state, req.Instance); err != nil {
		return nil, err
	}
	c.noteEntry(id, req.Acked)
	out := &instance.SyncResponse{Lease: c.timing.EntryLease}
	if state.Version() != req.Version {
		out.View = ViewOf(state, req.Version, req.ConfigVersion)
	}
	return out, nil
}

// awaitChange holds an answer that has no news back for up to the renewal
// period. The lease does not depend on it: it counts from the request.
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

// admitEntry refuses an instance that the accepted configuration does not name.
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
	return fmt.Errorf("instance %q is no entry of the accepted text: %w", name, instance.ErrRefused)
}

func (c *Controller) noteEntry(id control.EntryID, acked uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.view.Entries {
		if other.Instance == id.Instance && other.Incarnation != id.Incarnation {
			delete(c.view.Entries, other)
		}
	}
	e := c.view.Entries[id]
	e.Acked = max(e.Acked, acked)
	e.Lease = e.Lease.WithGrant(c.clock.Now(), c.timing.EntryLease)
	c.view.Entries[id] = e
}

func (c *Controller) noteLoads(loads []control.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decayLoads()
	c.view.Loads = c.view.Loads.WithReport(loads)
}

// decayLoads is called with the lock held.
func (c *Controller) decayLoads() {
	now := c.clock.Now()
	c.view.Loads = c.view.Loads.WithDecay(now.Sub(c.decayed))
	c.decayed = now
}

// noteAck notes what an entry acknowledged and plans on at once. It renews
// nothing.
func (c *Controller) noteAck(id control.EntryID, acked uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.view.Entries[id]
	if !ok {
		return
	}
	e.Acked = max(e.Acked, acked)
	c.view.Entries[id] = e
	c.planSoon()
}

// ViewOf returns what changed for an entry that holds the given versions of
// view and configuration, 0 for none.
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

// Announce takes a target's heartbeat: it commits what changed, renews the
// target's lease and sends its grants along where it lacks them.
func (c *Controller) Announce(ctx context.Context, req *instance.AnnounceRequest) (*instance.AnnounceResponse, error) {
	if !c.leads() {
		return nil, c.leaderError(nil)
	}
	owner := req.Target.Owner()
	c.noteTarget(owner, req.Fence)
	applied, err := c.group.Barrier(ctx)
	if err != nil {
		return nil, c.leaderError(err)
	}
	_, parsed := applied.State.Config()
	if _, ok := parsed.Service(req.Target.Service); !ok {
		return &instance.AnnounceResponse{Reason: fmt.Sprintf("service %q is not in the accepted text", req.Target.Service)}, nil
	}
	state := applied.State
	if known, ok := state.Target(req.Target.Name); !ok || announces(known, req.Target) {
		if !c.propose(ctx, control.Command{Announce: &control.Announce{Target: req.Target}}) {
			return nil, c.leaderError(nil)
		}
		c.log.Info("target announced", "target", req.Target.Name, "incarnation", req.Target.Incarnation, "service", req.Target.Service, "status", req.Target.Status)
		state = c.group.State().State
	}
	c.noteTarget(owner, req.Fence)
	out := &instance.AnnounceResponse{Accepted: true, Lease: c.timing.TargetLease, Heartbeat: c.timing.HeartbeatInterval}
	if req.Fence < LastChange(state, owner) || req.Fence == 0 {
		order := OrderFor(state, owner)
		out.Order = &order
	}
	return out, nil
}

// announces reports whether a heartbeat says something new.
func announces(known, now control.Target) bool {
	now.Changed = known.Changed
	return known != now
}

func (c *Controller) noteTarget(owner keyspace.Owner, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view.Targets[owner]
	now := c.clock.Now()
	if v.FirstHeartbeat == 0 {
		v.FirstHeartbeat = now
	}
	v.LastHeartbeat = now
	v.ConnRefused = false
	v.Lease = v.Lease.WithGrant(now, c.timing.TargetLease)
	v.ConfirmedVersion = max(v.ConfirmedVersion, fence)
	c.view.Targets[owner] = v
}

// Propose puts a configuration to the vote.
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
		c.log.Info("text accepted", "change_id", change.ChangeID, "version", change.Version, "epoch", result.Index)
	}
	return out, nil
}

// ReportCrash records what was in flight at a target that crashed.
func (c *Controller) ReportCrash(ctx context.Context, req *instance.CrashReportRequest) (*instance.CrashReportResponse, error) {
	if _, err := c.group.Propose(ctx, wire.Encode(control.Command{CrashReport: &req.CrashReport})); err != nil {
		return nil, c.leaderError(err)
	}
	c.log.Warn("requests blamed for a target's death", "target", req.CrashReport.Owner.Target, "requests", len(req.CrashReport.Fingerprints))
	return &instance.CrashReportResponse{Suspects: c.group.State().State.Suspects()}, nil
}

// Status returns the agreed state, read through a barrier.
func (c *Controller) Status(ctx context.Context) (*instance.StatusResponse, error) {
	applied, err := c.group.Barrier(ctx)
	if err != nil {
		return nil, c.leaderError(err)
	}
	out := &instance.StatusResponse{State: applied.State.Encode()}
	view := c.snapshotView()
	out.Balances = view.Loads.Balances(applied.State)
	for id, e := range view.Entries {
		seen := instance.EntrySeen{Instance: id.Instance, Incarnation: id.Incarnation, Acked: e.Acked, LeaseOver: e.Lease.Expired(view.Now)}
		out.Seen = append(out.Seen, seen)
	}
	return out, nil
}
