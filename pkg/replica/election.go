package replica

import "slices"

func (s *step) tick() {
	if s.role == Leader {
		s.tickLeader()
		return
	}
	s.electionElapsed++
	if s.electionElapsed < s.electionTimeout {
		return
	}
	s.electionElapsed = 0
	s.electionTimeout = s.randomElectionTimeout()
	if s.voter() {
		s.startPreVote()
	}
}

func (s *step) tickLeader() {
	s.tickTransfer()
	s.electionElapsed++
	for i := range s.progress {
		s.progress[i].unconfirmed++
	}
	if s.electionElapsed >= s.cfg.ElectionTicks {
		s.electionElapsed = 0
		if !s.checkQuorum() {
			s.becomeFollower(s.hard.Term, "")
			return
		}
	}
	s.heartbeatElapsed++
	if s.heartbeatElapsed >= s.cfg.HeartbeatTicks {
		s.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a majority of the voters responded since the last
// check.
func (s *step) checkQuorum() bool {
	responded := 0
	for i := range s.progress {
		p := &s.progress[i]
		if p.id == s.cfg.ID {
			p.active = true
		}
		if p.active && s.Members().IsVoter(p.id) {
			responded++
		}
		p.wasActive = p.active
		p.active = false
	}
	return responded >= s.quorum()
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
	s.electionElapsed = 0
	s.electionTimeout = s.randomElectionTimeout()
}

func (s *step) startPreVote() {
	s.role = PreCandidate
	s.leader = ""
	s.votes = []vote{{from: s.cfg.ID, granted: true}}
	if s.wonElection() {
		s.startElection(false)
		return
	}
	s.requestVotes(MsgPreVote, s.hard.Term+1, false)
}

func (s *step) startElection(transfer bool) {
	s.role = Candidate
	s.leader = ""
	s.hard = HardState{Term: s.hard.Term + 1, Vote: s.cfg.ID}
	s.votes = []vote{{from: s.cfg.ID, granted: true}}
	s.electionElapsed = 0
	s.electionTimeout = s.randomElectionTimeout()
	if s.wonElection() {
		s.becomeLeader()
		return
	}
	s.requestVotes(MsgVote, s.hard.Term, transfer)
}

func (s *step) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, m := range s.Members().Voters {
		if m.ID == s.cfg.ID {
			continue
		}
		s.send(Message{Kind: kind, To: m.ID, Term: term, Index: s.log.lastIndex(), LogTerm: s.log.lastTerm(), Transfer: transfer})
	}
}

// countVotes returns the number of voters that granted their vote, or that rejected
// it if granted is false.
func (s *step) countVotes(granted bool) int {
	n := 0
	for _, v := range s.votes {
		if v.granted == granted && s.Members().IsVoter(v.from) {
			n++
		}
	}
	return n
}

func (s *step) wonElection() bool { return s.countVotes(true) >= s.quorum() }

func (s *step) lostElection() bool { return s.countVotes(false) >= s.quorum() }

// hasActiveLeader reports whether this replica leads, or a message of its leader
// arrived within the minimum election timeout.
func (s *step) hasActiveLeader() bool {
	if s.role == Leader {
		return true
	}
	return s.leader != "" && s.electionElapsed < s.cfg.ElectionTicks
}

func (s *step) onPreVote(m Message) {
	grant := m.Term > s.hard.Term && !s.hasActiveLeader() && s.log.upToDate(m.Index, m.LogTerm)
	resp := Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		resp.Term = s.hard.Term
	}
	s.send(resp)
}

func (s *step) onVote(m Message) {
	canVote := s.hard.Vote == "" || s.hard.Vote == m.From
	grant := m.Term == s.hard.Term && canVote && s.role == Follower && s.log.upToDate(m.Index, m.LogTerm)
	if grant {
		s.hard.Vote = m.From
		s.electionElapsed = 0
	}
	s.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: !grant})
}

// recordVote counts the first response of a voter to a pre-vote or vote request
// and acts on the result of the election.
func (s *step) recordVote(m Message, role Role) {
	if s.role != role || slices.ContainsFunc(s.votes, func(v vote) bool { return v.from == m.From }) {
		return
	}
	s.votes = append(slices.Clone(s.votes), vote{from: m.From, granted: !m.Reject})
	switch {
	case s.wonElection() && role == PreCandidate:
		s.startElection(false)
	case s.wonElection():
		s.becomeLeader()
	case s.lostElection():
		s.becomeFollower(s.hard.Term, "")
	}
}

func (s *step) becomeLeader() {
	s.role = Leader
	s.leader = s.cfg.ID
	s.votes = nil
	s.electionElapsed = 0
	s.heartbeatElapsed = 0
	s.reads = reads{round: s.reads.round}
	s.progress = nil
	s.syncProgress()
	s.append(Entry{Index: s.log.lastIndex() + 1, Term: s.hard.Term, Kind: EntryEmpty})
	s.broadcastAppend()
	s.advanceCommit()
}

func (s *step) startTransfer(to ID) {
	if s.role != Leader || to == s.cfg.ID || !s.Members().IsVoter(to) {
		return
	}
	s.transferee = to
	s.transferTicks = s.cfg.ElectionTicks
	s.tryTransfer()
}

func (s *step) tickTransfer() {
	if s.transferee == "" {
		return
	}
	s.transferTicks--
	if s.transferTicks <= 0 {
		s.transferee = ""
		return
	}
	s.tryTransfer()
}

// tryTransfer makes the transferee start an election once its log is complete.
func (s *step) tryTransfer() {
	i := s.progressIndex(s.transferee)
	if i >= 0 && s.progress[i].match == s.log.lastIndex() {
		s.send(Message{Kind: MsgTimeoutNow, To: s.transferee})
	}
}
