package replica

import "slices"

func (s *step) tick() {
	if s.role == Leader {
		s.tickLeader()
		return
	}
	s.elapsed++
	if s.elapsed < s.timeout {
		return
	}
	s.elapsed = 0
	s.timeout = s.drawTimeout()
	if s.voter() {
		s.startPreVote()
	}
}

func (s *step) tickLeader() {
	s.tickTransfer()
	s.elapsed++
	if s.elapsed >= s.cfg.ElectionTicks {
		s.elapsed = 0
		if !s.checkQuorum() {
			s.becomeFollower(s.hard.Term, "")
			return
		}
	}
	s.heartbeat++
	if s.heartbeat >= s.cfg.HeartbeatTicks {
		s.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a majority was heard since the last check.
func (s *step) checkQuorum() bool {
	heard := 0
	for i := range s.progress {
		p := &s.progress[i]
		if p.id == s.cfg.ID {
			p.active = true
		}
		if p.active && s.Members().isVoter(p.id) {
			heard++
		}
		p.wasActive = p.active
		p.active = false
	}
	return heard >= s.quorum()
}

func (s *step) becomeFollower(term uint64, leader ID) {
	if term > s.hard.Term {
		s.hard = HardState{Term: term}
	}
	s.failReads()
	s.role = Follower
	s.leader = leader
	s.votes = nil
	s.progress = nil
	s.transferee = ""
	s.elapsed = 0
	s.timeout = s.drawTimeout()
}

func (s *step) startPreVote() {
	s.role = PreCandidate
	s.leader = ""
	s.votes = []ballot{{from: s.cfg.ID, granted: true}}
	if s.won() {
		s.startVote(false)
		return
	}
	s.askVotes(MsgPreVote, s.hard.Term+1, false)
}

func (s *step) startVote(transfer bool) {
	s.role = Candidate
	s.leader = ""
	s.hard = HardState{Term: s.hard.Term + 1, Vote: s.cfg.ID}
	s.votes = []ballot{{from: s.cfg.ID, granted: true}}
	s.elapsed = 0
	s.timeout = s.drawTimeout()
	if s.won() {
		s.becomeLeader()
		return
	}
	s.askVotes(MsgVote, s.hard.Term, transfer)
}

func (s *step) askVotes(kind MessageKind, term uint64, transfer bool) {
	for _, m := range s.Members().Voters {
		if m.ID == s.cfg.ID {
			continue
		}
		s.send(Message{Kind: kind, To: m.ID, Term: term, Index: s.log.last(), LogTerm: s.log.lastTerm(), Transfer: transfer})
	}
}

func (s *step) count(granted bool) int {
	n := 0
	for _, b := range s.votes {
		if b.granted == granted && s.Members().isVoter(b.from) {
			n++
		}
	}
	return n
}

func (s *step) won() bool { return s.count(true) >= s.quorum() }

func (s *step) lost() bool { return s.count(false) >= s.quorum() }

// heardLeader reports whether a leader was heard within the shortest timeout.
func (s *step) heardLeader() bool {
	if s.role == Leader {
		return true
	}
	return s.leader != "" && s.elapsed < s.cfg.ElectionTicks
}

func (s *step) onPreVote(m Message) {
	grant := m.Term > s.hard.Term && !s.heardLeader() && s.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MsgPreVoteAck, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = s.hard.Term
	}
	s.send(reply)
}

func (s *step) onVote(m Message) {
	free := s.hard.Vote == "" || s.hard.Vote == m.From
	grant := m.Term == s.hard.Term && free && s.role == Follower && s.log.upToDate(m.Index, m.LogTerm)
	if grant {
		s.hard.Vote = m.From
		s.elapsed = 0
	}
	s.send(Message{Kind: MsgVoteAck, To: m.From, Reject: !grant})
}

func (s *step) onBallot(m Message, role Role) {
	if s.role != role || slices.ContainsFunc(s.votes, func(b ballot) bool { return b.from == m.From }) {
		return
	}
	s.votes = append(slices.Clone(s.votes), ballot{from: m.From, granted: !m.Reject})
	switch {
	case s.won() && role == PreCandidate:
		s.startVote(false)
	case s.won():
		s.becomeLeader()
	case s.lost():
		s.becomeFollower(s.hard.Term, "")
	}
}

func (s *step) becomeLeader() {
	s.role = Leader
	s.leader = s.cfg.ID
	s.votes = nil
	s.elapsed = 0
	s.heartbeat = 0
	s.reads = reads{round: s.reads.round}
	s.progress = nil
	s.syncProgress()
	s.append(Entry{Index: s.log.last() + 1, Term: s.hard.Term, Kind: EntryEmpty})
	s.broadcastAppend()
	s.advanceCommit()
}

func (s *step) startTransfer(to ID) {
	if s.role != Leader || to == s.cfg.ID || !s.Members().isVoter(to) {
		return
	}
	s.transferee = to
	s.transfer = s.cfg.ElectionTicks
	s.tryTransfer()
}

func (s *step) tickTransfer() {
	if s.transferee == "" {
		return
	}
	s.transfer--
	if s.transfer <= 0 {
		s.transferee = ""
		return
	}
	s.tryTransfer()
}

// tryTransfer tells the next leader to campaign once its log is complete.
func (s *step) tryTransfer() {
	i := s.progressIndex(s.transferee)
	if i >= 0 && s.progress[i].match == s.log.last() {
		s.send(Message{Kind: MsgTimeoutNow, To: s.transferee})
	}
}
