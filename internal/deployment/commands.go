package deployment

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/suspect"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// Command is one entry of the log; exactly one field is set.
type Command struct {
	ConfigChange  *ConfigChange `msgpack:"order,omitempty"`
	Announce      *Target       `msgpack:"announce,omitempty"`
	Withdraw      *Incarnation  `msgpack:"withdraw,omitempty"`
	MarkSilent    *Incarnation  `msgpack:"silence,omitempty"`
	Forget        []Incarnation `msgpack:"forget,omitempty"`
	Assign        *Assign       `msgpack:"assign,omitempty"`
	Move          []RangeRef    `msgpack:"move,omitempty"`
	CrashReport   *CrashReport  `msgpack:"blame,omitempty"`
	ClearSuspects []string      `msgpack:"pardon,omitempty"` // fingerprints that are no longer suspected
}

// Incarnation identifies one start of a target's process.
type Incarnation struct {
	ID          string `msgpack:"id"`
	StartMillis int64  `msgpack:"born" json:"Born"` // Unix milliseconds of the start
}

// CrashReport records the requests that were in flight at a target when it
// crashed, and clears suspected ones that were answered since.
type CrashReport struct {
	Incarnation  Incarnation `msgpack:"life" json:"Life"`
	Fingerprints []string    `msgpack:"fingerprints"`
	Cleared      []string    `msgpack:"cleared"`
}

// RangeRef names keys of one range, with the fence that the command was planned
// for. A range that has changed since is left alone.
type RangeRef struct {
	Service string `msgpack:"service"`
	From    Key    `msgpack:"from"`
	To      Key    `msgpack:"to"`
	Fence   uint64 `msgpack:"fence"`
}

// Width returns the number of keys.
func (r RangeRef) Width() int { return int(r.To) - int(r.From) + 1 }

// Assign gives ranges that no target owns any more to new owners.
type Assign struct {
	Ranges []Assignment `msgpack:"pieces"`
}

// Assignment gives one range to an incarnation of a target.
type Assignment struct {
	Range    RangeRef    `msgpack:"piece" json:"Piece"`
	To       Incarnation `msgpack:"to"`
	Handover string      `msgpack:"handover"`
}

// Outcome is what became of a configuration change.
type Outcome string

// Outcomes of a configuration change.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict" // another version is in force than it builds on
	Invalid  Outcome = "invalid"
)

// Result is what a command's proposer learns.
type Result struct {
	Outcome Outcome `msgpack:"outcome"`
	Version uint64  `msgpack:"version"` // of the configuration in force
	Reason  string  `msgpack:"reason"`
}

// Apply returns the state after the command at the log index.
func (s State) Apply(index uint64, data []byte) (State, []byte) {
	var c Command
	if err := wire.Decode(data, &c); err != nil {
		return s, wire.Encode(Result{Outcome: Invalid, Reason: err.Error()})
	}
	s, result := s.apply(index, c)
	return s, wire.Encode(result)
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
	default:
		return s, Result{Outcome: Invalid, Reason: "command is empty"}
	}
}

// changeConfig takes an operator's change into force if it builds on the version in
// force and breaks no rule. A change that was accepted before is accepted again
// without effect.
func (s State) changeConfig(index uint64, o ConfigChange) (State, Result) {
	current := s.document.Version
	if slices.Contains(s.digests, o.Digest) {
		return s, Result{Outcome: Accepted, Version: current, Reason: "accepted before"}
	}
	if o.Base != current {
		return s, Result{Outcome: Conflict, Version: current, Reason: fmt.Sprintf("builds on version %d, but %d is in force", o.Base, current)}
	}
	next := o.ApplyTo(s.document)
	err := next.Validate()
	if o.Version <= current {
		err = errors.Join(&FieldError{Field: "version", Value: o.Version, Rule: fmt.Sprintf("must be above %d", current)}, err)
	}
	if err != nil {
		return s, Result{Outcome: Invalid, Version: current, Reason: err.Error()}
	}
	s.document, s.docIndex, s.version = next, index, index
	s.digests = append(slices.Clone(s.digests), o.Digest)
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

// announce takes a target's description of itself, unless a newer one of the
// same target, or a later incarnation at its address, is known.
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

// supersedes reports whether the announcement is newer than what is known of
// the target. An incarnation that has left never returns.
func supersedes(t, old Target) bool {
	if t.StartMillis != old.StartMillis {
		return t.StartMillis > old.StartMillis
	}
	return old.Status != Left && t.Sequence > old.Sequence
}

// withStatus changes the status of one incarnation of a target.
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

// forget drops targets that left and own no keys.
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
		}))
	}
	return s
}

// move marks keys whose owners will be asked to release them.
func (s State) move(index uint64, refs []RangeRef) State {
	for _, ref := range refs {
		table, ok := s.Table(ref.Service)
		if !ok || !table.covers(ref.From, ref.To, ref.Fence) {
			continue
		}
		p := table.Find(ref.From)
		if p.Phase != Owned {
			continue
		}
		p.From, p.To, p.Phase = ref.From, ref.To, Releasing
		s = s.withTable(table.withRange(index, p))
	}
	return s
}
