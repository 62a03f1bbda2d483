package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// heartbeatGranter tells targets in the responses to their heartbeats which keys to
// hold. An owner starts to hold or to release keys only at its own next heartbeat. So
// that keys are not without an owner for the time between the heartbeats of two targets,
// it decides at the heartbeat of a target what that target gives up or takes over.
type heartbeatGranter struct {
	reporters map[deployment.Incarnation]*keyReporter
	waiting   []waitingHeartbeat      // whose answer waits for a command
	free      []freeRange             // keys that may get a new owner, as of the last plan
	usages    map[string]cachedUsages // by service
	owned     map[deployment.Incarnation][]ownedRange
	ownedAt   uint64 // state version that owned was built from
}

// keyReporter is what the leader knows of one target's heartbeats in its term.
type keyReporter struct {
	sequence uint64        // of the last heartbeat
	movedAt  timer.Instant // when keys were last taken from it to even out the load
}

// waitingHeartbeat is a heartbeat that is answered once the command that it caused is
// committed, or at the latest at the deadline.
type waitingHeartbeat struct {
	KeyHeartbeatReceived
	deadline timer.Instant
}

// freeRange is a range that may get a new owner.
type freeRange struct {
	deployment.Assignment
	since timer.Instant
}

// ownedRange is a range with the service that it belongs to.
type ownedRange struct {
	deployment.Range
	service string
}

func (o ownedRange) ref() deployment.RangeRef {
	return deployment.RangeRef{Service: o.service, From: o.From, To: o.To, Fence: o.Fence}
}

const (
	// maxAnswerDelay bounds the time for which the answer to a heartbeat waits for the
	// command that it caused. Targets wait for a second.
	maxAnswerDelay = 300 * time.Millisecond
	// MaxLeasesPerTarget bounds the ranges of one target, because a response to a
	// heartbeat may have at most 4 KiB.
	MaxLeasesPerTarget = 128
	// MaxTakenPerHeartbeat bounds the ranges that a target takes over at once, each with
	// the data of its previous owner.
	MaxTakenPerHeartbeat = 24
	// Keys are given up for load only while a service has no more than this number of
	// ranges for each target, because ranges are never merged.
	maxRangesPerTarget = MaxLeasesPerTarget / 2
	// Keys without an owner go to the first target to send a heartbeat that is among
	// the least busy share of all. The share starts at minTakerShare and grows to 1
	// within takerShareTime.
	minTakerShare  = 0.25
	takerShareTime = 300 * time.Millisecond
	// idleRangeUtilization is the utilization that a range is counted as at least,
	// which spreads ranges without load over the targets.
	idleRangeUtilization = 0.01
	// hotKeyWait is for how long a single key is kept for the target that was chosen
	// because it serves most requests: a little longer than targets' heartbeats are apart.
	hotKeyWait = time.Second
	// minMoveInterval is the time between two rounds in which the same target gives up
	// keys because it is busier than others.
	minMoveInterval = time.Second
	// maxMissingReports is the number of heartbeats in a row that don't list keys that
	// were granted before, after which they are granted under a new fence.
	maxMissingReports = 3
)

func newHeartbeatGranter() *heartbeatGranter {
	return &heartbeatGranter{
		reporters: make(map[deployment.Incarnation]*keyReporter),
		usages:    make(map[string]cachedUsages),
	}
}

func (*heartbeatGranter) forTerm() granter { return newHeartbeatGranter() }

// keep returns nothing: heartbeats are answered with the ranges that are owned.
func (*heartbeatGranter) keep(*Model, deployment.Target, deployment.RangeRef, *rangeState, string) rangeStep {
	return rangeStep{}
}

// release returns nothing: the answers to heartbeats leave the range out.
func (*heartbeatGranter) release(*Model, deployment.Target, deployment.RangeRef, *rangeState) rangeStep {
	return rangeStep{}
}

func (*heartbeatGranter) responsive(m *Model, t deployment.Target, _ *rangeState) bool {
	return m.recentHeartbeat(t)
}

// timing returns the base: one answer renews all ranges of a target.
func (*heartbeatGranter) timing(base Timing, _ int) Timing { return base }

// reachesLaterStart returns false: an answer goes to the process that sent the heartbeat.
func (*heartbeatGranter) reachesLaterStart() bool { return false }

// place returns the keys that must go back to their owner under a new fence, and
// remembers the others until a target sends a heartbeat.
func (g *heartbeatGranter) place(m *Model, free placements) []deployment.Assignment {
	g.dropUnknown(m)
	var out []deployment.Assignment
	for _, a := range free.regrants {
		out = append(out, g.assignment(a.Range, a.To, a.Handover))
	}
	before := g.free
	g.free = nil
	for _, a := range free.reassignable {
		since := m.now
		for _, f := range before {
			if f.Range.Service == a.Range.Service && f.Range.Fence == a.Range.Fence && f.Range.From <= a.Range.From && a.Range.To <= f.Range.To {
				since = f.since
			}
		}
		g.free = append(g.free, freeRange{Assignment: a, since: since})
	}
	return out
}

// dropUnknown drops what is known of targets that were forgotten.
func (g *heartbeatGranter) dropUnknown(m *Model) {
	if len(g.reporters) <= 2*len(m.state.Targets()) {
		return
	}
	maps.DeleteFunc(g.reporters, func(incarnation deployment.Incarnation, _ *keyReporter) bool {
		t, ok := m.state.Target(incarnation.ID)
		return !ok || t.StartMillis != incarnation.StartMillis
	})
}

// ownsRange reports whether the incarnation is the recorded owner of the range.
func (m *Model) ownsRange(incarnation deployment.Incarnation, ref deployment.RangeRef) bool {
	table, ok := m.state.Table(ref.Service)
	if !ok {
		return false
	}
	r := table.Find(ref.From)
	return r.Fence == ref.Fence && r.Target == incarnation.ID && r.StartMillis == incarnation.StartMillis
}

func (g *heartbeatGranter) assignment(ref deployment.RangeRef, to deployment.Incarnation, handover string) deployment.Assignment {
	a := deployment.Assignment{Range: ref, To: to, Handover: handover}
	if r, ok := g.reporters[to]; ok {
		a.Sequence = r.sequence
	}
	return a
}

// rebalance returns nothing: keys are given up at the heartbeats of their owners.
func (*heartbeatGranter) rebalance(*Model) []deployment.RangeRef { return nil }

// handle answers a heartbeat. If the target is to give up or take over keys, it proposes
// that and answers once it is committed.
func (g *heartbeatGranter) handle(m *Model, e KeyHeartbeatReceived) []Effect {
	t, ok := m.state.Target(e.Incarnation.ID)
	reporter := g.reporter(e.Incarnation)
	if !ok || t.StartMillis != e.Incarnation.StartMillis || t.Status == deployment.Left || e.Sequence <= reporter.sequence {
		return []Effect{AnswerKeyHeartbeat{ID: e.ID}}
	}
	reporter.sequence = e.Sequence
	m.lastHeartbeat[e.Incarnation] = e.At
	var effects []Effect
	if g.applyReport(m, e) {
		effects = m.plan()
	}
	if proposal := g.propose(m, t, reporter); proposal != nil {
		g.waiting = append(g.waiting, waitingHeartbeat{KeyHeartbeatReceived: e, deadline: m.now.Add(maxAnswerDelay)})
		return append(effects, proposal...)
	}
	return append(effects, g.answer(m, e))
}

func (g *heartbeatGranter) reporter(incarnation deployment.Incarnation) *keyReporter {
	r, ok := g.reporters[incarnation]
	if !ok {
		r = &keyReporter{}
		g.reporters[incarnation] = r
	}
	return r
}

// applyReport applies what a target says of its keys, and reports whether it has
// released any.
func (g *heartbeatGranter) applyReport(m *Model, e KeyHeartbeatReceived) bool {
	released := false
	for _, r := range g.rangesOf(m, e.Incarnation) {
		rs := m.rangeStateOf(r.service, r.Range)
		if handover, ok := e.Keys.Handover(r.From, r.To); ok && !rs.released && e.Sequence > max(r.OwnerSequence, rs.firstAnswered) {
			rs.released, rs.handover = true, handover
			released = true
			continue
		}
		switch e.Keys.Holding(r.From, r.To, r.Fence) {
		case deployment.HoldsAll:
			rs.missing = 0
			if rs.confirmedAt == 0 {
				rs.confirmedAt = m.now
			}
		case deployment.HoldsNothing:
			if rs.lastAnswered > 0 && e.Sequence > rs.lastAnswered && !rs.released {
				released = g.handleMissing(m, r, rs) || released
			}
		}
	}
	return released
}

// handleMissing handles that a target does not list keys that it was granted. It
// reports whether the keys are known to be released.
func (g *heartbeatGranter) handleMissing(m *Model, r ownedRange, rs *rangeState) bool {
	rs.missing++
	if r.Phase == deployment.Releasing && m.now > m.earlierExpiry() {
		// The lease has expired, and no earlier leader's answer can still renew it.
		rs.released = true
		return true
	}
	// Its target may have seen a higher fence on some of the keys.
	rs.fenced = rs.fenced || r.Phase == deployment.Owned && rs.missing >= maxMissingReports
	return false
}

// rangesOf returns the ranges that the state assigns to the target.
func (g *heartbeatGranter) rangesOf(m *Model, incarnation deployment.Incarnation) []ownedRange {
	if g.owned == nil || g.ownedAt != m.state.Version() {
		g.owned, g.ownedAt = make(map[deployment.Incarnation][]ownedRange), m.state.Version()
		for _, table := range m.state.Tables() {
			for _, r := range table.Ranges {
				if r.Phase == deployment.Unowned {
					continue
				}
				owner := deployment.Incarnation{ID: r.Target, StartMillis: r.StartMillis}
				g.owned[owner] = append(g.owned[owner], ownedRange{Range: r, service: table.Service})
			}
		}
	}
	return g.owned[incarnation]
}

// answerWaiting answers the heartbeats that wait for a command, once no command is
// pending, and those that have waited for too long.
func (g *heartbeatGranter) answerWaiting(m *Model) []Effect {
	var out []Effect
	still := g.waiting[:0]
	for _, w := range g.waiting {
		if m.commandPending && m.now < w.deadline {
			still = append(still, w)
			continue
		}
		out = append(out, g.answer(m, w.KeyHeartbeatReceived))
	}
	g.waiting = still
	return out
}

// answer returns the answer to a heartbeat: every key that the target is to hold.
func (g *heartbeatGranter) answer(m *Model, e KeyHeartbeatReceived) Effect {
	t, ok := m.state.Target(e.Incarnation.ID)
	if !ok || t.StartMillis != e.Incarnation.StartMillis {
		return AnswerKeyHeartbeat{ID: e.ID}
	}
	leases := &deployment.KeyLeases{Millis: m.timing.LeaseDuration.Milliseconds()}
	var granted []deployment.RangeRef
	left := 0
	for _, r := range g.rangesOf(m, e.Incarnation) {
		rs := m.rangeStateOf(r.service, r.Range)
		if r.Phase != deployment.Owned || rs.released || rs.reassigned || rs.fenced || !t.Usable() && m.graceOver() || len(leases.Ranges) >= MaxLeasesPerTarget {
			left++
			continue
		}
		lease := deployment.LeasedRange{From: r.From, To: r.To, Fence: r.Fence}
		if rs.confirmedAt == 0 {
			lease.Handover = r.Handover
		}
		leases.Ranges = append(leases.Ranges, lease)
		rs.expiry = max(rs.expiry, m.timing.latestExpiry(m.now))
		rs.granted = true
		rs.lastAnswered = e.Sequence
		if rs.firstAnswered == 0 {
			rs.firstAnswered = e.Sequence
			granted = append(granted, r.ref())
		}
	}
	slices.SortFunc(leases.Ranges, func(a, b deployment.LeasedRange) int { return cmp.Compare(a.From, b.From) })
	return AnswerKeyHeartbeat{ID: e.ID, Target: t.ID, Leases: leases, Granted: granted, LeftOut: left}
}

// mergesRanges returns false: a release counts only for a heartbeat later than the assignment.
func (*heartbeatGranter) mergesRanges() bool { return false }
