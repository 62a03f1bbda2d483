package replica

import "slices"

// progress is a leader's replication state for one member.
type progress struct {
	id                 ID
	match              uint64 // highest index known to match on its disk
	next               uint64 // next index to send
	unconfirmed        int    // ticks since entries were last sent to it or confirmed by it
	round              uint64 // highest read round it confirmed
	snapshotIndex      uint64 // index of a snapshot in flight; 0 if none
	snapshotHeartbeats int    // heartbeats until that snapshot may be sent again
	active             bool   // responded since the last quorum check
	wasActive          bool   // responded between the last two quorum checks
}

func (r Replica) progressIndex(id ID) int {
	return slices.IndexFunc(r.progress, func(p progress) bool { return p.id == id })
}

// syncProgress adds and removes progress entries to match the latest membership.
func (s *step) syncProgress() {
	var out []progress
	for _, m := range s.Members().All() {
		if i := s.progressIndex(m.ID); i >= 0 {
			out = append(out, s.progress[i])
			continue
		}
		out = append(out, progress{id: m.ID, next: s.log.lastIndex() + 1, active: true, wasActive: true})
	}
	s.progress = out
}

func (s *step) broadcastAppend() {
	for i := range s.progress {
		if s.progress[i].id != s.cfg.ID {
			s.sendAppend(&s.progress[i])
		}
	}
}

// sendAppend sends the next entries to the member, or a snapshot if the log no
// longer has them. It sends no entries while a snapshot is in flight.
func (s *step) sendAppend(p *progress) {
	prev := p.next - 1
	term, ok := s.log.term(prev)
	if !ok {
		s.sendSnapshot(p)
		return
	}
	if p.snapshotIndex != 0 {
		return
	}
	entries := s.log.entriesFrom(p.next, s.cfg.MaxAppendBytes)
	p.next += uint64(len(entries))
	if len(entries) > 0 {
		p.unconfirmed = 0
	}
	s.send(Message{Kind: MsgAppend, To: p.id, Index: prev, LogTerm: term, Entries: entries, Commit: s.commit})
}

// snapshotRetryHeartbeats is the number of heartbeats after which an unconfirmed
// snapshot may be sent again.
const snapshotRetryHeartbeats = 40

func (s *step) sendSnapshot(p *progress) {
	if p.snapshotIndex != 0 && p.snapshotHeartbeats > 0 {
		return
	}
	snap := s.log.snapshot
	p.snapshotIndex = snap.Index
	p.snapshotHeartbeats = snapshotRetryHeartbeats
	s.send(Message{Kind: MsgSnapshot, To: p.id, Snapshot: &snap})
}

func (s *step) broadcastHeartbeat() {
	s.heartbeatElapsed = 0
	for i := range s.progress {
		p := &s.progress[i]
		if p.id == s.cfg.ID {
			continue
		}
		p.snapshotHeartbeats--
		s.send(Message{Kind: MsgHeartbeat, To: p.id, Commit: min(p.match, s.commit), LeaderCommit: s.commit, Round: s.reads.round})
	}
}

func (s *step) receive(m Message) {
	if m.Term > s.hard.Term && !s.acceptHigherTerm(m) {
		return
	}
	if m.Term < s.hard.Term {
		s.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case MsgPreVote:
		s.onPreVote(m)
	case MsgPreVoteResponse:
		s.onPreVoteResponse(m)
	case MsgVote:
		s.onVote(m)
	case MsgVoteResponse:
		s.recordVote(m, Candidate)
	case MsgAppend:
		s.onAppend(m)
	case MsgAppendResponse:
		s.onAppendResponse(m)
	case MsgHeartbeat:
		s.onHeartbeat(m)
	case MsgHeartbeatResponse:
		s.onHeartbeatResponse(m)
	case MsgSnapshot:
		s.onSnapshot(m)
	case MsgTimeoutNow:
		if s.voter() {
			s.startElection(true)
		}
	}
}

// acceptHigherTerm adopts the higher term of m and reports whether to process m.
// Pre-vote requests and granted pre-votes don't change the term. A vote request is
// ignored while the leader is active, unless it is part of a leadership transfer.
func (s *step) acceptHigherTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteResponse:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if s.hasActiveLeader() && !m.Transfer {
			return false
		}
	}
	leader := ID("")
	if m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot {
		leader = m.From
	}
	s.becomeFollower(m.Term, leader)
	return true
}

// rejectStaleTerm sends the current term to a leader or pre-candidate that has an
// older one. All other messages with an older term are ignored.
func (s *step) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		s.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		s.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
	}
}

func (s *step) onPreVoteResponse(m Message) {
	if !m.Reject && m.Term != s.hard.Term+1 {
		return
	}
	s.recordVote(m, PreCandidate)
}

// followLeader records a message of the leader of the current term and resets the
// election timer.
func (s *step) followLeader(leader ID) {
	if s.role != Follower || s.leader != leader {
		s.becomeFollower(s.hard.Term, leader)
	}
	s.electionElapsed = 0
}

func (s *step) onAppend(m Message) {
	s.followLeader(m.From)
	s.hearCommit(m.Commit)
	if m.Index < s.log.snapshot.Index {
		s.send(Message{Kind: MsgAppendResponse, To: m.From, Index: s.commit})
		return
	}
	if t, ok := s.log.term(m.Index); !ok || t != m.LogTerm {
		next := min(m.Index, s.log.lastIndex()+1)
		s.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: max(next, 1) - 1})
		return
	}
	s.merge(m.Entries)
	lastIndex := m.Index + uint64(len(m.Entries))
	s.commit = max(s.commit, min(m.Commit, lastIndex))
	s.send(Message{Kind: MsgAppendResponse, To: m.From, Index: lastIndex})
}

// merge appends the entries that are missing from the log, after it truncates the
// log at the first conflicting entry.
func (s *step) merge(entries []Entry) {
	for i, e := range entries {
		t, ok := s.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			s.truncate(e.Index)
		}
		s.append(entries[i:]...)
		return
	}
}

func (s *step) onAppendResponse(m Message) {
	i := s.progressIndex(m.From)
	if s.role != Leader || i < 0 {
		return
	}
	p := &s.progress[i]
	p.active = true
	if m.Reject {
		p.next = max(min(m.Index+1, s.log.lastIndex()+1), p.match+1)
		s.sendAppend(p)
		return
	}
	if m.Index > p.match {
		p.unconfirmed = 0
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		s.advanceCommit()
	}
	if p.snapshotIndex != 0 && p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	if p.next <= s.log.lastIndex() {
		s.sendAppend(p)
	}
	if s.transferee == p.id {
		s.tryTransfer()
	}
}

// advanceCommit advances the commit index to the highest index that a majority of
// the voters has on disk, if that entry is of the current term.
func (s *step) advanceCommit() {
	if i := s.progressIndex(s.cfg.ID); i >= 0 {
		s.progress[i].match = s.log.lastIndex()
	}
	index := s.majorityMatch()
	if t, ok := s.log.term(index); index <= s.commit || !ok || t != s.hard.Term {
		return
	}
	s.commit = index
	s.startQueuedReads()
	s.stepDownIfRemoved()
}

// majorityMatch returns the highest index that a majority of the voters matches.
func (s *step) majorityMatch() uint64 {
	var matches []uint64
	for _, m := range s.Members().Voters {
		if i := s.progressIndex(m.ID); i >= 0 {
			matches = append(matches, s.progress[i].match)
		}
	}
	slices.Sort(matches)
	if len(matches) < s.quorum() {
		return 0
	}
	return matches[len(matches)-s.quorum()]
}

// stepDownIfRemoved steps down once a membership in which this leader is no voter
// is committed.
func (s *step) stepDownIfRemoved() {
	if !s.voter() && s.latestMembership().index <= s.commit {
		s.becomeFollower(s.hard.Term, "")
	}
}

func (s *step) onHeartbeat(m Message) {
	s.followLeader(m.From)
	s.hearCommit(max(m.Commit, m.LeaderCommit))
	s.commit = max(s.commit, min(m.Commit, s.log.lastIndex()))
	s.send(Message{Kind: MsgHeartbeatResponse, To: m.From, Round: m.Round})
}

func (s *step) onHeartbeatResponse(m Message) {
	i := s.progressIndex(m.From)
	if s.role != Leader || i < 0 {
		return
	}
	p := &s.progress[i]
	p.active = true
	p.round = max(p.round, m.Round)
	// A busy follower may answer heartbeats before it has written the entries.
	if p.match < s.log.lastIndex() && p.unconfirmed >= s.cfg.ElectionTicks {
		p.next = p.match + 1
		s.sendAppend(p)
	}
	s.finishReads()
}

func (s *step) onSnapshot(m Message) {
	s.followLeader(m.From)
	snap := *m.Snapshot
	s.hearCommit(snap.Index)
	if snap.Index <= s.commit {
		s.send(Message{Kind: MsgAppendResponse, To: m.From, Index: s.commit})
		return
	}
	s.installSnapshot(snap)
	s.commit = snap.Index
	s.applied = snap.Index
	s.emit(Restore{Snapshot: snap})
	s.send(Message{Kind: MsgAppendResponse, To: m.From, Index: snap.Index})
}
