// Package suspect identifies kinds of requests that crash targets, from the requests
// that were in flight when targets crashed. Its functions don't modify their
// arguments.
package suspect

import "slices"

const (
	blockAfterCrashes = 2    // crashed incarnations after which a kind is blocked
	maxSuspects       = 1024 // kinds of requests that are remembered
)

// Suspect is a kind of request that was in flight when targets crashed. T identifies
// an incarnation of a target.
type Suspect[T comparable] struct {
	Fingerprint string `msgpack:"fingerprint" json:"fingerprint"`
	Crashes     []T    `msgpack:"deaths" json:"deaths"`
	Index       uint64 `msgpack:"index" json:"index"` // log index of the last crash report
}

// Blocked reports whether requests of this kind are rejected.
func (s Suspect[T]) Blocked() bool { return len(s.Crashes) >= blockAfterCrashes }

// WithCrash adds a crash to the suspects that were in flight. If one of these was in
// flight at another crash too, the ones seen only at this crash are dropped as
// bystanders. Reports of the same crash by several entries count once. Suspects that
// were answered since (cleared) are dropped unless they are blocked.
func WithCrash[T comparable](list []Suspect[T], index uint64, crashed T, fingerprints, cleared []string) []Suspect[T] {
	out := slices.DeleteFunc(slices.Clone(list), func(s Suspect[T]) bool {
		return !s.Blocked() && slices.Contains(cleared, s.Fingerprint)
	})
	for _, f := range fingerprints {
		out = withSuspect(out, index, f, crashed)
	}
	return withoutBystanders(out, crashed)
}

// withSuspect adds a crash to one suspect. The oldest suspects are dropped beyond
// maxSuspects.
func withSuspect[T comparable](list []Suspect[T], index uint64, fingerprint string, crashed T) []Suspect[T] {
	i := slices.IndexFunc(list, func(s Suspect[T]) bool { return s.Fingerprint == fingerprint })
	if i < 0 {
		list = append(list, Suspect[T]{Fingerprint: fingerprint, Crashes: []T{crashed}, Index: index})
		return list[max(0, len(list)-maxSuspects):]
	}
	s := list[i]
	if !slices.Contains(s.Crashes, crashed) && !s.Blocked() {
		s.Crashes = append(slices.Clone(s.Crashes), crashed)
	}
	s.Index = index
	list[i] = s
	return list
}

// withoutBystanders drops the suspects seen only at this crash if another suspect of
// this crash was also seen at an earlier one.
func withoutBystanders[T comparable](list []Suspect[T], crashed T) []Suspect[T] {
	repeated := func(s Suspect[T]) bool { return len(s.Crashes) > 1 && slices.Contains(s.Crashes, crashed) }
	if !slices.ContainsFunc(list, repeated) {
		return list
	}
	return slices.DeleteFunc(list, func(s Suspect[T]) bool { return len(s.Crashes) == 1 && s.Crashes[0] == crashed })
}
