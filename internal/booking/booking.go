// Package booking is the replicated record of bookings: for each idempotency
// key whether it was started and what came of it. A booking is started at most
// once. The state is immutable and changes only by applying committed commands.
package booking

import (
	"slices"

	"github.com/benbjohnson/immutable"

	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// Phase is what is known of a booking.
type Phase string

// Phases of a booking. A booking that did not run may be started again.
const (
	Started Phase = "started"
	Done    Phase = "done"
	NotRun  Phase = "not_run"
	Unknown Phase = "unknown"
)

// Answer is a target's whole answer.
type Answer struct {
	Status int      `msgpack:"status"`
	Header []Header `msgpack:"header"`
	Body   []byte   `msgpack:"body"`
	// Dropped says that the body was longer than the configuration allows to store.
	Dropped bool `msgpack:"dropped"`
}

// Header is one header line of an answer.
type Header struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Record is what the log knows of one idempotency key.
type Record struct {
	Attempt     string `msgpack:"attempt"`     // ID of the latest attempt
	Fingerprint string `msgpack:"fingerprint"` // of the request
	Phase       Phase  `msgpack:"phase"`
	Patience    int64  `msgpack:"patience"` // milliseconds until a started booking is unknown
	Answer      Answer `msgpack:"answer"`
	EndAge      uint64 `msgpack:"end_age"` // age in which it ended
}

// Command is one entry of a booking log; exactly one field is set.
type Command struct {
	Start  *Start  `msgpack:"start,omitempty"`
	Finish *Finish `msgpack:"finish,omitempty"`
	Age    *Age    `msgpack:"age,omitempty"`
	Peek   string  `msgpack:"peek,omitempty"` // key to read; never appended to the log
}

// Start asks for the right to send a booking to its target.
type Start struct {
	Key         string `msgpack:"key"`
	Attempt     string `msgpack:"attempt"`
	Fingerprint string `msgpack:"fingerprint"`
	Patience    int64  `msgpack:"patience"` // milliseconds
}

// Finish records what came of an attempt.
type Finish struct {
	Key     string `msgpack:"key"`
	Attempt string `msgpack:"attempt"`
	Phase   Phase  `msgpack:"phase"`
	Answer  Answer `msgpack:"answer"`
}

// Age drops the finished records that are older than Keep ages.
type Age struct {
	Keep uint64 `msgpack:"keep"`
}

// Verdict is the answer to a Start.
type Verdict string

// Verdicts. Only Go allows the booking to be sent.
const (
	Go         Verdict = "go"
	Replay     Verdict = "replay"
	InProgress Verdict = "in_progress"
	Uncertain  Verdict = "unknown"
	Mismatch   Verdict = "mismatch"
)

// Result is what a command's proposer learns.
type Result struct {
	Verdict Verdict `msgpack:"verdict"`
	Record  Record  `msgpack:"record"`
}

// State is the record of one booking log.
type State struct {
	records *immutable.Map[string, Record]
	open    *immutable.Map[string, string]                        // key to attempt, of started bookings
	ages    *immutable.SortedMap[uint64, *immutable.List[string]] // keys by age of their end
	age     uint64
}

// New returns an empty state.
func New() State {
	return State{
		records: immutable.NewMap[string, Record](nil),
		open:    immutable.NewMap[string, string](nil),
		ages:    immutable.NewSortedMap[uint64, *immutable.List[string]](nil),
	}
}

// Len returns the number of records.
func (s State) Len() int { return s.records.Len() }

// Record returns what is known of a key.
func (s State) Record(key string) (Record, bool) { return s.records.Get(key) }

// Open returns the attempts that have not ended, by key.
func (s State) Open() map[string]string {
	out := make(map[string]string, s.open.Len())
	for itr := s.open.Iterator(); !itr.Done(); {
		key, attempt, _ := itr.Next()
		out[key] = attempt
	}
	return out
}

// Apply returns the state after the command at the log index.
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
	case c.Age != nil:
		s = s.grow(c.Age.Keep)
	}
	return s, wire.Encode(result)
}

// start gives the right to send to the first attempt for a key, and to the
// next one after an attempt that is proved not to have run.
func (s State) start(c Start) (State, Result) {
	r, ok := s.records.Get(c.Key)
	if !ok || (r.Phase == NotRun && r.Fingerprint == c.Fingerprint && r.Attempt != c.Attempt) {
		r = Record{Attempt: c.Attempt, Fingerprint: c.Fingerprint, Phase: Started, Patience: c.Patience}
		s.records = s.records.Set(c.Key, r)
		s.open = s.open.Set(c.Key, c.Attempt)
		return s, Result{Verdict: Go, Record: r}
	}
	return s, Result{Verdict: r.verdict(c), Record: r}
}

// verdict answers a start for a key that has a record.
func (r Record) verdict(c Start) Verdict {
	switch {
	case r.Fingerprint != c.Fingerprint:
		return Mismatch
	case r.Attempt == c.Attempt && r.Phase == Started:
		return Go // the same attempt, whose first answer was lost
	case r.Phase == Started:
		return InProgress
	case r.Phase == Done:
		return Replay
	default:
		return Uncertain
	}
}

// finish records an attempt's end. A late answer turns unknown into done; a
// known end never changes.
func (s State) finish(c Finish) (State, Result) {
	r, ok := s.records.Get(c.Key)
	if !ok || r.Attempt != c.Attempt || !mayFollow(r.Phase, c.Phase) {
		return s, Result{Record: r}
	}
	r.Phase = c.Phase
	r.Answer = c.Answer
	r.EndAge = s.age
	s.records = s.records.Set(c.Key, r)
	s.open = s.open.Delete(c.Key)
	return s.noteEnd(c.Key), Result{Record: r}
}

func mayFollow(from, to Phase) bool {
	switch from {
	case Started:
		return to != Started
	case Unknown:
		return to == Done
	default:
		return false
	}
}

func (s State) noteEnd(key string) State {
	keys, ok := s.ages.Get(s.age)
	if !ok {
		keys = immutable.NewList[string]()
	}
	s.ages = s.ages.Set(s.age, keys.Append(key))
	return s
}

// grow begins the next age and forgets what ended more than keep ages ago. An
// unknown booking is kept as long as a done one.
func (s State) grow(keep uint64) State {
	s.age++
	for itr := s.ages.Iterator(); !itr.Done(); {
		age, keys, _ := itr.Next()
		if age+keep >= s.age {
			break
		}
		s = s.forget(age, keys)
	}
	return s
}

func (s State) forget(age uint64, keys *immutable.List[string]) State {
	for itr := keys.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		if r, ok := s.records.Get(key); ok && r.Phase != Started && r.EndAge == age {
			s.records = s.records.Delete(key)
		}
	}
	s.ages = s.ages.Delete(age)
	return s
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Age     uint64      `msgpack:"age"`
	Records []keyRecord `msgpack:"records"`
	Ages    []ageKeys   `msgpack:"ages"`
}

type keyRecord struct {
	Key    string `msgpack:"key"`
	Record Record `msgpack:"record"`
}

type ageKeys struct {
	Age  uint64   `msgpack:"age"`
	Keys []string `msgpack:"keys"`
}

// Encode returns the state in the form that Decode reads.
func (s State) Encode() []byte {
	out := snapshot{Age: s.age}
	for itr := s.records.Iterator(); !itr.Done(); {
		key, r, _ := itr.Next()
		out.Records = append(out.Records, keyRecord{Key: key, Record: r})
	}
	for itr := s.ages.Iterator(); !itr.Done(); {
		age, keys, _ := itr.Next()
		out.Ages = append(out.Ages, ageKeys{Age: age, Keys: listOf(keys)})
	}
	return wire.Encode(out)
}

func listOf(keys *immutable.List[string]) []string {
	out := make([]string, 0, keys.Len())
	for itr := keys.Iterator(); !itr.Done(); {
		_, key := itr.Next()
		out = append(out, key)
	}
	return out
}

// Decode reads what Encode returned.
func Decode(data []byte) (State, error) {
	var in snapshot
	if err := wire.Decode(data, &in); err != nil {
		return State{}, err
	}
	s := New()
	s.age = in.Age
	for _, r := range in.Records {
		s.records = s.records.Set(r.Key, r.Record)
		if r.Record.Phase == Started {
			s.open = s.open.Set(r.Key, r.Record.Attempt)
		}
	}
	for _, a := range in.Ages {
		s.ages = s.ages.Set(a.Age, immutable.NewList(slices.Clone(a.Keys)...))
	}
	return s, nil
}
