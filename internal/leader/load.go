package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// load is what entries measured of one service.
type load struct {
	at    timer.Instant
	slow  [buckets]float64     // requests a second
	fast  [buckets]float64     // the same over a shorter span
	sums  [buckets + 1]float64 // of the rates of all buckets before
	stale bool                 // sums are older than the averages
	work  map[string]float64
}

func (m *Model) loadOf(service string) *load {
	l, ok := m.loads[service]
	if !ok {
		l = &load{at: m.now, work: make(map[string]float64)}
		m.loads[service] = l
	}
	return l
}

// rate returns a bucket's requests a second.
func (l *load) rate(bucket int) float64 {
	slow, fast := l.slow[bucket], l.fast[bucket]
	if fast > slow*hotFactor+hotRate {
		return fast
	}
	return slow
}

// decay lets older measurements fade.
func (l *load) decay(now timer.Instant) {
	dt := now.Sub(l.at)
	if dt < 100*time.Millisecond {
		return
	}
	l.at = now
	slow := 1 / (1 + float64(dt)/float64(slowSpan))
	fast := 1 / (1 + float64(dt)/float64(fastSpan))
	for i := range l.slow {
		l.slow[i] *= slow
		l.fast[i] *= fast
	}
	l.stale = true
}

const (
	// workWeight is the largest weight of one report in the moving average of a
	// target's time for one request.
	workWeight = 0.3
	// workAnswers is how many answers have that weight at least.
	workAnswers = 6
)

func (m *Model) report(e Reported) {
	m.now = max(m.now, e.At)
	m.entries[e.Report.Instance] = e.At
	m.crashReports = append(m.crashReports, e.Report.CrashReports...)
	for _, k := range e.Report.Keys {
		l := m.loadOf(k.Service)
		l.decay(m.now)
		b := int(k.Bucket) / deployment.BucketKeys
		l.slow[b] += float64(k.Count) / slowSpan.Seconds()
		l.fast[b] += float64(k.Count) / fastSpan.Seconds()
		l.stale = true
	}
	for _, x := range e.Report.Targets {
		t, ok := m.state.Target(x.ID)
		if !ok {
			continue
		}
		m.noteHealth(incarnationOf(t), x)
		if x.Answers == 0 {
			continue
		}
		l := m.loadOf(t.Service)
		old, ok := l.work[x.ID]
		if !ok {
			old = l.meanWork()
		}
		weight := workWeight * min(1, float64(x.Answers)/workAnswers)
		l.work[x.ID] = old + weight*(x.Busy.Seconds()/float64(x.Answers)-old)
	}
}

// meanWork returns the mean time of all targets for one request, in seconds.
func (l *load) meanWork() float64 {
	if len(l.work) == 0 {
		return defaultWork.Seconds()
	}
	sum := 0.0
	for _, w := range l.work {
		sum += w
	}
	return sum / float64(len(l.work))
}

// rateOf returns the requests a second for the keys, both ends included.
func (l *load) rateOf(from, to deployment.Key) float64 {
	return l.before(int(to)+1) - l.before(int(from))
}

// before returns the requests a second for all keys below the given one.
func (l *load) before(key int) float64 {
	if l.stale {
		for i := range buckets {
			l.sums[i+1] = l.sums[i] + l.rate(i)
		}
		l.stale = false
	}
	b := key / deployment.BucketKeys
	if b >= buckets {
		return l.sums[buckets]
	}
	return l.sums[b] + l.rate(b)*float64(key%deployment.BucketKeys)/deployment.BucketKeys
}
