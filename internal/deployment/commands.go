package deployment

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/suspect"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// Command is the content of a log record. Exactly one field is set.
type Command struct {
	ConfigChange  *ConfigChange `msgpack:"order,omitempty"`
	Announce      *Target       `msgpack:"announce,omitempty"`
	Withdraw      *Incarnation  `msgpack:"withdraw,omitempty"`
	MarkSilent    *Incarnation  `msgpack:"silence,omitempty"`
	Forget        []Incarnation `msgpack:"forget,omitempty"`
	Assign        *Assign       `msgpack:"assign,omitempty"`
	Move          []RangeRef    `msgpack:"move,omitempty"`
	CrashReport   *CrashReport  `msgpack:"blame,omitempty"`
	ClearSuspects []string      `msgpack:"pardon,omitempty"` // fingerprints
	Evacuate      *Evacuate     `msgpack:"evacuate,omitempty"`
	RaiseLevel    *RaiseLevel   `msgpack:"raise_level,omitempty"`
}

// Incarnation identifies one start of a target's process.
type Incarnation struct {
	ID          string `msgpack:"id"`
	StartMillis int64  `msgpack:"born" json:"Born"` // Unix milliseconds of the start
}

// CrashReport names the kinds of requests that were in flight at a target when it
// crashed, and the suspects to clear since they were answered.
type CrashReport struct {
	Incarnation  Incarnation `msgpack:"life" json:"Life"`
	Fingerprints []string    `msgpack:"fingerprints"`
	Cleared      []string    `msgpack:"cleared"`
}

// RangeRef refers to keys of one range, with the range's fence at planning. A command
// skips keys that have another fence by the time it is applied.
type RangeRef struct {
	Service string `msgpack:"service"`
	From    Key    `msgpack:"from"`
	To      Key    `msgpack:"to"`
	Fence   uint64 `msgpack:"fence"`
}

// Width returns the number of keys.
func (r RangeRef) Width() int { return int(r.To) - int(r.From) + 1 }

// Assign gives ranges to owners, under a new fence.
type Assign struct {
	Ranges []Assignment `msgpack:"pieces"`
}

// Assignment gives one range to an incarnation of a target.
type Assignment struct {
	Range    RangeRef    `msgpack:"piece" json:"Piece"`
	To       Incarnation `msgpack:"to"`
	Handover string      `msgpack:"handover"`
	// Sequence is that of the last heartbeat received from the new owner.
	Sequence uint64 `msgpack:"sequence,omitempty"`
}

// ChangeOutcome is the outcome of a configuration change.
type ChangeOutcome string

// Outcomes of a configuration change.
const (
	Accepted ChangeOutcome = "accepted"
	Conflict ChangeOutcome = "conflict" // its base is not the version in force, or a later call had the opposite aim
	Invalid  ChangeOutcome = "invalid"
)

// Result is the response to a command's proposer.
type Result struct {
	Outcome ChangeOutcome `msgpack:"outcome"`
	Version uint64        `msgpack:"version"` // of the configuration in force
	Reason  string        `msgpack:"reason"`
}

// Apply is TryApply for callers that have no use for the error.
func (s State) Apply(index uint64, data []byte) (State, []byte) {
	next, value, err := s.TryApply(index, data)
	if err != nil {
		return s, wire.Encode(Result{Outcome: Invalid, Reason: err.Error()})
	}
	return next, value
}

// TryApply returns the state after the encoded command at a log index, and the encoded
// Result. The error matches ErrUnknownRecord if the command has a field that this build
// does not know, also within another field, or a value of another type, or if it raises
// the feature level above that of this build. Unknown values of known types, such as a
// route's kind, are not detected: they need a level that was raised before.
func (s State) TryApply(index uint64, data []byte) (State, []byte, error) {
	var c Command
	if err := wire.DecodeStrict(data, &c); err != nil {
		return s, nil, fmt.Errorf("%w: %w", ErrUnknownRecord, err)
	}
	if c.RaiseLevel != nil {
		next, err := s.raiseLevel(index, *c.RaiseLevel)
		return next, wire.Encode(Result{}), err
	}
	s, result := s.apply(index, c)
	return s, wire.Encode(result), nil
}

func (s State) apply(index uint64, c Command) (State, Result) {
	switch {
	case c.ConfigChange != nil:
		return s.changeConfig(index, *c.ConfigChange)
	case c.Announce != nil:
		return s.announce(index, *c.Announce), Result{}
	case c.Withdraw != nil:
		return s.withStatus(index, *c.Withdraw, Left), Result{}
	case c.MarkSilent != nil:
		return s.withStatus(index, *c.MarkSilent, Silent), Result{}
	case len(c.Forget) > 0:
		return s.forget(index, c.Forget), Result{}
	case c.Assign != nil:
		return s.assign(index, *c.Assign), Result{}
	case c.CrashReport != nil:
		s.suspects = suspect.WithCrash(s.suspects, index, c.CrashReport.Incarnation, c.CrashReport.Fingerprints, c.CrashReport.Cleared)
		s.suspectsIndex, s.version = index, index
		return s, Result{}
	case len(c.ClearSuspects) > 0:
		s.suspects = slices.DeleteFunc(slices.Clone(s.suspects), func(x Suspect) bool { return slices.Contains(c.ClearSuspects, x.Fingerprint) })
		s.suspectsIndex, s.version = index, index
		return s, Result{}
	case len(c.Move) > 0:
		return s.move(index, c.Move), Result{}
	case c.Evacuate != nil:
		return s.evacuate(index, *c.Evacuate)
	default:
		return s, Result{Outcome: Invalid, Reason: "command is empty"}
	}
}

// AcceptedBefore returns the result of an operator's change that is part of the state already,
// or false if it is none.
func (s State) AcceptedBefore(change ConfigChange) (Result, bool) {
	if !slices.Contains(s.digests, change.Digest) {
		return Result{}, false
	}
	return Result{Outcome: Accepted, Version: s.config.Version, Reason: "accepted before"}, true
}

// changeConfig puts a configuration change into force if it is valid and based on
// the version in force. A resend of an accepted change is accepted without effect.
func (s State) changeConfig(index uint64, change ConfigChange) (State, Result) {
	current := s.config.Version
	if result, ok := s.AcceptedBefore(change); ok {
		return s, result
	}
	if change.Base != current {
		return s, Result{Outcome: Conflict, Version: current, Reason: fmt.Sprintf("is based on version %d, but version %d is in force", change.Base, current)}
	}
	next := change.ApplyTo(s.config)
	err := change.ValidateChange(next)
	if change.Version <= current {
		err = errors.Join(&FieldError{Field: "version", Value: change.Version, Rule: fmt.Sprintf("must be above %d", current)}, err)
	}
	if err != nil {
		return s, Result{Outcome: Invalid, Version: current, Reason: err.Error()}
	}
	s = s.withConfig(index, next)
	s.digests = append(slices.Clone(s.digests), change.Digest)
	if len(s.digests) > maxDigests {
		s.digests = s.digests[1:]
	}
	for _, svc := range next.Services {
		if _, ok := s.Table(svc.Name); !ok && svc.Keyed {
			s = s.withTable(NewKeyTable(svc.Name, index))
		}
	}
	return s, Result{Outcome: Accepted, Version: next.Version}
}

// announce records a target's announcement, unless a newer one of the same target is
// known, or another target with a later start has announced the same address. It marks
// other targets with earlier starts at the address as left.
func (s State) announce(index uint64, t Target) State {
	if old, ok := s.Target(t.ID); ok && !supersedes(t, old) {
		return s
	}
	for _, other := range s.targets {
		if other.ID == t.ID || other.Address != t.Address || other.Status == Left {
			continue
		}
		if other.StartMillis > t.StartMillis {
			return s
		}
		other.Status = Left
		s = s.withTarget(index, other)
	}
	return s.withTarget(index, t)
}

// supersedes reports whether announcement t is newer than the recorded one. An
// incarnation that has left never returns.
func supersedes(t, old Target) bool {
	if t.StartMillis != old.StartMillis {
		return t.StartMillis > old.StartMillis
	}
	return old.Status != Left && t.Sequence > old.Sequence
}

// withStatus sets the status of a target if the incarnation is the current one and
// has not left. Only a live target becomes silent.
func (s State) withStatus(index uint64, incarnation Incarnation, status Status) State {
	t, ok := s.Target(incarnation.ID)
	if !ok || t.StartMillis != incarnation.StartMillis || t.Status == Left || t.Status == status {
		return s
	}
	if status == Silent && t.Status != Live {
		return s
	}
	t.Status = status
	return s.withTarget(index, t)
}

// Withdrawal returns the command that records the end of an incarnation, or false if the state has
// it already. An incarnation that has left never returns, so that this holds for all later states.
// One that is not known is recorded too: its announcement may come later.
func (s State) Withdrawal(incarnation Incarnation) (Command, bool) {
	t, known := s.Target(incarnation.ID)
	switch {
	case known && t.StartMillis > incarnation.StartMillis:
		return Command{}, false
	case known && t.StartMillis == incarnation.StartMillis:
		return Command{Withdraw: &incarnation}, t.Status != Left
	default:
		// Earlier builds apply an announcement like this one, and ignore the withdrawal of an
		// incarnation that they don't know.
		return Command{Announce: &Target{ID: incarnation.ID, StartMillis: incarnation.StartMillis, Service: t.Service, Status: Left}}, true
	}
}

// forget drops those of the incarnations that have left. The leader proposes only
// incarnations that own no keys.
func (s State) forget(index uint64, incarnations []Incarnation) State {
	s.targets = slices.DeleteFunc(slices.Clone(s.targets), func(t Target) bool {
		return t.Status == Left && slices.Contains(incarnations, Incarnation{ID: t.ID, StartMillis: t.StartMillis})
	})
	s.version = index
	return s
}

func (s State) assign(index uint64, a Assign) State {
	for _, x := range a.Ranges {
		table, ok := s.Table(x.Range.Service)
		t, known := s.Target(x.To.ID)
		if !ok || !table.covers(x.Range.From, x.Range.To, x.Range.Fence) || !known || t.StartMillis != x.To.StartMillis || !t.Usable() {
			continue
		}
		s = s.withTable(table.withRange(index, Range{
			From:        x.Range.From,
			To:          x.Range.To,
			Phase:       Owned,
			Target:      t.ID,
			StartMillis: t.StartMillis,
			Fence:       index,
			Handover:    x.Handover,

			OwnerSequence: x.Sequence,
		}))
	}
	if s.FeatureLevel() >= MergeLevel {
		for _, table := range s.tables {
			if table.Changed == index {
				s = s.withTable(table.merged(index))
			}
		}
	}
	return s
}

// move marks ranges as releasing: their owners will be asked to release them.
func (s State) move(index uint64, refs []RangeRef) State {
	for _, ref := range refs {
		table, ok := s.Table(ref.Service)
		if !ok || !table.covers(ref.From, ref.To, ref.Fence) {
			continue
		}
		r := table.Find(ref.From)
		if r.Phase != Owned {
			continue
		}
		r.From, r.To, r.Phase = ref.From, ref.To, Releasing
		s = s.withTable(table.withRange(index, r))
	}
	return s
}
