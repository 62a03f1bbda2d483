package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// nextCommand returns the most urgent command, or nothing while one is pending.
func (m *Model) nextCommand(free placements, moves []deployment.RangeRef) []Effect {
	if m.commandPending {
		return nil
	}
	if len(m.crashReports) > 0 {
		report := m.crashReports[0]
		m.crashReports = m.crashReports[1:]
		return m.propose(deployment.Command{CrashReport: &report}, "target crashed")
	}
	if expired := m.expiredSuspects(); len(expired) > 0 {
		return m.propose(deployment.Command{ClearSuspects: expired}, "suspects expired")
	}
	if t, ok := m.nextLeaving(); ok {
		return m.propose(deployment.Command{Announce: &t}, "target says that it is leaving")
	}
	if assign := m.placeRanges(free); len(assign) > 0 {
		return m.proposeAssign(assign)
	}
	if len(moves) > 0 {
		return m.propose(deployment.Command{Move: moves}, "owner is leaving")
	}
	if merges := m.nextMerges(); len(merges) > 0 {
		return m.propose(deployment.Command{Assign: &deployment.Assign{Ranges: merges}}, "ranges are merged")
	}
	if moves := m.granter.rebalance(m); len(moves) > 0 {
		return m.propose(deployment.Command{Move: moves}, "load is unbalanced")
	}
	return nil
}

// suspectTTL is the time after which the leader drops a suspect or blocked kind of
// request, counted from when it first saw the fingerprint in its term.
const suspectTTL = time.Minute

// expiredSuspects returns the fingerprints of suspects that this leader first saw
// longer than suspectTTL ago.
func (m *Model) expiredSuspects() []string {
	list, index := m.state.Suspects()
	if index != m.suspectsIndex {
		m.suspectsIndex = index
		maps.DeleteFunc(m.suspectedSince, func(fingerprint string, _ timer.Instant) bool {
			return !slices.ContainsFunc(list, func(s deployment.Suspect) bool { return s.Fingerprint == fingerprint })
		})
	}
	var out []string
	for _, s := range list {
		at, ok := m.suspectedSince[s.Fingerprint]
		if !ok {
			m.suspectedSince[s.Fingerprint] = m.now
		} else if m.now.Sub(at) > suspectTTL {
			delete(m.suspectedSince, s.Fingerprint)
			out = append(out, s.Fingerprint)
		}
	}
	return out
}

func (m *Model) propose(c deployment.Command, reason string) []Effect {
	m.commandPending = true
	return []Effect{Propose{Term: m.term, Command: c, Reason: reason}}
}

// proposeAssign proposes new owners. From then on the previous owners are granted nothing
// of these keys: also a command that seems to have failed may be committed later.
func (m *Model) proposeAssign(assign []deployment.Assignment) []Effect {
	for _, a := range assign {
		for from, rs := range m.rangeStates[fenceID{service: a.Range.Service, fence: a.Range.Fence}] {
			rs.reassigned = rs.reassigned || a.Range.From <= from && from <= a.Range.To
		}
	}
	effects := m.propose(deployment.Command{Assign: &deployment.Assign{Ranges: assign}}, "keys without an owner")
	return append(effects, LogProofs{Ranges: assign, Proofs: m.proofs(assign)})
}

// planTargetStatus proposes to mark a target without a recent heartbeat as silent, or
// to forget targets that left more than ForgetAfter ago and own no keys.
func (m *Model) planTargetStatus() []Effect {
	if m.commandPending {
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
		if _, ok := m.leftAt[incarnation]; !ok {
			m.leftAt[incarnation] = m.now
		}
		if m.now.Sub(m.leftAt[incarnation]) > m.timing.ForgetAfter && !m.ownsKeys(incarnation) {
			forget = append(forget, incarnation)
		}
	}
	if len(forget) == 0 {
		return nil
	}
	for _, incarnation := range forget {
		delete(m.leftAt, incarnation)
		delete(m.drainingSince, incarnation)
		delete(m.lastHeartbeat, incarnation)
		delete(m.answered, incarnation.ID)
		delete(m.unansweredAt, incarnation.ID)
	}
	return m.propose(deployment.Command{Forget: forget}, "left long ago")
}

func (m *Model) ownsKeys(incarnation deployment.Incarnation) bool {
	for _, table := range m.state.Tables() {
		for _, r := range table.Ranges {
			if r.Phase != deployment.Unowned && r.Target == incarnation.ID && r.StartMillis == incarnation.StartMillis {
				return true
			}
		}
	}
	return false
}
