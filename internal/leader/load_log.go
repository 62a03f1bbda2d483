package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// maxLoggedTargets bounds the targets in a log line: log collectors truncate long
// lines.
const maxLoggedTargets = 16

// loadLogInterval is the time between two log lines of a service's load.
const loadLogInterval = 2 * time.Second

// logShares returns the effects that log the load of all keyed services, once every
// loadLogInterval.
func (m *Model) logShares() []Effect {
	if m.now.Sub(m.lastLoadLog) < loadLogInterval {
		return nil
	}
	m.lastLoadLog = m.now
	var out []Effect
	for _, table := range m.state.Tables() {
		shares := m.shares(table.Service)
		effect := LogShares{Service: table.Service, Targets: len(shares), Ranges: len(table.Ranges)}
		slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(b.utilization(), a.utilization()) })
		for i, s := range shares {
			effect.Utilization += s.utilization() / float64(len(shares))
			if i >= maxLoggedTargets {
				continue
			}
			effect.Shares = append(effect.Shares, TargetShare{
				Target: s.target.ID, Keys: s.width, Rate: s.rate, ServiceTimeMillis: 1000 * s.serviceTime, Utilization: s.utilization(),
			})
		}
		effect.Hot = m.hotKeys(table)
		out = append(out, effect)
	}
	return out
}

// maxLoggedHotKeys bounds the hot buckets in a log line.
const maxLoggedHotKeys = 8

// hotKeys returns the busiest buckets of a service whose rate exceeds minHotRate.
func (m *Model) hotKeys(table deployment.KeyTable) []HotKeys {
	var out []HotKeys
	l := m.loadOf(table.Service)
	for b := range numBuckets {
		if rate := l.rate(b); rate > minHotRate {
			from := deployment.Key(b * deployment.KeysPerBucket)
			out = append(out, HotKeys{From: from, Rate: rate, Owner: table.Find(from).Target})
		}
	}
	slices.SortFunc(out, func(a, b HotKeys) int { return cmp.Compare(b.Rate, a.Rate) })
	return out[:min(len(out), maxLoggedHotKeys)]
}
