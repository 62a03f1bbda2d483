package control

import (
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// ServiceLoad holds the counts of one report: the requests for a service that one
// entry received in one report period.
type ServiceLoad struct {
	Service string       `msgpack:"service"`
	Ranges  []PointCount `msgpack:"ranges"` // busiest ranges, identified by their start
	Keys    []PointCount `msgpack:"keys"`   // busiest keys
}

// PointCount is the number of requests for a range or key.
type PointCount struct {
	Point keyspace.Point `msgpack:"point"`
	Count uint64         `msgpack:"count"`
}

// Loads holds the load of all services over all entries, in requests a second, as an
// exponentially decaying moving average. It is immutable. Only the leader keeps it,
// from the entries' reports.
type Loads struct {
	services map[string]serviceRates
}

// serviceRates holds the rates of a service's ranges, by their start, and keys.
type serviceRates struct {
	ranges map[keyspace.Point]float64
	keys   map[keyspace.Point]float64
}

const (
	// loadTimeConstant is the time constant of the moving average.
	loadTimeConstant = 10 * time.Second
	// minRate is the rate below which a point is dropped, in requests a second.
	minRate = 0.05
)

// WithReport returns the loads with one entry's report added.
func (l Loads) WithReport(report []ServiceLoad) Loads {
	out := Loads{services: make(map[string]serviceRates, len(l.services))}
	for name, s := range l.services {
		out.services[name] = s
	}
	for _, r := range report {
		s := out.services[r.Service]
		out.services[r.Service] = serviceRates{ranges: withCounts(s.ranges, r.Ranges), keys: withCounts(s.keys, r.Keys)}
	}
	return out
}

// withCounts adds counts to decaying rates. Dividing by the time constant makes the
// average of a constant rate converge to that rate.
func withCounts(rates map[keyspace.Point]float64, counts []PointCount) map[keyspace.Point]float64 {
	out := make(map[keyspace.Point]float64, len(rates)+len(counts))
	for p, rate := range rates {
		out[p] = rate
	}
	for _, c := range counts {
		out[c.Point] += float64(c.Count) / loadTimeConstant.Seconds()
	}
	return out
}

// WithDecay returns the loads decayed by the elapsed time.
func (l Loads) WithDecay(elapsed time.Duration) Loads {
	factor := max(1-elapsed.Seconds()/loadTimeConstant.Seconds(), 0)
	out := Loads{services: make(map[string]serviceRates, len(l.services))}
	for name, s := range l.services {
		out.services[name] = serviceRates{ranges: decayRates(s.ranges, factor), keys: decayRates(s.keys, factor)}
	}
	return out
}

func decayRates(rates map[keyspace.Point]float64, factor float64) map[keyspace.Point]float64 {
	out := make(map[keyspace.Point]float64, len(rates))
	for p, rate := range rates {
		if rate *= factor; rate >= minRate {
			out[p] = rate
		}
	}
	return out
}

// WithSplit returns the loads after the range that began at start and ended at last
// was split in two. The load of known keys from at on moves to the second part.
func (l Loads) WithSplit(service string, start, at, last keyspace.Point) Loads {
	s := l.services[service]
	rateFromAt := 0.0
	for p, rate := range s.keys {
		if p >= at && p <= last {
			rateFromAt += rate
		}
	}
	ranges := withCounts(s.ranges, nil)
	rateFromAt = min(rateFromAt, ranges[start])
	ranges[start] -= rateFromAt
	ranges[at] = rateFromAt
	out := l.WithReport(nil)
	out.services[service] = serviceRates{ranges: ranges, keys: s.keys}
	return out
}

// RangeRate returns the rate of the range that starts at the point.
func (l Loads) RangeRate(service string, start keyspace.Point) float64 {
	return l.services[service].ranges[start]
}

// hottestKey returns the busiest key from first to last, both included, and its
// rate. The lower point breaks ties.
func (l Loads) hottestKey(service string, first, last keyspace.Point) (keyspace.Point, float64) {
	var best keyspace.Point
	rate := 0.0
	for p, x := range l.services[service].keys {
		if p >= first && p <= last && (x > rate || (x == rate && p < best)) {
			best, rate = p, x
		}
	}
	return best, rate
}

// totalRate returns the rate of all ranges of a service.
func (l Loads) totalRate(service string) float64 {
	sum := 0.0
	for _, rate := range l.services[service].ranges {
		sum += rate
	}
	return sum
}

// Balance describes how evenly the measured load of a service is spread over its
// targets.
type Balance struct {
	Service   string  `json:"service"`
	Rate      float64 `msgpack:"Requests" json:"requests"` // requests a second
	Imbalance float64 `json:"imbalance"`                   // load of the busiest target divided by the mean
	Ranges    int     `json:"ranges"`
	Moved     uint64  `json:"moved"` // ranges that went from one target to another
}

// Balances returns the balance of each keyed service.
func (l Loads) Balances(s State) []Balance {
	var out []Balance
	for _, t := range s.tables {
		w := computeWeights(s, l, t.service, t.keys)
		busiest, sum := 0.0, 0.0
		for _, x := range w.targets {
			busiest = max(busiest, x.rate)
			sum += x.rate
		}
		b := Balance{Service: t.service, Rate: sum, Ranges: t.keys.Len(), Moved: t.moved}
		if sum > 0 {
			b.Imbalance = busiest / (sum / float64(len(w.targets)))
		}
		out = append(out, b)
	}
	return out
}
