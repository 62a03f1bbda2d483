package leader

import (
	"math"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// numBuckets is the number of buckets of keys whose rates are measured.
	numBuckets = (int(deployment.MaxKey) + 1) / deployment.KeysPerBucket
	// A rate is that of the steady window, unless that of a shorter one differs by more than
	// chance would explain: requests arrive at random, and an owner may serve only a few a second.
	steadyWindow = 8 * time.Second
	slowWindow   = 2 * time.Second
	fastWindow   = 400 * time.Millisecond
	// significantDeviations is the difference of two rates, in standard deviations of the one with
	// the shorter window, from which on the difference is not taken for chance.
	significantDeviations = 3.5
	// significantShare is added to that, as a share of the rate: entries report four times a second,
	// and the fast window has lost a part of their requests when the next report comes.
	significantShare = 0.5
	// maxScale is the scale of weights above which they are scaled down.
	maxScale = 1e100
	// rateBlock is the number of buckets whose sums are computed anew when one of them has changed.
	rateBlock = 256
	numBlocks = numBuckets / rateBlock
)

// rateWindow measures the rates of buckets of keys with exponential decay. Weights grow instead
// of being decayed, so that time passes without work for each bucket.
type rateWindow struct {
	window  time.Duration
	startAt timer.Instant // of the first request
	at      timer.Instant // to which scale belongs
	started bool
	scale   float64
	length  float64 // seconds that the rates cover: the window, or less after the first request
	weights [numBuckets]float64
	before  [numBuckets]float64 // weight of the buckets of a block before each one
	blocks  [numBlocks]float64  // weight of all blocks up to each one
	totals  [numBlocks]float64  // weight of each block
	changed [numBlocks]bool     // since the sums were computed
	stale   bool                // a block has changed
}

func newRateWindow(window time.Duration) *rateWindow {
	return &rateWindow{window: window, scale: 1, length: window.Seconds()}
}

// advance lets the time pass until now.
func (w *rateWindow) advance(now timer.Instant) {
	if now <= w.at {
		return
	}
	w.scale *= math.Exp(float64(now.Sub(w.at)) / float64(w.window))
	w.at = now
	w.measureLength()
	if w.scale < maxScale {
		return
	}
	for i := range w.weights {
		w.weights[i] /= w.scale
	}
	w.scale, w.stale = 1, true
	for i := range w.changed {
		w.changed[i] = true
	}
}

// add counts requests that were reported at the time of the last advance for an interval.
func (w *rateWindow) add(bucket int, count float64, interval time.Duration) {
	if !w.started {
		w.started, w.startAt = true, w.at.Add(-interval)
		w.measureLength()
	}
	w.weights[bucket] += count * rateWeight(interval, w.window) * w.scale
	w.changed[bucket/rateBlock], w.stale = true, true
}

func (w *rateWindow) measureLength() {
	if w.started {
		age := max(w.at.Sub(w.startAt), fastWindow/2)
		w.length = w.window.Seconds() * (1 - math.Exp(-float64(age)/float64(w.window)))
	}
}

// toRate returns the rate in requests a second for a sum of weights.
func (w *rateWindow) toRate(weight float64) float64 {
	return max(0, weight) / w.scale * w.window.Seconds() / w.length
}

// rate returns the rate of a bucket.
func (w *rateWindow) rate(bucket int) float64 { return w.toRate(w.weights[bucket]) }

// rateOf returns the rate of the keys, both ends included.
func (w *rateWindow) rateOf(from, to deployment.Key) float64 {
	w.computeSums()
	return w.toRate(w.weightBelow(int(to)+1) - w.weightBelow(int(from)))
}

// computeSums computes the sums of the blocks that have changed.
func (w *rateWindow) computeSums() {
	if !w.stale {
		return
	}
	w.stale = false
	total := 0.0
	for b := range w.blocks {
		if w.changed[b] {
			w.changed[b] = false
			sum := 0.0
			for i := b * rateBlock; i < (b+1)*rateBlock; i++ {
				w.before[i] = sum
				sum += w.weights[i]
			}
			w.totals[b] = sum
		}
		total += w.totals[b]
		w.blocks[b] = total
	}
}

// weightBelow returns the weight of all keys below key.
func (w *rateWindow) weightBelow(key int) float64 {
	bucket := key / deployment.KeysPerBucket
	if bucket >= numBuckets {
		return w.blocks[numBlocks-1]
	}
	weight := w.before[bucket] + w.weights[bucket]*float64(key%deployment.KeysPerBucket)/deployment.KeysPerBucket
	if block := bucket / rateBlock; block > 0 {
		weight += w.blocks[block-1]
	}
	return weight
}

// deviation returns the standard deviation of a measured rate, given the true one.
func (w *rateWindow) deviation(rate float64) float64 {
	return math.Sqrt(max(rate, 1/w.length) / (2 * w.length))
}

// differs reports whether a measured rate differs from the expected one by more than chance.
func (w *rateWindow) differs(measured, expected float64) bool {
	return math.Abs(measured-expected) > significantDeviations*w.deviation(expected)+significantShare*expected
}

// keyRates measures the rates of a service's keys.
type keyRates struct{ steady, slow, fast *rateWindow }

func newKeyRates() keyRates {
	return keyRates{steady: newRateWindow(steadyWindow), slow: newRateWindow(slowWindow), fast: newRateWindow(fastWindow)}
}

func (k keyRates) advance(now timer.Instant) {
	k.steady.advance(now)
	k.slow.advance(now)
	k.fast.advance(now)
}

func (k keyRates) add(bucket int, count float64, interval time.Duration) {
	k.steady.add(bucket, count, interval)
	k.slow.add(bucket, count, interval)
	k.fast.add(bucket, count, interval)
}

// significant returns the rate of the shortest window that differs from that of longer ones by
// more than chance.
func (k keyRates) significant(steady, slow, fast float64) float64 {
	rate := steady
	if k.slow.differs(slow, rate) {
		rate = slow
	}
	if k.fast.differs(fast, rate) {
		rate = fast
	}
	return rate
}

// rate returns the rate of a bucket in requests a second.
func (k keyRates) rate(bucket int) float64 {
	return k.significant(k.steady.rate(bucket), k.slow.rate(bucket), k.fast.rate(bucket))
}

// rateOf returns the rate of the keys in requests a second, both ends included.
func (k keyRates) rateOf(from, to deployment.Key) float64 {
	return k.significant(k.steady.rateOf(from, to), k.slow.rateOf(from, to), k.fast.rateOf(from, to))
}
