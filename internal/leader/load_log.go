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

// logLoad returns the effects that log the load of all keyed services, once every
// loadLogInterval.
func (m *Model) logLoad() []Effect {
	if m.now.Sub(m.lastLoadLog) < loadLogInterval {
		return nil
	}
	m.lastLoadLog = m.now
	var out []Effect
	for _, table := range m.state.Tables() {
		usages := m.targetUsages(table.Service)
		stats := m.statsOf(table.Service)
		effect := LogLoad{Service: table.Service, Targets: len(usages), Ranges: len(table.Ranges),
			ServiceTimeMillis: 1000 * stats.meanServiceTime(), Moves: stats.moves, BlockedRounds: stats.blockedRounds}
		stats.moves, stats.blockedRounds = 0, 0
		slices.SortFunc(usages, func(a, b targetUsage) int { return cmp.Compare(b.utilization(), a.utilization()) })
		for i, u := range usages {
			effect.Utilization += u.utilization() / float64(len(usages))
			if i >= maxLoggedTargets {
				continue
			}
			effect.BusiestTargets = append(effect.BusiestTargets, TargetUsage{
				Target: u.target.ID, Keys: u.width, Rate: u.rate, ServiceTimeMillis: 1000 * u.serviceTime,
				RateLimit: u.limit.PerSecond, Waiting: m.loggedQueue(u.target), Utilization: u.utilization(),
			})
		}
		effect.BusiestBuckets = m.busiestBuckets(table)
		out = append(out, effect)
	}
	return out
}

// loggedRate is the rate of a bucket, in requests a second, from which on it is logged.
const loggedRate = 4.0

// maxLoggedBuckets bounds the buckets in a log line.
const maxLoggedBuckets = 8

// busiestBuckets returns the busiest buckets of a service whose rate exceeds
// loggedRate.
func (m *Model) busiestBuckets(table deployment.KeyTable) []BucketRate {
	var out []BucketRate
	stats := m.statsOf(table.Service)
	for b := range numBuckets {
		if rate := stats.rate(b); rate > loggedRate {
			from := deployment.Key(b * deployment.KeysPerBucket)
			out = append(out, BucketRate{From: from, Rate: rate, Owner: table.Find(from).Target})
		}
	}
	slices.SortFunc(out, func(a, b BucketRate) int { return cmp.Compare(b.Rate, a.Rate) })
	return out[:min(len(out), maxLoggedBuckets)]
}
