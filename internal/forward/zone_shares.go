package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/overflow"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// zoneSharesValidity is for how long the leader's shares of requests that leave the zone
	// count: for the time of an election and until a new leader has heard from all entries.
	zoneSharesValidity = 2500 * time.Millisecond
	// headBytes is the assumed size of the heads of a request and its response.
	headBytes = 800
)

// zoneAdvice holds the leader's shares of requests that leave the entry's zone.
type zoneAdvice struct {
	shares map[string]overflow.Shares // by service
	at     timer.Instant
}

// fresh reports whether the shares are to be followed.
func (a *zoneAdvice) fresh(now timer.Instant) bool {
	return a != nil && now.Sub(a.at) < zoneSharesValidity
}

// adoptZoneShares stores the shares that the leader advises.
func (s *Server) adoptZoneShares(r *instance.ReportResponse) {
	if !r.ZoneSharesKnown {
		return
	}
	a := &zoneAdvice{shares: make(map[string]overflow.Shares, len(r.ZoneShares)), at: s.cfg.Clock.Now()}
	for service, row := range r.ZoneShares {
		shares := make(map[string]float64, len(row))
		for zone, share := range row {
			shares[zone] = float64(share)
		}
		a.shares[service] = overflow.Shares{s.cfg.AvailabilityZone: shares}
	}
	s.zoneAdvice.Store(a)
}

// zoneFor returns the availability zone whose targets a request to the service goes to first:
// one that is drawn by the leader's shares, else the entry's own zone. It reports whether the
// leader decides, so that other zones are not asked.
func (s *Server) zoneFor(service string) (zone string, decided bool) {
	a := s.zoneAdvice.Load()
	if !a.fresh(s.cfg.Clock.Now()) {
		return s.cfg.AvailabilityZone, false
	}
	return a.shares[service].Choose(s.cfg.AvailabilityZone, rand.Float64()), true
}

// zonesFor returns the availability zones whose pools are asked for a request, in their order.
// The load that it answers is demand above the room of the entry's zone: what the zone can't
// serve is rejected there while the leader decides how much leaves, because a zone that many
// entries turn to at once has no room for its own demand.
func (s *Server) zonesFor(c *call) []string {
	v := s.cfg.View.View()
	zones := slices.DeleteFunc(slices.Clone(s.cfg.Dispatcher.Zones(c.service.Name)), v.Evacuated)
	rand.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	own := s.cfg.AvailabilityZone
	first, decided := s.zoneFor(c.service.Name)
	if !slices.Contains(zones, first) {
		first = own
	}
	order := func(zone string) int {
		switch zone {
		case first:
			return 0
		case own:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(zones, func(a, b string) int { return order(a) - order(b) })
	if decided && (s.hasTargetIn(c, first) || s.hasTargetIn(c, own)) {
		zones = slices.DeleteFunc(zones, func(zone string) bool { return zone != first && zone != own })
	}
	return zones
}

// hasTargetIn reports whether the zone has a target to which the request may be sent, as far
// as this entry knows.
func (s *Server) hasTargetIn(c *call, zone string) bool {
	for _, t := range s.cfg.View.View().Usable(c.service.Name) {
		if t.AvailabilityZone == zone && !slices.Contains(c.excluded, t.ID) && s.targets.mayAsk(t) {
			return true
		}
	}
	return false
}

// demandCounts counts the demand for services without keys, and where it was served.
type demandCounts struct {
	mu           sync.Mutex
	sinceReport  map[string]instance.ServiceDemand // by service
	stayed, left map[string]uint64                 // requests sent to targets of this and other zones, by service
}

func newDemandCounts() *demandCounts {
	return &demandCounts{sinceReport: make(map[string]instance.ServiceDemand), stayed: make(map[string]uint64), left: make(map[string]uint64)}
}

// take returns the demand since the last call.
func (d *demandCounts) take() []instance.ServiceDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []instance.ServiceDemand
	for _, service := range slices.Sorted(maps.Keys(d.sinceReport)) {
		out = append(out, d.sinceReport[service])
	}
	clear(d.sinceReport)
	return out
}

func (d *demandCounts) add(x instance.ServiceDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.sinceReport[x.Service]
	sum.Service = x.Service
	sum.Requests += x.Requests
	sum.Sent += x.Sent
	sum.Bytes += x.Bytes
	sum.Slowdown += x.Slowdown
	d.sinceReport[x.Service] = sum
}

func (d *demandCounts) countZone(service string, stayed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stayed {
		d.stayed[service]++
	} else {
		d.left[service]++
	}
}

// countsDemand reports whether the request counts as demand of this zone: another entry counts
// those that it passes on.
func (s *Server) countsDemand(c *call) bool { return !c.service.Keyed && !c.relayed && s.dispatching() }

// countDemand counts an admitted request.
func (s *Server) countDemand(c *call) {
	if s.countsDemand(c) {
		s.demand.add(instance.ServiceDemand{Service: c.service.Name, Requests: 1})
	}
}

// countAnswered counts the zone and the bytes of a request that was sent to a target.
func (s *Server) countAnswered(c *call, out response) {
	if c == nil || c.sent == 0 || c.target.ID == "" || !s.countsDemand(c) {
		return
	}
	bytes := headBytes + len(c.body)
	if !out.isHead {
		bytes += max(0, out.size())
	}
	slowdown, _ := c.result.slowdown()
	s.demand.add(instance.ServiceDemand{Service: c.service.Name, Sent: 1, Bytes: uint64(bytes), Slowdown: float32(slowdown - 1)})
	s.demand.countZone(c.service.Name, c.target.AvailabilityZone == s.cfg.AvailabilityZone)
}

// ZoneRequests returns the numbers of requests of this entry's callers to services without keys
// that were sent to targets of its zone and of other zones, by service.
func (s *Server) ZoneRequests() (stayed, left map[string]uint64) {
	s.demand.mu.Lock()
	defer s.demand.mu.Unlock()
	return maps.Clone(s.demand.stayed), maps.Clone(s.demand.left)
}
