package replica

import "slices"

// HardState is the Raft state that a replica keeps on disk besides its log.
type HardState struct {
	Term uint64 `msgpack:"term"`
	Vote ID     `msgpack:"vote"`
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota // command for the state machine, in Data
	EntryEmpty                    // first entry of a new leader's term
	EntryMembers                  // membership change, in Members
)

// Entry is one entry of the log.
type Entry struct {
	Index   uint64    `msgpack:"index"`
	Term    uint64    `msgpack:"term"`
	Kind    EntryKind `msgpack:"kind"`
	Data    []byte    `msgpack:"data"`
	Members Members   `msgpack:"members"`
}

// Member is a replica with its instance and the IP address on which it listens.
type Member struct {
	ID       ID     `msgpack:"id" json:"id"`
	Instance string `msgpack:"instance" json:"instance"`
	Address  string `msgpack:"address" json:"address"`
}

// Members is the membership of a group. Learners receive the log but don't vote.
type Members struct {
	Voters   []Member `msgpack:"voters" json:"voters"`
	Learners []Member `msgpack:"learners" json:"learners"`
}

// All returns the voters, then the learners.
func (m Members) All() []Member { return slices.Concat(m.Voters, m.Learners) }

// Find returns the member with the given ID.
func (m Members) Find(id ID) (Member, bool) {
	all := m.All()
	i := slices.IndexFunc(all, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return all[i], true
}

// WithLearner returns the membership with x added as a learner.
func (m Members) WithLearner(x Member) Members {
	return Members{Voters: m.Voters, Learners: append(slices.Clone(m.Learners), x)}
}

// WithVoter returns the membership with x as a voter, added or promoted.
func (m Members) WithVoter(x Member) Members {
	out := m.Without(x.ID)
	out.Voters = append(out.Voters, x)
	return out
}

// Without returns the membership without the given replica.
func (m Members) Without(id ID) Members {
	matches := func(x Member) bool { return x.ID == id }
	return Members{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), matches),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), matches),
	}
}

// IsVoter reports whether the given replica is a voter.
func (m Members) IsVoter(id ID) bool {
	return slices.ContainsFunc(m.Voters, func(x Member) bool { return x.ID == id })
}

// voterChanges returns the number of voters that are in only one of m and other.
func (m Members) voterChanges(other Members) int {
	n := 0
	for _, x := range m.Voters {
		if !other.IsVoter(x.ID) {
			n++
		}
	}
	for _, x := range other.Voters {
		if !m.IsVoter(x.ID) {
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

// MessageKind is the kind of a message.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgHeartbeat
	MsgHeartbeatResponse
	MsgSnapshot
	MsgTimeoutNow
)

// Message is a message between two replicas of a group. Index is the index of
//   - the entry before Entries in an append,
//   - the last matching entry in an append response, or, if Reject is set, the last
//     entry that may match,
//   - the last log entry in a vote or pre-vote request.
type Message struct {
	Kind     MessageKind `msgpack:"kind"`
	From     ID          `msgpack:"from"`
	To       ID          `msgpack:"to"`
	Term     uint64      `msgpack:"term"`
	Index    uint64      `msgpack:"index"`
	LogTerm  uint64      `msgpack:"log_term"` // term of the entry at Index
	Commit   uint64      `msgpack:"commit"`
	Round    uint64      `msgpack:"round"` // read round, in heartbeats and their responses
	Reject   bool        `msgpack:"reject"`
	Transfer bool        `msgpack:"transfer"` // vote request of a leadership transfer
	Entries  []Entry     `msgpack:"entries"`
	Snapshot *Snapshot   `msgpack:"snapshot"`
	// LeaderCommit is the leader's commit index, in heartbeats. Commit there is limited to
	// what the member is known to have. 0 if the leader's build does not send it.
	LeaderCommit uint64 `msgpack:"leader_commit,omitempty"`
}

// Event is an input of Update.
type Event interface{ isEvent() }

// Ticked reports that one tick has passed.
type Ticked struct{}

// Received delivers a message of another replica.
type Received struct{ Message Message }

// Proposed requests that a command be appended to the log. The Appended or
// Rejected effect carries the same Token.
type Proposed struct {
	Token uint64
	Data  []byte
}

// MembersProposed requests a membership that adds or removes at most one voter.
type MembersProposed struct {
	Token   uint64
	Members Members
}

// ReadRequested requests a read index. It is answered by ReadReady or Rejected.
type ReadRequested struct{ Token uint64 }

// TransferRequested asks the leader to transfer leadership to another voter.
type TransferRequested struct{ To ID }

// Compacted supplies the encoded state of the state machine after the entry at
// Index. It becomes the snapshot that replaces the log up to Index.
type Compacted struct {
	Index uint64
	Data  []byte
}

// Formed bootstraps a replica that has no state with the initial membership.
type Formed struct{ Members Members }

// StatusRequested requests a StatusReported effect.
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

// Effect is an output of Update that the host carries out.
type Effect interface{ isEffect() }

// Persist asks the host to make state durable: first Snapshot unless nil, then
// Entries, then Hard. Entries replace all stored entries from the index of the
// first one on.
type Persist struct {
	Hard     HardState
	Entries  []Entry
	Snapshot *Snapshot
}

// Send asks the host to send a message. The message may be lost.
type Send struct{ Message Message }

// Apply passes committed entries to the state machine. Each entry is applied once,
// in log order.
type Apply struct{ Entries []Entry }

// Restore replaces the state of the state machine by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Recovered reports, once after a start, that the entries up to Index include all that were
// committed when the replica heard of its leader or became the leader. Until they are applied
// the state machine may be in a state that was replaced long ago.
type Recovered struct{ Index uint64 }

// Appended reports the log position of a proposal. The proposal is committed if
// the entry applied at Index has this Term, and lost if it has another term.
type Appended struct {
	Token, Index, Term uint64
}

// Rejected reports that a proposal or read failed and had no effect.
type Rejected struct {
	Token uint64
	Err   error
}

// ReadReady reports that the read may run once the state machine has applied Index. Round is
// that of the heartbeats by which a majority confirmed the leadership.
type ReadReady struct{ Token, Index, Round uint64 }

// RoleChanged reports a change of role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader ID
}

// MembersChanged reports a new latest membership in the log, committed or not.
type MembersChanged struct{ Members Members }

// StatusReported carries the status that StatusRequested asked for.
type StatusReported struct {
	Token  uint64
	Status Status
}

// Status is a replica's view of its group. Only a leader fills Peers.
type Status struct {
	ID      ID           `msgpack:"id" json:"id"`
	Role    Role         `msgpack:"role" json:"role"`
	Term    uint64       `msgpack:"term" json:"term"`
	Leader  ID           `msgpack:"leader" json:"leader"`
	Commit  uint64       `msgpack:"commit" json:"commit"`
	Members Members      `msgpack:"members" json:"members"`
	Peers   []PeerStatus `msgpack:"peers" json:"peers"`
}

// PeerStatus is a leader's view of one member.
type PeerStatus struct {
	ID       ID     `msgpack:"id" json:"id"`
	Match    uint64 `msgpack:"match" json:"match"`
	Alive    bool   `msgpack:"alive" json:"alive"`
	CaughtUp bool   `msgpack:"caught_up" json:"caught_up"`
}

// Peer returns the status of the given member, or a status with only the ID if it
// is not in Peers.
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
func (Recovered) isEffect()      {}
func (Appended) isEffect()       {}
func (Rejected) isEffect()       {}
func (ReadReady) isEffect()      {}
func (RoleChanged) isEffect()    {}
