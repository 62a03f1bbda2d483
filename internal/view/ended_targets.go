package view

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// endedMemory is for how long a control instance lists a target that has ended. Entries that
// ask less often need a view that is newer than the end.
const endedMemory = 10 * time.Second

// EndedTargets lists the targets that stopped being usable at log indexes in a range that ends
// with the newest known one. It is immutable. All times are those of the boot clock.
type EndedTargets struct {
	from, to uint64
	list     []endedTarget // by index
}

// endedTarget says that a target and its earlier incarnations ended.
type endedTarget struct {
	id          string
	startMillis int64
	index       uint64
	at          time.Duration // no later than the end was acknowledged; 0 if not known
	heardAt     time.Duration
}

// age returns the time since the end, or a negative one if it is not known.
func (t endedTarget) age(now time.Duration) time.Duration {
	if t.at == 0 {
		return -1
	}
	return now - t.at
}

// To returns the log index up to which the list is complete; 0 for an empty list.
func (e EndedTargets) To() uint64 { return e.to }

// WithState returns the list after the state has changed. The targets that ended in between
// did so no earlier than at; 0 stands for an unknown time. The first state has no predecessor:
// the list begins with it.
func (e EndedTargets) WithState(before *deployment.State, state deployment.State, at, now time.Duration) EndedTargets {
	if before == nil {
		return EndedTargets{from: state.Version(), to: state.Version()}
	}
	var added []endedTarget
	add := func(id string, startMillis int64, index uint64, at time.Duration) {
		added = append(added, endedTarget{id: id, startMillis: startMillis, index: index, at: at, heardAt: now})
	}
	for _, t := range state.Targets() {
		if t.Changed <= before.Version() {
			continue
		}
		old, known := before.Target(t.ID)
		switch {
		case !t.Usable() && known && old.StartMillis == t.StartMillis && !old.Usable():
			// It may have been ready in between, for entries with a view of that moment.
			add(t.ID, t.StartMillis, t.Changed, e.firstEnd(t))
		case !t.Usable():
			add(t.ID, t.StartMillis, t.Changed, at)
		case known && old.StartMillis != t.StartMillis:
			add(t.ID, t.StartMillis-1, t.Changed, 0) // it may have ended before it was replaced
		}
	}
	for _, t := range before.Targets() {
		if _, known := state.Target(t.ID); !known && t.Usable() {
			add(t.ID, t.StartMillis, state.Version(), at)
		}
	}
	e.list, e.to = withEnded(e.list, added), state.Version()
	return e.without(now)
}

// firstEnd returns a time before which the target did not end, or 0 if it is not known.
func (e EndedTargets) firstEnd(t deployment.Target) time.Duration {
	i := slices.IndexFunc(e.list, func(x endedTarget) bool { return x.id == t.ID && x.startMillis == t.StartMillis })
	if i < 0 {
		return 0
	}
	return e.list[i].at
}

// WithConfirmation returns the list after the answer to a call that was sent at the time
// sentAt.
func (e EndedTargets) WithConfirmation(c instance.TargetConfirmation, sentAt, now time.Duration) EndedTargets {
	switch {
	case c.To == 0:
		return e
	case c.From > e.to:
		e = EndedTargets{from: c.From} // what ended in between is not known
	}
	e.list, e.to = withEnded(e.list, endedIn(c, sentAt, now)), max(e.to, c.To)
	return e.without(now)
}

// Since returns the targets that ended after the log index known. Without one the answer lists
// none.
func (e EndedTargets) Since(known uint64, now time.Duration) *instance.TargetConfirmation {
	if known == 0 {
		return &instance.TargetConfirmation{From: e.to, To: e.to}
	}
	out := &instance.TargetConfirmation{From: max(e.from, min(known, e.to)), To: e.to}
	for _, t := range e.list {
		if t.index > out.From {
			out.Ended = append(out.Ended, instance.EndedTarget{ID: t.id, StartMillis: t.startMillis, Index: t.index, Age: t.age(now)})
		}
	}
	return out
}

// without returns the list without the targets that ended long ago.
func (e EndedTargets) without(now time.Duration) EndedTargets {
	n := 0
	for n < len(e.list) && now-e.list[n].heardAt > endedMemory {
		e.from = max(e.from, e.list[n].index)
		n++
	}
	e.list = e.list[n:]
	return e
}

// endedIn returns the targets of an answer to a call that was sent at the time sentAt.
func endedIn(c instance.TargetConfirmation, sentAt, now time.Duration) []endedTarget {
	out := make([]endedTarget, 0, len(c.Ended))
	for _, x := range c.Ended {
		t := endedTarget{id: x.ID, startMillis: x.StartMillis, index: x.Index, heardAt: now}
		if x.Age >= 0 {
			t.at = sentAt - x.Age
		}
		out = append(out, t)
	}
	return out
}

// withEnded returns the list with those of the targets that it lacks, by index.
func withEnded(list, added []endedTarget) []endedTarget {
	if len(added) == 0 {
		return list
	}
	out := slices.Clone(list)
	for _, t := range added {
		if !slices.ContainsFunc(list, func(x endedTarget) bool {
			return x.id == t.id && x.startMillis == t.startMillis && x.index == t.index
		}) {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(a, b endedTarget) int { return cmp.Compare(a.index, b.index) })
	return out
}
