package leader

import (
	"context"
	"sync"
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

// Targets sends the leader's calls to targets. A call must reset its connection
// before it returns an error, so that nothing more of it is delivered. A target that
// has already received the call may still apply it.
type Targets interface {
	// Grant grants or renews keys. It returns ErrFenced if the target has seen a
	// higher fence, and ErrNotSent if nothing of it can have reached the target.
	Grant(ctx context.Context, address string, call KeyCall) error
	// Release asks the target to give keys back. It returns what the target hands
	// over to their next owner.
	Release(ctx context.Context, address string, call KeyCall) (handover string, err error)
}

// KeyCall holds the parameters of a grant or a release of keys. LeaseDuration and
// Handover are zero for a release.
type KeyCall struct {
	ID            string // of this call alone; a response with another ID does not answer it
	Target        string // ID; another target at the address must reject the call
	From, To      deployment.Key
	Fence         uint64
	LeaseDuration time.Duration
	Handover      string
	// Allowed is checked right before the call is sent: a leader that was suspended
	// while connecting may have been replaced.
	Allowed func() bool
}

const (
	planInterval = 50 * time.Millisecond
	// planDelayPerTarget is several times what a plan takes for each target.
	planDelayPerTarget = 20 * time.Microsecond
	// Plans take at most maxPlanShare of the leader's time, unless they would be more than
	// maxPlanPause apart: with plans alone it has no time left to confirm its leadership.
	maxPlanShare   = 0.1
	maxPlanPause   = 3 * planInterval
	grantTimeout   = 500 * time.Millisecond
	releaseTimeout = 3 * time.Second // a release waits for running requests
	proposeTimeout = 2 * time.Second
	// The leader confirms its leadership every confirmInterval. It stops sending
	// calls once the last confirmation is older than confirmationValidity, which is
	// shorter than the shortest election: a replaced leader sends nothing.
	confirmInterval      = 100 * time.Millisecond
	confirmationValidity = 300 * time.Millisecond
	// confirmTimeout limits one confirmation. A busy group takes longer than its validity.
	confirmTimeout = time.Second
)

// Leader runs the Model of one control instance. It acts only while that instance
// leads the control group.
type Leader struct {
	group        *group.Group[deployment.State]
	role         func() replica.RoleChanged // of the instance in the group
	targets      Targets
	clock        timer.Clock
	log          *log.Logger
	loop         eventLoop
	meter        *meter
	ctx          context.Context
	advice       atomic.Pointer[Advise]
	levels       atomic.Pointer[LevelReport]
	confirmedAt  atomic.Int64  // boot-clock time of the heartbeats that a quorum answered last
	lateLoggedAt atomic.Int64  // boot-clock time of the last log line about a late confirmation
	calls        atomic.Int64  // grants and releases in flight
	planRequests chan struct{} // a plan is wanted before the next interval
	heartbeatID  atomic.Uint64
	answers      sync.Map      // channels for answers to heartbeats, by their ID
	term         atomic.Uint64 // that this replica leads, since all earlier commands were applied; 0 for none
	ended        endedTargets
}

// Start runs a leader until the returned function is called.
func Start(ctx context.Context, g *group.Group[deployment.State], targets Targets, clock timer.Clock, model *Model, logger *log.Logger) (*Leader, func()) {
	ctx, cancel := context.WithCancel(ctx)
	l := &Leader{group: g, role: g.Role, targets: targets, clock: clock, log: logger, ctx: ctx, meter: newMeter(), planRequests: make(chan struct{}, 1)}
	lp, stopLoop := loop.New(ctx, measuredModel{Model: model, meter: l.meter}, l.runEffects)
	l.loop = lp
	go l.feedModel(ctx)
	go l.confirmLeadership(ctx)
	return l, func() {
		cancel()
		stopLoop()
	}
}

// HeartbeatReceived records a heartbeat of a target.
func (l *Leader) HeartbeatReceived(incarnation deployment.Incarnation) {
	l.loop.TrySend(HeartbeatReceived{At: l.clock.Now(), Incarnation: incarnation})
}

// HeartbeatsReceived records heartbeats of several targets. It waits while the model has
// much to do: heartbeats that are dropped would make their targets silent, and then each of
// them is a command.
func (l *Leader) HeartbeatsReceived(incarnations []deployment.Incarnation) {
	// An error means that the instance is stopping.
	_ = l.loop.Send(HeartbeatsReceived{At: l.clock.Now(), Incarnations: incarnations})
}

// KeyHeartbeat handles a heartbeat of a target that is granted keys in the answer. It
// returns nil leases if the heartbeat renews nothing, and replica.ErrNotLeader if this
// instance may have been replaced as the leader meanwhile: a later leader may have given
// the keys to others.
func (l *Leader) KeyHeartbeat(ctx context.Context, incarnation deployment.Incarnation, sequence uint64, keys deployment.KeyReport) (*deployment.KeyLeases, error) {
	if !l.leadershipConfirmed() {
		return nil, replica.ErrNotLeader
	}
	id := l.heartbeatID.Add(1)
	answer := make(chan *deployment.KeyLeases, 1)
	l.answers.Store(id, answer)
	defer l.answers.Delete(id)
	err := l.loop.Send(KeyHeartbeatReceived{At: l.clock.Now(), ID: id, State: l.group.State().State, Incarnation: incarnation, Sequence: sequence, Keys: keys})
	if err != nil {
		return nil, err
	}
	select {
	case leases := <-answer:
		if !l.leadershipConfirmed() {
			return nil, replica.ErrNotLeader
		}
		return leases, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.loop.Done():
		return nil, loop.ErrStopped
	}
}

// answerKeyHeartbeat passes the answer to a heartbeat to the call that waits for it.
func (l *Leader) answerKeyHeartbeat(e AnswerKeyHeartbeat) {
	if len(e.Granted) > 0 {
		l.log.Info("keys granted by heartbeat", "target", e.Target, "ranges", abbreviate(e.Granted), "not_granted", e.LeftOut)
	}
	if answer, ok := l.answers.LoadAndDelete(e.ID); ok {
		answer.(chan *deployment.KeyLeases) <- e.Leases
	}
}

// LevelHeard records the feature level that an instance announces.
func (l *Leader) LevelHeard(name string, level uint64) {
	l.loop.TrySend(LevelHeard{At: l.clock.Now(), Name: name, Level: level})
}

// LevelReport returns the last report on the feature level of this term, or false if there
// is none.
func (l *Leader) LevelReport() (LevelReport, bool) {
	r := l.levels.Load()
	if r == nil {
		return LevelReport{}, false
	}
	return *r, true
}

// Report records an entry's measurements and returns the current advice, which is
// derived from the reports of all entries.
func (l *Leader) Report(r instance.ReportRequest) instance.ReportResponse {
	l.loop.TrySend(Reported{At: l.clock.Now(), Report: r})
	a := l.advice.Load()
	if a == nil {
		return instance.ReportResponse{}
	}
	out := a.Advice.WithoutKnownDispatchers(r.DispatchersVersion)
	out.Parts = a.Parts[r.Instance]
	out.ZoneShares = a.ZoneShares[r.Zone]
	return out
}

// ReportBatch is like Report for several entries.
func (l *Leader) ReportBatch(req instance.ReportBatchRequest) instance.ReportBatchResponse {
	now := l.clock.Now()
	for _, r := range req.Reports {
		if err := l.loop.Send(Reported{At: now, Report: r}); err != nil {
			break // the instance is stopping
		}
	}
	a := l.advice.Load()
	if a == nil {
		return instance.ReportBatchResponse{}
	}
	return instance.ReportBatchResponse{
		Advice: a.Advice.WithoutKnownDispatchers(req.DispatchersVersion), Parts: a.Parts, ZoneShares: a.sharesFor(req.Reports),
	}
}

// feedModel sends changes of leadership, ticks and the committed state to the model.
func (l *Leader) feedModel(ctx context.Context) {
	ticks, stop := l.clock.Subscribe(planInterval)
	defer stop()
	term := uint64(0)
	var plannedAt, pause time.Duration // the last plan's end on the boot clock, and the pause after it
	for {
		changed := l.group.Watch()
		l.updateEnded()
		role := l.group.Role()
		if term != 0 && (role.Role != replica.Leader || role.Term != term) {
			// Also if it was regained at once: another leader may have moved keys in between.
			term = 0
			l.term.Store(0)
			_ = l.loop.Send(LeadershipLost{})
			l.log.Info("control leadership lost", "term", role.Term, "leader", role.Leader)
		}
		if role.Role == replica.Leader && term == 0 {
			term = l.startTerm(ctx, role.Term)
		}
		if term != 0 && l.leadershipConfirmed() {
			took := l.tick(ctx)
			plannedAt, pause = timer.BootTime(), planPause(took)
		}
		collect := time.Duration(0)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			// A plan takes longer the more targets there are. Changes that come
			// together are planned for together.
			collect = planDelay(len(l.group.State().State.Targets()))
		case <-l.planRequests:
			collect = planDelay(len(l.group.State().State.Targets()))
		case <-ticks:
		}
		if !timer.Sleep(ctx, max(collect, pause-(timer.BootTime()-plannedAt))) {
			return
		}
	}
}

// tick makes the model plan, and returns how long the model was at it.
func (l *Leader) tick(ctx context.Context) time.Duration {
	select {
	case <-l.planRequests: // met by this plan
	default:
	}
	if l.loop.Send(Ticked{At: l.clock.Now(), State: l.group.State().State, Members: l.group.MemberLevels()}) != nil {
		return 0 // the instance is stopping
	}
	select {
	case took := <-l.meter.ticked:
		return took
	case <-l.loop.Done():
	case <-ctx.Done():
	}
	return 0
}

// requestPlan asks for a plan soon. Requests that come together are planned for together.
func (l *Leader) requestPlan() {
	select {
	case l.planRequests <- struct{}{}:
	default:
	}
}

// planPause returns for how long the leader plans nothing after a plan, given how long that
// took.
func planPause(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)*(1/maxPlanShare-1)), maxPlanPause)
}

// planDelay returns how long changes are collected before the leader plans for them.
func planDelay(targets int) time.Duration {
	return min(time.Duration(targets)*planDelayPerTarget, planInterval)
}

// startTerm starts a term once every earlier committed command has been applied. It
// returns the term, or 0 if leadership could not be confirmed.
func (l *Leader) startTerm(ctx context.Context, term uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := timer.BootTime()
	applied, err := l.group.Barrier(ctx)
	if err != nil {
		l.log.Warn("control leadership not confirmed yet", "term", term, "error", err)
		return 0
	}
	l.confirmedAt.Store(int64(start))
	l.advice.Store(nil) // that of an earlier term
	l.levels.Store(nil)
	l.term.Store(term)
	_ = l.loop.Send(LeadershipTaken{At: l.clock.Now(), Term: term, Index: applied.Index, State: l.group.State().State})
	l.log.Info("control leadership taken", "term", term, "applied", applied.Index)
	return term
}

// confirmLeadership confirms every confirmInterval that this replica still leads.
func (l *Leader) confirmLeadership(ctx context.Context) {
	timer.Every(ctx, l.clock, confirmInterval, func() {
		if l.group.Role().Role == replica.Leader {
			go l.confirmOnce(ctx)
		}
	})
}

// confirmOnce records when the heartbeats were sent by which a quorum has confirmed that this
// replica leads. One that takes longer than confirmationValidity does not confirm the
// leadership any more, but still the newest configuration.
func (l *Leader) confirmOnce(ctx context.Context) {
	start := timer.BootTime()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	steps, err := l.group.Confirm(ctx)
	l.logIfLate(start, steps, err)
	if err != nil {
		return
	}
	sent := int64(max(start, steps.Sent))
	for {
		last := l.confirmedAt.Load()
		if sent <= last || l.confirmedAt.CompareAndSwap(last, sent) {
			return
		}
	}
}

// ConfirmConfig returns the newest configuration that was acknowledged to an operator before
// a quorum last confirmed this leadership, and the targets that had ended by then, of those that
// ended after the log index targetsKnown.
func (l *Leader) ConfirmConfig(targetsKnown uint64) instance.ConfigConfirmation {
	confirmedAt := time.Duration(l.confirmedAt.Load())
	if confirmedAt == 0 {
		return instance.ConfigConfirmation{Targets: &instance.TargetConfirmation{}}
	}
	// What earlier leaders acknowledged, and this one until then, is in the state by now.
	_, index := l.group.State().State.Config()
	targets := l.updateEnded().Since(targetsKnown, timer.BootTime())
	return instance.ConfigConfirmation{Index: index, Age: timer.BootTime() - confirmedAt, Targets: targets}
}

// leadershipConfirmed reports whether a quorum confirmed the leadership within
// confirmationValidity.
func (l *Leader) leadershipConfirmed() bool {
	return timer.BootTime()-time.Duration(l.confirmedAt.Load()) <= confirmationValidity
}

func (l *Leader) runEffects(_ context.Context, effects []Effect) error {
	for _, effect := range effects {
		switch e := effect.(type) {
		case SendGrant:
			go l.grant(e)
		case SendRelease:
			go l.release(e)
		case Propose:
			go l.propose(e)
		case AnswerKeyHeartbeat:
			l.answerKeyHeartbeat(e)
		case Advise:
			l.advice.Store(&e)
		case LevelReport:
			l.levels.Store(&e)
			l.log.Info("feature level", "agreed", e.Agreed, "held_back_by", e.HeldBackBy)
		case LogProofs:
			l.log.Info("keys may get new owners", "ranges", abbreviate(e.Ranges), "proofs", abbreviate(e.Proofs))
		case LogZoneShares:
			l.log.Info("requests that leave their zone", "service", e.Service, "began", e.Began, "stopped", e.Stopped,
				"shares", e.Shares, "zones", e.Zones)
		case LogLoad:
			l.log.Info("load of keyed service", "service", e.Service, "targets", e.Targets, "pieces", e.Ranges,
				"utilization", e.Utilization, "mean_work_ms", e.ServiceTimeMillis, "moves", e.Moves, "blocked_rounds", e.BlockedRounds,
				"shares", e.BusiestTargets, "hot", e.BusiestBuckets)
		}
	}
	return nil
}

func (l *Leader) propose(e Propose) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	var result group.Result
	err := l.group.State().State.Admit(e.Command)
	if l.role().Term != e.Term {
		err = replica.ErrNotLeader
	}
	if err == nil {
		result, err = l.group.Propose(ctx, wire.Encode(e.Command))
	}
	l.log.Info("control command", "reason", e.Reason, "index", result.Index, "change", commandDetails(e.Command), "error", err)
	_ = l.loop.Send(ProposeEnded{Term: e.Term, Err: err})
	if err == nil {
		l.requestPlan()
	}
}

// maxLoggedItems bounds the items of a list in a log line: log collectors truncate
// long lines.
const maxLoggedItems = 24

// abbreviate returns a list for the log. A long one is replaced by its length and
// its first items.
func abbreviate[T any](list []T) any {
	if len(list) <= maxLoggedItems {
		return list
	}
	return struct {
		Count int
		First []T
	}{Count: len(list), First: list[:maxLoggedItems]}
}

// commandDetails returns the part of a command that is logged.
func commandDetails(c deployment.Command) any {
	switch {
	case c.Assign != nil:
		return abbreviate(c.Assign.Ranges)
	case len(c.Move) > 0:
		return abbreviate(c.Move)
	case c.CrashReport != nil:
		return *c.CrashReport
	case len(c.ClearSuspects) > 0:
		return c.ClearSuspects
	case c.MarkSilent != nil:
		return *c.MarkSilent
	case c.RaiseLevel != nil:
		return *c.RaiseLevel
	default:
		return c.Forget
	}
}
