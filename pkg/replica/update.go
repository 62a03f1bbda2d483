package replica

import "slices"

// step collects what one event does to a replica.
type step struct {
	Replica
	appended []Entry
	snapshot *Snapshot
	effects  []Effect
}

// Update returns the replica after the event and the effects to carry out, in
// order. What must be durable comes first.
func (r Replica) Update(event Event) (Replica, []Effect) {
	s := &step{Replica: r}
	s.progress = slices.Clone(r.progress)
	s.handle(event)
	s.applyCommitted()
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

// finish puts the durable effect first and reports a change of role.
func (s *step) finish(before Replica) (Replica, []Effect) {
	out := s.effects
	if s.hard != before.hard || len(s.appended) > 0 || s.snapshot != nil {
		persist := Persist{Hard: s.hard, Entries: s.appended, Snapshot: s.snapshot}
		out = append([]Effect{persist}, out...)
	}
	if s.latestConfig().index != before.latestConfig().index {
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
		s.configs = withConfigOf(s.configs, e)
	}
}

// truncate cuts the log before the index.
func (s *step) truncate(index uint64) {
	s.log = s.log.withoutFrom(index)
	s.configs = configsBefore(s.configs, index)
}

func (s *step) applyCommitted() {
	if s.applied >= s.commit {
		return
	}
	entries := s.log.slice(s.applied+1, s.commit)
	s.applied = s.commit
	s.emit(Apply{Entries: entries})
}

func (s *step) propose(e Proposed) {
	if err := s.refusal(); err != nil {
		s.reject(e.Token, err)
		return
	}
	s.appendOwn(e.Token, Entry{Kind: EntryCommand, Data: e.Data})
}

// refusal tells why a proposal can't be taken now.
func (s *step) refusal() error {
	if s.role != Leader {
		return ErrNotLeader
	}
	if s.transferee != "" {
		return ErrTransferring
	}
	return nil
}

// appendOwn appends an entry of the leader and sends it to the others.
func (s *step) appendOwn(token uint64, e Entry) {
	e.Index = s.log.last() + 1
	e.Term = s.hard.Term
	s.append(e)
	s.emit(Appended{Token: token, Index: e.Index, Term: e.Term})
	s.broadcastAppend()
	s.advanceCommit()
}

func (s *step) proposeMembers(e MembersProposed) {
	if err := s.membersRefusal(e.Members); err != nil {
		s.reject(e.Token, err)
		return
	}
	s.appendOwn(e.Token, Entry{Kind: EntryMembers, Members: e.Members})
	s.syncProgress()
	s.broadcastAppend()
}

func (s *step) membersRefusal(m Members) error {
	if err := s.refusal(); err != nil {
		return err
	}
	if s.latestConfig().index > s.commit || !s.committedInTerm() {
		return ErrMemberChange
	}
	if s.Members().voterChanges(m) > 1 {
		return ErrTooManyChange
	}
	return nil
}

// committedInTerm reports whether the leader committed an entry of its term.
func (s *step) committedInTerm() bool {
	t, ok := s.log.term(s.commit)
	return ok && t == s.hard.Term
}

func (s *step) compact(e Compacted) {
	if e.Index <= s.log.snapshot.Index || e.Index > s.applied {
		return
	}
	term, _ := s.log.term(e.Index)
	snap := Snapshot{Index: e.Index, Term: term, Members: membersAt(s.configs, e.Index), Data: e.Data}
	s.useSnapshot(snap)
}

// formIndex is the index and term of the snapshot that every first member of a
// group begins with.
const formIndex = 1

func (s *step) form(m Members) {
	if s.log.last() > 0 || s.hard.Term > formIndex || !m.isVoter(s.cfg.ID) {
		return
	}
	s.hard.Term = formIndex
	s.useSnapshot(Snapshot{Index: formIndex, Term: formIndex, Members: m})
	s.commit = formIndex
	s.applied = formIndex
}

// useSnapshot makes the snapshot the beginning of the log.
func (s *step) useSnapshot(snap Snapshot) {
	s.log = s.log.withSnapshot(snap)
	s.snapshot = &snap
	later := slices.DeleteFunc(slices.Clone(s.configs), func(c configAt) bool {
		return c.index <= snap.Index || c.index > s.log.last()
	})
	s.configs = append([]configAt{{index: snap.Index, members: snap.Members}}, later...)
}
