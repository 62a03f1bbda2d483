package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

const (
	// entryExpiry is the time without a report after which an entry isn't counted.
	entryExpiry = 3 * time.Second
	// leavingAdviceTime is the time for which entries are advised of a target that leaves.
	// By then they have the view, or the target has ended.
	leavingAdviceTime = 6 * time.Second
	// entryCountDelay is the time after which a new leader has heard from all entries.
	entryCountDelay = time.Second
	// maxAdmittedUtilization is the utilization of a target up to which entries
	// together admit requests, if its queue is not known. It is above 1 so that the
	// target's queue never runs empty.
	maxAdmittedUtilization = 1.3
	// maxAdvisedPeers bounds the peers that entries are advised of at a time, since advice
	// is sent to every entry.
	maxAdvisedPeers = 8
	// minBusiestKeyShare keeps some requests for a limited key admitted, so that it
	// is noticed when the target becomes faster.
	minBusiestKeyShare = 0.05
)

// advise updates the advice to entries: which keys get more requests than their
// owners can serve, and which targets fail. A single entry may send too little to
// detect either by itself.
func (m *Model) advise() []Effect {
	if m.now.Sub(m.lastAdvice) < m.timing.RebalanceInterval {
		return nil
	}
	m.lastAdvice = m.now
	for name, at := range m.lastReports {
		if m.now.Sub(at) > entryExpiry {
			delete(m.lastReports, name)
			delete(m.peers, name)
			delete(m.dispatchers, name)
		}
	}
	advice := instance.ReportResponse{Failing: m.failing(), Leaving: m.leaving(), Peers: m.nextPeers()}
	if m.now.Sub(m.leadingSince) > entryCountDelay {
		advice.Entries = len(m.lastReports)
	}
	if m.now.Sub(m.leadingSince) > dispatcherListDelay {
		advice.Dispatchers, advice.DispatchersVersion = m.dispatchers.list()
	}
	m.dropStaleQueues()
	cfg, _ := m.state.Config()
	objectives := shortestObjectives(cfg)
	for _, table := range m.state.Tables() {
		for _, u := range m.usagesInPlan(table.Service) {
			if admitted, limited := m.limitedUtilization(u, objectives[table.Service]); limited {
				m.adviseOverload(&advice, table, u, admitted)
			}
		}
	}
	parts := m.adviseLimits(&advice)
	shares, effects := m.adviseZoneShares(&advice)
	return append(effects, Advise{Advice: advice, Parts: parts, ZoneShares: shares})
}

// nextPeers returns the next entries, in the order of their names, that take requests from
// others.
func (m *Model) nextPeers() []instance.Peer {
	names := slices.Sorted(maps.Keys(m.peers))
	first, found := slices.BinarySearch(names, m.advisedPeer)
	if found {
		first++
	}
	var out []instance.Peer
	for i := range min(len(names), maxAdvisedPeers) {
		m.advisedPeer = names[(first+i)%len(names)]
		out = append(out, m.peers[m.advisedPeer])
	}
	return out
}

// leaving returns the targets that began to drain or left within leavingAdviceTime.
func (m *Model) leaving() []deployment.Incarnation {
	var out []deployment.Incarnation
	for _, t := range m.state.Targets() {
		incarnation := incarnationOf(t)
		if t.Usable() {
			delete(m.drainingSince, incarnation)
			continue
		}
		since, ok := m.drainingSince[incarnation]
		if !ok {
			since = m.now
			m.drainingSince[incarnation] = since
		}
		if m.now.Sub(since) < leavingAdviceTime {
			out = append(out, incarnation)
		}
	}
	return out
}

// adviseOverload adds an overloaded target to the advice, such that it gets requests up to the
// admitted utilization. If one key causes most of its load and the target can serve all others,
// only that key is limited, else all of its keys.
func (m *Model) adviseOverload(advice *instance.ReportResponse, table deployment.KeyTable, u targetUsage, admitted float64) {
	stats := m.statsOf(table.Service)
	busiest, busiestRate := deployment.Key(0), 0.0
	for _, r := range table.Ranges {
		if r.Phase != deployment.Owned || r.Target != u.target.ID || r.StartMillis != u.target.StartMillis {
			continue
		}
		for k := int(r.From); k <= int(r.To); k++ {
			if rate := stats.rate(k / deployment.KeysPerBucket); rate > busiestRate {
				busiest, busiestRate = deployment.Key(k), rate
			}
		}
	}
	if others := (u.rate - busiestRate) * u.perRequest(); busiestRate > u.rate/2 && others < maxAdmittedUtilization {
		share := max(minBusiestKeyShare, (admitted-others)/(busiestRate*u.perRequest()))
		advice.Overloads = append(advice.Overloads, instance.Overload{Service: table.Service, From: busiest, To: busiest, Share: share})
		return
	}
	advice.OverloadedOwners = append(advice.OverloadedOwners, instance.OverloadedOwner{
		Target: u.target.ID, StartMillis: u.target.StartMillis, Share: admitted / u.utilization(),
	})
}
