// Package controller runs the duties of the control group's leader: it renews
// the leases of entries and targets, carries grant orders to targets and
// proposes what control.Plan asks for.
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

// Granter speaks to targets on the leader's behalf.
type Granter interface {
	// Grant delivers an order and returns nil once the target confirmed it.
	Grant(ctx context.Context, address string, order instance.GrantOrder) error
	// Refuses reports whether the address refuses connections.
	Refuses(ctx context.Context, address string) bool
}

const (
	planPeriod     = 20 * time.Millisecond
	proposeTimeout = time.Second
	grantTimeout   = 400 * time.Millisecond
	probePeriod    = 200 * time.Millisecond // between two probes of a lost target
)

// Controller serves one control instance. It acts only while that leads.
type Controller struct {
	group   *group.Group[control.State]
	granter Granter
	clock   timer.Clock
	timing  control.Timing
	log     *log.Logger

	mu      sync.Mutex
	term    uint64
	view    control.LeaderState
	planner control.Planner
	decayed timer.Instant                    // when the loads last decayed
	orders  map[keyspace.Owner]bool          // grant orders under way
	probes  map[keyspace.Owner]timer.Instant // next probe of a lost target

	wake chan struct{}
}

// New returns a controller of the replica.
func New(g *group.Group[control.State], granter Granter, clock timer.Clock, timing control.Timing, logger *log.Logger) *Controller {
	return &Controller{group: g, granter: granter, clock: clock, timing: timing, log: logger, wake: make(chan struct{}, 1)}
}

// planSoon makes Run plan without waiting for the next tick.
func (c *Controller) planSoon() {
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

// leads reports whether this replica leads; a new term begins with an empty view.
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
		c.decayed = now
		c.view = control.LeaderState{
			TermStart: now,
			Entries:   make(map[control.EntryID]control.EntrySession),
			Targets:   make(map[keyspace.Owner]control.TargetSession),
		}
		c.orders = make(map[keyspace.Owner]bool)
		c.probes = make(map[keyspace.Owner]timer.Instant)
		c.log.Info("control leadership taken", "epoch", role.Term)
	}
	return true
}

func (c *Controller) planOnce(ctx context.Context) {
	if !c.leads() {
		return
	}
	c.sendOrders(ctx)
	c.probeLost(ctx)
	for {
		command, ok := c.plan()
		if !ok || !c.propose(ctx, command) {
			return
		}
		c.sendOrders(ctx)
	}
}

func (c *Controller) plan() (control.Command, bool) {
	state, view := c.group.State().State, c.snapshotView()
	c.mu.Lock()
	planner := c.planner
	c.mu.Unlock()
	planner, command, ok := planner.Next(state, view, c.timing)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner = planner
	return command, ok
}

// snapshotView returns a copy of the view at the present instant.
func (c *Controller) snapshotView() control.LeaderState {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view
	v.Now = c.clock.Now()
	v.Entries = maps.Clone(v.Entries)
	v.Targets = maps.Clone(v.Targets)
	return v
}

// propose commits a planned command and reports whether it was applied.
func (c *Controller) propose(ctx context.Context, command control.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.group.Propose(ctx, wire.Encode(command))
	if err != nil {
		c.log.Warn("control command not committed", "error", err)
		return false
	}
	if command.Split != nil {
		c.noteSplit(*command.Split)
	}
	c.logCommand(result.Index, command)
	return true
}

// noteSplit divides the load of a range that was cut in two.
func (c *Controller) noteSplit(s control.Split) {
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
	c.view.Loads = c.view.Loads.WithSplit(s.Range.Service, s.Range.Start, s.At, last)
}

func (c *Controller) logCommand(index uint64, command control.Command) {
	switch {
	case command.MarkLost != nil:
		c.log.Warn("target lost", "target", command.MarkLost.Owner.Target, "incarnation", command.MarkLost.Owner.Incarnation, "epoch", index)
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

// Balances returns how evenly each service's targets are used, as far as this
// replica leads and has measured.
func (c *Controller) Balances() []control.Balance {
	if !c.leads() {
		return nil
	}
	view := c.snapshotView()
	return view.Loads.Balances(c.group.State().State)
}

// sendOrders brings each target its grants where it lacks the latest.
func (c *Controller) sendOrders(ctx context.Context) {
	state := c.group.State().State
	for _, t := range state.Targets() {
		if t.Status == control.TargetLost || !c.beginOrder(state, t) {
			continue
		}
		go c.sendOrder(ctx, t, OrderFor(state, t.Owner()))
	}
}

// beginOrder reports whether the target needs an order and none is under way.
func (c *Controller) beginOrder(state control.State, t control.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := t.Owner()
	if c.orders[owner] || c.view.Targets[owner].ConfirmedVersion >= LastChange(state, owner) {
		return false
	}
	c.orders[owner] = true
	return true
}

func (c *Controller) sendOrder(ctx context.Context, t control.Target, order instance.GrantOrder) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := c.granter.Grant(ctx, t.Address, order)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.orders, t.Owner())
	if err != nil {
		c.log.Debug("grant order failed", "target", t.Name, "error", err)
		return
	}
	c.noteGranted(t.Owner(), order.Fence)
	c.planSoon()
}

// noteGranted is called with the lock held.
func (c *Controller) noteGranted(owner keyspace.Owner, fence uint64) {
	v := c.view.Targets[owner]
	v.ConfirmedVersion = max(v.ConfirmedVersion, fence)
	c.view.Targets[owner] = v
}

// probeLost looks whether the addresses of lost targets refuse connections,
// which proves that their processes have ended.
func (c *Controller) probeLost(ctx context.Context) {
	now := c.clock.Now()
	for _, t := range c.group.State().State.Targets() {
		if t.Status != control.TargetLost {
			continue
		}
		c.mu.Lock()
		owner := t.Owner()
		due := c.probes[owner] <= now && !c.view.Targets[owner].ConnRefused
		if due {
			c.probes[owner] = now.Add(probePeriod)
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
	if !c.granter.Refuses(ctx, t.Address) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view.Targets[t.Owner()]
	v.ConnRefused = true
	c.view.Targets[t.Owner()] = v
}

// OrderFor returns the grant order for an owner as of the state.
func OrderFor(state control.State, owner keyspace.Owner) instance.GrantOrder {
	out := instance.GrantOrder{Fence: state.Version(), Incarnation: owner.Incarnation}
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

// LastChange returns the log index of the last change of what the owner owns: an
// order with a lower fence does not tell it all.
func LastChange(state control.State, owner keyspace.Owner) uint64 {
	var last uint64
	if t, ok := state.Target(owner.Target); ok {
		last = t.Changed
	}
	eachRange(state, owner, func(keys keyspace.Table, i int) { last = max(last, keys.At(i).Epoch) })
	return last
}

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

// leaderError tells a caller where to go when this replica can't answer.
func (c *Controller) leaderError(err error) error {
	if errors.Is(err, replica.ErrNotLeader) || c.group.Role().Role != replica.Leader {
		return &instance.NotLeaderError{Leader: c.group.LeaderAddress()}
	}
	return err
}
