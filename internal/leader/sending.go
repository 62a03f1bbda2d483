package leader

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// maySend reports whether this instance leads in the given term, confirmed by a quorum.
// What was decided in an earlier term may be void: another leader may have moved the keys.
func (l *Leader) maySend(term uint64) bool {
	role := l.role()
	return role.Role == replica.Leader && role.Term == term && l.leadershipConfirmed()
}

func (l *Leader) grant(e SendGrant) {
	id := uuid.NewString()
	l.calls.Add(1)
	defer l.calls.Add(-1)
	maySend := func() bool { return l.maySend(e.Term) }
	done := GrantEnded{Term: e.Term, Range: e.Range, LeaseDuration: e.LeaseDuration}
	if maySend() {
		ctx, cancel := context.WithTimeout(l.ctx, grantTimeout)
		call := KeyCall{ID: id, Target: e.Target.ID, From: e.Range.From, To: e.Range.To, Fence: e.Range.Fence, LeaseDuration: e.LeaseDuration, Handover: e.Handover, Allowed: maySend}
		done.Err = l.targets.Grant(ctx, e.Target.Address, call)
		done.Sent = !errors.Is(done.Err, ErrNotSent)
		cancel()
	} else {
		done.Err = replica.ErrNotLeader
	}
	done.At = l.clock.Now()
	if done.Err != nil {
		l.log.Warn("grant not confirmed", "call", id, "term", e.Term, "target", e.Target.ID, "service", e.Range.Service, "from", e.Range.From,
			"to", e.Range.To, "fence", e.Range.Fence, "sent", done.Sent, "error", done.Err)
	}
	_ = l.loop.Send(done)
}

func (l *Leader) release(e SendRelease) {
	id := uuid.NewString()
	l.calls.Add(1)
	defer l.calls.Add(-1)
	maySend := func() bool { return l.maySend(e.Term) }
	done := ReleaseEnded{Term: e.Term, Range: e.Range, Err: replica.ErrNotLeader}
	if maySend() {
		ctx, cancel := context.WithTimeout(l.ctx, releaseTimeout)
		call := KeyCall{ID: id, Target: e.Target.ID, From: e.Range.From, To: e.Range.To, Fence: e.Range.Fence, Allowed: maySend}
		done.Handover, done.Err = l.targets.Release(ctx, e.Target.Address, call)
		cancel()
	}
	done.At = l.clock.Now()
	l.log.Info("release ended", "call", id, "term", e.Term, "target", e.Target.ID, "service", e.Range.Service, "from", e.Range.From,
		"to", e.Range.To, "fence", e.Range.Fence, "error", done.Err)
	_ = l.loop.Send(done)
	if done.Err == nil {
		l.requestPlan()
	}
}
