package replica

import "slices"

// log holds a snapshot and the entries after it. It never writes to slices that
// it has returned; truncation copies the entries.
type log struct {
	snapshot Snapshot
	entries  []Entry
}

func newLog(s Snapshot, entries []Entry) log {
	return log{snapshot: s, entries: slices.Clip(entries)}
}

func (l log) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at the index, and false if the entry is
// compacted or past the end of the log.
func (l log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.snapshot.Index-1].Term, true
	}
}

// slice returns the entries in [lo, hi].
func (l log) slice(lo, hi uint64) []Entry {
	base := l.snapshot.Index + 1
	if lo > hi {
		return nil
	}
	return slices.Clip(l.entries[lo-base : hi-base+1])
}

// entriesFrom returns entries from lo on with at most maxBytes of payload in
// total. It returns at least one entry if there is one.
func (l log) entriesFrom(lo uint64, maxBytes int) []Entry {
	all := l.slice(lo, l.lastIndex())
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return slices.Clip(all[:i])
		}
	}
	return all
}

func (l log) withEntries(entries ...Entry) log {
	l.entries = append(l.entries, entries...)
	return l
}

// truncatedFrom returns the log without the entries from the index on.
func (l log) truncatedFrom(index uint64) log {
	l.entries = slices.Clone(l.entries[:index-l.snapshot.Index-1])
	return l
}

// withSnapshot returns the log with the snapshot in place of the entries that it
// covers. If the log has no entry that matches the end of the snapshot, all
// entries are dropped.
func (l log) withSnapshot(s Snapshot) log {
	if t, ok := l.term(s.Index); ok && t == s.Term {
		return log{snapshot: s, entries: slices.Clone(l.entries[s.Index-l.snapshot.Index:])}
	}
	return log{snapshot: s}
}

// upToDate reports whether a log whose last entry has the given index and term is
// at least as up to date as this one.
func (l log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// membership is the Members of a log entry or snapshot with its index.
type membership struct {
	index   uint64
	members Members
}

func withMembershipOf(memberships []membership, e Entry) []membership {
	if e.Kind != EntryMembers {
		return memberships
	}
	return append(slices.Clip(memberships), membership{index: e.Index, members: e.Members})
}

// membershipsBefore returns the memberships with a lower index.
func membershipsBefore(memberships []membership, index uint64) []membership {
	return slices.DeleteFunc(slices.Clone(memberships), func(m membership) bool { return m.index >= index })
}

// membersAt returns the latest membership at or before the index.
func membersAt(memberships []membership, index uint64) Members {
	out := memberships[0].members
	for _, m := range memberships {
		if m.index <= index {
			out = m.members
		}
	}
	return out
}
