package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// load holds what entries measured for one service.
type load struct {
	decayedAt   timer.Instant
	slow        [numBuckets]float64     // moving average, in requests a second, by bucket
	fast        [numBuckets]float64     // the same with a shorter window
	rateSums    [numBuckets + 1]float64 // prefix sums of the buckets' rates
	sumsStale   bool                    // rateSums are older than the averages
	serviceTime map[string]float64      // moving average, in seconds per request, by target ID
}

func (m *Model) loadOf(service string) *load {
	l, ok := m.loads[service]
	if !ok {
		l = &load{decayedAt: m.now, serviceTime: make(map[string]float64)}
		m.loads[service] = l
	}
	return l
}

// rate returns a bucket's rate in requests a second: the fast average if the bucket
// is hot, else the slow one.
func (l *load) rate(bucket int) float64 {
	slow, fast := l.slow[bucket], l.fast[bucket]
	if fast > slow*hotFactor+minHotRate {
		return fast
	}
	return slow
}

// decay reduces the averages by the time that has passed.
func (l *load) decay(now timer.Instant) {
	dt := now.Sub(l.decayedAt)
	if dt < 100*time.Millisecond {
		return
	}
	l.decayedAt = now
	slow := 1 / (1 + float64(dt)/float64(slowWindow))
	fast := 1 / (1 + float64(dt)/float64(fastWindow))
	for i := range l.slow {
		l.slow[i] *= slow
		l.fast[i] *= fast
	}
	l.sumsStale = true
}

const (
	// maxServiceTimeWeight is the largest weight of one report in the moving
	// average of a target's service time.
	maxServiceTimeWeight = 0.3
	// fullWeightAnswers is the number of answers from which on a report has that
	// weight.
	fullWeightAnswers = 6
)

// handleReport applies an entry's measurements.
func (m *Model) handleReport(e Reported) {
	m.now = max(m.now, e.At)
	m.lastReports[e.Report.Instance] = e.At
	m.crashReports = append(m.crashReports, e.Report.CrashReports...)
	for _, k := range e.Report.Keys {
		l := m.loadOf(k.Service)
		l.decay(m.now)
		b := int(k.Bucket) / deployment.KeysPerBucket
		l.slow[b] += float64(k.Count) / slowWindow.Seconds()
		l.fast[b] += float64(k.Count) / fastWindow.Seconds()
		l.sumsStale = true
	}
	for _, tl := range e.Report.Targets {
		t, ok := m.state.Target(tl.ID)
		if !ok {
			continue
		}
		m.recordHealth(incarnationOf(t), tl)
		if tl.Successes == 0 {
			continue
		}
		l := m.loadOf(t.Service)
		old, ok := l.serviceTime[tl.ID]
		if !ok {
			old = l.meanServiceTime()
		}
		weight := maxServiceTimeWeight * min(1, float64(tl.Successes)/fullWeightAnswers)
		l.serviceTime[tl.ID] = old + weight*(tl.ServiceTime.Seconds()/float64(tl.Successes)-old)
	}
}

// meanServiceTime returns the mean service time of all targets, in seconds.
func (l *load) meanServiceTime() float64 {
	if len(l.serviceTime) == 0 {
		return defaultServiceTime.Seconds()
	}
	sum := 0.0
	for _, w := range l.serviceTime {
		sum += w
	}
	return sum / float64(len(l.serviceTime))
}

// rateOf returns the rate of the keys in requests a second, both ends included.
func (l *load) rateOf(from, to deployment.Key) float64 {
	return l.rateBelow(int(to)+1) - l.rateBelow(int(from))
}

// rateBelow returns the rate of all keys below key, in requests a second.
func (l *load) rateBelow(key int) float64 {
	if l.sumsStale {
		for i := range numBuckets {
			l.rateSums[i+1] = l.rateSums[i] + l.rate(i)
		}
		l.sumsStale = false
	}
	b := key / deployment.KeysPerBucket
	if b >= numBuckets {
		return l.rateSums[numBuckets]
	}
	return l.rateSums[b] + l.rate(b)*float64(key%deployment.KeysPerBucket)/deployment.KeysPerBucket
}
