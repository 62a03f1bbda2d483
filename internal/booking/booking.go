// Package booking is the state machine of a booking log: for each idempotency
// key it records whether a booking was started and how it ended. A booking is
// started a second time only if the first attempt did not run. In this package an
// attempt is one caller's request for the booking: its entry may send it to several
// targets in turn, as long as it provably ran at none of them. The state is immutable
// and changes only by applying committed commands.
package booking

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// Phase is the recorded progress of a booking.
type Phase string

// Phases of a booking. A booking in phase NotRun may be started again; one in
// phase Unknown may have run.
const (
	Started Phase = "started"
	Done    Phase = "done"
	NotRun  Phase = "not_run"
	Unknown Phase = "unknown"
)

// Answer is a target's complete answer to a booking, as it is stored.
type Answer struct {
	Status int      `msgpack:"status"`
	Header []Header `msgpack:"header"`
	Body   []byte   `msgpack:"body"`
	// Dropped reports that the answer is stored without its body, which was
	// longer than the configuration allows.
	Dropped bool `msgpack:"dropped"`
}

// Header is one header line of an answer.
type Header struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Record is the state of the booking under one idempotency key.
type Record struct {
	Attempt       string `msgpack:"attempt"`     // ID of the latest attempt
	Fingerprint   string `msgpack:"fingerprint"` // of the request
	Phase         Phase  `msgpack:"phase"`
	TimeoutMillis int64  `msgpack:"patience"` // time until a started attempt becomes Unknown
	Answer        Answer `msgpack:"answer"`
	EndGeneration uint64 `msgpack:"end_age"` // generation in which the attempt ended
}

// Command is a request to a booking log; exactly one field is set.
type Command struct {
	Start  *Start  `msgpack:"start,omitempty"`
	Finish *Finish `msgpack:"finish,omitempty"`
	Expire *Expire `msgpack:"age,omitempty"`
	Peek   string  `msgpack:"peek,omitempty"` // key to read; never appended to the log
}

// Start asks for permission to send a booking to its target.
type Start struct {
	Key           string `msgpack:"key"`
	Attempt       string `msgpack:"attempt"`
	Fingerprint   string `msgpack:"fingerprint"`
	TimeoutMillis int64  `msgpack:"patience"`
}

// Finish records the end of an attempt.
type Finish struct {
	Key     string `msgpack:"key"`
	Attempt string `msgpack:"attempt"`
	Phase   Phase  `msgpack:"phase"`
	Answer  Answer `msgpack:"answer"`
}

// Expire begins a new generation and deletes the records of bookings that ended
// more than Keep generations ago.
type Expire struct {
	Keep uint64 `msgpack:"keep"`
}

// Verdict is the decision on a Start.
type Verdict string

// Verdicts on a Start. Only Proceed permits sending the booking.
const (
	Proceed        Verdict = "go"
	Replay         Verdict = "replay"      // an earlier attempt is Done; the record has its answer
	InProgress     Verdict = "in_progress" // another attempt has started and not ended
	OutcomeUnknown Verdict = "unknown"     // an earlier attempt may have run, or this one is NotRun
	Mismatch       Verdict = "mismatch"    // the key was used for another request
)

// Result is what a command returns: the verdict on a Start, and the key's record after
// the command.
type Result struct {
	Verdict Verdict `msgpack:"verdict"`
	Record  Record  `msgpack:"record"`
}

// State is the state of one booking log.
type State struct {
	records    *immutable.Map[string, Record]
	open       *immutable.Map[string, string]                        // IDs of started attempts, by key
	ended      *immutable.SortedMap[uint64, *immutable.List[string]] // keys by EndGeneration
	generation uint64
}

// New returns an empty state.
func New() State {
	return State{
		records: immutable.NewMap[string, Record](nil),
		open:    immutable.NewMap[string, string](nil),
		ended:   immutable.NewSortedMap[uint64, *immutable.List[string]](nil),
	}
}

// Len returns the number of records.
func (s State) Len() int { return s.records.Len() }

// Record returns the record of a key.
func (s State) Record(key string) (Record, bool) { return s.records.Get(key) }

// Open returns the IDs of the attempts in phase Started, by key.
func (s State) Open() map[string]string {
	out := make(map[string]string, s.open.Len())
	for itr := s.open.Iterator(); !itr.Done(); {
		key, attempt, _ := itr.Next()
		out[key] = attempt
	}
	return out
}

// Apply returns the state after an encoded command, and the encoded Result. A
// command that can't be decoded changes nothing and has no result.
func (s State) Apply(_ uint64, data []byte) (State, []byte) {
	var c Command
	if err := wire.Decode(data, &c); err != nil {
		return s, nil
	}
	var result Result
	switch {
	case c.Start != nil:
		s, result = s.start(*c.Start)
	case c.Finish != nil:
		s, result = s.finish(*c.Finish)
	case c.Expire != nil:
		s = s.expire(c.Expire.Keep)
	}
	return s, wire.Encode(result)
}

// start permits the first attempt under a key, and another attempt once the
// last one is known not to have run.
func (s State) start(c Start) (State, Result) {
	r, ok := s.records.Get(c.Key)
	if !ok || (r.Phase == NotRun && r.Fingerprint == c.Fingerprint && r.Attempt != c.Attempt) {
		r = Record{Attempt: c.Attempt, Fingerprint: c.Fingerprint, Phase: Started, TimeoutMillis: c.TimeoutMillis}
		s.records = s.records.Set(c.Key, r)
		s.open = s.open.Set(c.Key, c.Attempt)
		return s, Result{Verdict: Proceed, Record: r}
	}
	return s, Result{Verdict: r.verdictFor(c), Record: r}
}

// verdictFor decides on a start under a key that has a record.
func (r Record) verdictFor(c Start) Verdict {
	switch {
	case r.Fingerprint != c.Fingerprint:
		return Mismatch
	case r.Attempt == c.Attempt && r.Phase == Started:
		return Proceed // a retry, since the first verdict was lost
	case r.Phase == Started:
		return InProgress
	case r.Phase == Done:
		return Replay
	default:
		return OutcomeUnknown
	}
}

// finish records the end of the latest attempt. A late answer turns Unknown into
// Done; an attempt in phase Done or NotRun doesn't change.
func (s State) finish(c Finish) (State, Result) {
	r, ok := s.records.Get(c.Key)
	if !ok || r.Attempt != c.Attempt || !validTransition(r.Phase, c.Phase) {
		return s, Result{Record: r}
	}
	r.Phase = c.Phase
	r.Answer = c.Answer
	r.EndGeneration = s.generation
	s.records = s.records.Set(c.Key, r)
	s.open = s.open.Delete(c.Key)
	return s.addEnded(c.Key), Result{Record: r}
}

func validTransition(from, to Phase) bool {
	switch from {
	case Started:
		return to != Started
	case Unknown:
		return to == Done
	default:
		return false
	}
}

func (s State) addEnded(key string) State {
	keys, ok := s.ended.Get(s.generation)
	if !ok {
		keys = immutable.NewList[string]()
	}
	s.ended = s.ended.Set(s.generation, keys.Append(key))
	return s
}

// expire begins the next generation and deletes the records of bookings that
// ended more than keep generations ago, whether Done, NotRun or Unknown.
func (s State) expire(keep uint64) State {
	s.generation++
	for itr := s.ended.Iterator(); !itr.Done(); {
		generation, keys, _ := itr.Next()
		if generation+keep >= s.generation {
			break
		}
		s = s.deleteEnded(generation, keys)
	}
	return s
}

// deleteEnded deletes the records of the bookings that ended in the generation,
// except for those that have started or ended again since.
func (s State) deleteEnded(generation uint64, keys *immutable.List[string]) State {
	for itr := keys.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		if r, ok := s.records.Get(key); ok && r.Phase != Started && r.EndGeneration == generation {
			s.records = s.records.Delete(key)
		}
	}
	s.ended = s.ended.Delete(generation)
	return s
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Generation uint64           `msgpack:"age"`
	Records    []keyRecord      `msgpack:"records"`
	Ended      []generationKeys `msgpack:"ages"`
}

type keyRecord struct {
	Key    string `msgpack:"key"`
	Record Record `msgpack:"record"`
}

type generationKeys struct {
	Generation uint64   `msgpack:"age"`
	Keys       []string `msgpack:"keys"`
}

// Encode returns the state in the format that Decode reads.
func (s State) Encode() []byte {
	out := snapshot{Generation: s.generation}
	for itr := s.records.Iterator(); !itr.Done(); {
		key, r, _ := itr.Next()
		out.Records = append(out.Records, keyRecord{Key: key, Record: r})
	}
	for itr := s.ended.Iterator(); !itr.Done(); {
		generation, keys, _ := itr.Next()
		out.Ended = append(out.Ended, generationKeys{Generation: generation, Keys: toSlice(keys)})
	}
	return wire.Encode(out)
}

func toSlice(keys *immutable.List[string]) []string {
	out := make([]string, 0, keys.Len())
	for itr := keys.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		out = append(out, key)
	}
	return out
}

// Decode returns the state that Encode encoded.
func Decode(data []byte) (State, error) {
	var in snapshot
	if err := wire.Decode(data, &in); err != nil {
		return State{}, err
	}
	s := New()
	s.generation = in.Generation
	for _, r := range in.Records {
		s.records = s.records.Set(r.Key, r.Record)
		if r.Record.Phase == Started {
			s.open = s.open.Set(r.Key, r.Record.Attempt)
		}
	}
	for _, g := range in.Ended {
		s.ended = s.ended.Set(g.Generation, immutable.NewList(slices.Clone(g.Keys)...))
	}
	return s, nil
}
