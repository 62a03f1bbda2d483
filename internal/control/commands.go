package control

import (
	"fmt"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/suspect"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// Command is a command in the control log. Exactly one field is set.
type Command struct {
	Propose     *Propose     `msgpack:"propose,omitempty"`
	Vote        *Vote        `msgpack:"vote,omitempty"`
	Announce    *Announce    `msgpack:"announce,omitempty"`
	MarkLost    *MarkLost    `msgpack:"lose,omitempty"`
	Revoke      *Revoke      `msgpack:"revoke,omitempty"`
	Assign      *Assign      `msgpack:"assign,omitempty"`
	Activate    *Activate    `msgpack:"activate,omitempty"`
	Split       *Split       `msgpack:"split,omitempty"`
	CrashReport *CrashReport `msgpack:"blame,omitempty"`
}

// Announce records a target that has started, changed or begun to drain.
type Announce struct {
	Target Target `msgpack:"target"`
}

// MarkLost marks a target as lost because no heartbeat of it was received for
// Timing.HeartbeatTimeout.
type MarkLost struct {
	Incarnation keyspace.Owner `msgpack:"owner"`
}

// RangeRef identifies a range and the epoch at which a command was planned. A
// command skips ranges whose epoch has changed since.
type RangeRef struct {
	Service string         `msgpack:"service"`
	Start   keyspace.Point `msgpack:"start"`
	Epoch   uint64         `msgpack:"epoch"`
}

// Revoke takes ranges from their owners so that they can move to other targets.
type Revoke struct {
	Ranges []RangeRef `msgpack:"ranges"`
}

// Assign assigns unowned or revoked ranges to new owners.
type Assign struct {
	Ranges []RangeRef       `msgpack:"ranges"`
	Owners []keyspace.Owner `msgpack:"owners"` // one per range
}

// Activate records that an owner has confirmed the grants of ranges.
type Activate struct {
	Owner  keyspace.Owner `msgpack:"owner"`
	Ranges []RangeRef     `msgpack:"ranges"`
}

// Split splits a range in two at a point.
type Split struct {
	Range RangeRef       `msgpack:"range"`
	At    keyspace.Point `msgpack:"at"`
}

// CrashReport reports the kinds of requests that were in flight at a target when it
// crashed, and the suspects to clear.
type CrashReport struct {
	Incarnation  keyspace.Owner `msgpack:"owner"`
	Fingerprints []string       `msgpack:"fingerprints"`
	Cleared      []string       `msgpack:"cleared"` // fingerprints of suspects of which a request was answered since
}

// Result is the outcome of a command as its proposer receives it.
type Result struct {
	Change ChangeRecord `msgpack:"change"`
	Reason string       `msgpack:"fault"` // why the command failed; empty if it succeeded
}

// Apply returns the state after the encoded command at the log index, and the
// encoded Result.
func (s State) Apply(index uint64, data []byte) (State, []byte) {
	var c Command
	if err := wire.Decode(data, &c); err != nil {
		return s, wire.Encode(Result{Reason: err.Error()})
	}
	s, result := s.apply(index, c)
	return s, wire.Encode(result)
}

func (s State) apply(index uint64, c Command) (State, Result) {
	switch {
	case c.Propose != nil:
		return s.propose(*c.Propose)
	case c.Vote != nil:
		return s.vote(index, *c.Vote)
	case c.Announce != nil:
		return s.announce(index, c.Announce.Target), Result{}
	case c.MarkLost != nil:
		return s.markLost(index, c.MarkLost.Incarnation), Result{}
	case c.Revoke != nil:
		return s.revoke(index, c.Revoke.Ranges), Result{}
	case c.Assign != nil:
		return s.assign(index, *c.Assign), Result{}
	case c.Activate != nil:
		return s.activate(index, *c.Activate), Result{}
	case c.Split != nil:
		return s.split(index, *c.Split), Result{}
	case c.CrashReport != nil:
		return s.recordCrash(index, *c.CrashReport), Result{}
	default:
		return s, Result{Reason: "command is empty"}
	}
}

// announce records a target as it describes itself. A new incarnation proves that
// the previous one has ended, so the ranges of the previous one are revoked.
func (s State) announce(index uint64, t Target) State {
	old, known := s.Target(t.Name)
	t.Changed = index
	s.version = index
	if known && old.Incarnation != t.Incarnation {
		s = s.revokeOwner(index, old.Owner())
	}
	return s.withTarget(t)
}

func (s State) markLost(index uint64, lost keyspace.Owner) State {
	t, ok := s.Target(lost.Target)
	if !ok || t.Incarnation != lost.Incarnation || t.Status == TargetLost {
		return s
	}
	t.Status = TargetLost
	t.Changed = index
	s.version = index
	return s.withTarget(t).revokeOwner(index, lost)
}

// revokeOwner revokes all ranges of an owner that is lost or was replaced.
func (s State) revokeOwner(index uint64, owner keyspace.Owner) State {
	for _, t := range s.tables {
		var changed []keyspace.Range
		for _, r := range t.keys.All() {
			if r.Owner == owner && (r.Phase == keyspace.Active || r.Phase == keyspace.Assigned) {
				r.Phase, r.Epoch = keyspace.Revoking, index
				changed = append(changed, r)
			}
		}
		s = s.withRanges(index, t.service, changed)
	}
	return s
}

// withRanges replaces ranges of a service and sets the log index at which they
// changed.
func (s State) withRanges(index uint64, service string, changed []keyspace.Range) State {
	keys, ok := s.Table(service)
	if !ok || len(changed) == 0 {
		return s
	}
	for i := range changed {
		changed[i].Changed = index
	}
	next, err := keys.WithRanges(changed...)
	if err != nil {
		return s
	}
	s.version = index
	return s.withTable(service, next)
}

// changeRanges edits the referenced ranges, except those whose epoch has changed
// since the command was planned. The edit function returns false to skip a range.
func (s State) changeRanges(index uint64, refs []RangeRef, edit func(i int, r keyspace.Range) (keyspace.Range, bool)) State {
	changed := make(map[string][]keyspace.Range)
	for i, ref := range refs {
		r, ok := s.currentRange(ref)
		if !ok {
			continue
		}
		if r, ok = edit(i, r); ok {
			changed[ref.Service] = append(changed[ref.Service], r)
		}
	}
	for _, t := range s.tables {
		s = s.withRanges(index, t.service, changed[t.service])
	}
	return s
}

func (s State) currentRange(ref RangeRef) (keyspace.Range, bool) {
	keys, ok := s.Table(ref.Service)
	if !ok {
		return keyspace.Range{}, false
	}
	r, err := keys.Find(ref.Start)
	return r, err == nil && r.Epoch == ref.Epoch
}

func (s State) revoke(index uint64, refs []RangeRef) State {
	return s.changeRanges(index, refs, func(_ int, r keyspace.Range) (keyspace.Range, bool) {
		if r.Phase != keyspace.Active {
			return r, false
		}
		r.Phase, r.Epoch = keyspace.Revoking, index
		return r, true
	})
}

func (s State) assign(index uint64, a Assign) State {
	if len(a.Owners) != len(a.Ranges) {
		return s
	}
	moved := make(map[string]uint64)
	var previous []string // targets that lost ranges to others
	s = s.changeRanges(index, a.Ranges, func(i int, r keyspace.Range) (keyspace.Range, bool) {
		t, ok := s.Target(a.Owners[i].Target)
		if !ok || t.Owner() != a.Owners[i] || t.Status != TargetLive {
			return r, false
		}
		if r.Phase != keyspace.Unowned && r.Phase != keyspace.Revoking {
			return r, false
		}
		if r.Owner.Target != "" && r.Owner.Target != t.Name {
			moved[t.Service]++
			previous = append(previous, r.Owner.Target)
		}
		r.Owner, r.Phase, r.Epoch = a.Owners[i], keyspace.Assigned, index
		return r, true
	})
	return s.withMoveCounts(moved).withChangedTargets(index, previous)
}

// withChangedTargets sets the log index of the last change of targets that lost
// ranges. The leader must send them new grants until they confirm them, although
// no range refers to them any more.
func (s State) withChangedTargets(index uint64, names []string) State {
	for _, name := range names {
		if t, ok := s.Target(name); ok && t.Changed != index {
			t.Changed = index
			s = s.withTarget(t)
		}
	}
	return s
}

// withMoveCounts adds to each service's number of moved ranges.
func (s State) withMoveCounts(moved map[string]uint64) State {
	s.tables = slices.Clone(s.tables)
	for i := range s.tables {
		s.tables[i].moved += moved[s.tables[i].service]
	}
	return s
}

func (s State) activate(index uint64, a Activate) State {
	return s.changeRanges(index, a.Ranges, func(_ int, r keyspace.Range) (keyspace.Range, bool) {
		if r.Phase != keyspace.Assigned || r.Owner != a.Owner {
			return r, false
		}
		r.Phase = keyspace.Active
		return r, true
	})
}

// split splits a range. Both parts keep their owner and epoch.
func (s State) split(index uint64, c Split) State {
	r, ok := s.currentRange(c.Range)
	keys, _ := s.Table(c.Range.Service)
	if !ok || r.Phase != keyspace.Active || keys.Lookup(c.At).Start != r.Start {
		return s
	}
	next, err := keys.WithSplit(c.At)
	if err != nil {
		return s
	}
	s.version = index
	return s.withLayout(index, c.Range.Service, next)
}

// recordCrash counts a target's crash against the requests that were in flight.
func (s State) recordCrash(index uint64, report CrashReport) State {
	s.suspects = suspect.WithCrash(s.suspects, index, report.Incarnation, report.Fingerprints, report.Cleared)
	s.version = index
	return s
}

// withConfig applies an accepted configuration. New keyed services get a table.
// Services that are removed or no longer keyed lose theirs.
func (s State) withConfig(index uint64, a AcceptedConfig, parsed config.Config) State {
	s.history = append(slices.Clone(s.history), a)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	s.config = parsed
	s.version = index
	s.tables = slices.DeleteFunc(slices.Clone(s.tables), func(t serviceTable) bool {
		service, ok := parsed.Service(t.service)
		return !ok || !service.Keyed()
	})
	for _, service := range parsed.Services {
		if _, ok := s.Table(service.Name); !ok && service.Keyed() {
			s = s.withLayout(index, service.Name, keyspace.New(service.Ranges))
		}
	}
	return s
}

// failf returns the result of a command that failed for the reason.
func failf(format string, args ...any) Result { return Result{Reason: fmt.Sprintf(format, args...)} }
