// Package replica is a replicated log among a few instances: a pure reducer
// that follows the Raft protocol with pre-vote, check quorum, leadership
// transfer, membership changes of one replica at a time, learners, snapshots
// and read barriers. It does no input or output: Update takes an event and
// returns the next state and the effects to carry out, in order.
//
// A host must make a Persist effect durable before it runs any later effect.
//
//	r := replica.New(cfg, stored)
//	r, effects := r.Update(replica.Ticked{})
package replica

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// Sentinel errors that a Rejected effect carries.
var (
	ErrNotLeader     = errors.New("replica is not the leader")
	ErrMemberChange  = errors.New("another membership change is in progress")
	ErrTransferring  = errors.New("leadership is being transferred")
	ErrTooManyChange = errors.New("membership may change by one replica at a time")
)

// ID names one replica: one data folder of one instance. A folder that was
// lost never comes back under its old ID.
type ID string

// Role is the part that a replica plays in its group.
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

// Config is what a replica is told at start.
type Config struct {
	ID             ID
	ElectionTicks  int    // shortest election timeout, in ticks
	StartTicks     int    // the same right after a start; 0 for ElectionTicks
	HeartbeatTicks int    // ticks between two heartbeats of a leader
	MaxAppendBytes int    // payload bytes in one append message
	Seed           uint64 // seed of the election timeouts
}

// Stored is what a replica finds on its disk at start.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// WithPersist returns what the disk holds after the effect was carried out.
func (s Stored) WithPersist(p Persist) Stored {
	l := log{snapshot: s.Snapshot, entries: s.Entries}
	if p.Snapshot != nil {
		l = l.withSnapshot(*p.Snapshot)
	}
	if len(p.Entries) > 0 && p.Entries[0].Index <= l.last() {
		l = l.withoutFrom(p.Entries[0].Index)
	}
	l = l.withEntries(p.Entries...)
	return Stored{Hard: p.Hard, Snapshot: l.snapshot, Entries: l.entries}
}

// Replica is the state of one replica. It changes only in Update.
type Replica struct {
	cfg        Config
	hard       HardState
	role       Role
	leader     ID
	log        log
	commit     uint64
	applied    uint64
	configs    []configAt
	progress   []progress
	votes      []ballot
	elapsed    int // ticks since the leader was heard, or of the leader's quorum check
	heartbeat  int // ticks since the last heartbeat
	timeout    int // ticks of this election timeout
	draws      uint64
	reads      reads
	transferee ID
	transfer   int // ticks left of a leadership transfer
}

// ballot is one voter's answer in the present election.
type ballot struct {
	from    ID
	granted bool
}

// New returns a replica in the follower's role with what its disk holds. The
// entries up to the snapshot count as applied.
func New(cfg Config, stored Stored) Replica {
	r := Replica{cfg: cfg, hard: stored.Hard, log: newLog(stored.Snapshot, stored.Entries)}
	r.commit = stored.Snapshot.Index
	r.applied = stored.Snapshot.Index
	r.configs = []configAt{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}}
	for _, e := range stored.Entries {
		r.configs = withConfigOf(r.configs, e)
	}
	r.timeout = r.drawTimeout()
	if cfg.StartTicks > 0 {
		// A replica that has just started knows of no leader. Voters that do
		// hear one refuse its pre-vote.
		r.timeout = r.draw(cfg.StartTicks)
	}
	return r
}

// Role returns the part the replica plays now.
func (r Replica) Role() Role { return r.role }

// Term returns the replica's term.
func (r Replica) Term() uint64 { return r.hard.Term }

// Leader returns the leader that the replica knows of, or "".
func (r Replica) Leader() ID { return r.leader }

// Commit returns the highest index known to be committed.
func (r Replica) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last entry in the log.
func (r Replica) LastIndex() uint64 { return r.log.last() }

// Entries returns the entries that follow the snapshot.
func (r Replica) Entries() []Entry { return slices.Clone(r.log.entries) }

// SnapshotIndex returns the index of the last entry in the snapshot.
func (r Replica) SnapshotIndex() uint64 { return r.log.snapshot.Index }

// Members returns the latest membership in the log.
func (r Replica) Members() Members { return r.latestConfig().members }

// status describes the replica and, for a leader, its members.
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

func (r Replica) latestConfig() configAt { return r.configs[len(r.configs)-1] }

func (r Replica) voter() bool { return r.Members().isVoter(r.cfg.ID) }

func (r Replica) quorum() int { return len(r.Members().Voters)/2 + 1 }

func (r *Replica) drawTimeout() int { return r.draw(r.cfg.ElectionTicks) }

// draw returns a timeout between the shortest one and twice that.
func (r *Replica) draw(shortest int) int {
	r.draws++
	rng := rand.New(rand.NewPCG(r.cfg.Seed, r.draws))
	return shortest + rng.IntN(shortest)
}
