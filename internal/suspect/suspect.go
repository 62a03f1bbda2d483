// Package suspect finds requests that crash each target that runs them, from
// what was in flight when targets crashed. Its values are immutable.
package suspect

import "slices"

const (
	maxCrashes  = 2    // targets that one kind of request may crash
	maxSuspects = 1024 // kinds of requests remembered
)

// Suspect is a kind of request that was in flight when targets crashed. O tells the
// incarnations of targets apart.
type Suspect[O comparable] struct {
	Fingerprint string `msgpack:"fingerprint" json:"fingerprint"`
	Crashes     []O    `msgpack:"deaths" json:"deaths"`
	Index       uint64 `msgpack:"index" json:"index"` // of the last crash
}

// Blocked reports whether requests of this kind are refused.
func (s Suspect[O]) Blocked() bool { return len(s.Crashes) >= maxCrashes }

// WithCrash counts a target's crash against the requests it was running. Where
// one of them had seen another target's crash, only such ones are suspected: the
// others are bystanders. Several entries may report the same crash. Suspects
// that were answered since are cleared, unless they are blocked.
func WithCrash[O comparable](list []Suspect[O], index uint64, owner O, fingerprints, cleared []string) []Suspect[O] {
	out := slices.DeleteFunc(slices.Clone(list), func(x Suspect[O]) bool {
		return !x.Blocked() && slices.Contains(cleared, x.Fingerprint)
	})
	for _, f := range fingerprints {
		out = withOne(out, index, f, owner)
	}
	return withoutBystanders(out, owner)
}

func withOne[O comparable](list []Suspect[O], index uint64, fingerprint string, owner O) []Suspect[O] {
	i := slices.IndexFunc(list, func(x Suspect[O]) bool { return x.Fingerprint == fingerprint })
	if i < 0 {
		list = append(list, Suspect[O]{Fingerprint: fingerprint, Crashes: []O{owner}, Index: index})
		return list[max(0, len(list)-maxSuspects):]
	}
	x := list[i]
	if !slices.Contains(x.Crashes, owner) && !x.Blocked() {
		x.Crashes = append(slices.Clone(x.Crashes), owner)
	}
	x.Index = index
	list[i] = x
	return list
}

// withoutBystanders drops a crash from the requests that saw no other, if one
// that did was among them.
func withoutBystanders[O comparable](list []Suspect[O], owner O) []Suspect[O] {
	repeated := func(x Suspect[O]) bool { return len(x.Crashes) > 1 && slices.Contains(x.Crashes, owner) }
	if !slices.ContainsFunc(list, repeated) {
		return list
	}
	return slices.DeleteFunc(list, func(x Suspect[O]) bool { return len(x.Crashes) == 1 && x.Crashes[0] == owner })
}
