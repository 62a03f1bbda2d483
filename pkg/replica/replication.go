package replica

import "slices"

// progress is what a leader knows of one member.
type progress struct {
	id         ID
	match      uint64 // highest index known to be on its disk
	next       uint64 // next index to send
	seen       uint64 // match at its last heartbeat answer
	round      uint64 // last read round it answered
	snapshotAt uint64 // index of a snapshot in flight
	snapTicks  int    // heartbeats until that snapshot is sent again
	active     bool   // heard since the last quorum check
	wasActive  bool   // heard in the period before
}

func (r Replica) progressIndex(id ID) int {
	return slices.IndexFunc(r.progress, func(p progress) bool { return p.id == id })
}

// syncProgress makes the leader's list match the latest membership.
func (s *step) syncProgress() {
	var out []progress
	for _, m := range s.Members().All() {
		if i := s.progressIndex(m.ID); i >= 0 {
			out = append(out, s.progress[i])
			continue
		}
		out = append(out, progress{id: m.ID, next: s.log.last() + 1, active: true, wasActive: true})
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

// sendAppend sends what the member lacks: entries, or a snapshot where the log
// no longer holds them.
func (s *step) sendAppend(p *progress) {
	prev := p.next - 1
	term, ok := s.log.term(prev)
	if !ok {
		s.sendSnapshot(p)
		return
	}
	if p.snapshotAt != 0 {
		return
	}
	entries := s.log.limited(p.next, s.cfg.MaxAppendBytes)
	p.next += uint64(len(entries))
	s.send(Message{Kind: MsgAppend, To: p.id, Index: prev, LogTerm: term, Entries: entries, Commit: s.commit})
}

// snapshotRetryHeartbeats is how many heartbeats pass before a snapshot that
// was not confirmed is sent again.
const snapshotRetryHeartbeats = 40

func (s *step) sendSnapshot(p *progress) {
	if p.snapshotAt != 0 && p.snapTicks > 0 {
		return
	}
	snap := s.log.snapshot
	p.snapshotAt = snap.Index
	p.snapTicks = snapshotRetryHeartbeats
	s.send(Message{Kind: MsgSnapshot, To: p.id, Snapshot: &snap})
}

func (s *step) broadcastHeartbeat() {
	s.heartbeat = 0
	for i := range s.progress {
		p := &s.progress[i]
		if p.id == s.cfg.ID {
			continue
		}
		p.snapTicks--
		s.send(Message{Kind: MsgHeartbeat, To: p.id, Commit: min(p.match, s.commit), Round: s.reads.round})
	}
}

func (s *step) receive(m Message) {
	if m.Term > s.hard.Term && !s.admitTerm(m) {
		return
	}
	if m.Term < s.hard.Term {
		s.answerStale(m)
		return
	}
	switch m.Kind {
	case MsgPreVote:
		s.onPreVote(m)
	case MsgPreVoteAck:
		s.onPreVoteAck(m)
	case MsgVote:
		s.onVote(m)
	case MsgVoteAck:
		s.onBallot(m, Candidate)
	case MsgAppend:
		s.onAppend(m)
	case MsgAppendAck:
		s.onAppendAck(m)
	case MsgHeartbeat:
		s.onHeartbeat(m)
	case MsgHeartbeatAck:
		s.onHeartbeatAck(m)
	case MsgSnapshot:
		s.onSnapshot(m)
	case MsgTimeoutNow:
		if s.voter() {
			s.startVote(true)
		}
	}
}

// admitTerm takes over a higher term and reports whether to go on. A vote that
// is asked while a leader is heard is ignored, and pre-votes change no term.
func (s *step) admitTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteAck:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if s.heardLeader() && !m.Transfer {
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

// answerStale tells a sender with an old term about the present one.
func (s *step) answerStale(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		s.send(Message{Kind: MsgAppendAck, To: m.From, Reject: true})
	case MsgPreVote:
		s.send(Message{Kind: MsgPreVoteAck, To: m.From, Reject: true})
	}
}

func (s *step) onPreVoteAck(m Message) {
	if !m.Reject && m.Term != s.hard.Term+1 {
		return
	}
	s.onBallot(m, PreCandidate)
}

// follow notes that the leader of this term was heard.
func (s *step) follow(leader ID) {
	if s.role != Follower || s.leader != leader {
		s.becomeFollower(s.hard.Term, leader)
	}
	s.elapsed = 0
}

func (s *step) onAppend(m Message) {
	s.follow(m.From)
	if m.Index < s.log.snapshot.Index {
		s.send(Message{Kind: MsgAppendAck, To: m.From, Index: s.commit})
		return
	}
	if t, ok := s.log.term(m.Index); !ok || t != m.LogTerm {
		hint := min(m.Index, s.log.last()+1)
		s.send(Message{Kind: MsgAppendAck, To: m.From, Reject: true, Index: max(hint, 1) - 1})
		return
	}
	s.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	s.commit = max(s.commit, min(m.Commit, last))
	s.send(Message{Kind: MsgAppendAck, To: m.From, Index: last})
}

// merge appends the entries that the log lacks and cuts those that conflict.
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

func (s *step) onAppendAck(m Message) {
	i := s.progressIndex(m.From)
	if s.role != Leader || i < 0 {
		return
	}
	p := &s.progress[i]
	p.active = true
	if m.Reject {
		p.next = max(min(m.Index+1, s.log.last()+1), p.match+1)
		s.sendAppend(p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		s.advanceCommit()
	}
	if p.snapshotAt != 0 && p.match >= p.snapshotAt {
		p.snapshotAt = 0
	}
	if p.next <= s.log.last() {
		s.sendAppend(p)
	}
	if s.transferee == p.id {
		s.tryTransfer()
	}
}

// advanceCommit commits what a majority has on disk, if it is of this term.
func (s *step) advanceCommit() {
	if i := s.progressIndex(s.cfg.ID); i >= 0 {
		s.progress[i].match = s.log.last()
	}
	index := s.majorityMatch()
	if t, ok := s.log.term(index); index <= s.commit || !ok || t != s.hard.Term {
		return
	}
	s.commit = index
	s.startQueuedReads()
	s.leaveIfRemoved()
}

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

// leaveIfRemoved steps down once a membership without this leader is committed.
func (s *step) leaveIfRemoved() {
	if !s.voter() && s.latestConfig().index <= s.commit {
		s.becomeFollower(s.hard.Term, "")
	}
}

func (s *step) onHeartbeat(m Message) {
	s.follow(m.From)
	s.commit = max(s.commit, min(m.Commit, s.log.last()))
	s.send(Message{Kind: MsgHeartbeatAck, To: m.From, Round: m.Round})
}

func (s *step) onHeartbeatAck(m Message) {
	i := s.progressIndex(m.From)
	if s.role != Leader || i < 0 {
		return
	}
	p := &s.progress[i]
	p.active = true
	p.round = max(p.round, m.Round)
	if p.match < s.log.last() && p.seen == p.match {
		p.next = p.match + 1
		s.sendAppend(p)
	}
	p.seen = p.match
	s.finishReads()
}

func (s *step) onSnapshot(m Message) {
	s.follow(m.From)
	snap := *m.Snapshot
	if snap.Index <= s.commit {
		s.send(Message{Kind: MsgAppendAck, To: m.From, Index: s.commit})
		return
	}
	s.useSnapshot(snap)
	s.commit = snap.Index
	s.applied = snap.Index
	s.emit(Restore{Snapshot: snap})
	s.send(Message{Kind: MsgAppendAck, To: m.From, Index: snap.Index})
}
