package view

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// newerConfig is a configuration that is known to be in force but has not arrived.
type newerConfig struct {
	index uint64    // log index that accepted it
	since time.Time // when the entry first heard of a configuration newer than its view's
}

// ConfigLag returns for how long the entry has known that its configuration was replaced
// without having received the newer one, or 0.
func (f *Follower) ConfigLag() time.Duration {
	newer := f.newerConfig.Load()
	if newer == nil || newer.index <= f.View().ConfigIndex {
		return 0
	}
	return time.Since(newer.since)
}

// ConfirmConfig records which configuration a control instance named as the newest, and which
// targets as ended, in its answer to a call that was sent at the time sentAt of the boot clock.
// A nil c stands for a build that confirms neither.
func (f *Follower) ConfirmConfig(c *instance.ConfigConfirmation, sentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmTargets(c, sentAt)
	if c == nil {
		f.setLease(f.currentLease().WithoutConfirmations())
		return
	}
	f.setLease(f.currentLease().WithConfirmation(confirmation{index: c.Index, at: sentAt - c.Age}))
}

// confirmTargets is ConfirmConfig for targets. The caller holds f.mu.
func (f *Follower) confirmTargets(c *instance.ConfigConfirmation, sentAt time.Duration) {
	old := f.currentTargetLease()
	if c == nil || c.Targets == nil {
		f.setTargetLease(old.WithoutConfirmations())
		return
	}
	next := old.WithConfirmation(*c.Targets, sentAt-c.Age, sentAt)
	f.setTargetLease(next)
	if len(next.ended) == len(old.ended) {
		return
	}
	now := timer.BootTime()
	for _, x := range next.ended {
		if slices.Contains(old.ended, x) {
			continue
		}
		f.cfg.Log.Info("target is leaving", "target", x.id, "born", x.startMillis, "source", "confirmation", "index", x.index,
			"version", f.View().Version, "age_ms", x.age(now).Milliseconds())
	}
	f.signalChanged()
}

func (f *Follower) currentTargetLease() targetLease {
	if l := f.targetLease.Load(); l != nil {
		return *l
	}
	return targetLease{}
}

// setTargetLease replaces the lease. The caller holds f.mu.
func (f *Follower) setTargetLease(l targetLease) { f.targetLease.Store(&l) }

// TargetBound returns for how long what is known of targets is valid; 0 for any time.
func (f *Follower) TargetBound() time.Duration {
	return time.Duration(targetLeaseShare * float64(f.cfg.TargetDrain))
}

// TargetsInForce reports whether requests may be sent by what is known of targets. If not, a
// target may have ended too long ago to be sent requests.
func (f *Follower) TargetsInForce() bool {
	return f.currentTargetLease().Valid(timer.BootTime(), f.TargetBound())
}

// TargetEnded reports whether the target stopped being usable after the view, and how long ago:
// a negative time if that is not known. Call it before View: the view then tells of the targets
// that it has left out.
func (f *Follower) TargetEnded(t deployment.Target) (time.Duration, bool) {
	l := f.currentTargetLease()
	if len(l.ended) == 0 {
		return 0, false // the usual case, without a system call for the time
	}
	return l.Ended(t, timer.BootTime())
}

// TargetsKnown returns the log index up to which it is known which targets have ended.
func (f *Follower) TargetsKnown() uint64 { return f.currentTargetLease().known }

// TargetsConfirmedAge returns the time since a confirmation of targets that left nothing out, or
// -1 if there was none.
func (f *Follower) TargetsConfirmedAge() time.Duration {
	l := f.currentTargetLease()
	if l.validAt == 0 {
		return -1
	}
	return timer.BootTime() - l.validAt
}

func (f *Follower) currentLease() configLease {
	if l := f.lease.Load(); l != nil {
		return *l
	}
	return configLease{}
}

// setLease replaces the lease. The caller holds f.mu.
func (f *Follower) setLease(l configLease) { f.lease.Store(&l) }

// ConfigInForce reports whether the entry may serve by the configuration of its view. If not,
// a newer one may have to be in force already.
func (f *Follower) ConfigInForce() bool {
	l := f.currentLease()
	if l.unsupported {
		return f.ConfigLag() <= f.cfg.ConfigApply/2
	}
	return l.Valid(timer.BootTime(), f.cfg.ConfigApply)
}

// ConfigConfirmedAge returns the time since the configuration of the view was last confirmed
// to be the newest, or -1 if it never was.
func (f *Follower) ConfigConfirmedAge() time.Duration {
	l := f.currentLease()
	if l.validAt == 0 {
		return -1
	}
	return timer.BootTime() - l.validAt
}

// ConfirmationDue reports whether half of the time has passed for which the last confirmation of
// the configuration, or that of targets, is valid. It is false if control instances are of a build
// that confirms none.
func (f *Follower) ConfirmationDue() bool {
	if f.View().ConfigIndex == 0 || f.currentLease().unsupported {
		return false
	}
	due := func(age, bound time.Duration) bool { return age < 0 || age > bound/2 }
	if due(f.ConfigConfirmedAge(), f.cfg.ConfigApply) {
		return true
	}
	return f.cfg.TargetDrain > 0 && !f.currentTargetLease().unsupported && due(f.TargetsConfirmedAge(), f.TargetBound())
}

// hear records a message of a control instance that knows a leader.
func (f *Follower) hear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := timer.BootTime()
	f.setLease(f.currentLease().WithHeard(now, f.cfg.ConfigApply))
	f.setTargetLease(f.currentTargetLease().WithHeard(now, f.TargetBound()))
}

// noteConfig records that a configuration is in force, as a message reports before its
// content is complete.
func (f *Follower) noteConfig(index uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	have := f.View().ConfigIndex
	newer := f.newerConfig.Load()
	switch {
	case have == 0 || index <= have:
	case newer == nil || newer.index <= have:
		f.newerConfig.Store(&newerConfig{index: index, since: time.Now()})
	case newer.index < index:
		f.newerConfig.Store(&newerConfig{index: index, since: newer.since})
	}
}
