// Package replica implements a replicated log with the Raft protocol: leader
// election with pre-vote and check quorum, leadership transfer, single-step
// membership changes, learners, snapshots and linearizable reads. It performs no
// input or output: Update is a pure function that takes an event and returns the
// next state and the effects to carry out, in order.
//
// The host must make a Persist effect durable before it carries out any later
// effect.
//
//	r := replica.New(cfg, stored)
//	r, effects := r.Update(replica.Ticked{})
package replica

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// Errors that a Rejected effect carries.
var (
	ErrNotLeader      = errors.New("replica is not the leader")
	ErrMemberChange   = errors.New("another membership change is in progress")
	ErrTransferring   = errors.New("leadership is being transferred")
	ErrTooManyChanges = errors.New("membership change affects more than one voter")
)

// ID identifies one replica, which is one data folder of one instance. If a
// folder is lost, its replacement gets a new ID.
type ID string

// Role is the role of a replica in the Raft protocol.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in snake case.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Config holds the settings of a replica.
type Config struct {
	ID             ID
	ElectionTicks  int    // minimum election timeout in ticks
	StartTicks     int    // minimum of the first timeout; 0 means ElectionTicks
	HeartbeatTicks int    // ticks between two heartbeats of a leader
	MaxAppendBytes int    // payload bytes in one append message; one entry may exceed it
	Seed           uint64 // seed of the random election timeouts
}

// Stored is the state that a replica loads from its disk at start.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// WithPersist returns the stored state after p was made durable.
func (s Stored) WithPersist(p Persist) Stored {
	l := log{snapshot: s.Snapshot, entries: s.Entries}
	if p.Snapshot != nil {
		l = l.withSnapshot(*p.Snapshot)
	}
	if len(p.Entries) > 0 && p.Entries[0].Index <= l.lastIndex() {
		l = l.truncatedFrom(p.Entries[0].Index)
	}
	l = l.withEntries(p.Entries...)
	return Stored{Hard: p.Hard, Snapshot: l.snapshot, Entries: l.entries}
}

// Replica is the state of one replica. It changes only in Update.
type Replica struct {
	cfg              Config
	hard             HardState
	role             Role
	leader           ID
	log              log
	commit           uint64
	applied          uint64
	memberships      []membership
	progress         []progress
	votes            []vote
	electionElapsed  int    // ticks since the election timer was reset or, on a leader, since the last quorum check
	heartbeatElapsed int    // on a leader, ticks since the last heartbeat
	electionTimeout  int    // current random election timeout, in ticks
	randomSeq        uint64 // number of random timeouts generated so far
	reads            reads
	transferee       ID
	transferTicks    int // ticks until a leadership transfer is given up
	recovered        bool
	heardTerm        uint64 // term of the leader that named heardCommit
	heardCommit      uint64 // commit index that a leader named in its first message
}

// vote is a voter's response in the current election.
type vote struct {
	from    ID
	granted bool
}

// New returns a replica in the follower role with the given stored state. The
// entries covered by the snapshot count as applied.
func New(cfg Config, stored Stored) Replica {
	r := Replica{cfg: cfg, hard: stored.Hard, log: newLog(stored.Snapshot, stored.Entries)}
	r.commit = stored.Snapshot.Index
	r.applied = stored.Snapshot.Index
	r.memberships = []membership{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}}
	for _, e := range stored.Entries {
		r.memberships = withMembershipOf(r.memberships, e)
	}
	r.electionTimeout = r.randomElectionTimeout()
	if cfg.StartTicks > 0 {
		// A replica that has just started doesn't know whether there is a leader. If
		// there is one, the voters that receive its messages reject the pre-vote, so
		// that a short first timeout doesn't disrupt it.
		r.electionTimeout = r.randomTicks(cfg.StartTicks)
	}
	return r
}

// Role returns the replica's current role.
func (r Replica) Role() Role { return r.role }

// Term returns the replica's current term.
func (r Replica) Term() uint64 { return r.hard.Term }

// Leader returns the known leader of the current term, or "".
func (r Replica) Leader() ID { return r.leader }

// Commit returns the commit index.
func (r Replica) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last log entry.
func (r Replica) LastIndex() uint64 { return r.log.lastIndex() }

// Entries returns the log entries after the snapshot.
func (r Replica) Entries() []Entry { return slices.Clone(r.log.entries) }

// SnapshotIndex returns the index of the last entry that the snapshot covers.
func (r Replica) SnapshotIndex() uint64 { return r.log.snapshot.Index }

// Members returns the latest membership in the log, committed or not.
func (r Replica) Members() Members { return r.latestMembership().members }

// status returns the state of the replica and, on a leader, of each member.
func (r Replica) status() Status {
	out := Status{
		ID:      r.cfg.ID,
		Role:    r.role,
		Term:    r.hard.Term,
		Leader:  r.leader,
		Commit:  r.commit,
		Members: r.Members(),
	}
	for _, p := range r.progress {
		alive := p.active || p.wasActive
		caughtUp := p.match > 0 && p.match >= r.commit
		out.Peers = append(out.Peers, PeerStatus{ID: p.id, Match: p.match, Alive: alive, CaughtUp: caughtUp})
	}
	return out
}

func (r Replica) latestMembership() membership { return r.memberships[len(r.memberships)-1] }

func (r Replica) voter() bool { return r.Members().IsVoter(r.cfg.ID) }

func (r Replica) quorum() int { return len(r.Members().Voters)/2 + 1 }

func (r *Replica) randomElectionTimeout() int { return r.randomTicks(r.cfg.ElectionTicks) }

// randomTicks returns a random number of ticks in [minTicks, 2*minTicks).
func (r *Replica) randomTicks(minTicks int) int {
	r.randomSeq++
	rng := rand.New(rand.NewPCG(r.cfg.Seed, r.randomSeq))
	return minTicks + rng.IntN(minTicks)
}
