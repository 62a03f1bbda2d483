package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

const (
	// entryExpiry is after how long without a report an entry no longer counts.
	entryExpiry = 3 * time.Second
	// adviceShare is the utilization that entries together may give a target: a
	// little more than it can do, so that its queue never runs empty.
	adviceShare = 1.3
	// leastShare keeps some requests for any keys going, so that a target that
	// turned faster is noticed.
	leastShare = 0.05
)

// advise works out which keys are asked for more often than their owners can
// serve. It answers a load in which each entry alone sends little.
func (m *Model) advise() []Effect {
	if m.now.Sub(m.advised) < m.timing.Balance {
		return nil
	}
	m.advised = m.now
	for name, at := range m.entries {
		if m.now.Sub(at) > entryExpiry {
			delete(m.entries, name)
		}
	}
	advice := instance.ReportResponse{Entries: len(m.entries), Failing: m.failing()}
	for _, table := range m.state.Tables() {
		for _, s := range m.shares(table.Service) {
			if s.utilization() > adviceShare {
				advice.Overloads = append(advice.Overloads, m.overloads(table, s)...)
			}
		}
	}
	return []Effect{Advise{Advice: advice}}
}

// overloads shares out an overloaded target among its ranges. Where one key
// alone takes most of it, the others are not made to pay for that.
func (m *Model) overloads(table deployment.KeyTable, s share) []instance.Overload {
	l := m.loadOf(table.Service)
	var all []instance.Overload
	hot, hotRate := deployment.Key(0), 0.0
	for _, p := range table.Ranges {
		if p.Phase != deployment.Owned || p.Target != s.target.ID || p.StartMillis != s.target.StartMillis {
			continue
		}
		for k := int(p.From); k <= int(p.To); k++ {
			if rate := l.rate(k / deployment.BucketKeys); rate > hotRate {
				hot, hotRate = deployment.Key(k), rate
			}
		}
		all = append(all, instance.Overload{Service: table.Service, From: p.From, To: p.To, Share: adviceShare / s.utilization()})
	}
	if others := (s.rate - hotRate) * s.perRequest(); hotRate > s.rate/2 && others < adviceShare {
		share := max(leastShare, (adviceShare-others)/(hotRate*s.perRequest()))
		return []instance.Overload{{Service: table.Service, From: hot, To: hot, Share: share}}
	}
	return all
}
