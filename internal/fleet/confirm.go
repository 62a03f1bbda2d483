package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// confirmPeriod is the time between two calls for the leader's confirmation of the
	// newest configuration. They are apart from the batches of reports, which wait while the
	// leader is busy with earlier ones.
	confirmPeriod  = 200 * time.Millisecond
	confirmTimeout = time.Second
	// confirmIdle is for how long an instance asks on after the last report of an entry.
	confirmIdle = 2 * time.Second
	// lateConfirmation is the age from which a confirmation is logged, once in each
	// lateConfirmationLogInterval.
	lateConfirmation            = 500 * time.Millisecond
	lateConfirmationLogInterval = time.Second
)

// configConfirmation is the last confirmation of the newest configuration, and of the targets
// that have ended, that a control instance got from the leader. Its methods are safe for
// concurrent use.
type configConfirmation struct {
	mu    sync.Mutex
	known bool // the leader's build confirms configurations
	index uint64
	at    time.Duration // on the boot clock, when the configuration was the newest
	// targetsKnown reports that the leader's build confirms targets.
	targetsKnown bool
	ended        view.EndedTargets
	// askedAt is when an entry last wanted it, on the boot clock.
	askedAt time.Duration
	// lateLoggedAt is when it was last logged that the confirmation is late.
	lateLoggedAt time.Duration
}

// record records the answer to a call for a confirmation that was sent at the time sentAt of
// the boot clock.
func (c *configConfirmation) record(a instance.ConfigConfirmation, sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known, c.targetsKnown = true, a.Targets != nil
	if c.targetsKnown {
		c.ended = c.ended.WithConfirmation(*a.Targets, sentAt, timer.BootTime())
	}
	if at := sentAt - a.Age; a.Index > 0 && at > c.at {
		c.index, c.at = a.Index, at
	}
}

// recordUnknown records that the leader is of a build that confirms nothing.
func (c *configConfirmation) recordUnknown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = false
}

// take returns the confirmation for an entry that knows which targets ended until the log index
// targetsKnown; nil if the leader's build confirms nothing.
func (c *configConfirmation) take(targetsKnown uint64) *instance.ConfigConfirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedAt = timer.BootTime()
	if !c.known {
		return nil
	}
	out := &instance.ConfigConfirmation{Index: c.index, Age: c.askedAt - c.at}
	if c.targetsKnown {
		out.Targets = c.ended.Since(targetsKnown, c.askedAt)
	}
	return out
}

// endedKnown returns the log index until which it is known which targets have ended.
func (c *configConfirmation) endedKnown() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended.To()
}

// late returns the age of the confirmation, and true if it is to be logged.
func (c *configConfirmation) late() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := timer.BootTime()
	if !c.known || now-c.at < lateConfirmation || now-c.lateLoggedAt < lateConfirmationLogInterval {
		return 0, false
	}
	c.lateLoggedAt = now
	return now - c.at, true
}

// wanted reports whether entries have asked for it lately.
func (c *configConfirmation) wanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.askedAt > 0 && timer.BootTime()-c.askedAt <= confirmIdle
}

// ConfirmConfig returns the newest configuration and the targets that have ended. An instance
// that is not the leader returns the leader's last confirmation if the caller accepts that.
func (c *Control) ConfirmConfig(_ context.Context, req *instance.ConfirmConfigRequest) (*instance.ConfigConfirmation, error) {
	if c.isLeader() {
		a := c.lastReplica().leader.ConfirmConfig(req.TargetsKnown)
		return &a, nil
	}
	if req.Relayed && c.Current() {
		if a := c.confirmation.take(req.TargetsKnown); a != nil {
			return a, nil
		}
	}
	return nil, c.notLeaderError()
}

// confirmConfigs asks the leader for the newest configuration until ctx ends, while entries
// report to this instance.
func (c *Control) confirmConfigs(ctx context.Context) {
	timer.Every(ctx, c.clock, confirmPeriod, func() {
		if c.confirmation.wanted() && !c.isLeader() {
			go c.confirmOnce(ctx)
		}
	})
}

func (c *Control) confirmOnce(ctx context.Context) {
	address := c.lastReplica().group.LeaderAddress()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sentAt := timer.BootTime()
	a, err := instance.Call[instance.ConfirmConfigRequest, instance.ConfigConfirmation](ctx, c.pool, address, "ConfirmConfig",
		&instance.ConfirmConfigRequest{TargetsKnown: c.confirmation.endedKnown()})
	switch {
	case err == nil:
		c.confirmation.record(*a, sentAt)
	case errors.Is(err, deployment.ErrFeatureLevel):
		c.confirmation.recordUnknown()
	}
	if age, ok := c.confirmation.late(); ok {
		leaderAge := time.Duration(0)
		if a != nil {
			leaderAge = a.Age
		}
		c.log.Warn("configuration confirmed late", "leader", address, "age_ms", age.Milliseconds(),
			"call_ms", (timer.BootTime() - sentAt).Milliseconds(), "leader_age_ms", leaderAge.Milliseconds(), "error", err)
	}
}
