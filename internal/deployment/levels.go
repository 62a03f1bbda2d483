package deployment

import (
	"errors"
	"fmt"
	"slices"
)

// FeatureLevel is the feature level that this build supports. It grows by one when a
// build writes a command, or a value in a command, that the build before does not know.
//
//   - Level 1 is the build of commit ff6f5b7. It does not announce its level.
//   - Level 2 adds RaiseLevel, Evacuate, routes of kind Upload, and services with a cold
//     time or rate.
//   - Level 3 merges neighbouring ranges that one command assigns to the same target.
//
// A field that a level adds to Command, to a type in it or to a snapshot is left out of
// the encoding while it has its zero value (omitempty), so that what is written below
// that level can be read by the build before.
const FeatureLevel uint64 = 3

// MergeLevel is the level from which on neighbouring ranges are merged.
const MergeLevel uint64 = 3

// firstLevel is the level of a deployment that has not raised it, and of a build that
// announces none.
const firstLevel uint64 = 1

var (
	// ErrFeatureLevel reports a command that needs a higher feature level than the
	// agreed one. It has no effect and may be sent again once the level was raised.
	ErrFeatureLevel = errors.New("the feature level agreed by all instances is too low")
	// ErrUnknownRecord reports a log record or a snapshot with content that this build
	// does not know.
	ErrUnknownRecord = errors.New("record is not known to this build; a newer build is needed")
)

// RaiseLevel raises the agreed feature level. The leader proposes it once all members and
// entries support the level.
type RaiseLevel struct {
	Level uint64 `msgpack:"level"`
}

// Level returns the feature level that the command needs. All contents of commands that a
// level above 1 has added are listed here.
func (c Command) Level() uint64 {
	if c.RaiseLevel != nil || c.Evacuate != nil || c.ConfigChange != nil && c.ConfigChange.needsLevel2() {
		return 2
	}
	return firstLevel
}

// needsLevel2 reports whether the change has a route or a service that level 2 has added.
func (c ConfigChange) needsLevel2() bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Kind == Upload }) ||
		slices.ContainsFunc(c.Services, func(s Service) bool { return s.ColdRate != 0 || s.ColdTime != 0 })
}

// FeatureLevel returns the agreed feature level.
func (s State) FeatureLevel() uint64 { return max(s.featureLevel, firstLevel) }

// Admit returns an error that matches ErrFeatureLevel if the command needs more than the
// agreed level and must not be written. RaiseLevel is always admitted, as it is proposed
// only when all members know it.
func (s State) Admit(c Command) error {
	need := c.Level()
	if c.RaiseLevel != nil || need <= s.FeatureLevel() {
		return nil
	}
	return fmt.Errorf("%w: level %d is agreed, and level %d is needed", ErrFeatureLevel, s.FeatureLevel(), need)
}

// CheckLevel returns an error if an instance that announces
// the level, or 0 for none, does not support the agreed one.
func (s State) CheckLevel(announced uint64) error {
	if max(announced, firstLevel) >= s.FeatureLevel() {
		return nil
	}
	return fmt.Errorf("build supports feature level %d, and level %d is in force; a newer build is needed", max(announced, firstLevel), s.FeatureLevel())
}

// raiseLevel returns the state after the level was raised. A level that this build does
// not support means that commands may follow that it does not know.
func (s State) raiseLevel(index uint64, r RaiseLevel) (State, error) {
	if r.Level > FeatureLevel {
		return s, fmt.Errorf("%w: the level is raised to %d, and this build supports %d", ErrUnknownRecord, r.Level, FeatureLevel)
	}
	if r.Level > s.FeatureLevel() {
		s.featureLevel, s.version = r.Level, index
	}
	return s, nil
}
