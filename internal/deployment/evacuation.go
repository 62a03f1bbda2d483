package deployment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

const (
	// MaxZoneBytes is the length of the longest name of an availability zone.
	MaxZoneBytes = 64
	// MaxEvacuated is the number of availability zones that may be evacuated at once.
	MaxEvacuated = 64
	// maxWithdrawn is the number of zones for which a withdrawal is remembered, so that a
	// call that arrives late does not undo it.
	maxWithdrawn = 64
)

// Evacuate evacuates an availability zone, or withdraws its evacuation.
type Evacuate struct {
	Zone     string `msgpack:"zone"`
	Withdraw bool   `msgpack:"withdraw,omitempty"`
	// Base is the log index up to which the deployment had been read when the operator's
	// call arrived. The command has no effect if a later call had the opposite aim.
	Base uint64 `msgpack:"base"`
}

// Evacuation is an evacuation of an availability zone that is in force.
type Evacuation struct {
	Zone  string `msgpack:"zone"`
	Index uint64 `msgpack:"index"` // log index of the command that put it into force
}

// zoneRecord is the last state that operators' calls gave an availability zone.
type zoneRecord struct {
	Zone      string `msgpack:"zone"`
	Withdrawn bool   `msgpack:"withdrawn,omitempty"`
	Index     uint64 `msgpack:"index"` // of the last change
	// Called is the log index that the last call for this state had read, or at which it
	// was committed if it changed the state. Calls that read less are earlier ones.
	Called uint64 `msgpack:"called"`
}

var (
	errZoneName     = fmt.Errorf("the name of an availability zone must have 1 to %d bytes", MaxZoneBytes)
	errTooManyZones = errors.New("too many availability zones are evacuated")
)

// ValidateZone returns an error unless the name can be that of an availability zone.
func ValidateZone(name string) error {
	if name == "" || len(name) > MaxZoneBytes {
		return fmt.Errorf("%w, not %d", errZoneName, len(name))
	}
	return nil
}

// Evacuated returns the evacuations in force, sorted by zone. The slice is shared and must
// not be changed.
func (s State) Evacuated() []Evacuation { return s.evacuated }

// EvacuatedIndex returns the log index of the last change of the evacuated zones.
func (s State) EvacuatedIndex() uint64 { return s.evacuatedIndex }

// IsEvacuated reports whether the availability zone is evacuated.
func (s State) IsEvacuated(zone string) bool {
	_, ok := slices.BinarySearchFunc(s.evacuated, zone, func(e Evacuation, zone string) int { return cmp.Compare(e.Zone, zone) })
	return ok
}

// WasEvacuated reports whether the availability zone was evacuated and that was withdrawn, as
// far as the state remembers.
func (s State) WasEvacuated(zone string) bool {
	i, ok := s.zoneIndex(zone)
	return ok && s.zones[i].Withdrawn && s.zones[i].Index > 0
}

func (s State) zoneIndex(zone string) (int, bool) {
	return slices.BinarySearchFunc(s.zones, zone, func(z zoneRecord, zone string) int { return cmp.Compare(z.Zone, zone) })
}

// evacuate applies an operator's call. A call for the state that the zone is in is
// accepted without effect, and one that is older than the last opposite call is not
// accepted.
func (s State) evacuate(index uint64, c Evacuate) (State, Result) {
	if err := ValidateZone(c.Zone); err != nil {
		return s, Result{Outcome: Invalid, Reason: err.Error()}
	}
	i, known := s.zoneIndex(c.Zone)
	record := zoneRecord{Zone: c.Zone, Withdrawn: true, Called: s.forgottenCalls}
	if known {
		record = s.zones[i]
	}
	changes := record.Withdrawn != c.Withdraw
	switch {
	case changes && record.Called > c.Base:
		return s, Result{Outcome: Conflict, Reason: fmt.Sprintf("a later call for zone %q was accepted at or after index %d, and this one had read index %d", c.Zone, record.Called, c.Base)}
	case changes && !c.Withdraw && len(s.evacuated) >= MaxEvacuated:
		return s, Result{Outcome: Invalid, Reason: fmt.Sprintf("%v: %d", errTooManyZones, len(s.evacuated))}
	case changes:
		record.Withdrawn, record.Index, record.Called = c.Withdraw, index, index
	default:
		record.Called = max(record.Called, c.Base)
	}
	s.zones = slices.Clone(s.zones)
	if known {
		s.zones[i] = record
	} else {
		s.zones = slices.Insert(s.zones, i, record)
	}
	s = s.withoutOldWithdrawal()
	if changes {
		s.evacuated, s.evacuatedIndex, s.version = evacuationsOf(s.zones), index, index
		return s, Result{Outcome: Accepted}
	}
	return s, Result{Outcome: Accepted, Reason: "in force before"}
}

// withoutOldWithdrawal drops the oldest withdrawal if there are more than maxWithdrawn. Calls
// for a zone without a record are then treated as if its withdrawal were the dropped one.
func (s State) withoutOldWithdrawal() State {
	if len(s.zones)-len(evacuationsOf(s.zones)) <= maxWithdrawn {
		return s
	}
	oldest := -1
	for i, z := range s.zones {
		if z.Withdrawn && (oldest < 0 || z.Called < s.zones[oldest].Called) {
			oldest = i
		}
	}
	s.forgottenCalls = max(s.forgottenCalls, s.zones[oldest].Called)
	s.zones = slices.Delete(s.zones, oldest, oldest+1)
	return s
}

func evacuationsOf(zones []zoneRecord) []Evacuation {
	var out []Evacuation
	for _, z := range zones {
		if !z.Withdrawn {
			out = append(out, Evacuation{Zone: z.Zone, Index: z.Index})
		}
	}
	return out
}
