package dispatch

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// initialServiceTime is the assumed service time of a pool, until measured.
	initialServiceTime = 60 * time.Millisecond
	// serviceTimeWeight is the weight of an answer in the moving average of a target's
	// service time, and poolTimeWeight that in the average of its pool.
	serviceTimeWeight = 0.1
	poolTimeWeight    = 0.02
	// heldTimeWeight and poolHeldWeight are those in the averages of the time for which
	// slots are held. The average of the pool counts as heldSamples answers of a target:
	// the mean of few answers overestimates the rate.
	heldTimeWeight = 0.01
	poolHeldWeight = 0.002
	heldSamples    = 30
	// assumedSamples is the number of answers that an assumed service time counts as.
	assumedSamples = 3
	// slowdownLife is how long a reported slowdown counts. Targets change theirs about
	// every 400 ms.
	slowdownLife = 400 * time.Millisecond
	// coldFactor is how many times slower a cold target is assumed to be while it reports
	// no slowdown.
	coldFactor = 2.0
	// coldBurst is the burst of a cold target's rate limit. Two dispatchers that both
	// count for it stay below its bound: 2 x (2.8 + 2) = 9.6 of 12.2 a second.
	coldBurst = 2.0
	// minHeld is the least time for which a request counts as having taken a slot: the time
	// that its body took is only an estimate.
	minHeld = 20 * time.Millisecond
	// shedTime is how long a target that shed a request has one slot less.
	shedTime = time.Second
	// A circuit breaker opens after failuresToOpen consecutive failures, or
	// brokenAnswersToOpen if the last one was an answer that reported the target's load:
	// such a target still works. It stays open for minOpenTime, doubled with each further
	// failure up to maxOpenTime, and then admits one request at a time until one succeeds.
	failuresToOpen      = 2
	brokenAnswersToOpen = 6
	minOpenTime         = 250 * time.Millisecond
	maxOpenTime         = 2 * time.Second
	// A granted request is overdue after overdueFactor times the expected time of its
	// target, but not before minOverdue: a congested link may delay answers that long.
	overdueFactor = 5.0
	minOverdue    = 400 * time.Millisecond
	// failureCost is the cost of a failed request, as a multiple of its objective: the
	// caller has waited and sends it again. overdueFailureShare is the assumed share of
	// failures at a target with overdue requests.
	failureCost         = 2.0
	overdueFailureShare = 0.5
)

// movingAverage is an exponential moving average with its number of samples.
type movingAverage struct {
	value   float64 // seconds
	samples int
}

// add adds a sample. The value before the first one counts as assumed samples.
func (m *movingAverage) add(value, weight float64, assumed int) {
	m.samples++
	m.value += max(weight, 1/float64(assumed+m.samples)) * (value - m.value)
}

// target is what the pool knows of one incarnation of a target.
type target struct {
	deployment.Target
	failureShare float64
	grants       []grant
	bodyBytes    int // of granted requests
	serviceTime  movingAverage
	heldTime     movingAverage // for which a request holds a slot, with slowdown
	slowdown     float64
	slowdownAt   timer.Instant // 0 for never
	// foreign is the number of requests at the target that this pool did not grant, as
	// last reported. They count until foreignUntil.
	foreign      int
	foreignUntil timer.Instant
	shedUntil    timer.Instant
	failures     int // consecutive
	openUntil    timer.Instant
	coldUntil    timer.Instant
	coldRate     float64 // 0 for none
	coldTokens   limit.Rate
	lastGrant    timer.Instant
}

// grant is a slot that a request holds.
type grant struct {
	id            RequestID
	at, until     timer.Instant
	workFrom      timer.Instant // when its body has been sent; it takes a slot from then on
	body          int
	slowdown      float64 // of the target when the slot was granted
	overdue, lost bool    // counted as overdue; the stream of its entry has ended
}

// held returns for how long the grant has taken a slot, in seconds.
func (g *grant) held(now timer.Instant) float64 {
	return now.Sub(min(g.workFrom, max(g.at, now.Add(-minHeld)))).Seconds()
}

func (t *target) cold(now timer.Instant) bool { return t.coldRate > 0 && now < t.coldUntil }

func (t *target) circuitOpen(now timer.Instant) bool { return now < t.openUntil }

// slotCount returns how many requests of this pool the target may hold.
func (t *target) slotCount(now timer.Instant) int {
	n := max(t.Slots, 1)
	if now < t.foreignUntil {
		n -= t.foreign
	}
	if now < t.shedUntil {
		n--
	}
	switch {
	case t.circuitOpen(now):
		return 0
	case t.failures >= failuresToOpen && t.openUntil > 0:
		n = min(n, 1)
	}
	return max(n, 0)
}

// busy returns how many slots are taken by granted requests. Those whose bodies are still
// being sent take none, but no more of them count as such than the target has slots.
func (t *target) busy(now timer.Instant) int {
	sending := 0
	for i := range t.grants {
		if t.grants[i].workFrom > now {
			sending++
		}
	}
	return len(t.grants) - min(sending, max(t.Slots, 1))
}

// free returns how many requests the target may get now: of a cold one, at most one at a
// time.
func (t *target) free(now timer.Instant) int {
	n := t.slotCount(now) - t.busy(now)
	if n > 0 && t.cold(now) {
		n = 0
		if t.coldTokens.Allows(now) {
			n = 1
		}
	}
	return max(n, 0)
}

// currentSlowdown returns the slowdown that the target reported a moment ago, or the
// assumed one.
func (t *target) currentSlowdown(now timer.Instant) float64 {
	switch {
	case t.slowdownAt > 0 && now.Sub(t.slowdownAt) < slowdownLife:
		return t.slowdown
	case t.cold(now):
		return coldFactor
	}
	return 1
}

// expected returns the expected time of a request at the target, in seconds.
func (t *target) expected(now timer.Instant) float64 {
	return t.serviceTime.value * t.currentSlowdown(now)
}

// rate returns how many requests a second the target can serve. The mean of the times that
// slots were held tells that more exactly than the service time and the last slowdown.
func (t *target) rate(poolHeld float64, now timer.Instant) float64 {
	n := float64(t.heldTime.samples)
	rate := float64(t.slotCount(now)) * (n + heldSamples) / (n*t.heldTime.value + heldSamples*poolHeld)
	if t.cold(now) {
		rate = min(rate, t.coldRate)
	}
	return rate
}

// failing reports whether the target is used only when no other one is free.
func (t *target) failing() bool {
	return t.failures >= failuresToOpen || t.failureShare >= overdueFailureShare ||
		t.Status == deployment.Silent || slices.ContainsFunc(t.grants, func(g grant) bool { return g.overdue })
}

// cost returns the expected time until a request at the target succeeds, in seconds.
func (t *target) cost(w *waiter, now timer.Instant) float64 {
	cost, share := t.expected(now), t.failureShare
	if t.failing() {
		share = max(share, overdueFailureShare)
	}
	if !slices.Contains(w.connected, t.ID) {
		cost += w.connectCost
	}
	return cost + share*failureCost*w.objective.Seconds()
}

// bodyFits reports whether the target may get a body of that size. A body that is larger
// than the bound may be the only one.
func (t *target) bodyFits(body, most int) bool {
	return t.bodyBytes == 0 || t.bodyBytes+body <= most
}

// take gives the request a slot.
func (t *target) take(w *waiter, now timer.Instant) {
	if t.cold(now) {
		t.coldTokens, _ = t.coldTokens.WithRequest(now)
	}
	t.grants = append(t.grants, grant{id: w.id, at: now, workFrom: now.Add(w.bodyTime), until: w.deadline, body: w.body, slowdown: t.currentSlowdown(now)})
	t.bodyBytes += w.body
	t.lastGrant = now
}

// indexOf returns the index of the grant of a request, or -1. A grant of an entry whose
// stream has not ended goes first: an entry that restarts may use a number again.
func (t *target) indexOf(id RequestID) int {
	found := -1
	for i := range t.grants {
		if g := &t.grants[i]; g.id.Number == id.Number && g.id.Entry == id.Entry && (found < 0 || !g.lost) {
			found = i
		}
	}
	return found
}

// release frees the slot of a grant and returns the grant.
func (t *target) release(i int) grant {
	g := t.grants[i]
	t.bodyBytes -= g.body
	last := len(t.grants) - 1
	t.grants[i] = t.grants[last]
	t.grants = t.grants[:last]
	return g
}

// updateLoad updates the target's load from an answer. granted is the number of granted
// requests that the target may have counted.
func (t *target) updateLoad(e Ended, granted int) {
	if !e.LoadKnown {
		return
	}
	if e.Slowdown > 0 {
		t.slowdown, t.slowdownAt = e.Slowdown, max(e.At, 1)
	}
	t.foreign = max(0, e.Running+e.Waiting-granted)
	t.foreignUntil = e.At.Add(seconds(t.expected(e.At)))
}

// updateOutcome updates the failures and the service time from the end of a granted
// request, and returns the service time in seconds or 0 if the outcome tells none.
func (t *target) updateOutcome(e Ended, g grant) float64 {
	switch e.Outcome {
	case Failed, NotSent:
		if !g.overdue {
			t.recordFailure(e.At, e.LoadKnown)
		}
	case NotRun:
		t.shedUntil = e.At.Add(shedTime)
		t.failures, t.openUntil = 0, 0
	case Succeeded:
		t.failures, t.openUntil = 0, 0
		work := e.Took.Seconds()
		if e.LoadKnown {
			work /= 1 + float64(e.Waiting)/float64(max(t.Slots, 1))
			if e.Slowdown > 0 {
				work /= (g.slowdown + e.Slowdown) / 2
			}
		}
		if work > 0 {
			t.serviceTime.add(work, serviceTimeWeight, assumedSamples)
		}
		return work
	}
	return 0
}

// recordFailure counts a failure and opens the circuit breaker after several.
func (t *target) recordFailure(now timer.Instant, answered bool) {
	t.failures++
	limit := failuresToOpen
	if answered {
		limit = brokenAnswersToOpen
	}
	if t.failures >= limit {
		t.openUntil = now.Add(min(minOpenTime<<min(t.failures-limit, 8), maxOpenTime))
	}
}

// expire frees the slots of grants whose time has passed, and counts overdue ones.
func (t *target) expire(now timer.Instant) {
	limit := max(minOverdue, seconds(overdueFactor*t.expected(now)))
	for i := len(t.grants) - 1; i >= 0; i-- {
		g := &t.grants[i]
		if !g.overdue && !g.lost && now.Sub(g.workFrom) >= limit {
			g.overdue = true
			t.recordFailure(now, false)
		}
		if now >= g.until {
			t.heldTime.add(g.held(now), heldTimeWeight, 0)
			t.release(i)
		}
	}
}

// update takes over what control says of the target.
func (t *target) update(info TargetInfo, now timer.Instant) {
	wasCold := t.cold(now)
	t.Target, t.failureShare = info.Target, info.FailureShare
	t.coldRate, t.coldUntil = info.ColdRate, now.Add(info.ColdLeft)
	switch {
	case !t.cold(now):
	case wasCold:
		t.coldTokens = t.coldTokens.WithLimit(t.coldRate, coldBurst, now)
	default:
		// A target that turns cold has just had the usual load.
		tokens := coldBurst
		if t.lastGrant > 0 && now.Sub(t.lastGrant) < time.Second {
			tokens = 0
		}
		t.coldTokens = limit.NewRate(t.coldRate, coldBurst, tokens, now)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
