package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/loop"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Targets carries the leader's calls to targets. A call that fails must have
// reset its connection, so that it can't arrive later than its error.
type Targets interface {
	// Grant returns ErrFenced where the target has seen a higher fence.
	Grant(ctx context.Context, address string, g Grant) error
	// Release returns what the target leaves for the keys' next owner.
	Release(ctx context.Context, address string, g Grant) (handover string, err error)
}

// Grant names the target, keys, the fence and, for a grant, its length.
type Grant struct {
	Target        string // ID; another target at the address must refuse the call
	From, To      deployment.Key
	Fence         uint64
	LeaseDuration time.Duration
	Handover      string
	// Allowed is asked right before the call leaves: a leader that was suspended
	// while it connected may have been replaced.
	Allowed func() bool
}

const (
	planPeriod     = 50 * time.Millisecond
	grantTimeout   = 500 * time.Millisecond
	releaseTimeout = 3 * time.Second // a release waits for running work
	proposeTimeout = 2 * time.Second
	// quorumPeriod and quorumValid keep a leader from giving orders after it
	// was replaced: the shortest election takes longer than quorumValid.
	quorumPeriod = 100 * time.Millisecond
	quorumValid  = 300 * time.Millisecond
)

// Leader runs the duties of one control instance. It acts only while that leads.
type Leader struct {
	group   *group.Group[deployment.State]
	targets Targets
	clock   timer.Clock
	log     *log.Logger
	loop    *loop.Loop[*Model, Event, Effect]
	ctx     context.Context
	advice  atomic.Pointer[instance.ReportResponse]
	quorum  atomic.Int64 // boot-clock time at which the last confirmed round began
}

// Start runs the duties until the clean-up function is called.
func Start(ctx context.Context, g *group.Group[deployment.State], targets Targets, clock timer.Clock, timing Timing, logger *log.Logger) (*Leader, func()) {
	ctx, cancel := context.WithCancel(ctx)
	l := &Leader{group: g, targets: targets, clock: clock, log: logger, ctx: ctx}
	lp, stopLoop := loop.New(ctx, NewModel(timing), l.run)
	l.loop = lp
	go l.drive(ctx)
	go l.confirm(ctx)
	return l, func() {
		cancel()
		stopLoop()
	}
}

// HeartbeatReceived notes a target's heartbeat.
func (l *Leader) HeartbeatReceived(incarnation deployment.Incarnation) {
	l.loop.TrySend(HeartbeatReceived{At: l.clock.Now(), Incarnation: incarnation})
}

// Report takes an entry's measurements and answers with what it can't see.
func (l *Leader) Report(r instance.ReportRequest) instance.ReportResponse {
	l.loop.TrySend(Reported{At: l.clock.Now(), Report: r})
	if a := l.advice.Load(); a != nil {
		return *a
	}
	return instance.ReportResponse{}
}

// drive feeds the model with leadership, time and state.
func (l *Leader) drive(ctx context.Context) {
	ticks, stop := l.clock.Subscribe(planPeriod)
	defer stop()
	term := uint64(0)
	for {
		changed := l.group.Watch()
		role := l.group.Role()
		if role.Role == replica.Leader && role.Term != term {
			term = l.takeOffice(ctx, role.Term)
		}
		if role.Role != replica.Leader && term != 0 {
			term = 0
			_ = l.loop.Send(LeadershipLost{})
			l.log.Info("control leadership lost", "term", role.Term, "leader", role.Leader)
		}
		if term != 0 && l.leads() {
			_ = l.loop.Send(Ticked{At: l.clock.Now(), State: l.group.State().State})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticks:
		}
	}
}

// takeOffice begins a term once everything committed before it is applied.
func (l *Leader) takeOffice(ctx context.Context, term uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	began := bootTime()
	applied, err := l.group.Barrier(ctx)
	if err != nil {
		l.log.Warn("control leadership not confirmed yet", "term", term, "error", err)
		return 0
	}
	l.quorum.Store(int64(began))
	_ = l.loop.Send(LeadershipTaken{At: l.clock.Now(), Index: applied.Index})
	l.log.Info("control leadership taken", "term", term, "applied", applied.Index)
	return term
}

// confirm keeps proving that this replica still leads.
func (l *Leader) confirm(ctx context.Context) {
	timer.Every(ctx, l.clock, quorumPeriod, func() {
		if l.group.Role().Role != replica.Leader {
			return
		}
		began := bootTime()
		round, cancel := context.WithTimeout(ctx, quorumValid)
		if _, err := l.group.Barrier(round); err == nil {
			l.quorum.Store(int64(began))
		}
		cancel()
	})
}

// leads reports whether a quorum confirmed the leadership a moment ago.
func (l *Leader) leads() bool {
	return bootTime()-time.Duration(l.quorum.Load()) <= quorumValid
}

func (l *Leader) run(_ context.Context, effects []Effect) error {
	for _, effect := range effects {
		switch e := effect.(type) {
		case SendGrant:
			go l.grant(e)
		case SendRelease:
			go l.release(e)
		case Propose:
			go l.propose(e)
		case Advise:
			l.advice.Store(&e.Advice)
		case LogShares:
			l.log.Info("load of keyed service", "service", e.Service, "targets", e.Targets, "pieces", e.Ranges,
				"utilization", e.Utilization, "shares", e.Shares, "hot", e.Hot)
		}
	}
	return nil
}

func (l *Leader) grant(e SendGrant) {
	done := Granted{Range: e.Range}
	if l.leads() {
		ctx, cancel := context.WithTimeout(l.ctx, grantTimeout)
		g := Grant{Target: e.Target.ID, From: e.Range.From, To: e.Range.To, Fence: e.Range.Fence, LeaseDuration: e.LeaseDuration, Handover: e.Handover, Allowed: l.leads}
		done.Sent = true
		done.Err = l.targets.Grant(ctx, e.Target.Address, g)
		cancel()
	} else {
		done.Err = replica.ErrNotLeader
	}
	done.At = l.clock.Now()
	if done.Err != nil {
		l.log.Warn("grant not confirmed", "target", e.Target.ID, "service", e.Range.Service, "from", e.Range.From,
			"to", e.Range.To, "fence", e.Range.Fence, "sent", done.Sent, "error", done.Err)
	}
	_ = l.loop.Send(done)
}

func (l *Leader) release(e SendRelease) {
	done := Released{Range: e.Range, Err: replica.ErrNotLeader}
	if l.leads() {
		ctx, cancel := context.WithTimeout(l.ctx, releaseTimeout)
		g := Grant{Target: e.Target.ID, From: e.Range.From, To: e.Range.To, Fence: e.Range.Fence, Allowed: l.leads}
		done.Handover, done.Err = l.targets.Release(ctx, e.Target.Address, g)
		cancel()
	}
	done.At = l.clock.Now()
	l.log.Info("keys asked back", "target", e.Target.ID, "service", e.Range.Service, "from", e.Range.From,
		"to", e.Range.To, "fence", e.Range.Fence, "error", done.Err)
	_ = l.loop.Send(done)
}

func (l *Leader) propose(e Propose) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	result, err := l.group.Propose(ctx, wire.Encode(e.Command))
	l.log.Info("control command", "reason", e.Reason, "index", result.Index, "change", describe(e.Command), "error", err)
	_ = l.loop.Send(Committed{Err: err})
	if err == nil {
		_ = l.loop.Send(Ticked{At: l.clock.Now(), State: l.group.State().State})
	}
}

// maxNamed bounds how many items of a list a log line names: log collectors cut
// long lines.
const maxNamed = 24

// brief returns a list for the log, or its length and first items.
func brief[T any](list []T) any {
	if len(list) <= maxNamed {
		return list
	}
	return struct {
		Count int
		First []T
	}{Count: len(list), First: list[:maxNamed]}
}

// describe names a command for the log.
func describe(c deployment.Command) any {
	switch {
	case c.Assign != nil:
		return brief(c.Assign.Ranges)
	case len(c.Move) > 0:
		return brief(c.Move)
	case c.CrashReport != nil:
		return *c.CrashReport
	case len(c.ClearSuspects) > 0:
		return c.ClearSuspects
	case c.MarkSilent != nil:
		return *c.MarkSilent
	default:
		return c.Forget
	}
}
