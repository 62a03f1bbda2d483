package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// searchPeriod is the time between two searches for the leader from outside of the group.
	searchPeriod = 200 * time.Millisecond
	// searchTimeout limits the call to one instance.
	searchTimeout = 300 * time.Millisecond
	// leaderlessLimit is the time without a leader after which a member asks others for it: it
	// is longer than an election.
	leaderlessLimit = time.Second
	// maxLeaderAge is the longest time since a quorum confirmed a leader that is called from
	// outside. One that was cut off from the others may still answer.
	maxLeaderAge = time.Second
)

// foundLeader is the leader as it is known from outside of the group.
type foundLeader struct {
	address string
	level   uint64 // feature level that it supports
}

// searchLeader asks the other control instances for the leader, until ctx ends, while the
// replica can't tell: it has stopped, it is not a member of the group, or it has had no leader
// for longer than an election takes. A group has at most seven voters, and replaces those that
// are lost.
func (c *Control) searchLeader(ctx context.Context) {
	ledAt := c.clock.Now()
	timer.Every(ctx, c.clock, searchPeriod, func() {
		now := c.clock.Now()
		if c.hasLeader() {
			ledAt = now
		}
		if !c.stopped() && c.isMember() && now.Sub(ledAt) <= leaderlessLimit {
			c.found.Store(nil)
			return
		}
		found := c.findLeader(ctx)
		if last := c.found.Swap(found); found != nil && (last == nil || last.address != found.address) {
			c.log.Info("leader found from outside of the group", "leader", found.address, "level", found.level, "stopped", c.stopped(), "member", c.isMember())
		}
	})
}

// isMember reports whether the replica is a member of its group, as far as it knows.
func (c *Control) isMember() bool {
	g := c.lastReplica().group
	_, ok := g.Members().Find(g.Self().ID)
	return ok
}

// findLeader returns the leader that the other control instances name, the last one first, or
// nil if none is found.
func (c *Control) findLeader(ctx context.Context) *foundLeader {
	var queue []string
	last := c.found.Load()
	if last != nil {
		queue = append(queue, last.address)
	}
	queue = append(queue, *c.seeds.Load()...)
	queue = append(queue, c.ControlAddresses()...)
	asked := []string{c.cfg.Address}
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if slices.Contains(asked, address) {
			continue
		}
		asked = append(asked, address)
		leads, named := c.askWhoLeads(ctx, address)
		switch {
		case leads && last != nil && last.address == address:
			return last
		case leads:
			return &foundLeader{address: address, level: c.levelOf(ctx, address)}
		case named != "":
			queue = slices.Insert(queue, 0, named)
		}
	}
	return nil
}

// askWhoLeads reports whether the instance at the address leads the group, or else returns the
// address of the leader that it names.
func (c *Control) askWhoLeads(ctx context.Context, address string) (leads bool, named string) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	res, err := instance.Call[instance.ConfirmConfigRequest, instance.ConfigConfirmation](ctx, c.pool, address, "ConfirmConfig", &instance.ConfirmConfigRequest{})
	if err == nil {
		return res.Age <= maxLeaderAge, ""
	}
	var notLeader *instance.NotLeaderError
	if errors.As(err, &notLeader) {
		named = notLeader.Leader
	}
	return false, named
}

// levelOf returns the feature level that the instance at the address supports, or 0.
func (c *Control) levelOf(ctx context.Context, address string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	res, err := instance.Call[instance.ProbeRequest, instance.ProbeResponse](ctx, c.pool, address, "Probe", &instance.ProbeRequest{Group: groupName})
	if err != nil {
		return 0
	}
	return res.Level
}

// leaderAddress returns the address at which this instance calls the leader, or "" if none is
// known.
func (c *Control) leaderAddress() string {
	if found := c.found.Load(); found != nil {
		return found.address
	}
	return c.lastReplica().group.LeaderAddress()
}

// admit returns an error if the agreed feature level does not allow the command. From outside
// of the group that level is not known: a leader that knows this build's commands checks them.
func (c *Control) admit(command deployment.Command) error {
	if found := c.found.Load(); found != nil && found.level >= deployment.FeatureLevel {
		return nil
	}
	return c.State().Admit(command)
}
