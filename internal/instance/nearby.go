package instance

import (
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// nearbyRetry is the time after a failure for which an instance is not preferred.
const nearbyRetry = 3 * time.Second

// Nearby tells which other instances run in the same availability zone as this one, as far as
// their responses told. Its methods are safe for concurrent use. A nil Nearby prefers none.
type Nearby struct {
	zone     string
	clock    timer.Clock
	mu       sync.Mutex
	zones    map[string]string        // by address
	failedAt map[string]timer.Instant // by address
}

// NewNearby returns a Nearby for an instance of the availability zone.
func NewNearby(zone string, clock timer.Clock) *Nearby {
	return &Nearby{zone: zone, clock: clock, zones: make(map[string]string), failedAt: make(map[string]timer.Instant)}
}

// Learn records the availability zone that the instance at the address told.
func (n *Nearby) Learn(address, zone string) {
	if n == nil || zone == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// Failed records that the instance at the address did not answer.
func (n *Nearby) Failed(address string) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failedAt[address] = n.clock.Now()
}

// Prefer returns those of the addresses that are to be used: the ones in the same
// availability zone that did not fail lately. If there are none, it returns those whose
// zone is not known yet, and else all of them.
func (n *Nearby) Prefer(addresses []string) []string {
	if n == nil {
		return addresses
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	var near, unknown []string
	for _, a := range addresses {
		if at, failed := n.failedAt[a]; failed && now.Sub(at) < nearbyRetry {
			continue
		}
		switch n.zones[a] {
		case n.zone:
			near = append(near, a)
		case "":
			unknown = append(unknown, a)
		}
	}
	switch {
	case len(near) > 0:
		return near
	case len(unknown) > 0:
		return unknown
	}
	return addresses
}

// IsNear reports whether the instance at the address is known to run in the same
// availability zone, and did not fail lately.
func (n *Nearby) IsNear(address string) bool {
	if n == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	at, failed := n.failedAt[address]
	return n.zones[address] == n.zone && (!failed || n.clock.Now().Sub(at) >= nearbyRetry)
}
