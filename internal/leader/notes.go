package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// maxShares bounds how many targets a report of the load names: log collectors
// cut long lines.
const maxShares = 16

// notePeriod is the time between two reports of the load in the log.
const notePeriod = 2 * time.Second

// logShares reports the load of all keyed services from time to time.
func (m *Model) logShares() []Effect {
	if m.now.Sub(m.noted) < notePeriod {
		return nil
	}
	m.noted = m.now
	var out []Effect
	for _, table := range m.state.Tables() {
		shares := m.shares(table.Service)
		note := LogShares{Service: table.Service, Targets: len(shares), Ranges: len(table.Ranges)}
		slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(b.utilization(), a.utilization()) })
		for i, s := range shares {
			note.Utilization += s.utilization() / float64(len(shares))
			if i >= maxShares {
				continue
			}
			note.Shares = append(note.Shares, TargetShare{
				Target: s.target.ID, Keys: s.width, Rate: s.rate, WorkMillis: 1000 * s.work, Utilization: s.utilization(),
			})
		}
		note.Hot = m.hotKeys(table)
		out = append(out, note)
	}
	return out
}

// maxHot is how many hot buckets a report of the load names.
const maxHot = 8

// hotKeys returns the busiest buckets of a service that count as hot.
func (m *Model) hotKeys(table deployment.KeyTable) []HotKeys {
	var out []HotKeys
	l := m.loadOf(table.Service)
	for b := range buckets {
		if rate := l.rate(b); rate > hotRate {
			from := deployment.Key(b * deployment.BucketKeys)
			out = append(out, HotKeys{From: from, Rate: rate, Owner: table.Find(from).Target})
		}
	}
	slices.SortFunc(out, func(a, b HotKeys) int { return cmp.Compare(b.Rate, a.Rate) })
	return out[:min(len(out), maxHot)]
}
