package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// peerExpiry is the time for which an entry is taken for a peer after the leader last
	// advised it. The leader advises only some entries at a time, and may be away.
	peerExpiry = 30 * time.Second
	// peerRest is the time for which a peer that can serve no request gets no other, if the
	// leader does not advise it again before.
	peerRest = 5 * time.Second
	// unreachablePeers is the number of peers in a row that can't be connected to, after
	// which this entry's own link is assumed to fail, and no peer is tried for linkRest. A
	// response within linkRest disproves that.
	unreachablePeers = 3
	linkRest         = time.Second
	// otherZonePeerCost is the cost of a peer in another availability zone, as a multiple
	// of that of one in the own zone with the same number of requests in flight.
	otherZonePeerCost = 1.5
)

// peers holds the other entries to which this one can pass requests on. Its methods are
// safe for concurrent use.
type peers struct {
	clock timer.Clock
	own   string // address at which this entry takes requests from others
	zone  string

	mu          sync.Mutex
	byAddress   map[string]*peer
	unreachable int // peers in a row
	servedAt    timer.Instant
	restUntil   timer.Instant
}

// peer is another entry.
type peer struct {
	instance.Peer
	advisedAt timer.Instant
	restUntil timer.Instant
	inFlight  int
}

func newPeers(clock timer.Clock, own, zone string) *peers {
	return &peers{clock: clock, own: own, zone: zone, byAddress: make(map[string]*peer)}
}

// Advise records peers that the leader advises, and forgets those that it has not advised
// for long.
func (p *peers) Advise(list []instance.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, advised := range list {
		if advised.Address == p.own {
			continue
		}
		known, ok := p.byAddress[advised.Address]
		if !ok {
			known = &peer{}
			p.byAddress[advised.Address] = known
		}
		known.Peer, known.advisedAt, known.restUntil = advised, now, 0
	}
	for address, known := range p.byAddress {
		if known.inFlight == 0 && now.Sub(known.advisedAt) > peerExpiry {
			delete(p.byAddress, address)
		}
	}
}

// Available reports whether any peer can be sent a request now.
func (p *peers) Available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now < p.restUntil {
		return false
	}
	for _, known := range p.byAddress {
		if now >= known.restUntil {
			return true
		}
	}
	return false
}

// Take returns the address of a peer for a request, and false if there is none but the
// excluded ones. It takes the less busy one of two random peers. Done must be called with
// the address later.
func (p *peers) Take(excluded []string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now < p.restUntil {
		return "", false
	}
	var usable []*peer
	for address, known := range p.byAddress {
		if now >= known.restUntil && !slices.Contains(excluded, address) {
			usable = append(usable, known)
		}
	}
	if len(usable) == 0 {
		return "", false
	}
	best := usable[rand.IntN(len(usable))]
	if other := usable[rand.IntN(len(usable))]; p.cost(other) < p.cost(best) {
		best = other
	}
	best.inFlight++
	return best.Address, true
}

// cost returns the cost of passing a request on to the peer.
func (p *peers) cost(known *peer) float64 {
	cost := float64(known.inFlight + 1)
	if known.AvailabilityZone != p.zone {
		cost *= otherZonePeerCost
	}
	return cost
}

// Done ends a request that Take counted.
func (p *peers) Done(address string, outcome relayOutcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	known := p.byAddress[address]
	known.inFlight--
	switch outcome {
	case relayUnreachable:
		known.restUntil = now.Add(peerRest)
		if p.unreachable++; p.unreachable >= unreachablePeers && now.Sub(p.servedAt) > linkRest {
			p.unreachable, p.restUntil = 0, now.Add(linkRest)
		}
	case relayUnable:
		known.restUntil = now.Add(peerRest)
		p.unreachable = 0
	case relayServed, relayDeclined:
		p.unreachable, p.servedAt = 0, now
	}
}
