package forward

import (
	"math"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// estimateMemory is the time in which an estimate that no answer confirms loses most of its
// weight. Without answers nothing else would end the rejections that follow from it.
const estimateMemory = 5 * time.Second

// movingAverage is the service time of a service's targets, averaged over all of them. It is
// assumed for targets that this entry has not seen before.
type movingAverage struct {
	value   float64 // seconds
	samples int
	at      timer.Instant // of the last answer
}

// With returns the average after an answer.
func (a movingAverage) With(serviceTime float64, now timer.Instant) movingAverage {
	if a.samples == 0 {
		a.value = initialServiceTime.Seconds()
	}
	a.samples++
	a.value += max(targetAverageWeight, 1/float64(a.samples)) * (serviceTime - a.value)
	a.at = now
	return a
}

// aged returns the average, which gets shorter while no target of the service answers.
func (a movingAverage) aged(now timer.Instant) float64 {
	if a.samples == 0 {
		return initialServiceTime.Seconds()
	}
	return a.value * decay(now.Sub(a.at))
}

// decay returns the weight of an estimate of the given age.
func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / estimateMemory.Seconds()) }

// maxStaleWeight is the weight of an answer in an old estimate: work takes up to several times
// its mean, so that one answer alone does not replace what is known.
const maxStaleWeight = 0.3

// staleWeight returns the least weight of an answer in an estimate of the given age.
func staleWeight(age time.Duration) float64 { return min(maxStaleWeight, 1-decay(age)) }

// agedServiceTime returns the service time of a target in seconds. One that is longer than the
// average of its service approaches it while the target does not answer. The caller holds ts.mu.
func (ts *targetStates) agedServiceTime(t deployment.Target, now timer.Instant) float64 {
	s, average := ts.state(t), ts.targetAverages[t.Service].aged(now)
	if s.serviceTime <= average {
		return s.serviceTime
	}
	return average + (s.serviceTime-average)*decay(now.Sub(s.answeredAt))
}

// queueAverage is the queue that the answers of a service's targets report, averaged over the
// targets. It stands for the queue of a target that this entry has not heard from lately:
// the more entries there are, the more rarely each of them hears from a target.
type queueAverage struct {
	share float64 // waiting requests for each slot
	at    timer.Instant
}

// With returns the average after an answer.
func (q queueAverage) With(share float64, now timer.Instant) queueAverage {
	return queueAverage{share: q.Share(now) + queueAverageWeight*(share-q.Share(now)), at: now}
}

// Share returns the waiting requests for each slot, which are assumed to get fewer while no
// answer comes.
func (q queueAverage) Share(now timer.Instant) float64 {
	return q.share * math.Exp(-now.Sub(q.at).Seconds()/queueAverageMemory.Seconds())
}
