package replica

import "slices"

// log is the snapshot and the entries that follow it. Slices handed out are
// never written again: a truncation copies.
type log struct {
	snapshot Snapshot
	entries  []Entry
}

func newLog(s Snapshot, entries []Entry) log {
	return log{snapshot: s, entries: slices.Clip(entries)}
}

func (l log) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at the index, if the log still holds it.
func (l log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.snapshot.Index-1].Term, true
	}
}

// slice returns the entries from lo to hi, both included.
func (l log) slice(lo, hi uint64) []Entry {
	base := l.snapshot.Index + 1
	if lo > hi {
		return nil
	}
	return slices.Clip(l.entries[lo-base : hi-base+1])
}

// limited returns entries from lo on, up to a number of payload bytes, at
// least one if there is one.
func (l log) limited(lo uint64, maxBytes int) []Entry {
	all := l.slice(lo, l.last())
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

// withoutFrom returns the log cut before the index.
func (l log) withoutFrom(index uint64) log {
	l.entries = slices.Clone(l.entries[:index-l.snapshot.Index-1])
	return l
}

// withSnapshot returns the log that begins after the snapshot.
func (l log) withSnapshot(s Snapshot) log {
	if t, ok := l.term(s.Index); ok && t == s.Term {
		return log{snapshot: s, entries: slices.Clone(l.entries[s.Index-l.snapshot.Index:])}
	}
	return log{snapshot: s}
}

// upToDate reports whether a log that ends at index and term is at least as
// complete as this one.
func (l log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// configAt is a membership with the index of the entry that brought it.
type configAt struct {
	index   uint64
	members Members
}

func withConfigOf(configs []configAt, e Entry) []configAt {
	if e.Kind != EntryMembers {
		return configs
	}
	return append(slices.Clip(configs), configAt{index: e.Index, members: e.Members})
}

// configsBefore drops the memberships at or after the index.
func configsBefore(configs []configAt, index uint64) []configAt {
	return slices.DeleteFunc(slices.Clone(configs), func(c configAt) bool { return c.index >= index })
}

// membersAt returns the membership in force at the index.
func membersAt(configs []configAt, index uint64) Members {
	out := configs[0].members
	for _, c := range configs {
		if c.index <= index {
			out = c.members
		}
	}
	return out
}
