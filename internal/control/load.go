package control

import (
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// ServiceLoad is what one entry's callers asked of a service in one period.
type ServiceLoad struct {
	Service string       `msgpack:"service"`
	Ranges  []PointCount `msgpack:"ranges"` // busiest ranges, by their start
	Keys    []PointCount `msgpack:"keys"`   // busiest keys
}

// PointCount is a number of requests.
type PointCount struct {
	Point keyspace.Point `msgpack:"point"`
	Count uint64         `msgpack:"count"`
}

// Loads is what all entries' callers ask, in requests a second, as a moving
// mean. It is immutable. The leader alone keeps it, from the entries' reports.
type Loads struct {
	services map[string]serviceLoad
}

type serviceLoad struct {
	ranges map[keyspace.Point]float64
	keys   map[keyspace.Point]float64
}

const (
	// loadMemory is the time over which the mean moves.
	loadMemory = 10 * time.Second
	// forgotten is a rate below which a point is dropped, in requests a second.
	forgotten = 0.05
)

// WithReport returns the loads after one entry's report.
func (l Loads) WithReport(reports []ServiceLoad) Loads {
	out := Loads{services: make(map[string]serviceLoad, len(l.services))}
	for name, s := range l.services {
		out.services[name] = s
	}
	for _, r := range reports {
		s := out.services[r.Service]
		out.services[r.Service] = serviceLoad{ranges: added(s.ranges, r.Ranges), keys: added(s.keys, r.Keys)}
	}
	return out
}

// added adds counts to decaying rates: a constant rate settles at itself.
func added(rates map[keyspace.Point]float64, counts []PointCount) map[keyspace.Point]float64 {
	out := make(map[keyspace.Point]float64, len(rates)+len(counts))
	for p, rate := range rates {
		out[p] = rate
	}
	for _, c := range counts {
		out[c.Point] += float64(c.Count) / loadMemory.Seconds()
	}
	return out
}

// WithDecay returns the loads after time has passed.
func (l Loads) WithDecay(passed time.Duration) Loads {
	keep := max(1-passed.Seconds()/loadMemory.Seconds(), 0)
	out := Loads{services: make(map[string]serviceLoad, len(l.services))}
	for name, s := range l.services {
		out.services[name] = serviceLoad{ranges: decayed(s.ranges, keep), keys: decayed(s.keys, keep)}
	}
	return out
}

func decayed(rates map[keyspace.Point]float64, keep float64) map[keyspace.Point]float64 {
	out := make(map[keyspace.Point]float64, len(rates))
	for p, rate := range rates {
		if rate *= keep; rate >= forgotten {
			out[p] = rate
		}
	}
	return out
}

// WithSplit returns the loads after a range was cut in two: what its known keys
// from the cut on are asked goes with the second part.
func (l Loads) WithSplit(service string, start, at, last keyspace.Point) Loads {
	s := l.services[service]
	moved := 0.0
	for p, rate := range s.keys {
		if p >= at && p <= last {
			moved += rate
		}
	}
	ranges := added(s.ranges, nil)
	moved = min(moved, ranges[start])
	ranges[start] -= moved
	ranges[at] = moved
	out := l.WithReport(nil)
	out.services[service] = serviceLoad{ranges: ranges, keys: s.keys}
	return out
}

// Range returns the rate of the range that starts at the point.
func (l Loads) Range(service string, start keyspace.Point) float64 {
	return l.services[service].ranges[start]
}

// hottestKey returns the busiest key between two points, both included.
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

// total returns the rate of all ranges of a service.
func (l Loads) total(service string) float64 {
	sum := 0.0
	for _, rate := range l.services[service].ranges {
		sum += rate
	}
	return sum
}

// Balance is how evenly a service's targets are used, from measured load.
type Balance struct {
	Service   string  `json:"service"`
	Requests  float64 `json:"requests"`  // a second
	Imbalance float64 `json:"imbalance"` // busiest target over the mean
	Ranges    int     `json:"ranges"`
	Moved     uint64  `json:"moved"` // ranges that went from one target to another
}

// Balances returns how evenly each keyed service's targets are used.
func (l Loads) Balances(s State) []Balance {
	var out []Balance
	for _, t := range s.tables {
		w := weigh(s, l, t.service, t.keys)
		busiest, sum := 0.0, 0.0
		for _, x := range w.targets {
			busiest = max(busiest, x.rate)
			sum += x.rate
		}
		b := Balance{Service: t.service, Requests: sum, Ranges: t.keys.Len(), Moved: t.moved}
		if sum > 0 {
			b.Imbalance = busiest / (sum / float64(len(w.targets)))
		}
		out = append(out, b)
	}
	return out
}
