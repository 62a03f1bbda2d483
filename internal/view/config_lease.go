package view

import (
	"slices"
	"time"
)

// configLease tells whether an entry may serve by its configuration. Control instances
// confirm which configuration is the newest. A newer one must bind the entry within a bound
// after its acknowledgement, and it may be acknowledged right after a confirmation: so the
// entry may serve by its own until the bound after the last confirmation that named no newer
// one. All times are those of the boot clock.
type configLease struct {
	// unsupported reports that control instances are of a build that confirms nothing.
	unsupported bool
	index       uint64        // log index that accepted the entry's configuration
	validAt     time.Duration // when the last confirmation was made that named no newer one
	newer       []confirmation
	contact
}

// contact tells when control instances that know a leader were heard: from heardSince to
// heardAt without a long break. Without their messages the entry is not in touch: it can't be
// told of changes, and serves on from what it has. Times are those of the boot clock.
type contact struct{ heardSince, heardAt time.Duration }

// With returns the contact after a message.
func (c contact) With(at, bound time.Duration) contact {
	if c.heardAt == 0 || at-c.heardAt > bound/2 {
		c.heardSince = at
	}
	c.heardAt = at
	return c
}

// InTouch reports whether control instances have been heard for longer than the bound.
func (c contact) InTouch(now, bound time.Duration) bool {
	return c.heardAt > 0 && now-c.heardAt <= bound/2 && now-c.heardSince > bound
}

// confirmation says that the configuration was the newest at a moment.
type confirmation struct {
	index uint64
	at    time.Duration
}

// maxNewer bounds the confirmations of configurations that have not arrived yet.
const maxNewer = 64

// WithConfig returns the lease after a configuration has arrived.
func (l configLease) WithConfig(index uint64) configLease {
	l.index = index
	var newer []confirmation
	for _, c := range l.newer {
		if c.index > index {
			newer = append(newer, c)
		} else {
			l.validAt = max(l.validAt, c.at)
		}
	}
	l.newer = newer
	return l
}

// WithConfirmation returns the lease after a confirmation. An index of 0 stands for a control
// instance that does not know the newest configuration now.
func (l configLease) WithConfirmation(c confirmation) configLease {
	l.unsupported = false
	switch {
	case c.index == 0:
		return l
	case c.index <= l.index:
		l.validAt = max(l.validAt, c.at)
		return l
	}
	newer := slices.Clone(l.newer)
	if n := len(newer); n > 0 && newer[n-1].index == c.index {
		newer[n-1].at = max(newer[n-1].at, c.at)
	} else {
		newer = append(newer, c)
	}
	if len(newer) > maxNewer {
		newer = newer[1:] // the entry then counts as confirmed earlier than it was
	}
	l.newer = newer
	return l
}

// WithoutConfirmations returns the lease of an entry whose control instances are of a build
// that confirms no configurations.
func (l configLease) WithoutConfirmations() configLease {
	l.unsupported = true
	return l
}

// WithHeard returns the lease after a message of a control instance that knows a leader.
func (l configLease) WithHeard(at, bound time.Duration) configLease {
	l.contact = l.contact.With(at, bound)
	return l
}

// Valid reports whether the entry may serve by its configuration.
func (l configLease) Valid(now, bound time.Duration) bool {
	return now-l.validAt <= bound || !l.InTouch(now, bound)
}
