package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// otherZone is what a target in another availability zone costs, as a share
	// of its work; downloads weigh more than their work.
	otherZone         = 0.25
	otherZoneDownload = 1.0
	// lotShare is the part of a choice that is by lot, as a share of the work.
	lotShare = 0.5
	// silentCost is what a target that sends no heartbeat costs.
	silentCost = 2.0
	// failureCost is what a failure costs, as a multiple of the route's objective:
	// a caller that hears of it has waited, and asks again.
	failureCost = 2.0
	// overdueShare is taken as a target's share of failures while requests of this
	// entry are overdue there.
	overdueShare = 0.5
	// draws is how many targets are drawn of which the best one is taken.
	draws = 3
)

// choice is a request that any target of a service may get.
type choice struct {
	list  []deployment.Target
	tried []string // IDs of targets that are not to be asked again
	zone  string
	route *deployment.Route
	// spread asks for targets drawn by lot. Many entries that each know little
	// would all choose the target that looks best, and fill its queue.
	spread bool
	// connecting returns how long a connection to an address takes; nil counts it
	// as nothing.
	connecting func(address string) time.Duration
}

// awayCost is what a target in another availability zone costs, as a share of
// its work.
func (c choice) awayCost(t deployment.Target) float64 {
	switch {
	case t.AvailabilityZone == c.zone:
		return 0
	case c.route.Kind == deployment.Download:
		return otherZoneDownload
	}
	return otherZone
}

// choose returns a target for the request, leaving out those already tried, those
// that fail and those that hold enough of this entry.
func (ts *targets) choose(c choice) (deployment.Target, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	if c.spread {
		return ts.draw(c, now)
	}
	best, bestCost := deployment.Target{}, -1.0
	for _, t := range c.list {
		s := ts.state(t)
		if slices.Contains(c.tried, t.ID) || s.open(now) || s.full() {
			continue
		}
		if cost := s.cost(c, t, now); bestCost < 0 || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, bestCost >= 0
}

// cost returns what a request costs at the target, in seconds.
func (s *targetState) cost(c choice, t deployment.Target, now timer.Instant) float64 {
	// Entries don't see each other's requests: a part by lot keeps them from
	// choosing the same target.
	cost := s.expected(t, now) + s.work*(float64(s.inflight)/float64(max(t.Slots, 1))+rand.Float64()*lotShare)
	cost += c.awayCost(t) * s.work
	if t.Status == deployment.Silent {
		cost += silentCost * s.work
	}
	if c.connecting != nil {
		cost += c.connecting(t.Address).Seconds()
	}
	return cost + s.failureShare(now)*failureCost*c.route.Objective.Seconds()
}

// draw draws targets by lot, each as often as it can serve requests, and returns
// the one that costs least.
func (ts *targets) draw(c choice, now timer.Instant) (deployment.Target, bool) {
	weights := make([]float64, len(c.list))
	total := 0.0
	for i, t := range c.list {
		s := ts.state(t)
		if slices.Contains(c.tried, t.ID) || s.open(now) || s.full() {
			continue
		}
		weights[i] = float64(max(t.Slots, 1)) / (s.work * (1 + c.awayCost(t)))
		total += weights[i]
	}
	best, bestCost := deployment.Target{}, -1.0
	for range draws {
		lot := rand.Float64() * total
		for i, w := range weights {
			if lot -= w; w == 0 || lot > 0 {
				continue
			}
			t := c.list[i]
			if cost := ts.state(t).cost(c, t, now); bestCost < 0 || cost < bestCost {
				best, bestCost = t, cost
			}
			break
		}
	}
	return best, bestCost >= 0
}
