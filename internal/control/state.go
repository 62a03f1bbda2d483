// Package control implements the replicated state of the control group of a
// deployment whose members vote on the configuration: the accepted configuration, the
// targets as last announced and the ownership of key ranges. A State is immutable;
// applying a committed command returns a new one. A Planner returns the commands that
// the leader should propose next. internal/deployment is the counterpart for routed
// deployments.
package control

import (
	"slices"
	"sort"
	"strings"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/suspect"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// TargetStatus is the status of a target.
type TargetStatus string

// Statuses of a target.
const (
	TargetLive     TargetStatus = "live"
	TargetDraining TargetStatus = "draining"
	TargetLost     TargetStatus = "lost"
)

// Target is a target as it last announced itself.
type Target struct {
	Name             string       `msgpack:"name" json:"name"`
	Incarnation      string       `msgpack:"incarnation" json:"incarnation"`
	Service          string       `msgpack:"service" json:"service"`
	Address          string       `msgpack:"address" json:"address"`
	AvailabilityZone string       `msgpack:"availability_zone" json:"availability_zone"`
	Slots            int          `msgpack:"slots" json:"slots"`
	Connections      int          `msgpack:"connections" json:"connections"`
	ChecksFence      bool         `msgpack:"checks_fence" json:"checks_fence"`
	Status           TargetStatus `msgpack:"status" json:"status"`
	Changed          uint64       `msgpack:"changed" json:"changed"` // log index of the last change
}

// Owner returns the target's current incarnation as an owner of ranges.
func (t Target) Owner() keyspace.Owner {
	return keyspace.Owner{Target: t.Name, Incarnation: t.Incarnation}
}

// AcceptedConfig is a configuration that a majority of the members accepted.
type AcceptedConfig struct {
	Version  uint64 `msgpack:"version" json:"version"` // counts from 1
	ChangeID string `msgpack:"change_id" json:"change_id"`
	Index    uint64 `msgpack:"index" json:"index"` // log index of the deciding vote
	Source   []byte `msgpack:"source" json:"source"`
}

// Proposal is a change of the configuration on which the members are voting.
type Proposal struct {
	ChangeID string       `msgpack:"change_id" json:"change_id"`
	Base     uint64       `msgpack:"base" json:"base"`
	Source   []byte       `msgpack:"source" json:"source"`
	Votes    []MemberVote `msgpack:"votes" json:"votes"`
}

// MemberVote is one member's counted vote.
type MemberVote struct {
	Member string `msgpack:"member" json:"member"`
	Yes    bool   `msgpack:"yes" json:"yes"`
}

// ChangeState is the state of a proposed change.
type ChangeState string

// States of a proposed change.
const (
	ChangeOpen       ChangeState = "open"
	ChangeAccepted   ChangeState = "accepted"
	ChangeRejected   ChangeState = "rejected"
	ChangeSuperseded ChangeState = "lost" // its base is not the accepted version
)

// ChangeRecord is the record of a proposed change. It is kept after the vote so that a
// repeated proposal gets the same answer.
type ChangeRecord struct {
	ChangeID string      `msgpack:"change_id" json:"change_id"`
	Base     uint64      `msgpack:"base" json:"base"`
	Hash     string      `msgpack:"hash" json:"hash"` // SHA-256 of the source, hex
	State    ChangeState `msgpack:"state" json:"state"`
	Winner   string      `msgpack:"winner" json:"winner,omitempty"`   // change that was accepted on the same base
	Version  uint64      `msgpack:"version" json:"version,omitempty"` // version if accepted
}

// ServiceTable is the encoded form of a serviceTable, whole or only its changes.
type ServiceTable struct {
	Service string           `msgpack:"service"`
	Layout  uint64           `msgpack:"layout"` // log index at which the ranges' bounds last changed
	Moved   uint64           `msgpack:"moved"`  // ranges that went from one target to another
	Whole   bool             `msgpack:"whole"`  // Ranges holds all ranges, not only changed ones
	Ranges  []keyspace.Range `msgpack:"ranges"`
}

// Suspect is a kind of request that was in flight when targets crashed.
type Suspect = suspect.Suspect[keyspace.Owner]

// Limits on the size of the state.
const (
	maxChanges = 4096 // change records that are kept
	maxHistory = 64   // accepted configurations that are kept
	maxOpen    = 64   // proposals that are open at the same time
)

// State is the replicated state of the control group. The zero value is empty.
type State struct {
	version       uint64 // log index of the last change that entries must see; proposals don't raise it
	history       []AcceptedConfig
	config        config.Config
	open          []Proposal
	changeRecords []ChangeRecord
	targets       []Target
	tables        []serviceTable
	suspects      []Suspect
}

// serviceTable holds the ownership of one service's keys.
type serviceTable struct {
	service string
	layout  uint64 // log index at which the ranges' bounds last changed
	moved   uint64 // ranges that went from one target to another
	keys    keyspace.Table
}

// Version returns the log index of the last change that entries must see. Proposals
// don't raise it, nor do votes before the deciding one.
func (s State) Version() uint64 { return s.version }

// Config returns the accepted configuration. Its version is 0 if none has been
// accepted yet.
func (s State) Config() (AcceptedConfig, config.Config) {
	if len(s.history) == 0 {
		return AcceptedConfig{}, config.Config{}
	}
	return s.history[len(s.history)-1], s.config
}

// History returns the last accepted configurations, oldest first.
func (s State) History() []AcceptedConfig { return slices.Clone(s.history) }

// Open returns the proposals that members can vote on.
func (s State) Open() []Proposal { return slices.Clone(s.open) }

// ChangeRecord returns the record of a proposed change.
func (s State) ChangeRecord(id string) (ChangeRecord, bool) {
	i := slices.IndexFunc(s.changeRecords, func(c ChangeRecord) bool { return c.ChangeID == id })
	if i < 0 {
		return ChangeRecord{}, false
	}
	return s.changeRecords[i], true
}

// Targets returns the targets, sorted by name.
func (s State) Targets() []Target { return slices.Clone(s.targets) }

// Target returns the target with the name.
func (s State) Target(name string) (Target, bool) {
	i, ok := s.targetIndex(name)
	if !ok {
		return Target{}, false
	}
	return s.targets[i], true
}

func (s State) targetIndex(name string) (int, bool) {
	return sort.Find(len(s.targets), func(i int) int {
		switch {
		case name < s.targets[i].Name:
			return -1
		case name > s.targets[i].Name:
			return 1
		default:
			return 0
		}
	})
}

// Table returns the ownership of a keyed service's keys.
func (s State) Table(service string) (keyspace.Table, bool) {
	i := slices.IndexFunc(s.tables, func(t serviceTable) bool { return t.service == service })
	if i < 0 {
		return keyspace.Table{}, false
	}
	return s.tables[i].keys, true
}

// Suspects returns the kinds of requests that were in flight when targets crashed.
func (s State) Suspects() []Suspect { return slices.Clone(s.suspects) }

func (s State) withTarget(t Target) State {
	i, ok := s.targetIndex(t.Name)
	s.targets = slices.Clone(s.targets)
	if ok {
		s.targets[i] = t
	} else {
		s.targets = slices.Insert(s.targets, i, t)
	}
	return s
}

// withTable replaces a service's table by one whose ranges have the same bounds.
func (s State) withTable(service string, keys keyspace.Table) State {
	s.tables = slices.Clone(s.tables)
	i := slices.IndexFunc(s.tables, func(t serviceTable) bool { return t.service == service })
	s.tables[i].keys = keys
	return s
}

// withLayout adds a service's table, or replaces it by one with other bounds.
func (s State) withLayout(index uint64, service string, keys keyspace.Table) State {
	next := serviceTable{service: service, layout: index, keys: keys}
	s.tables = slices.DeleteFunc(slices.Clone(s.tables), func(t serviceTable) bool {
		if t.service == service {
			next.moved = t.moved
		}
		return t.service == service
	})
	s.tables = append(s.tables, next)
	slices.SortFunc(s.tables, func(a, b serviceTable) int { return strings.Compare(a.service, b.service) })
	return s
}

func (s State) withChangeRecord(c ChangeRecord) State {
	s.changeRecords = slices.Clone(s.changeRecords)
	i := slices.IndexFunc(s.changeRecords, func(x ChangeRecord) bool { return x.ChangeID == c.ChangeID })
	if i >= 0 {
		s.changeRecords[i] = c
		return s
	}
	s.changeRecords = append(s.changeRecords, c)
	if len(s.changeRecords) > maxChanges {
		s.changeRecords = s.changeRecords[len(s.changeRecords)-maxChanges:]
	}
	return s
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Version       uint64           `msgpack:"version"`
	History       []AcceptedConfig `msgpack:"history"`
	Open          []Proposal       `msgpack:"open"`
	ChangeRecords []ChangeRecord   `msgpack:"changes"`
	Targets       []Target         `msgpack:"targets"`
	Tables        []ServiceTable   `msgpack:"tables"`
	Suspects      []Suspect        `msgpack:"suspects"`
}

// Encode returns the encoded state, which Decode reads.
func (s State) Encode() []byte {
	out := snapshot{
		Version:       s.version,
		History:       s.history,
		Open:          s.open,
		ChangeRecords: s.changeRecords,
		Targets:       s.targets,
		Tables:        s.encodeTables(),
		Suspects:      s.suspects,
	}
	return wire.Encode(out)
}

func (s State) encodeTables() []ServiceTable {
	var out []ServiceTable
	for _, t := range s.tables {
		out = append(out, t.encodeAll())
	}
	return out
}

func (t serviceTable) encodeAll() ServiceTable {
	return ServiceTable{Service: t.service, Layout: t.layout, Moved: t.moved, Whole: true, Ranges: t.keys.Ranges()}
}

// encodeSince returns the ranges that changed after the version, or the whole table
// if the ranges' bounds changed.
func (t serviceTable) encodeSince(version uint64) ServiceTable {
	if t.layout > version {
		return t.encodeAll()
	}
	out := ServiceTable{Service: t.service, Layout: t.layout, Moved: t.moved}
	for _, r := range t.keys.All() {
		if r.Changed > version {
			out.Ranges = append(out.Ranges, r)
		}
	}
	return out
}

// TablesSince returns the changes in each table after the version. Unchanged tables
// are listed too, so that the receiver notices removed ones.
func (s State) TablesSince(version uint64) []ServiceTable {
	out := make([]ServiceTable, 0, len(s.tables))
	for _, t := range s.tables {
		out = append(out, t.encodeSince(version))
	}
	return out
}

// TargetsSince returns the targets that changed after the version.
func (s State) TargetsSince(version uint64) []Target {
	var out []Target
	for _, t := range s.targets {
		if t.Changed > version {
			out = append(out, t)
		}
	}
	return out
}

// Decode returns the state that Encode encoded.
func Decode(data []byte) (State, error) {
	var in snapshot
	if err := wire.Decode(data, &in); err != nil {
		return State{}, err
	}
	s := State{
		version:       in.Version,
		history:       in.History,
		open:          in.Open,
		changeRecords: in.ChangeRecords,
		targets:       in.Targets,
		suspects:      in.Suspects,
	}
	for _, t := range in.Tables {
		keys, err := keyspace.FromRanges(t.Ranges)
		if err != nil {
			return State{}, err
		}
		s.tables = append(s.tables, serviceTable{service: t.Service, layout: t.Layout, moved: t.Moved, keys: keys})
	}
	if len(s.history) == 0 {
		return s, nil
	}
	parsed, err := config.Parse("text", s.history[len(s.history)-1].Source)
	s.config = parsed
	return s, err
}
