package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// otherZoneCost is the extra cost of a target in another availability zone, as
	// a share of its service time. Downloads cost more, for the bytes that they transfer.
	otherZoneCost         = 0.25
	otherZoneDownloadCost = 1.0
	// randomCostShare bounds the random part of a target's cost, as a share of its
	// service time.
	randomCostShare = 0.5
	// silentCost is the extra cost of a target that sends no heartbeats, as a
	// multiple of its service time.
	silentCost = 2.0
	// failureCost is the cost of a failed request, as a multiple of the route's
	// objective: the caller has waited and sends it again.
	failureCost = 2.0
	// overdueFailureShare is the assumed share of failures at a target while
	// requests of this entry are overdue there.
	overdueFailureShare = 0.5
	// sampleSize is the number of randomly sampled targets among which the cheapest
	// is chosen.
	sampleSize = 3
)

// choice holds the parameters for choosing one of a service's targets.
type choice struct {
	candidates []deployment.Target
	excluded   []string // IDs of targets that the request is not sent to again
	zone       string
	route      *deployment.Route
	// sampled limits the choice to sampleSize random targets. Many entries that each
	// measured little would otherwise all choose the same best-looking target and
	// fill its queue.
	sampled bool
	// connectTime returns how long it takes to get a connection to an address. Nil
	// stands for no time.
	connectTime func(address string) time.Duration
}

// zoneCost returns the extra cost of the target's availability zone, as a share of
// the target's service time.
func (c choice) zoneCost(t deployment.Target) float64 {
	switch {
	case t.AvailabilityZone == c.zone:
		return 0
	case c.route.Kind == deployment.Download:
		return otherZoneDownloadCost
	}
	return otherZoneCost
}

// choose returns the target of least cost. It leaves out excluded targets,
// those whose circuit breaker is open and those where this entry's window is full.
// It returns false if none remains.
func (ts *targetStates) choose(c choice) (deployment.Target, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	if c.sampled {
		return ts.sample(c, now)
	}
	coldRate := ts.coldRateOfAll(c.candidates)
	best, bestCost := deployment.Target{}, -1.0
	for _, t := range c.candidates {
		s := ts.state(t)
		if slices.Contains(c.excluded, t.ID) || !s.mayChoose(now, coldRate) {
			continue
		}
		if cost := s.cost(c, t, now); bestCost < 0 || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, bestCost >= 0
}

// mayChoose reports whether the target may be chosen for a request to a service without
// keys.
func (s *targetState) mayChoose(now timer.Instant, coldRate float64) bool {
	return !s.circuitOpen(now) && !s.windowFull() && s.targetLimits.mayChoose(now, coldRate)
}

// cost returns the cost of a request at the target, in seconds.
func (s *targetState) cost(c choice, t deployment.Target, now timer.Instant) float64 {
	// Entries don't see each other's requests. The random part keeps them from all
	// choosing the same target.
	cost := s.expected(t, now) + s.serviceTime*(s.slowdownNow(now)*float64(s.inFlight)/float64(max(t.Slots, 1))+rand.Float64()*randomCostShare)
	cost += c.zoneCost(t) * s.serviceTime
	if t.Status == deployment.Silent {
		cost += silentCost * s.serviceTime
	}
	if c.connectTime != nil {
		cost += c.connectTime(t.Address).Seconds()
	}
	return cost + s.failureShare(now)*failureCost*c.route.Objective.Seconds()
}

// capacity returns how many requests a second the target can serve, for all entries
// together.
func (s *targetState) capacity(t deployment.Target, now timer.Instant) float64 {
	capacity := float64(max(t.Slots, 1)) / (s.serviceTime * s.slowdownNow(now))
	if perSecond, ok := s.limit.PerSecond(now); ok {
		capacity = min(capacity, perSecond)
	}
	return capacity
}

// sample picks sampleSize targets at random, weighted by the rate at which each can
// serve requests, and returns the one of least cost.
func (ts *targetStates) sample(c choice, now timer.Instant) (deployment.Target, bool) {
	weights := make([]float64, len(c.candidates))
	total := 0.0
	coldRate := ts.coldRateOfAll(c.candidates)
	for i, t := range c.candidates {
		s := ts.state(t)
		if slices.Contains(c.excluded, t.ID) || !s.mayChoose(now, coldRate) {
			continue
		}
		weights[i] = s.capacity(t, now) / (1 + c.zoneCost(t))
		total += weights[i]
	}
	best, bestCost := deployment.Target{}, -1.0
	for range sampleSize {
		point := rand.Float64() * total
		for i, w := range weights {
			if point -= w; w == 0 || point > 0 {
				continue
			}
			t := c.candidates[i]
			if cost := ts.state(t).cost(c, t, now); bestCost < 0 || cost < bestCost {
				best, bestCost = t, cost
			}
			break
		}
	}
	return best, bestCost >= 0
}
