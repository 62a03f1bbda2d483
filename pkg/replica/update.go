package replica

import "slices"

// step is the state of one call of Update.
type step struct {
	Replica
	appended []Entry
	snapshot *Snapshot
	effects  []Effect
}

// Update returns the replica after the event and the effects to carry out, in
// order. A Persist effect comes first.
func (r Replica) Update(event Event) (Replica, []Effect) {
	s := &step{Replica: r}
	s.progress = slices.Clone(r.progress)
	s.handle(event)
	s.applyCommitted()
	s.noteRecovery()
	return s.finish(r)
}

func (s *step) handle(event Event) {
	switch e := event.(type) {
	case Ticked:
		s.tick()
	case Received:
		s.receive(e.Message)
	case Proposed:
		s.propose(e)
	case MembersProposed:
		s.proposeMembers(e)
	case ReadRequested:
		s.requestRead(e.Token)
	case TransferRequested:
		s.startTransfer(e.To)
	case Compacted:
		s.compact(e)
	case Formed:
		s.form(e.Members)
	case StatusRequested:
		s.emit(StatusReported{Token: e.Token, Status: s.status()})
	}
}

// finish returns the new state and the effects, with Persist first and changes of
// membership, role, term or leader last.
func (s *step) finish(before Replica) (Replica, []Effect) {
	out := s.effects
	if s.hard != before.hard || len(s.appended) > 0 || s.snapshot != nil {
		persist := Persist{Hard: s.hard, Entries: s.appended, Snapshot: s.snapshot}
		out = append([]Effect{persist}, out...)
	}
	if s.latestMembership().index != before.latestMembership().index {
		out = append(out, MembersChanged{Members: s.Members()})
	}
	if s.role != before.role || s.hard.Term != before.hard.Term || s.leader != before.leader {
		out = append(out, RoleChanged{Role: s.role, Term: s.hard.Term, Leader: s.leader})
	}
	return s.Replica, out
}

func (s *step) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *step) send(m Message) {
	m.From = s.cfg.ID
	if m.Term == 0 {
		m.Term = s.hard.Term
	}
	s.emit(Send{Message: m})
}

func (s *step) reject(token uint64, err error) { s.emit(Rejected{Token: token, Err: err}) }

// append adds entries at the end of the log.
func (s *step) append(entries ...Entry) {
	s.log = s.log.withEntries(entries...)
	s.appended = append(s.appended, entries...)
	for _, e := range entries {
		s.memberships = withMembershipOf(s.memberships, e)
	}
}

// truncate removes the entries from the index on.
func (s *step) truncate(index uint64) {
	s.log = s.log.truncatedFrom(index)
	s.memberships = membershipsBefore(s.memberships, index)
}

func (s *step) applyCommitted() {
	if s.applied >= s.commit {
		return
	}
	entries := s.log.slice(s.applied+1, s.commit)
	s.applied = s.commit
	s.emit(Apply{Entries: entries})
}

// hearCommit records the commit index that the leader names in the first message of its term.
func (s *step) hearCommit(index uint64) {
	if s.recovered || s.heardTerm == s.hard.Term {
		return
	}
	s.heardTerm = s.hard.Term
	s.heardCommit = max(s.heardCommit, index)
}

// noteRecovery reports the recovery after a start. All entries of earlier terms that were
// committed come before the first one of the current term.
func (s *step) noteRecovery() {
	if s.recovered || s.leader == "" || s.commit < s.heardCommit || !s.committedInTerm() {
		return
	}
	s.recovered = true
	s.emit(Recovered{Index: s.commit})
}

func (s *step) propose(e Proposed) {
	if err := s.proposalError(); err != nil {
		s.reject(e.Token, err)
		return
	}
	s.appendAsLeader(e.Token, Entry{Kind: EntryCommand, Data: e.Data})
}

// proposalError returns the reason to reject proposals now, or nil.
func (s *step) proposalError() error {
	if s.role != Leader {
		return ErrNotLeader
	}
	if s.transferee != "" {
		return ErrTransferring
	}
	return nil
}

// appendAsLeader appends a proposed entry and sends it to the other members.
func (s *step) appendAsLeader(token uint64, e Entry) {
	e.Index = s.log.lastIndex() + 1
	e.Term = s.hard.Term
	s.append(e)
	s.emit(Appended{Token: token, Index: e.Index, Term: e.Term})
	s.broadcastAppend()
	s.advanceCommit()
}

func (s *step) proposeMembers(e MembersProposed) {
	if err := s.membersError(e.Members); err != nil {
		s.reject(e.Token, err)
		return
	}
	s.appendAsLeader(e.Token, Entry{Kind: EntryMembers, Members: e.Members})
	s.syncProgress()
	s.broadcastAppend()
}

func (s *step) membersError(m Members) error {
	if err := s.proposalError(); err != nil {
		return err
	}
	if s.latestMembership().index > s.commit || !s.committedInTerm() {
		return ErrMemberChange
	}
	if s.Members().voterChanges(m) > 1 {
		return ErrTooManyChanges
	}
	return nil
}

// committedInTerm reports whether an entry of the current term is committed.
func (s *step) committedInTerm() bool {
	t, ok := s.log.term(s.commit)
	return ok && t == s.hard.Term
}

func (s *step) compact(e Compacted) {
	if e.Index <= s.log.snapshot.Index || e.Index > s.applied {
		return
	}
	term, _ := s.log.term(e.Index)
	snap := Snapshot{Index: e.Index, Term: term, Members: membersAt(s.memberships, e.Index), Data: e.Data}
	s.installSnapshot(snap)
}

// formIndex is the index and term of the snapshot with which the initial members
// of a group start.
const formIndex = 1

func (s *step) form(m Members) {
	if s.log.lastIndex() > 0 || s.hard.Term > formIndex || !m.IsVoter(s.cfg.ID) {
		return
	}
	s.hard.Term = formIndex
	s.installSnapshot(Snapshot{Index: formIndex, Term: formIndex, Members: m})
	s.commit = formIndex
	s.applied = formIndex
}

// installSnapshot replaces the entries that the snapshot covers, and the
// memberships up to its index, by the snapshot.
func (s *step) installSnapshot(snap Snapshot) {
	s.log = s.log.withSnapshot(snap)
	s.snapshot = &snap
	later := slices.DeleteFunc(slices.Clone(s.memberships), func(m membership) bool {
		return m.index <= snap.Index || m.index > s.log.lastIndex()
	})
	s.memberships = append([]membership{{index: snap.Index, members: snap.Members}}, later...)
}
