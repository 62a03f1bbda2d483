// Package overflow decides which share of a service's requests leaves their availability zone.
// A request leaves when it saves more late answers, those to requests that stay included, than
// the delay between zones and its bytes are worth. The load that it answers is demand that is
// distributed over the zones in another way than the targets' capacity.
package overflow

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Zone is the demand and the capacity of a service in one availability zone.
type Zone struct {
	Name string `json:"name"`
	// Demand is the rate of requests that callers of the zone send, in requests a second.
	Demand float64 `json:"demand"`
	// Capacity is the rate that the zone's targets can serve, in requests a second; 0 if it
	// has none that may get requests.
	Capacity float64 `json:"capacity"`
}

// Service is the load of one service.
type Service struct {
	Zones []Zone
	// ServiceTime is how long a target works on a request, and Objective within which time
	// it is to be answered.
	ServiceTime, Objective time.Duration
	// PoolSlots is the number of slots that requests of a zone share without knowing of the
	// others: the fewer, the longer they wait at the same utilization.
	PoolSlots int
	// RequestBytes is the size of a request and its answer.
	RequestBytes float64
}

// Costs weigh what a request costs when it leaves its zone.
type Costs struct {
	Delay time.Duration // round trip between zones
	// LatePerMegabyte is how many late answers are as bad as a megabyte between zones.
	LatePerMegabyte float64
}

// Shares holds the share of each zone's demand that goes to each other zone.
type Shares map[string]map[string]float64

const (
	// steps is the number of parts in which the demand is moved between zones.
	steps = 200
	// maxChange bounds the change of a share in one round. Measurements lag behind by about
	// a second, so that larger changes would overshoot.
	maxChange = 0.1
	// minShare is the least share that leaves a zone in all: less is within the error of the
	// measurements, and would keep connections to other zones open for nothing.
	minShare = 0.02
	// Up to busyUtilization a further request makes at most one answer late: a pool rejects
	// what would come too late. Above, it counts as overloadCost late answers: it is not
	// served, and others wait behind it.
	busyUtilization = 0.95
	overloadCost    = 4.0
	// workSpread is the part of the objective, in service times, that is left for the work
	// itself: a third of all requests take longer than the mean.
	workSpread = 1.5
)

// Next returns the shares for the next round. It goes from the previous shares towards the
// best ones in small steps. Only a zone that has no capacity gives away its demand, and gets
// none, at once.
func Next(previous Shares, s Service, c Costs) Shares {
	best := Best(s, c)
	next := make(Shares)
	for _, from := range s.Zones {
		for _, to := range s.Zones {
			share := best[from.Name][to.Name]
			if before := previous[from.Name][to.Name]; from.Capacity > 0 && to.Capacity > 0 {
				share = min(max(share, before-maxChange), before+maxChange)
			}
			if share <= 0 || from.Name == to.Name {
				continue
			}
			if next[from.Name] == nil {
				next[from.Name] = make(map[string]float64)
			}
			next[from.Name][to.Name] = share
		}
	}
	for zone, row := range next {
		if next.Leaving(zone) < minShare {
			delete(next, zone)
			continue
		}
		normalize(row)
	}
	return next
}

// normalize scales the shares of a zone down to 1 in all. Shares that fall slowly beside
// others that rise at once could exceed it.
func normalize(row map[string]float64) {
	total := 0.0
	for _, share := range row {
		total += share
	}
	if total <= 1 {
		return
	}
	for to := range row {
		row[to] /= total
	}
}

const bytesPerMegabyte = 1e6

// Best returns the shares at which moving more demand between zones, or less, would cost more
// than it saves.
func Best(s Service, c Costs) Shares {
	states := make([]zoneState, len(s.Zones))
	total := 0.0
	for i, z := range s.Zones {
		states[i] = zoneState{curve: s.lateAnswers(z), load: z.Demand, stays: z.Demand, moved: make([]float64, len(s.Zones))}
		total += z.Demand
	}
	moveCost := c.Delay.Seconds()/s.slack() + s.RequestBytes/bytesPerMegabyte*c.LatePerMegabyte
	for range 2 * steps {
		from, to, amount := bestMove(states, total/steps, moveCost)
		if amount <= 0 {
			break
		}
		states[from].load -= amount
		states[from].stays -= amount
		states[from].moved[to] += amount
		states[to].load += amount
	}
	shares := make(Shares)
	for i, from := range s.Zones {
		for k, to := range s.Zones {
			if states[i].moved[k] == 0 {
				continue
			}
			if shares[from.Name] == nil {
				shares[from.Name] = make(map[string]float64)
			}
			shares[from.Name][to.Name] = states[i].moved[k] / from.Demand
		}
	}
	return shares
}

// zoneState is the state of one zone while demand is moved.
type zoneState struct {
	curve lateCurve
	load  float64   // after the moves
	stays float64   // demand that has not left
	moved []float64 // demand that has left, by the index of the other zone
}

// bestMove returns the move of one step of demand that saves most, and an amount of 0 if none
// saves anything. Demand that has left its zone is not moved on.
func bestMove(states []zoneState, step, moveCost float64) (from, to int, amount float64) {
	bestSaving := 0.0
	for i, a := range states {
		n := min(step, a.stays)
		if n <= 0 {
			continue
		}
		relief := a.curve.at(a.load) - a.curve.at(a.load-n)
		for k, b := range states {
			// No zone is driven over its room by the demand of others.
			if i == k || b.load+n > busyUtilization*b.curve.capacity {
				continue
			}
			burden := b.curve.at(b.load+n) - b.curve.at(b.load)
			if saving := (relief-burden)/n - moveCost; saving > bestSaving {
				bestSaving, from, to, amount = saving, i, k, n
			}
		}
	}
	return from, to, amount
}

// slack returns how long a request may wait and mostly still meet its objective, in seconds.
func (s Service) slack() float64 {
	return max(s.Objective.Seconds()-workSpread*s.ServiceTime.Seconds(), s.ServiceTime.Seconds()/4)
}

// curvePoints is the number of loads up to busyUtilization for which a lateCurve is computed.
const curvePoints = 64

// lateCurve tells how many requests a second are answered late in a zone, by its load.
type lateCurve struct {
	capacity float64
	points   [curvePoints + 1]float64
}

// lateAnswers returns the curve of a zone.
func (s Service) lateAnswers(z Zone) lateCurve {
	c := lateCurve{capacity: z.Capacity}
	if z.Capacity <= 0 {
		return c
	}
	slots := max(1, min(s.PoolSlots, int(math.Round(z.Capacity*s.ServiceTime.Seconds()))))
	step := busyUtilization * z.Capacity / curvePoints
	before := 0.0
	for i := 1; i <= curvePoints; i++ {
		load := float64(i) * step
		late := load * s.lateShare(slots, load/z.Capacity)
		c.points[i] = c.points[i-1] + min(late-before, step)
		before = late
	}
	return c
}

// at returns the late answers a second at a load.
func (c lateCurve) at(load float64) float64 {
	if c.capacity <= 0 {
		return load * overloadCost
	}
	position := load / (busyUtilization * c.capacity) * curvePoints
	if position >= curvePoints {
		excess := load - busyUtilization*c.capacity
		// The cost rises with the excess, so that the busiest zone gives away first.
		return c.points[curvePoints] + excess*overloadCost*(1+excess/c.capacity)
	}
	i := int(position)
	return c.points[i] + (position-float64(i))*(c.points[i+1]-c.points[i])
}

// lateShare returns the share of requests that wait for longer than the slack in an M/M/c
// queue.
func (s Service) lateShare(slots int, utilization float64) float64 {
	freed := float64(slots) * (1 - utilization) / s.ServiceTime.Seconds() // slots a second beyond the load
	return erlangC(slots, utilization*float64(slots)) * math.Exp(-freed*s.slack())
}

// erlangC returns the probability that a request finds no free slot, for an offered load in
// slots that is less than the slots.
func erlangC(slots int, offered float64) float64 {
	blocked := 1.0 // Erlang B by its recursion
	for n := 1; n <= slots; n++ {
		blocked = offered * blocked / (float64(n) + offered*blocked)
	}
	utilization := offered / float64(slots)
	return blocked / (1 - utilization*(1-blocked))
}

// Leaving returns the share of a zone's demand that leaves it.
func (s Shares) Leaving(zone string) float64 {
	total := 0.0
	for _, share := range s[zone] {
		total += share
	}
	return total
}

// Choose returns the zone of the next request of a caller in the zone. The random number is
// from 0 to 1.
func (s Shares) Choose(zone string, random float64) string {
	row := s[zone]
	for _, to := range slices.Sorted(maps.Keys(row)) {
		if random -= row[to]; random < 0 {
			return to
		}
	}
	return zone
}
