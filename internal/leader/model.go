package leader

import (
	"errors"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// ErrFenced reports a target that has seen a higher fence on the keys.
var ErrFenced = errors.New("target has seen a higher fence")

// Model decides what the leader does next. It belongs to its loop alone and
// changes in place: a copy for each heartbeat would cost more than all decisions.
type Model struct {
	timing         Timing
	leading        bool
	since          timer.Instant
	index          uint64 // last log index of earlier leaders
	now            timer.Instant
	state          deployment.State
	lastHeartbeat  map[deployment.Incarnation]timer.Instant
	left           map[deployment.Incarnation]timer.Instant // when a target was first seen to have left
	holds          map[fenceID]map[deployment.Key]*hold     // by first key
	latest         map[string]deployment.Target             // latest incarnation at each address
	latestAt       uint64                                   // state version that latest was made from
	loads          map[string]*load                         // by service
	plans          uint64                                   // number of plans made
	pending        bool                                     // a command is being committed
	looked         timer.Instant                            // last look at the load
	noted          timer.Instant                            // last report of the load
	seen           map[string]arrivals
	flights        []deployment.RangeRef    // grants that are under way
	entries        map[string]timer.Instant // last reports
	advised        timer.Instant            // last advice to entries
	crashReports   []deployment.CrashReport // to be committed
	suspectedSince map[string]timer.Instant // when a suspect was first seen, by fingerprint
	health         map[deployment.Incarnation]health
}

// arrivals tells when a service's targets came, before its keys are shared out.
type arrivals struct {
	count       int
	first, last timer.Instant
}

// fenceID names all ranges that one command assigned.
type fenceID struct {
	service string
	fence   uint64
}

// hold is what this leader knows of a range under its fence.
type hold struct {
	calling    bool          // a grant or release is under way
	next       timer.Instant // next grant
	nextAsk    timer.Instant // next try of a release
	end        timer.Instant // every grant that may have arrived is over by then
	unanswered timer.Instant // grants that may still be applied late are over by then
	confirmed  timer.Instant // first answer to a grant
	failures   int           // grants in a row that were not answered
	failedAt   timer.Instant // last one
	fenced     bool          // the target has seen a higher fence
	released   bool
	handover   string
	to         deployment.Incarnation // planned owner, where one was chosen
	planned    uint64                 // number of the last plan that had the range
}

// NewModel returns a model that does not lead.
func NewModel(timing Timing) *Model { return &Model{timing: timing} }

// Update takes an event and returns the effects to carry out.
func (m *Model) Update(event Event) (*Model, []Effect) {
	if e, ok := event.(LeadershipTaken); ok {
		m.lead(e)
		return m, nil
	}
	if !m.leading {
		return m, nil
	}
	switch e := event.(type) {
	case LeadershipLost:
		m.leading = false
	case HeartbeatReceived:
		m.lastHeartbeat[e.Incarnation] = e.At
	case Reported:
		m.report(e)
	case Granted:
		m.granted(e)
	case Released:
		m.released(e)
		m.now = max(m.now, e.At)
		return m, m.plan()
	case Committed:
		m.pending = false
	case Ticked:
		m.now, m.state = e.At, e.State
		return m, m.plan()
	}
	return m, nil
}

func (m *Model) lead(e LeadershipTaken) {
	*m = Model{
		timing:         m.timing,
		leading:        true,
		since:          e.At,
		now:            e.At,
		index:          e.Index,
		lastHeartbeat:  make(map[deployment.Incarnation]timer.Instant),
		left:           make(map[deployment.Incarnation]timer.Instant),
		holds:          make(map[fenceID]map[deployment.Key]*hold),
		loads:          make(map[string]*load),
		seen:           make(map[string]arrivals),
		entries:        make(map[string]timer.Instant),
		suspectedSince: make(map[string]timer.Instant),
		health:         make(map[deployment.Incarnation]health),
	}
}

// known returns what is known of a range under its fence, or nil.
func (m *Model) known(service string, from deployment.Key, fence uint64) *hold {
	return m.holds[fenceID{service: service, fence: fence}][from]
}

func (m *Model) setHold(service string, from deployment.Key, fence uint64, h *hold) {
	id := fenceID{service: service, fence: fence}
	if m.holds[id] == nil {
		m.holds[id] = make(map[deployment.Key]*hold)
	}
	m.holds[id][from] = h
}

// holdOf returns what is known of a range. What an earlier leader granted may
// last from this leader's start on. A part that was cut off a range inherits
// what is known of the whole.
func (m *Model) holdOf(service string, p deployment.Range) *hold {
	if h := m.known(service, p.From, p.Fence); h != nil {
		return h
	}
	h := &hold{next: m.now}
	if p.Fence <= m.index {
		h.end = m.timing.outlasts(m.since)
		h.unanswered = h.end
	}
	for _, other := range m.holds[fenceID{service: service, fence: p.Fence}] {
		h.end = max(h.end, other.end)
		h.unanswered = max(h.unanswered, other.unanswered)
	}
	m.setHold(service, p.From, p.Fence, h)
	return h
}

// plan returns the calls that are due and at most one command.
func (m *Model) plan() []Effect {
	m.plans++
	m.indexAddresses()
	effects := m.targetEffects()
	var unowned []deployment.Assignment
	var moves []deployment.RangeRef
	var due []dueGrant
	ranges := 0
	for _, table := range m.state.Tables() {
		for _, p := range table.Ranges {
			if p.Phase == deployment.Unowned {
				continue
			}
			step := m.planRange(table, p)
			ranges++
			effects = append(effects, step.effects...)
			if step.grant != nil {
				due = append(due, *step.grant)
			}
			unowned = append(unowned, step.unowned...)
			moves = append(moves, step.moves...)
		}
	}
	m.dropHolds()
	effects = append(effects, m.sendGrants(due, ranges)...)
	effects = append(effects, m.logShares()...)
	effects = append(effects, m.advise()...)
	return append(effects, m.commands(unowned, moves)...)
}

// dropHolds forgets ranges that are not in the state any more. Those that a
// command still cuts out are not in it yet.
func (m *Model) dropHolds() {
	if m.pending {
		return
	}
	for id, ranges := range m.holds {
		for from, h := range ranges {
			if h.planned != m.plans {
				delete(ranges, from)
			}
		}
		if len(ranges) == 0 {
			delete(m.holds, id)
		}
	}
}

// commands returns the one command that is to be committed next.
func (m *Model) commands(unowned []deployment.Assignment, moves []deployment.RangeRef) []Effect {
	if m.pending {
		return nil
	}
	if len(m.crashReports) > 0 {
		b := m.crashReports[0]
		m.crashReports = m.crashReports[1:]
		return m.propose(deployment.Command{CrashReport: &b}, "target died")
	}
	if expired := m.expiredSuspects(); len(expired) > 0 {
		return m.propose(deployment.Command{ClearSuspects: expired}, "suspicion is old")
	}
	if assign := m.placeUnowned(unowned); len(assign) > 0 {
		return m.propose(deployment.Command{Assign: &deployment.Assign{Ranges: assign}}, "keys without a holder")
	}
	if len(moves) > 0 {
		return m.propose(deployment.Command{Move: moves}, "holder is leaving")
	}
	if moves := m.rebalance(); len(moves) > 0 {
		return m.propose(deployment.Command{Move: moves}, "load differs")
	}
	return nil
}

// suspicion is for how long a kind of request is suspected or refused.
const suspicion = time.Minute

// expiredSuspects returns the suspects that were seen long ago.
func (m *Model) expiredSuspects() []string {
	list, _ := m.state.Suspects()
	var out []string
	for _, s := range list {
		at, ok := m.suspectedSince[s.Fingerprint]
		if !ok {
			m.suspectedSince[s.Fingerprint] = m.now
		} else if m.now.Sub(at) > suspicion {
			delete(m.suspectedSince, s.Fingerprint)
			out = append(out, s.Fingerprint)
		}
	}
	return out
}

func (m *Model) propose(c deployment.Command, reason string) []Effect {
	m.pending = true
	return []Effect{Propose{Command: c, Reason: reason}}
}

// rangeStep is what one range needs.
type rangeStep struct {
	effects []Effect
	grant   *dueGrant
	unowned []deployment.Assignment // no target owns the keys any more
	moves   []deployment.RangeRef   // the owner is to give them back
}

// planRange decides what an owned range needs: a renewal, its release, or a new
// owner.
func (m *Model) planRange(table deployment.KeyTable, p deployment.Range) rangeStep {
	ref := deployment.RangeRef{Service: table.Service, From: p.From, To: p.To, Fence: p.Fence}
	h := m.holdOf(table.Service, p)
	h.planned = m.plans
	t, known := m.state.Target(p.Target)
	freed := rangeStep{unowned: []deployment.Assignment{{Range: ref, To: h.to, Handover: h.handover}}}
	switch {
	case !known || t.StartMillis != p.StartMillis || m.addressTaken(t):
		// Another incarnation proves that this one has ended.
		return freed
	case m.granting(ref):
		return rangeStep{}
	case h.released && m.now > h.unanswered:
		return freed
	case h.fenced && t.Usable():
		// Only the target itself may be granted the keys under a newer fence.
		freed.unowned[0].To = incarnationOf(t)
		return freed
	case m.now > h.end && !h.calling && (p.Phase == deployment.Releasing || !m.answers(t, h)):
		freed.unowned[0].Handover = ""
		return freed
	case p.Phase == deployment.Releasing && h.released:
		return rangeStep{}
	case p.Phase == deployment.Releasing:
		return m.release(t, ref, h)
	case !t.Usable() && m.calm():
		return rangeStep{moves: []deployment.RangeRef{ref}}
	case !m.answers(t, h):
		return rangeStep{}
	}
	return m.renew(t, ref, h, p.Handover)
}

// calm reports whether this leader has been in office long enough to move keys:
// calls of its predecessor have ended.
func (m *Model) calm() bool { return m.now > m.since.Add(m.timing.Quiet) }

// answers reports whether the target still answers grants or sends heartbeats.
func (m *Model) answers(t deployment.Target, h *hold) bool {
	return h.failures == 0 || m.recentHeartbeat(t)
}

// heartbeatSince reports whether the target sent a heartbeat after the instant.
func (m *Model) heartbeatSince(t deployment.Target, at timer.Instant) bool {
	last, ok := m.lastHeartbeat[incarnationOf(t)]
	return ok && last > at
}

func (m *Model) recentHeartbeat(t deployment.Target) bool {
	at, ok := m.lastHeartbeat[incarnationOf(t)]
	if !ok {
		at = m.since
	}
	return m.now.Sub(at) <= m.timing.Silence
}

func incarnationOf(t deployment.Target) deployment.Incarnation {
	return deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis}
}

// indexAddresses notes the latest incarnation at each address.
func (m *Model) indexAddresses() {
	if m.latest != nil && m.latestAt == m.state.Version() {
		return
	}
	m.latest, m.latestAt = make(map[string]deployment.Target, len(m.state.Targets())), m.state.Version()
	for _, t := range m.state.Targets() {
		if known, ok := m.latest[t.Address]; !ok || t.StartMillis > known.StartMillis {
			m.latest[t.Address] = t
		}
	}
}

// addressTaken reports whether a later incarnation has the target's address.
func (m *Model) addressTaken(t deployment.Target) bool {
	y, ok := m.latest[t.Address]
	return ok && y.ID != t.ID && y.StartMillis > t.StartMillis
}

// targetEffects marks silent targets and forgets those that left long ago.
func (m *Model) targetEffects() []Effect {
	if m.pending {
		return nil
	}
	var forget []deployment.Incarnation
	for _, t := range m.state.Targets() {
		incarnation := incarnationOf(t)
		if t.Status == deployment.Live && !m.recentHeartbeat(t) {
			return m.propose(deployment.Command{MarkSilent: &incarnation}, "no heartbeat")
		}
		if t.Status != deployment.Left {
			continue
		}
		if _, ok := m.left[incarnation]; !ok {
			m.left[incarnation] = m.now
		}
		if m.now.Sub(m.left[incarnation]) > m.timing.Forget && !m.ownsKeys(incarnation) {
			forget = append(forget, incarnation)
		}
	}
	if len(forget) == 0 {
		return nil
	}
	for _, incarnation := range forget {
		delete(m.left, incarnation)
		delete(m.lastHeartbeat, incarnation)
	}
	return m.propose(deployment.Command{Forget: forget}, "left long ago")
}

func (m *Model) ownsKeys(incarnation deployment.Incarnation) bool {
	for _, table := range m.state.Tables() {
		for _, p := range table.Ranges {
			if p.Phase != deployment.Unowned && p.Target == incarnation.ID && p.StartMillis == incarnation.StartMillis {
				return true
			}
		}
	}
	return false
}
