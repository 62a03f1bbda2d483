package view

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

const (
	// ownerGrace is the time for which requests still go to the owners of keys in a zone
	// after the entry has learned of its evacuation, since most keys have no other owner yet.
	ownerGrace = time.Second
	// maxLearnedAge is the longest time for which the view may not have been confirmed when
	// the entry learns of an evacuation. Behind an older view the evacuation may have been
	// in force for long, and no requests go to owners there.
	maxLearnedAge = time.Second
)

// evacuation is an evacuation in force as the entry knows it.
type evacuation struct {
	index       uint64    // log index of the command that put it into force
	ownersUntil time.Time // until when owners of keys there get requests; zero for not at all
}

// Evacuated reports whether an availability zone is evacuated.
func (v *View) Evacuated(zone string) bool {
	_, ok := v.evacuated[zone]
	return ok
}

// EvacuatedZones returns the number of evacuated zones.
func (v *View) EvacuatedZones() int { return len(v.evacuated) }

// OwnerAllowed reports whether requests may go to the owner of their key, as far as the
// evacuation of its availability zone tells.
func (v *View) OwnerAllowed(t deployment.Target, now time.Time) bool {
	e, ok := v.evacuated[t.AvailabilityZone]
	return !ok || now.Before(e.ownersUntil)
}

// applyEvacuated replaces the evacuated zones.
func (v *View) applyEvacuated(u *instance.ViewUpdate) {
	before := v.evacuated
	v.EvacuatedVersion = u.Version
	v.evacuated = make(map[string]evacuation, len(u.Evacuated))
	for _, e := range u.Evacuated {
		next := evacuation{index: e.Index}
		if old, ok := before[e.Zone]; ok && old.index == e.Index {
			next = old
		}
		v.evacuated[e.Zone] = next
	}
}

// allowOwners lets requests go to the owners in zones whose evacuation is new since the
// other view, up to the given time.
func (v *View) allowOwners(old *View, until time.Time) {
	for zone, e := range v.evacuated {
		if before, ok := old.evacuated[zone]; !ok || before.index != e.index {
			e.ownersUntil = until
			v.evacuated[zone] = e
		}
	}
}

// confirmations tells for how long a view has been confirmed without a pause of more than
// maxLearnedAge. After a pause of the process, messages that are much older than they look
// may be read one after the other.
type confirmations struct{ first, last time.Time }

// With returns the confirmations after another one.
func (c confirmations) With(now time.Time) confirmations {
	if c.last.IsZero() || now.Sub(c.last) > maxLearnedAge {
		c.first = now
	}
	c.last = now
	return c
}

// Fresh reports whether the view has been confirmed all the time within maxLearnedAge.
func (c confirmations) Fresh(now time.Time) bool {
	return !c.last.IsZero() && now.Sub(c.last) <= maxLearnedAge && now.Sub(c.first) >= maxLearnedAge
}
