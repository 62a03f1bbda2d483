package leader

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// levelWindow is how long an instance counts after it was heard last. An entry that is
	// cut off for longer does not hold the feature level back; it is refused if it comes
	// back with a build below the level.
	levelWindow = 3 * time.Second
	// firstLevelDelay is the time from the start of a term to the first raise while there
	// is no configuration. Entries serve nobody then, so that one that has not reported
	// yet can be refused, and the first configuration may need the higher level.
	firstLevelDelay = 500 * time.Millisecond
	// maxHolders bounds the instances that a LevelReport names.
	maxHolders = 24
)

// LevelHeard reports the feature level that an instance announced; 0 for none. A replica
// that asks to join the group announces its level in this way.
type LevelHeard struct {
	At    timer.Instant
	Name  string
	Level uint64
}

// LevelReport tells which instances keep the leader from raising the feature level. The
// model sends it when that changes.
type LevelReport struct {
	Agreed     uint64
	HeldBackBy []string // instances with reasons, sorted
}

func (LevelHeard) isEvent()   {}
func (LevelReport) isEffect() {}

// levelState is what the leader knows of the feature levels of others.
type levelState struct {
	members  []group.MemberLevel
	heard    map[string]LevelHeard // entries, and replicas that ask to join, by name
	dropped  timer.Instant         // when those not heard for long were dropped last
	reported *LevelReport
	// mergesFrom is when the leases have ended that may be stretched; 0 while they may be.
	mergesFrom timer.Instant
}

func (m *Model) handleLevelHeard(e LevelHeard) {
	if m.levels.heard == nil {
		m.levels.heard = make(map[string]LevelHeard)
	}
	m.levels.heard[e.Name] = e
	if e.At.Sub(m.levels.dropped) > levelWindow {
		m.levels.dropped = e.At
		maps.DeleteFunc(m.levels.heard, func(_ string, x LevelHeard) bool { return e.At.Sub(x.At) > levelWindow })
	}
}

// planLevel raises the feature level to the highest one that all members of the group and
// all instances heard of within levelWindow support. It reports who holds the level back.
// It answers no load: an upgrade may take any time, and a raise can't be undone.
func (m *Model) planLevel() []Effect {
	agreed := m.state.FeatureLevel()
	var holders []string
	next := uint64(0)
	for _, x := range m.levels.members {
		next = max(next, x.Level)
	}
	if next > agreed {
		next, holders = m.supportedLevel(agreed, next)
	}
	effects := m.reportLevel(LevelReport{Agreed: agreed, HeldBackBy: holders})
	if next <= agreed || len(holders) > 0 || m.commandPending || m.awaitsStretchedLeases(agreed, next) {
		return effects
	}
	return append(effects, m.propose(deployment.Command{RaiseLevel: &deployment.RaiseLevel{Level: next}}, "all instances support the feature level")...)
}

// stretchesLeases reports whether leases get longer with the number of ranges. Merges lower
// that number, so that a later leader would assume shorter leases than were granted.
func (m *Model) stretchesLeases() bool {
	return m.state.FeatureLevel() < deployment.MergeLevel && m.levels.mergesFrom == 0
}

// awaitsStretchedLeases reports whether a raise of the level has to wait until the leases have ended
// that were stretched. From the first call on none is.
func (m *Model) awaitsStretchedLeases(agreed, next uint64) bool {
	if agreed >= deployment.MergeLevel || next < deployment.MergeLevel || m.countRanges() <= stretchedRanges {
		return false
	}
	if m.levels.mergesFrom == 0 {
		m.levels.mergesFrom = leaseExpiry(m.now, max(m.base.MaxLease, m.base.LeaseDuration))
	}
	return m.now < m.levels.mergesFrom
}

// supportedLevel returns the highest level up to wanted that is known to be supported by
// everyone, and the instances that support no more than the agreed level.
func (m *Model) supportedLevel(agreed, wanted uint64) (level uint64, holders []string) {
	level = wanted
	hold := func(kind, name string, announced uint64) {
		level = min(level, announced)
		switch {
		case announced > agreed:
		case announced == 0:
			holders = append(holders, fmt.Sprintf("%s %s: announces no feature level", kind, name))
		default:
			holders = append(holders, fmt.Sprintf("%s %s: supports level %d", kind, name, announced))
		}
	}
	for _, x := range m.levels.members {
		if !x.Heard || m.now.Sub(x.At) > levelWindow {
			holders = append(holders, fmt.Sprintf("replica %s: not heard within %v", x.Member.Instance, levelWindow))
			continue
		}
		hold("replica", x.Member.Instance, x.Level)
	}
	for name, x := range m.levels.heard {
		if m.now.Sub(x.At) <= levelWindow {
			hold("instance", name, x.Level)
		}
	}
	delay := levelWindow
	if _, index := m.state.Config(); index == 0 {
		delay = firstLevelDelay
	}
	if m.now.Sub(m.leadingSince) < delay {
		holders = append(holders, "leader: waits until all entries have had the time to report")
	}
	slices.Sort(holders)
	if n := len(holders) - maxHolders; n > 0 {
		holders = append(holders[:maxHolders], fmt.Sprintf("and %d more", n))
	}
	return level, holders
}

// reportLevel returns the report if it differs from the last one.
func (m *Model) reportLevel(r LevelReport) []Effect {
	if last := m.levels.reported; last != nil && last.Agreed == r.Agreed && slices.Equal(last.HeldBackBy, r.HeldBackBy) {
		return nil
	}
	m.levels.reported = &r
	return []Effect{r}
}
