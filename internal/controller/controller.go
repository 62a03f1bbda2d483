// Package controller runs the duties of the control group's leader: it renews the
// leases of entries and targets, sends grants to targets and proposes the commands
// that control.Planner plans.
package controller

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Granter sends the leader's calls to targets.
type Granter interface {
	// Grant sends grants to the target and returns nil once the target confirmed them.
	Grant(ctx context.Context, address string, grants instance.GrantSet) error
	// ConnRefused reports whether the address refuses connections.
	ConnRefused(ctx context.Context, address string) bool
}

const (
	planPeriod     = 20 * time.Millisecond
	proposeTimeout = time.Second
	grantTimeout   = 400 * time.Millisecond
	probePeriod    = 200 * time.Millisecond // time between two probes of a lost target
)

// Controller runs on one control instance. It acts only while the instance's replica
// leads the group.
type Controller struct {
	group   *group.Group[control.State]
	granter Granter
	clock   timer.Clock
	timing  control.Timing
	log     *log.Logger

	mu          sync.Mutex
	term        uint64
	leaderState control.LeaderState
	planner     control.Planner
	lastDecay   timer.Instant                    // when the loads last decayed
	granting    map[keyspace.Owner]bool          // targets with grants in flight
	nextProbe   map[keyspace.Owner]timer.Instant // time of the next probe of a lost target

	wake chan struct{}
}

// New returns a controller for the replica.
func New(g *group.Group[control.State], granter Granter, clock timer.Clock, timing control.Timing, logger *log.Logger) *Controller {
	return &Controller{group: g, granter: granter, clock: clock, timing: timing, log: logger, wake: make(chan struct{}, 1)}
}

// wakePlanner makes Run plan without waiting for the next tick.
func (c *Controller) wakePlanner() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run plans until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticks, stop := c.clock.Subscribe(planPeriod)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.group.Watch():
		case <-c.wake:
		case <-ticks:
		}
		c.planOnce(ctx)
	}
}

// leads reports whether this replica leads. It resets the leader state in a new term.
func (c *Controller) leads() bool {
	role := c.group.Role()
	if role.Role != replica.Leader {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != role.Term {
		now := c.clock.Now()
		c.term = role.Term
		c.planner = control.Planner{}
		c.lastDecay = now
		c.leaderState = control.LeaderState{
			TermStart: now,
			Entries:   make(map[control.EntryID]control.EntrySession),
			Targets:   make(map[keyspace.Owner]control.TargetSession),
		}
		c.granting = make(map[keyspace.Owner]bool)
		c.nextProbe = make(map[keyspace.Owner]timer.Instant)
		c.log.Info("control leadership taken", "epoch", role.Term)
	}
	return true
}

func (c *Controller) planOnce(ctx context.Context) {
	if !c.leads() {
		return
	}
	c.sendGrants(ctx)
	c.probeLost(ctx)
	for {
		command, ok := c.plan()
		if !ok || !c.propose(ctx, command) {
			return
		}
		c.sendGrants(ctx)
	}
}

func (c *Controller) plan() (control.Command, bool) {
	state, leader := c.group.State().State, c.snapshotLeaderState()
	c.mu.Lock()
	planner := c.planner
	c.mu.Unlock()
	planner, command, ok := planner.Next(state, leader, c.timing)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner = planner
	return command, ok
}

// snapshotLeaderState returns a copy of the leader state as of now.
func (c *Controller) snapshotLeaderState() control.LeaderState {
	c.mu.Lock()
	defer c.mu.Unlock()
	leader := c.leaderState
	leader.Now = c.clock.Now()
	leader.Entries = maps.Clone(leader.Entries)
	leader.Targets = maps.Clone(leader.Targets)
	return leader
}

// propose proposes a command and reports whether it was applied. After an error its
// outcome may be unknown.
func (c *Controller) propose(ctx context.Context, command control.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.group.Propose(ctx, wire.Encode(command))
	if err != nil {
		c.log.Warn("control command not confirmed", "error", err)
		return false
	}
	if command.Split != nil {
		c.recordSplit(*command.Split)
	}
	c.logCommand(result.Index, command)
	return true
}

// recordSplit splits the load of a range that was split in two.
func (c *Controller) recordSplit(s control.Split) {
	keys, ok := c.group.State().State.Table(s.Range.Service)
	if !ok {
		return
	}
	last := s.At
	for i, r := range keys.All() {
		if r.Start == s.At {
			_, last = keys.Span(i)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderState.Loads = c.leaderState.Loads.WithSplit(s.Range.Service, s.Range.Start, s.At, last)
}

func (c *Controller) logCommand(index uint64, command control.Command) {
	switch {
	case command.MarkLost != nil:
		c.log.Warn("target lost", "target", command.MarkLost.Incarnation.Target, "incarnation", command.MarkLost.Incarnation.Incarnation, "epoch", index)
	case command.Assign != nil:
		c.log.Info("ranges assigned", "ranges", len(command.Assign.Ranges), "epoch", index)
	case command.Activate != nil:
		c.log.Info("ranges active", "target", command.Activate.Owner.Target, "ranges", len(command.Activate.Ranges), "epoch", index)
	case command.Split != nil:
		c.log.Info("range split", "service", command.Split.Range.Service, "at", uint64(command.Split.At), "epoch", index)
	case command.Revoke != nil:
		c.log.Info("ranges revoked", "ranges", len(command.Revoke.Ranges), "epoch", index)
	}
}

// Balances returns the balance of each keyed service as measured by this leader, or
// nil if this replica does not lead.
func (c *Controller) Balances() []control.Balance {
	if !c.leads() {
		return nil
	}
	leader := c.snapshotLeaderState()
	return leader.Loads.Balances(c.group.State().State)
}

// sendGrants sends each target its grants if it has not confirmed the latest ones.
func (c *Controller) sendGrants(ctx context.Context) {
	state := c.group.State().State
	for _, t := range state.Targets() {
		if t.Status == control.TargetLost || !c.beginGrant(state, t) {
			continue
		}
		go c.sendGrant(ctx, t, GrantsFor(state, t.Owner()))
	}
}

// beginGrant reports whether the target needs grants and none are in flight to it. If
// so, it marks them as in flight.
func (c *Controller) beginGrant(state control.State, t control.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := t.Owner()
	if c.granting[owner] || c.leaderState.Targets[owner].ConfirmedVersion >= LastOwnershipChange(state, owner) {
		return false
	}
	c.granting[owner] = true
	return true
}

func (c *Controller) sendGrant(ctx context.Context, t control.Target, grants instance.GrantSet) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := c.granter.Grant(ctx, t.Address, grants)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.granting, t.Owner())
	if err != nil {
		c.log.Debug("sending grants failed", "target", t.Name, "error", err)
		return
	}
	c.recordConfirmedGrants(t.Owner(), grants.Fence)
	c.wakePlanner()
}

// recordConfirmedGrants records the fence of confirmed grants. The caller must hold c.mu.
func (c *Controller) recordConfirmedGrants(owner keyspace.Owner, fence uint64) {
	session := c.leaderState.Targets[owner]
	session.ConfirmedVersion = max(session.ConfirmedVersion, fence)
	c.leaderState.Targets[owner] = session
}

// probeLost checks whether the addresses of lost targets refuse connections, which
// proves that their processes have ended.
func (c *Controller) probeLost(ctx context.Context) {
	now := c.clock.Now()
	for _, t := range c.group.State().State.Targets() {
		if t.Status != control.TargetLost {
			continue
		}
		c.mu.Lock()
		owner := t.Owner()
		due := c.nextProbe[owner] <= now && !c.leaderState.Targets[owner].ConnRefused
		if due {
			c.nextProbe[owner] = now.Add(probePeriod)
		}
		c.mu.Unlock()
		if due {
			go c.probe(ctx, t)
		}
	}
}

func (c *Controller) probe(ctx context.Context, t control.Target) {
	ctx, cancel := context.WithTimeout(ctx, probePeriod)
	defer cancel()
	if !c.granter.ConnRefused(ctx, t.Address) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	session := c.leaderState.Targets[t.Owner()]
	session.ConnRefused = true
	c.leaderState.Targets[t.Owner()] = session
}

// GrantsFor returns the grants of all ranges that the owner may serve in the state.
func GrantsFor(state control.State, owner keyspace.Owner) instance.GrantSet {
	out := instance.GrantSet{Fence: state.Version(), Incarnation: owner.Incarnation}
	eachRange(state, owner, func(keys keyspace.Table, i int) {
		r := keys.At(i)
		if r.Phase == keyspace.Revoking {
			return
		}
		first, last := keys.Span(i)
		out.Ranges = append(out.Ranges, instance.Grant{First: first, Last: last, Epoch: r.Epoch})
	})
	return out
}

// LastOwnershipChange returns the log index of the last change of the owner's target
// or ranges. Grants with a lower fence may be out of date.
func LastOwnershipChange(state control.State, owner keyspace.Owner) uint64 {
	var last uint64
	if t, ok := state.Target(owner.Target); ok {
		last = t.Changed
	}
	eachRange(state, owner, func(keys keyspace.Table, i int) { last = max(last, keys.At(i).Epoch) })
	return last
}

// eachRange calls visit for each range of the owner.
func eachRange(state control.State, owner keyspace.Owner, visit func(keys keyspace.Table, i int)) {
	t, ok := state.Target(owner.Target)
	if !ok {
		return
	}
	keys, ok := state.Table(t.Service)
	if !ok {
		return
	}
	for i := range keys.Len() {
		if keys.At(i).Owner == owner {
			visit(keys, i)
		}
	}
}

// leaderError returns a NotLeaderError with the leader's address if this replica does
// not lead, and else err.
func (c *Controller) leaderError(err error) error {
	if errors.Is(err, replica.ErrNotLeader) || c.group.Role().Role != replica.Leader {
		return &instance.NotLeaderError{Leader: c.group.LeaderAddress()}
	}
	return err
}
