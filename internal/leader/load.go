package leader

import (
	"math"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// serviceStats holds what entries measured for one service.
type serviceStats struct {
	keyRates
	serviceTime map[string]float64 // moving average, in seconds per request, by target ID
	answers     map[string]float64 // number of answers in it, by target ID

	moves, blockedRounds int // since the last log line of the load
}

// statsOf returns the measurements of a service as of now.
func (m *Model) statsOf(service string) *serviceStats {
	stats, ok := m.stats[service]
	if !ok {
		stats = &serviceStats{keyRates: newKeyRates(), serviceTime: make(map[string]float64), answers: make(map[string]float64)}
		m.stats[service] = stats
	}
	stats.advance(m.now)
	return stats
}

const (
	// maxServiceTimeWeight is the largest weight of one report in the moving
	// average of a target's service time.
	maxServiceTimeWeight = 0.3
	// fullWeightAnswers is the number of answers from which on a report has that
	// weight.
	fullWeightAnswers = 6
	// guessedAnswers is the number of answers for which the mean of other targets counts.
	guessedAnswers = 2
)

// handleReport applies an entry's measurements.
func (m *Model) handleReport(e Reported) {
	m.now = max(m.now, e.At)
	m.lastReports[e.Report.Instance] = e.At
	m.handleLevelHeard(LevelHeard{At: e.At, Name: e.Report.Instance, Level: e.Report.Level})
	delete(m.peers, e.Report.Instance)
	if address := e.Report.RelayAddress; address != "" {
		m.peers[e.Report.Instance] = instance.Peer{Address: address, AvailabilityZone: e.Report.Zone}
	}
	m.dispatchers.record(e.Report)
	m.crashReports = append(m.crashReports, e.Report.CrashReports...)
	load := m.entryLoadOf(e.Report.Instance)
	for _, k := range e.Report.Keys {
		load.requests[k.Service] += float64(k.Count)
		m.statsOf(k.Service).add(int(k.Bucket)/deployment.KeysPerBucket, float64(k.Count), e.Report.Interval)
	}
	m.recordDemand(e.Report)
	for _, tl := range e.Report.Targets {
		t, ok := m.state.Target(tl.ID)
		if !ok {
			continue
		}
		m.recordHealth(incarnationOf(t), tl)
		m.recordQueue(incarnationOf(t), tl)
		m.recordNotice(t, tl)
		if _, keyed := m.state.Table(t.Service); !keyed {
			load.requests[t.Service] += float64(tl.Successes + tl.Failures)
		}
		if tl.RateLimit != nil {
			m.recordLimit(incarnationOf(t), *tl.RateLimit)
		}
		if tl.Successes == 0 || tl.ServiceTime == 0 {
			continue
		}
		m.recordWork(e.Report, t, tl)
		m.statsOf(t.Service).recordServiceTime(tl)
	}
}

// recordServiceTime adds answers to the average of a target. The first ones are averaged by their
// number, so that the guess is replaced soon.
func (s *serviceStats) recordServiceTime(tl instance.TargetLoad) {
	old, ok := s.serviceTime[tl.ID]
	before := s.answers[tl.ID]
	switch {
	case !ok && len(s.serviceTime) > 0:
		old, before = s.meanServiceTime(), guessedAnswers
	case !ok:
		old = s.meanServiceTime()
	}
	n := float64(tl.Successes)
	weight := max(maxServiceTimeWeight*min(1, n/fullWeightAnswers), n/(before+n))
	s.serviceTime[tl.ID] = old + weight*(tl.ServiceTime.Seconds()/n-old)
	s.answers[tl.ID] = before + n
}

// rateWeight returns by how much one request that was counted within the interval raises
// a moving average with the given window, in requests a second: as much as if it had been
// reported when it arrived. A report that was held up covers a long interval, and its
// requests are no burst.
func rateWeight(interval, window time.Duration) float64 {
	if interval <= 0 {
		return 1 / window.Seconds()
	}
	return (1 - math.Exp(-interval.Seconds()/window.Seconds())) / interval.Seconds()
}

// meanServiceTime returns the mean service time of all targets, in seconds.
func (s *serviceStats) meanServiceTime() float64 {
	if len(s.serviceTime) == 0 {
		return defaultServiceTime.Seconds()
	}
	sum := 0.0
	for _, seconds := range s.serviceTime {
		sum += seconds
	}
	return sum / float64(len(s.serviceTime))
}
