package group

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Strict is implemented by machines that detect commands they don't know. Such a command
// stops the replica with the error: going on without it would let its state diverge from
// that of the other replicas.
type Strict[S any] interface {
	// TryApply is Machine.Apply with an error for a command that is not known.
	TryApply(index uint64, command []byte) (S, []byte, error)
}

// Leveled is implemented by machines that agree on a feature level. Level 1 is that of
// builds which don't know of levels.
type Leveled interface{ FeatureLevel() uint64 }

// ErrLevel reports a log file that was written at a higher feature level than this build
// supports.
var ErrLevel = errors.New("log was written at a higher feature level than this build supports")

// maxFileLevel is the highest level that the first byte of a frame can hold. Higher values
// begin other MessagePack types.
const maxFileLevel = 0x7f

// levelOf returns the feature level of the machine's state, or of that which a pointer leads to, or 1 if it
// has none.
func levelOf(state any) uint64 {
	if l, ok := state.(Leveled); ok {
		return l.FeatureLevel()
	}
	return 1
}

// frame returns the record as a frame of the log file. From level 2 on the level comes
// first, so that a build without levels can't read the file and does not start with it.
func (g *Group[S]) frame(rec record) []byte {
	data := wire.Encode(rec)
	level := g.fileLevel.Load()
	if level <= 1 {
		return data
	}
	return append([]byte{byte(min(level, maxFileLevel))}, data...)
}

// readFrame decodes a frame by frame and keeps its level for later frames.
func (g *Group[S]) readFrame(data []byte) (record, error) {
	var rec record
	if len(data) > 0 && data[0] <= maxFileLevel {
		level := uint64(data[0])
		if level > max(g.cfg.Level, 1) {
			return rec, fmt.Errorf("%w: level %d, and this build supports %d", ErrLevel, level, max(g.cfg.Level, 1))
		}
		g.fileLevel.Store(max(g.fileLevel.Load(), level))
		data = data[1:]
	}
	return rec, wire.Decode(data, &rec)
}

// raiseFileLevel marks the log file if the applied state has a higher level than its
// frames.
func (g *Group[S]) raiseFileLevel() error {
	level := levelOf(&g.latest.Load().State)
	if level <= max(g.fileLevel.Load(), 1) {
		return nil
	}
	// The applier must not see the level before it is on disk.
	data := append([]byte{byte(min(level, maxFileLevel))}, wire.Encode(record{})...)
	if err := g.store.Append(data); err != nil {
		return err
	}
	g.fileLevel.Store(level)
	select {
	case g.applier.levelWritten <- struct{}{}:
	default:
	}
	return nil
}

// levelSeparator stands between a group's name and the level in messages.
const levelSeparator = "@"

// wireName returns the group's name in messages. From level 2 on it contains the level:
// builds without levels drop messages of groups that they don't know, so that such a
// replica neither follows the leader nor votes.
func (g *Group[S]) wireName() string {
	level := levelOf(&g.latest.Load().State)
	if level <= 1 {
		return g.cfg.Name
	}
	return g.cfg.Name + levelSeparator + strconv.FormatUint(level, 10)
}

// ParseName returns the name of the group and the feature level from the Group field of
// an Envelope.
func ParseName(s string) (name string, level uint64) {
	name, text, ok := strings.Cut(s, levelSeparator)
	if !ok {
		return s, 1
	}
	level, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return s, 1
	}
	return name, level
}

// MemberLevel is the feature level that a member announced last.
type MemberLevel struct {
	Member replica.Member
	Level  uint64        // 0 if it announces none
	At     timer.Instant // when it was heard last
	Heard  bool          // it was heard since this replica was opened
}

// announcedLevel is the level in a replica's last message.
type announcedLevel struct {
	level uint64
	at    timer.Instant
}

// NoteLevel records the level that another replica announces.
func (g *Group[S]) NoteLevel(id replica.ID, level uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.levels[id] = announcedLevel{level: level, at: g.cfg.Clock.Now()}
}

// MemberLevels returns the levels that the members announce, with this replica's own.
func (g *Group[S]) MemberLevels() []MemberLevel {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []MemberLevel
	for _, m := range g.members.All() {
		if m.ID == g.self.ID {
			out = append(out, MemberLevel{Member: m, Level: g.cfg.Level, At: g.cfg.Clock.Now(), Heard: true})
			continue
		}
		a, ok := g.levels[m.ID]
		out = append(out, MemberLevel{Member: m, Level: a.level, At: a.at, Heard: ok})
	}
	return out
}
