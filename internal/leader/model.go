// Package leader implements the duties of the control group's leader in a routed
// deployment: it detects silent targets, grants keys and renews the grants, assigns
// keys that need an owner, and rebalances keys by measured load. Model is a reducer
// that makes the decisions; Leader runs it.
package leader

import (
	"errors"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/overflow"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// ErrFenced is returned for a call that a target rejected because it has seen a
// higher fence for the keys.
var ErrFenced = errors.New("target has seen a higher fence")

// ErrNotSent is returned for a call of which no byte was sent.
var ErrNotSent = errors.New("call was not sent")

// Model decides what the leader does next. Only its loop may use it. Update changes
// it in place: copying it for each heartbeat would cost more than all decisions.
type Model struct {
	base             Timing // for few ranges
	timing           Timing // for the ranges that there are
	granter          granter
	leading          bool
	term             uint64
	leadingSince     timer.Instant
	startIndex       uint64 // last log index of earlier leaders
	now              timer.Instant
	state            deployment.State
	lastHeartbeat    map[deployment.Incarnation]timer.Instant
	leftAt           map[deployment.Incarnation]timer.Instant   // when this leader first saw that a target had left
	rangeStates      map[fenceID]map[deployment.Key]*rangeState // by first key of the range
	splitting        map[fenceID]bool                           // parts of ranges are to be split off by a command
	byAddress        map[string]deployment.Target               // latest incarnation at each address
	byAddressVersion uint64                                     // state version that byAddress was built from
	stats            map[string]*serviceStats                   // by service
	planCount        uint64                                     // number of plans made
	plannedAt        timer.Instant                              // when the last plan was made
	usages           map[string][]targetUsage                   // by service, in the plan that is being made
	usagePasses      uint64                                     // number of passes over the targets of a service
	commandPending   bool                                       // a command is being committed
	lastRebalance    timer.Instant
	lastMerge        timer.Instant
	lastLoadLog      timer.Instant
	arrivals         map[string]serviceArrivals
	grantsInFlight   []grantInFlight
	answered         map[string]bool          // whether a target has answered a grant in this term, by ID; absent before the first one ended
	unansweredAt     map[string]timer.Instant // last failed grant to a target that answered none, by ID
	lastReports      map[string]timer.Instant // by entry
	peers            map[string]instance.Peer // entries that take requests from others, by entry
	advisedPeer      string                   // entry whose peer was advised last
	dispatchers      dispatchers
	lastAdvice       timer.Instant
	crashReports     []deployment.CrashReport // to be committed
	suspectedSince   map[string]timer.Instant // when a suspect was first seen, by fingerprint
	suspectsIndex    uint64                   // log index of the suspects that suspectedSince was last matched with
	health           map[deployment.Incarnation]health
	queues           map[deployment.Incarnation]ownerQueue
	limits           map[deployment.Incarnation]namedLimit
	entryLoads       map[string]*entryLoad // by entry
	notices          map[deployment.Incarnation]*targetNotice
	drainingSince    map[deployment.Incarnation]timer.Instant // when this leader first saw that a target drains or has left
	otherOwners      otherOwners
	levels           levelState
	zoneCosts        overflow.Costs          // set by WithZoneCosts
	zoneLoads        map[string]*serviceLoad // by service without keys
}

// serviceArrivals records when targets of a service arrived before its keys were first
// assigned.
type serviceArrivals struct {
	count           int           // of live targets
	firstAt, lastAt timer.Instant // first arrival, last change of count
}

// fenceID identifies the ranges of a service that one command assigned. They share
// its log index as their fence.
type fenceID struct {
	service string
	fence   uint64
}

// rangeState is what this leader knows about a range under one fence: its grants, its
// release and its next owner.
type rangeState struct {
	inFlight         bool          // a grant or release is in flight
	nextGrant        timer.Instant // when the next grant is due
	nextRelease      timer.Instant // earliest next release request
	expiry           timer.Instant // by then every grant that may have arrived has expired
	unansweredExpiry timer.Instant // the same for grants that may be applied, or were made, after a release that is reported
	confirmedAt      timer.Instant // first successful grant
	failures         int           // consecutive failed grants
	failedAt         timer.Instant // last failure
	fenced           bool          // the target has seen a higher fence
	released         bool
	reassigned       bool                   // a new owner was proposed; the command may be committed at any time
	granted          bool                   // a grant was sent, or may have been by an earlier leader
	proof            proof                  // why the keys may get a new fence
	to               deployment.Key         // last key of the range at the last plan
	owner            string                 // ID of the owner at the last plan
	handover         string                 // data that the owner handed over
	nextOwner        deployment.Incarnation // zero if none was chosen
	lastPlan         uint64                 // number of the last plan that included the range

	// With grants by heartbeat: sequences of the first and the last heartbeat that was
	// answered with the range, and the number of heartbeats since that don't list it.
	firstAnswered, lastAnswered uint64
	missing                     int
}

// NewModel returns a model that is not leading, and that grants keys by calls to targets.
func NewModel(timing Timing) *Model {
	return &Model{base: timing, timing: timing, granter: callGranter{}}
}

// NewHeartbeatModel returns a model that is not leading, and that grants keys in the
// answers to targets' heartbeats.
func NewHeartbeatModel(timing Timing) *Model {
	return &Model{base: timing, timing: timing, granter: newHeartbeatGranter()}
}

// Update applies an event and returns the effects to run. While the model is not
// leading it ignores every event but LeadershipTaken.
func (m *Model) Update(event Event) (*Model, []Effect) {
	if e, ok := event.(LeadershipTaken); ok {
		m.startTerm(e)
		return m, nil
	}
	if !m.leading {
		if e, ok := event.(KeyHeartbeatReceived); ok {
			return m, []Effect{AnswerKeyHeartbeat{ID: e.ID}}
		}
		return m, nil
	}
	switch e := event.(type) {
	case LeadershipLost:
		m.leading = false
	case HeartbeatReceived:
		m.lastHeartbeat[e.Incarnation] = e.At
	case HeartbeatsReceived:
		for _, incarnation := range e.Incarnations {
			m.lastHeartbeat[incarnation] = e.At
		}
	case Reported:
		m.handleReport(e)
	case LevelHeard:
		m.handleLevelHeard(e)
	case GrantEnded:
		m.handleGrantEnded(e)
	case ReleaseEnded:
		if e.Term != m.term {
			return m, nil
		}
		m.handleReleaseEnded(e)
		m.now = max(m.now, e.At)
	case ProposeEnded:
		m.commandPending = m.commandPending && e.Term != m.term
	case KeyHeartbeatReceived:
		return m, m.handleKeyHeartbeat(e)
	case Ticked:
		m.now = e.At
		m.adoptState(e.State)
		if e.Members != nil {
			m.levels.members = e.Members
		}
		return m, append(m.answerHeartbeats(), m.plan()...)
	}
	return m, nil
}

// adoptState replaces the state unless it is older: events with the state are not
// always received in the order of its changes.
func (m *Model) adoptState(s deployment.State) {
	if s.Version() >= m.state.Version() {
		m.state = s
	}
}

// handleKeyHeartbeat passes a heartbeat to the granter. With grants by calls, heartbeats
// are answered without keys.
func (m *Model) handleKeyHeartbeat(e KeyHeartbeatReceived) []Effect {
	m.now = max(m.now, e.At)
	m.adoptState(e.State)
	if g, ok := m.granter.(*heartbeatGranter); ok {
		return g.handle(m, e)
	}
	return []Effect{AnswerKeyHeartbeat{ID: e.ID}}
}

// answerHeartbeats returns the answers to heartbeats that waited for a command.
func (m *Model) answerHeartbeats() []Effect {
	if g, ok := m.granter.(*heartbeatGranter); ok {
		return g.answerWaiting(m)
	}
	return nil
}

func (m *Model) startTerm(e LeadershipTaken) {
	*m = Model{
		base:           m.base,
		timing:         m.base,
		granter:        m.granter.forTerm(),
		zoneCosts:      m.zoneCosts,
		zoneLoads:      make(map[string]*serviceLoad),
		leading:        true,
		term:           e.Term,
		leadingSince:   e.At,
		now:            e.At,
		startIndex:     e.Index,
		state:          e.State,
		lastHeartbeat:  make(map[deployment.Incarnation]timer.Instant),
		leftAt:         make(map[deployment.Incarnation]timer.Instant),
		splitting:      make(map[fenceID]bool),
		rangeStates:    make(map[fenceID]map[deployment.Key]*rangeState),
		stats:          make(map[string]*serviceStats),
		arrivals:       make(map[string]serviceArrivals),
		answered:       make(map[string]bool),
		unansweredAt:   make(map[string]timer.Instant),
		lastReports:    make(map[string]timer.Instant),
		peers:          make(map[string]instance.Peer),
		dispatchers:    make(dispatchers),
		suspectedSince: make(map[string]timer.Instant),
		health:         make(map[deployment.Incarnation]health),
		queues:         make(map[deployment.Incarnation]ownerQueue),
		limits:         make(map[deployment.Incarnation]namedLimit),
		entryLoads:     make(map[string]*entryLoad),
		drainingSince:  make(map[deployment.Incarnation]timer.Instant),
		notices:        make(map[deployment.Incarnation]*targetNotice),
	}
}

// lookupRangeState returns the state of the range that starts at from, or nil.
func (m *Model) lookupRangeState(service string, from deployment.Key, fence uint64) *rangeState {
	return m.rangeStates[fenceID{service: service, fence: fence}][from]
}

func (m *Model) setRangeState(service string, from deployment.Key, fence uint64, rs *rangeState) {
	id := fenceID{service: service, fence: fence}
	if m.rangeStates[id] == nil {
		m.rangeStates[id] = make(map[deployment.Key]*rangeState)
	}
	m.rangeStates[id][from] = rs
}

// rangeStateOf returns the state of a range, creating it if needed. Grants by an
// earlier leader are assumed to have been renewed as late as it may have been able to. A
// part that was split off a range inherits the latest expiry under its fence, and keys
// that went back to the same target that of the fences before.
func (m *Model) rangeStateOf(service string, r deployment.Range) *rangeState {
	if rs := m.lookupRangeState(service, r.From, r.Fence); rs != nil {
		return rs
	}
	rs := &rangeState{nextGrant: m.now}
	if r.Fence <= m.startIndex {
		rs.granted = true
		rs.expiry = m.earlierExpiry()
		// A release may be older than the earlier leader's last grant, whichever way it is told.
		rs.unansweredExpiry = rs.expiry
	}
	for _, other := range m.rangeStates[fenceID{service: service, fence: r.Fence}] {
		rs.granted = rs.granted || other.granted
		rs.inheritExpiry(other)
	}
	if r.Fence > m.startIndex {
		m.inheritFromEarlierFences(rs, service, r)
	}
	m.setRangeState(service, r.From, r.Fence, rs)
	return rs
}

// plan returns the calls that are due, the log and advice effects, and at most one
// command.
func (m *Model) plan() []Effect {
	m.planCount++
	m.usages = make(map[string][]targetUsage)
	m.indexAddresses()
	effects := append(m.planLevel(), m.planTargetStatus()...)
	m.timing = m.base
	if m.stretchesLeases() {
		m.timing = m.granter.timing(m.base, m.countRanges())
	}
	var free placements
	var moves []deployment.RangeRef
	var due []dueGrant
	ranges := 0
	for _, table := range m.state.Tables() {
		for _, r := range table.Ranges {
			if r.Phase == deployment.Unowned {
				free.reassignable = append(free.reassignable, m.leftUnassigned(table, r)...)
				continue
			}
			step := m.planRange(table, r)
			ranges++
			effects = append(effects, step.effects...)
			if step.grant != nil {
				due = append(due, *step.grant)
			}
			free.regrants = append(free.regrants, step.regrants...)
			free.reassignable = append(free.reassignable, step.reassignable...)
			moves = append(moves, step.moves...)
		}
	}
	m.dropStaleRangeStates()
	effects = append(effects, m.sendGrants(due, ranges)...)
	effects = append(effects, m.logLoad()...)
	m.plannedAt = m.now
	effects = append(effects, m.advise()...)
	return append(effects, m.nextCommand(free, moves)...)
}

func (m *Model) countRanges() int {
	n := 0
	for _, table := range m.state.Tables() {
		n += len(table.Ranges)
	}
	return n
}

// dropStaleRangeStates drops the ranges that are no longer in the state. It waits
// while a command is pending, since the ranges that the command will split off are
// not in the state yet.
func (m *Model) dropStaleRangeStates() {
	if m.commandPending {
		return
	}
	clear(m.splitting)
	for id, ranges := range m.rangeStates {
		for from, rs := range ranges {
			if rs.lastPlan != m.planCount {
				delete(ranges, from)
			}
		}
		if len(ranges) == 0 {
			delete(m.rangeStates, id)
		}
	}
}

// rangeStep holds the next actions for one range.
type rangeStep struct {
	effects      []Effect
	grant        *dueGrant
	regrants     []deployment.Assignment // keys that only this target may get, under a new fence
	reassignable []deployment.Assignment // keys that may get a new owner
	moves        []deployment.RangeRef   // keys that the owner is to release
}

// planRange decides whether a range is granted or renewed, is released, or gets a new
// owner. It gets another owner only on a proof that its owner has stopped.
func (m *Model) planRange(table deployment.KeyTable, r deployment.Range) rangeStep {
	ref := deployment.RangeRef{Service: table.Service, From: r.From, To: r.To, Fence: r.Fence}
	rs := m.rangeStateOf(table.Service, r)
	rs.lastPlan = m.planCount
	rs.to, rs.owner = r.To, r.Target
	t, known := m.state.Target(r.Target)
	restarted := known && t.StartMillis != r.StartMillis
	mustLeave := known && (m.mustLeave(t) || restarted && t.Cold() && m.coldRate(table.Service) > 0)
	switch {
	case restarted && !m.granter.reachesLaterStart():
		return reassign(ref, rs, provenByLaterStart)
	case known && m.addressTaken(t):
		return reassign(ref, rs, provenByAddress)
	case m.grantInFlight(ref):
		return rangeStep{}
	case m.earlierGrantInFlight(ref, r.Target) && (r.Phase == deployment.Releasing || mustLeave || m.now > rs.expiry):
		return rangeStep{}
	case rs.released && m.now > rs.unansweredExpiry:
		return reassign(ref, rs, provenByRelease)
	case (restarted || rs.fenced) && t.Service == table.Service && t.Status == deployment.Live && m.recentHeartbeat(t) && !mustLeave:
		// Whatever the target may hold under this fence, a new one replaces it.
		rs.proof = sameTarget
		return rangeStep{regrants: []deployment.Assignment{{Range: ref, To: incarnationOf(t), Handover: rs.handover}}}
	case m.now > rs.expiry && !rs.inFlight && (!known || restarted || rs.fenced || rs.reassigned || r.Phase == deployment.Releasing || !m.granter.responsive(m, t, rs)):
		return reassign(ref, rs, provenByExpiry)
	case !known || r.Phase == deployment.Releasing && rs.released:
		return rangeStep{}
	case r.Phase == deployment.Releasing:
		return m.granter.release(m, t, ref, rs)
	case mustLeave && m.graceOver():
		return rangeStep{moves: []deployment.RangeRef{ref}}
	case restarted || rs.fenced || rs.reassigned || !m.granter.responsive(m, t, rs):
		return rangeStep{}
	}
	return m.granter.keep(m, t, ref, rs, r.Handover)
}

// graceOver reports whether the grace period after the election has passed, so that
// the previous leader's calls have ended and keys may be moved.
func (m *Model) graceOver() bool { return m.now > m.leadingSince.Add(m.timing.ElectionGrace) }

// heartbeatSince reports whether a heartbeat of the target was received after at.
func (m *Model) heartbeatSince(t deployment.Target, at timer.Instant) bool {
	last, ok := m.lastHeartbeat[incarnationOf(t)]
	return ok && last > at
}

// recentHeartbeat reports whether the target's last heartbeat is at most
// HeartbeatTimeout old. A target without one gets that time from the start of the
// term.
func (m *Model) recentHeartbeat(t deployment.Target) bool {
	at, ok := m.lastHeartbeat[incarnationOf(t)]
	if !ok {
		at = m.leadingSince
	}
	return m.now.Sub(at) <= m.timing.HeartbeatTimeout
}

func incarnationOf(t deployment.Target) deployment.Incarnation {
	return deployment.Incarnation{ID: t.ID, StartMillis: t.StartMillis}
}

// indexAddresses updates byAddress if the state has changed.
func (m *Model) indexAddresses() {
	if m.byAddress != nil && m.byAddressVersion == m.state.Version() {
		return
	}
	m.byAddress, m.byAddressVersion = make(map[string]deployment.Target, len(m.state.Targets())), m.state.Version()
	cfg, _ := m.state.Config()
	for _, t := range m.state.Targets() {
		if _, named := cfg.Service(t.Service); !named {
			continue // it proves nothing about others
		}
		if latest, ok := m.byAddress[t.Address]; !ok || t.StartMillis > latest.StartMillis {
			m.byAddress[t.Address] = t
		}
	}
}

// addressTaken reports whether a target with another ID and a later start has taken
// over the address.
func (m *Model) addressTaken(t deployment.Target) bool {
	latest, ok := m.byAddress[t.Address]
	return ok && latest.ID != t.ID && latest.StartMillis > t.StartMillis
}
