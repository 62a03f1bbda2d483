package replica

import "slices"

// HardState is what a replica must keep on disk besides its log.
type HardState struct {
	Term uint64 `msgpack:"term"`
	Vote ID     `msgpack:"vote"`
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota
	EntryEmpty
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	Index   uint64    `msgpack:"index"`
	Term    uint64    `msgpack:"term"`
	Kind    EntryKind `msgpack:"kind"`
	Data    []byte    `msgpack:"data"`
	Members Members   `msgpack:"members"`
}

// Member is a replica with its instance and the IP address that it listens on.
type Member struct {
	ID       ID     `msgpack:"id" json:"id"`
	Instance string `msgpack:"instance" json:"instance"`
	Address  string `msgpack:"address" json:"address"`
}

// Members is a group's membership. Learners receive the log and don't vote.
type Members struct {
	Voters   []Member `msgpack:"voters" json:"voters"`
	Learners []Member `msgpack:"learners" json:"learners"`
}

// All returns voters and learners.
func (m Members) All() []Member { return slices.Concat(m.Voters, m.Learners) }

// Find returns the member with the ID.
func (m Members) Find(id ID) (Member, bool) {
	all := m.All()
	i := slices.IndexFunc(all, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return all[i], true
}

// WithLearner returns the membership with the learner added.
func (m Members) WithLearner(x Member) Members {
	return Members{Voters: m.Voters, Learners: append(slices.Clone(m.Learners), x)}
}

// WithVoter returns the membership with the member as a voter.
func (m Members) WithVoter(x Member) Members {
	out := m.Without(x.ID)
	out.Voters = append(out.Voters, x)
	return out
}

// Without returns the membership without the replica.
func (m Members) Without(id ID) Members {
	same := func(x Member) bool { return x.ID == id }
	return Members{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), same),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), same),
	}
}

func (m Members) isVoter(id ID) bool {
	return slices.ContainsFunc(m.Voters, func(x Member) bool { return x.ID == id })
}

// voterChanges counts the voters that only one of the two memberships has.
func (m Members) voterChanges(other Members) int {
	n := 0
	for _, x := range m.Voters {
		if !other.isVoter(x.ID) {
			n++
		}
	}
	for _, x := range other.Voters {
		if !m.isVoter(x.ID) {
			n++
		}
	}
	return n
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index   uint64  `msgpack:"index"`
	Term    uint64  `msgpack:"term"`
	Members Members `msgpack:"members"`
	Data    []byte  `msgpack:"data"`
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteAck
	MsgVote
	MsgVoteAck
	MsgAppend
	MsgAppendAck
	MsgHeartbeat
	MsgHeartbeatAck
	MsgSnapshot
	MsgTimeoutNow
)

// Message is what two replicas of one group send each other.
type Message struct {
	Kind     MessageKind `msgpack:"kind"`
	From     ID          `msgpack:"from"`
	To       ID          `msgpack:"to"`
	Term     uint64      `msgpack:"term"`
	Index    uint64      `msgpack:"index"`    // append: entry before the first; acks: last matching
	LogTerm  uint64      `msgpack:"log_term"` // term of the entry at Index
	Commit   uint64      `msgpack:"commit"`
	Round    uint64      `msgpack:"round"` // read round of a heartbeat
	Reject   bool        `msgpack:"reject"`
	Transfer bool        `msgpack:"transfer"` // vote asked on the leader's order
	Entries  []Entry     `msgpack:"entries"`
	Snapshot *Snapshot   `msgpack:"snapshot"`
}

// Event is what can happen to a replica.
type Event interface{ isEvent() }

// Ticked says that one tick of time has passed.
type Ticked struct{}

// Received brings a message of another replica.
type Received struct{ Message Message }

// Proposed asks for a command to be appended. Token comes back in an Appended
// or Rejected effect.
type Proposed struct {
	Token uint64
	Data  []byte
}

// MembersProposed asks for a membership that differs in at most one voter.
type MembersProposed struct {
	Token   uint64
	Members Members
}

// ReadRequested asks for a read barrier.
type ReadRequested struct{ Token uint64 }

// TransferRequested asks the leader to hand over to another voter.
type TransferRequested struct{ To ID }

// Compacted says that the state machine's state up to an index was encoded, so
// that the log before it may go.
type Compacted struct {
	Index uint64
	Data  []byte
}

// Formed gives a replica without any state its group's first membership.
type Formed struct{ Members Members }

// StatusRequested asks for a StatusReported effect.
type StatusRequested struct{ Token uint64 }

func (Formed) isEvent()            {}
func (StatusRequested) isEvent()   {}
func (Ticked) isEvent()            {}
func (Received) isEvent()          {}
func (Proposed) isEvent()          {}
func (MembersProposed) isEvent()   {}
func (ReadRequested) isEvent()     {}
func (TransferRequested) isEvent() {}
func (Compacted) isEvent()         {}

// Effect is what a host carries out for a replica.
type Effect interface{ isEffect() }

// Persist asks for durable storage. Snapshot, then entries, then hard state
// replace what the disk holds; entries replace all from the first one's index.
type Persist struct {
	Hard     HardState
	Entries  []Entry
	Snapshot *Snapshot
}

// Send asks for a message to be sent; it may be lost.
type Send struct{ Message Message }

// Apply gives committed entries to the state machine, in order, once.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine's state.
type Restore struct{ Snapshot Snapshot }

// Appended says at which position a proposal stands. It is committed if an
// entry with this index and term is applied, and lost if one of another term is.
type Appended struct {
	Token, Index, Term uint64
}

// Rejected says that a proposal or read had no effect.
type Rejected struct {
	Token uint64
	Err   error
}

// ReadReady says that a state machine that has applied Index may answer the read.
type ReadReady struct{ Token, Index uint64 }

// RoleChanged reports a change of role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader ID
}

// MembersChanged reports the latest membership in the log.
type MembersChanged struct{ Members Members }

// StatusReported answers a StatusRequested event.
type StatusReported struct {
	Token  uint64
	Status Status
}

// Status is what a replica knows of its group. Peers is filled by a leader.
type Status struct {
	ID      ID           `msgpack:"id" json:"id"`
	Role    Role         `msgpack:"role" json:"role"`
	Term    uint64       `msgpack:"term" json:"term"`
	Leader  ID           `msgpack:"leader" json:"leader"`
	Commit  uint64       `msgpack:"commit" json:"commit"`
	Members Members      `msgpack:"members" json:"members"`
	Peers   []PeerStatus `msgpack:"peers" json:"peers"`
}

// PeerStatus is what a leader knows of one member.
type PeerStatus struct {
	ID       ID     `msgpack:"id" json:"id"`
	Match    uint64 `msgpack:"match" json:"match"`
	Alive    bool   `msgpack:"alive" json:"alive"`
	CaughtUp bool   `msgpack:"caught_up" json:"caught_up"`
}

// Peer returns what the leader knows of the member.
func (s Status) Peer(id ID) PeerStatus {
	for _, p := range s.Peers {
		if p.ID == id {
			return p
		}
	}
	return PeerStatus{ID: id}
}

func (MembersChanged) isEffect() {}
func (StatusReported) isEffect() {}
func (Persist) isEffect()        {}
func (Send) isEffect()           {}
func (Apply) isEffect()          {}
func (Restore) isEffect()        {}
func (Appended) isEffect()       {}
func (Rejected) isEffect()       {}
func (ReadReady) isEffect()      {}
func (RoleChanged) isEffect()    {}
