// Package suspect finds requests that crash each target that runs them, from
// what was in flight when targets died. Its values are immutable.
package suspect

import "slices"

const (
	maxDeaths   = 2    // targets that one kind of request may take down
	maxSuspects = 1024 // kinds of requests remembered
)

// Suspect is a kind of request that was in flight when targets died. O tells the
// lives of targets apart.
type Suspect[O comparable] struct {
	Fingerprint string `msgpack:"fingerprint" json:"fingerprint"`
	Deaths      []O    `msgpack:"deaths" json:"deaths"`
	Index       uint64 `msgpack:"index" json:"index"` // of the last death
}

// Held reports whether requests of this kind are refused.
func (s Suspect[O]) Held() bool { return len(s.Deaths) >= maxDeaths }

// WithDeath counts a target's death against the requests it was running. Where
// one of them had seen another target's death, only such ones are blamed: the
// others are bystanders. Several entries may report the same death. Suspects
// that were answered since are cleared, unless they are held.
func WithDeath[O comparable](list []Suspect[O], index uint64, owner O, fingerprints, cleared []string) []Suspect[O] {
	out := slices.DeleteFunc(slices.Clone(list), func(x Suspect[O]) bool {
		return !x.Held() && slices.Contains(cleared, x.Fingerprint)
	})
	for _, f := range fingerprints {
		out = withOne(out, index, f, owner)
	}
	return withoutBystanders(out, owner)
}

func withOne[O comparable](list []Suspect[O], index uint64, fingerprint string, owner O) []Suspect[O] {
	i := slices.IndexFunc(list, func(x Suspect[O]) bool { return x.Fingerprint == fingerprint })
	if i < 0 {
		list = append(list, Suspect[O]{Fingerprint: fingerprint, Deaths: []O{owner}, Index: index})
		return list[max(0, len(list)-maxSuspects):]
	}
	x := list[i]
	if !slices.Contains(x.Deaths, owner) && !x.Held() {
		x.Deaths = append(slices.Clone(x.Deaths), owner)
	}
	x.Index = index
	list[i] = x
	return list
}

// withoutBystanders drops a death from the requests that saw no other, if one
// that did was among them.
func withoutBystanders[O comparable](list []Suspect[O], owner O) []Suspect[O] {
	repeated := func(x Suspect[O]) bool { return len(x.Deaths) > 1 && slices.Contains(x.Deaths, owner) }
	if !slices.ContainsFunc(list, repeated) {
		return list
	}
	return slices.DeleteFunc(list, func(x Suspect[O]) bool { return len(x.Deaths) == 1 && x.Deaths[0] == owner })
}
