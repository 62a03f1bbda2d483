// Package group runs one replica of a replicated state machine: it feeds the
// reducer of pkg/replica, carries out its effects on disk and network, applies
// commands and answers those who wait for them.
package group

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/disk"
	"github.com/cranberrywind/cranberrywind/pkg/loop"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Sentinel errors of this package.
var (
	// ErrLost reports a command whose place in the log another one took.
	ErrLost = errors.New("command was not committed")
	// ErrUnknown reports a command that may or may not be committed later.
	ErrUnknown = errors.New("command's fate is unknown")
)

// Machine is an immutable state machine. Apply must be deterministic.
type Machine[S any] interface {
	// Apply returns the state after the command at the log index, and its result.
	Apply(index uint64, command []byte) (S, []byte)
	// Encode returns the state in the form that Config.Decode reads.
	Encode() []byte
}

// Transport sends messages to other replicas. It never blocks; a message may
// be lost.
type Transport interface {
	Send(address string, e Envelope)
}

// Envelope is a message with the group it belongs to and its sender's address.
type Envelope struct {
	Group       string          `msgpack:"group"`
	FromAddress string          `msgpack:"from_address"`
	Message     replica.Message `msgpack:"message"`
}

// Config is what a group's replica is told at start.
type Config[S any] struct {
	Name      string // of the group
	Instance  string // this instance's name
	Address   string // IP address and port where this instance's peers reach it
	Dir       string // data folder of this group
	Empty     S      // state of an empty log
	Decode    func([]byte) (S, error)
	Transport Transport
	Clock     timer.Service
	Timing    Timing
	FS        disk.FS // nil for the operating system's
}

// Timing sets the pace of a replica.
type Timing struct {
	Tick           time.Duration
	ElectionTicks  int
	StartTicks     int // shortest election timeout right after a start; 0 for ElectionTicks
	HeartbeatTicks int
}

// DefaultTiming elects a leader within about half a second of a loss.
func DefaultTiming() Timing {
	return Timing{Tick: 20 * time.Millisecond, ElectionTicks: 12, HeartbeatTicks: 2}
}

const (
	maxAppendBytes = 1 << 20 // payload bytes of one append message
	compactEntries = 4096    // log entries that start a snapshot
)

// Applied is a state with the index of the last entry in it.
type Applied[S any] struct {
	Index uint64
	State S
}

// Group is one running replica. Its methods are safe for concurrent use.
type Group[S Machine[S]] struct {
	cfg     Config[S]
	self    replica.Member
	loop    *loop.Loop[replica.Replica, replica.Event, replica.Effect]
	store   *disk.Store
	stored  replica.Stored
	applied atomic.Pointer[Applied[S]]
	waiters *waiters
	watch   *watch

	mu        sync.Mutex
	members   replica.Members
	addresses map[replica.ID]string
	role      replica.RoleChanged

	compacting atomic.Bool
	placed     map[uint64]placement
	reads      []replica.ReadReady
}

// placement is a proposal's position in the log.
type placement struct{ token, term uint64 }

// record is what one frame of the group's log file holds.
type record struct {
	ID      replica.ID        `msgpack:"id,omitempty"`
	Persist []replica.Persist `msgpack:"persist,omitempty"`
}

// Open starts the replica and returns it with its clean-up function. A folder
// without a log makes a replica with a new ID.
func Open[S Machine[S]](ctx context.Context, cfg Config[S]) (*Group[S], func(), error) {
	g := &Group[S]{
		cfg:       cfg,
		waiters:   newWaiters(),
		watch:     newWatch(),
		addresses: make(map[replica.ID]string),
		placed:    make(map[uint64]placement),
	}
	closeStore, err := g.recover()
	if err != nil {
		return nil, nil, fmt.Errorf("open group %s: %w", cfg.Name, err)
	}
	rcfg := replica.Config{
		ID:             g.self.ID,
		ElectionTicks:  cfg.Timing.ElectionTicks,
		StartTicks:     cfg.Timing.StartTicks,
		HeartbeatTicks: cfg.Timing.HeartbeatTicks,
		MaxAppendBytes: maxAppendBytes,
		Seed:           seedOf(cfg.Name, string(g.self.ID)),
	}
	model := replica.New(rcfg, g.stored)
	g.members = model.Members()
	g.role = replica.RoleChanged{Term: model.Term()}
	ctx, cancel := context.WithCancel(ctx)
	l, stopLoop := loop.New(ctx, model, g.run)
	g.loop = l
	ticks, stopTicks := cfg.Clock.Subscribe(cfg.Timing.Tick)
	go g.tick(ctx, ticks)
	return g, func() {
		stopTicks()
		cancel()
		stopLoop()
		g.waiters.failAll(ErrUnknown)
		_ = closeStore()
	}, nil
}

func seedOf(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
	}
	return h.Sum64()
}

// recover reads the log file, or begins one with a new replica ID.
func (g *Group[S]) recover() (func() error, error) {
	var opts []disk.Option
	if g.cfg.FS != nil {
		opts = append(opts, disk.WithFS(g.cfg.FS))
	}
	store, frames, closeStore, err := disk.Open(g.cfg.Dir, opts...)
	if err != nil {
		return nil, err
	}
	g.store = store
	g.self = replica.Member{Instance: g.cfg.Instance, Address: g.cfg.Address}
	if err := g.replay(frames); err != nil {
		return nil, errors.Join(err, closeStore())
	}
	if g.self.ID == "" {
		g.self.ID = replica.ID(g.cfg.Instance + "#" + uuid.NewString()[:8])
		if err := store.Append(wire.Encode(record{ID: g.self.ID})); err != nil {
			return nil, errors.Join(err, closeStore())
		}
	}
	return closeStore, nil
}

func (g *Group[S]) replay(frames [][]byte) error {
	for _, frame := range frames {
		var rec record
		if err := wire.Decode(frame, &rec); err != nil {
			return err
		}
		if rec.ID != "" {
			g.self.ID = rec.ID
		}
		for _, p := range rec.Persist {
			g.stored = g.stored.WithPersist(p)
		}
	}
	state, err := g.decode(g.stored.Snapshot)
	if err != nil {
		return err
	}
	g.applied.Store(&Applied[S]{Index: g.stored.Snapshot.Index, State: state})
	return nil
}

func (g *Group[S]) decode(s replica.Snapshot) (S, error) {
	if len(s.Data) == 0 {
		return g.cfg.Empty, nil
	}
	return g.cfg.Decode(s.Data)
}

func (g *Group[S]) tick(ctx context.Context, ticks <-chan timer.Instant) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			g.loop.TrySend(replica.Ticked{})
		}
	}
}

// Done is closed when the replica has stopped, by clean-up or a failed disk.
func (g *Group[S]) Done() <-chan struct{} { return g.loop.Done() }

// Err returns the failure that stopped the replica, if any.
func (g *Group[S]) Err() error { return g.loop.Err() }

// Self returns this replica as a member.
func (g *Group[S]) Self() replica.Member { return g.self }

// Name returns the group's name.
func (g *Group[S]) Name() string { return g.cfg.Name }

// State returns the state as far as this replica has applied it. It may be old.
func (g *Group[S]) State() Applied[S] { return *g.applied.Load() }

// Watch returns a channel that is closed at the next change of the state or of
// the replica's role.
func (g *Group[S]) Watch() <-chan struct{} { return g.watch.next() }

// Role returns the replica's role, term and known leader.
func (g *Group[S]) Role() replica.RoleChanged {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.role
}

// Members returns the latest membership that the replica knows.
func (g *Group[S]) Members() replica.Members {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members
}

// Formed reports whether the replica has any state of its group.
func (g *Group[S]) Formed() bool { return len(g.Members().Voters) > 0 }

// LeaderAddress returns where the known leader listens, or "".
func (g *Group[S]) LeaderAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addressOf(g.role.Leader)
}

// addressOf returns where a replica was last heard from, or else where it was
// when it joined: an instance may move to another address with its disk.
func (g *Group[S]) addressOf(id replica.ID) string {
	if address, ok := g.addresses[id]; ok {
		return address
	}
	m, _ := g.members.Find(id)
	return m.Address
}

// Receive takes a message of another replica.
func (g *Group[S]) Receive(e Envelope) {
	if e.Message.To != g.self.ID {
		return
	}
	g.mu.Lock()
	g.addresses[e.Message.From] = e.FromAddress
	g.mu.Unlock()
	_ = g.loop.Send(replica.Received{Message: e.Message})
}

// Form gives a replica without state its group's first membership.
func (g *Group[S]) Form(m replica.Members) error {
	return g.loop.Send(replica.Formed{Members: m})
}

// Transfer asks the leader to hand over to another voter.
func (g *Group[S]) Transfer(to replica.ID) error {
	return g.loop.Send(replica.TransferRequested{To: to})
}
