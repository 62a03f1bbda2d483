package deployment

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/suspect"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// Status is the state of a target as the control instances know it.
type Status string

// States of a target.
const (
	Live     Status = "live"
	Silent   Status = "silent"   // no heartbeat received for several periods
	Draining Status = "draining" // finishes its requests and gets no new ones
	Left     Status = "left"     // withdrew, or a target with a later start announced its address
)

// Target is an incarnation of a target as last announced.
type Target struct {
	ID               string `msgpack:"id"`
	StartMillis      int64  `msgpack:"born"` // Unix milliseconds of the start; identifies the incarnation
	Service          string `msgpack:"service"`
	Address          string `msgpack:"address"`
	AvailabilityZone string `msgpack:"availability_zone"`
	Software         string `msgpack:"software"`
	Slots            int    `msgpack:"slots"`
	WarmUpMillis     int64  `msgpack:"warm_up_millis"` // time left to warm up at this announcement; 0 for a warm target
	Status           Status `msgpack:"status"`
	Sequence         uint64 `msgpack:"sequence"` // of the announcement
	Changed          uint64 `msgpack:"changed"`  // log index of the last change
}

// Usable reports whether the target may get new requests.
func (t Target) Usable() bool { return t.Status == Live || t.Status == Silent }

// maxDigests is the number of accepted changes that are remembered to acknowledge
// resends. A day has hundreds of changes; 8,192 digests take half a megabyte.
const maxDigests = 8192

// State is the replicated state. It is immutable.
type State struct {
	version       uint64 // log index of the last command that changed the state
	config        Config
	configIndex   uint64   // log index at which config was accepted
	digests       []string // digests of accepted changes, oldest first
	targets       []Target // sorted by ID
	tables        []KeyTable
	suspects      []Suspect
	suspectsIndex uint64 // log index of the last change of the suspects

	zones          []zoneRecord // for which an operator called, sorted by name
	forgottenCalls uint64       // latest zoneRecord.Called that was dropped
	evacuated      []Evacuation // of zones
	evacuatedIndex uint64       // log index of the last change of the evacuated zones

	featureLevel uint64 // agreed level; 0 if it was never raised
	// earlierConfigs are the configurations before the one in force, oldest first.
	// They are not part of a snapshot.
	earlierConfigs []indexedConfig
}

// Suspect is a kind of request that was in flight when targets crashed.
type Suspect = suspect.Suspect[Incarnation]

// Suspects returns the suspects and the log index of their last change. The slice
// is shared and must not be changed.
func (s State) Suspects() ([]Suspect, uint64) { return s.suspects, s.suspectsIndex }

// Version returns the log index of the last command that changed the state.
func (s State) Version() uint64 { return s.version }

// Config returns the configuration in force and the log index at which it was
// accepted, 0 if there is none yet.
func (s State) Config() (Config, uint64) { return s.config, s.configIndex }

// ConfigAt returns the configuration that was accepted at the log index, if it is in
// force or was replaced not long ago.
func (s State) ConfigAt(index uint64) (Config, bool) {
	if index == s.configIndex {
		return s.config, true
	}
	i := slices.IndexFunc(s.earlierConfigs, func(c indexedConfig) bool { return c.index == index })
	if i < 0 {
		return Config{}, false
	}
	return s.earlierConfigs[i].config, true
}

// withConfig returns the state after a configuration was accepted at the log index.
func (s State) withConfig(index uint64, cfg Config) State {
	if s.configIndex > 0 {
		earlier := indexedConfig{index: s.configIndex, config: s.config, bytes: s.config.bytesBeside(cfg)}
		s.earlierConfigs = withinBounds(append(slices.Clone(s.earlierConfigs), earlier))
	}
	s.config, s.configIndex, s.version = cfg, index, index
	return s
}

// Targets returns the targets sorted by ID. The slice is shared and must not be
// changed.
func (s State) Targets() []Target { return s.targets }

// Target returns the target with the ID.
func (s State) Target(id string) (Target, bool) {
	i, ok := s.targetIndex(id)
	if !ok {
		return Target{}, false
	}
	return s.targets[i], true
}

// Tables returns the key tables of the keyed services. The slice is shared and must
// not be changed.
func (s State) Tables() []KeyTable { return s.tables }

// Table returns the key table of a service.
func (s State) Table(service string) (KeyTable, bool) {
	i := slices.IndexFunc(s.tables, func(t KeyTable) bool { return t.Service == service })
	if i < 0 {
		return KeyTable{}, false
	}
	return s.tables[i], true
}

func (s State) targetIndex(id string) (int, bool) {
	return slices.BinarySearchFunc(s.targets, id, func(t Target, id string) int { return cmp.Compare(t.ID, id) })
}

func (s State) withTarget(index uint64, t Target) State {
	t.Changed = index
	i, ok := s.targetIndex(t.ID)
	s.targets = slices.Clone(s.targets)
	if ok {
		s.targets[i] = t
	} else {
		s.targets = slices.Insert(s.targets, i, t)
	}
	s.version = index
	return s
}

func (s State) withTable(t KeyTable) State {
	s.tables = slices.Clone(s.tables)
	s.version = t.Changed
	for i := range s.tables {
		if s.tables[i].Service == t.Service {
			s.tables[i] = t
			return s
		}
	}
	s.tables = append(s.tables, t)
	return s
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Version       uint64     `msgpack:"version"`
	Config        Config     `msgpack:"document"`
	ConfigIndex   uint64     `msgpack:"doc_index"`
	Digests       []string   `msgpack:"digests"`
	Targets       []Target   `msgpack:"targets"`
	Tables        []KeyTable `msgpack:"tables"`
	Suspects      []Suspect  `msgpack:"suspects"`
	SuspectsIndex uint64     `msgpack:"blamed"`

	Zones          []zoneRecord `msgpack:"zones,omitempty"`
	ForgottenCalls uint64       `msgpack:"forgotten_calls,omitempty"`
	EvacuatedIndex uint64       `msgpack:"evacuated_index,omitempty"`
	FeatureLevel   uint64       `msgpack:"feature_level,omitempty"`
}

// Encode returns the state as a snapshot for Decode.
func (s State) Encode() []byte {
	return wire.Encode(snapshot{
		Version:       s.version,
		Config:        s.config,
		ConfigIndex:   s.configIndex,
		Digests:       s.digests,
		Targets:       s.targets,
		Tables:        s.tables,
		Suspects:      s.suspects,
		SuspectsIndex: s.suspectsIndex,

		Zones:          s.zones,
		ForgottenCalls: s.forgottenCalls,
		EvacuatedIndex: s.evacuatedIndex,
		FeatureLevel:   s.featureLevel,
	})
}

// Decode returns the state of a snapshot by Encode. The error matches ErrUnknownRecord if
// the snapshot has a field that this build does not know, or a higher feature level.
func Decode(data []byte) (State, error) {
	var in snapshot
	if err := wire.DecodeStrict(data, &in); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrUnknownRecord, err)
	}
	if in.FeatureLevel > FeatureLevel {
		return State{}, fmt.Errorf("%w: the snapshot has level %d, and this build supports %d", ErrUnknownRecord, in.FeatureLevel, FeatureLevel)
	}
	return State{
		version:       in.Version,
		config:        in.Config,
		configIndex:   in.ConfigIndex,
		digests:       in.Digests,
		targets:       in.Targets,
		tables:        in.Tables,
		suspects:      in.Suspects,
		suspectsIndex: in.SuspectsIndex,

		zones:          in.Zones,
		forgottenCalls: in.ForgottenCalls,
		evacuated:      evacuationsOf(in.Zones),
		evacuatedIndex: in.EvacuatedIndex,
		featureLevel:   in.FeatureLevel,
	}, nil
}
