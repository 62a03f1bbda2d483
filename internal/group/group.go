// Package group runs one replica of a replicated state machine: it sends events
// to the reducer of pkg/replica, carries out the effects on disk and network,
// applies committed commands and returns their results to the proposers.
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

	"github.com/cranberrywind/cranberrywind/pkg/disk"
	"github.com/cranberrywind/cranberrywind/pkg/loop"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Sentinel errors of this package.
var (
	// ErrNotCommitted reports a command without effect: another entry was
	// committed at its index.
	ErrNotCommitted = errors.New("command was not committed")
	// ErrOutcomeUnknown reports a command that may or may not be committed.
	ErrOutcomeUnknown = errors.New("command outcome is unknown")
)

// Machine is an immutable state machine. Apply must be deterministic.
type Machine[S any] interface {
	// Apply returns the state after the command at the log index, and its result.
	Apply(index uint64, command []byte) (S, []byte)
	// Encode returns the state in the format that Config.Decode reads.
	Encode() []byte
}

// Transport sends messages to other replicas. Send must not block; messages may
// be lost.
type Transport interface {
	Send(address string, e Envelope)
}

// Envelope is a message with its group and its sender's address.
type Envelope struct {
	Group       string          `msgpack:"group"`
	FromAddress string          `msgpack:"from_address"`
	Message     replica.Message `msgpack:"message"`
	// Level is the feature level that the sender supports; 0 if it announces none.
	Level uint64 `msgpack:"level,omitempty"`
}

// Config configures a group's replica.
type Config[S any] struct {
	Name      string // of the group
	Instance  string // this instance's name
	Address   string // IP address and port for messages from other replicas
	Dir       string // data folder of this group
	Empty     S      // state before the first command
	Decode    func([]byte) (S, error)
	Transport Transport
	Clock     timer.Clock
	Timing    Timing
	FS        disk.FS // nil for the operating system's
	// Level is the feature level that this build supports and announces; 0 for none.
	Level      uint64
	Compaction Compaction
}

// Timing holds a replica's tick and its timeouts in ticks.
type Timing struct {
	Tick           time.Duration
	ElectionTicks  int
	StartTicks     int // shortest election timeout after a start; 0 means ElectionTicks
	HeartbeatTicks int // between two heartbeats of a leader
}

// DefaultTiming returns a timing that replaces a failed leader within about half
// a second.
func DefaultTiming() Timing {
	return Timing{Tick: 20 * time.Millisecond, ElectionTicks: 12, HeartbeatTicks: 2}
}

const maxAppendBytes = 1 << 20 // payload bytes of one append message

// Applied is a state and the index of the last entry applied to it.
type Applied[S any] struct {
	Index uint64
	State S
}

// Group is one running replica of a group. Its methods are safe for concurrent use.
type Group[S Machine[S]] struct {
	cfg    Config[S]
	self   replica.Member
	loop   *loop.Loop[replica.Replica, replica.Event, replica.Effect]
	store  *disk.Store
	stored replica.Stored
	// applied is the state that readers see, latest that after the last applied entry. They
	// differ until the replica has recovered after its start.
	applied  atomic.Pointer[Applied[S]]
	latest   atomic.Pointer[latestState[S]]
	applier  *applier[S]
	waiters  *waiters
	notifier *notifier

	mu        sync.Mutex
	members   replica.Members
	addresses map[replica.ID]string
	role      replica.RoleChanged
	levels    map[replica.ID]announcedLevel // from the last message of each replica

	fileLevel atomic.Uint64 // feature level of the log file's frames
	compactor compactor
	proposals proposals
	reads     pendingReads
	// roundsSentAt holds when the rounds of heartbeats that confirm reads were sent, on the boot
	// clock. Rounds before the last confirmed one are dropped.
	roundsSentAt map[uint64]time.Duration

	syncs, applies, snapshots durations
	logBytes                  atomic.Int64
}

// confirmedRead is a barrier of a confirmed leader.
type confirmedRead struct {
	replica.ReadReady
	confirmation Confirmation
}

// record is the content of one frame of the group's log file.
type record struct {
	ID      replica.ID        `msgpack:"id,omitempty"`
	Persist []replica.Persist `msgpack:"persist,omitempty"`
}

// Open starts the replica with the log in cfg.Dir and returns it with a function
// that stops it. Without a log, the replica gets a new ID.
func Open[S Machine[S]](ctx context.Context, cfg Config[S]) (*Group[S], func(), error) {
	g := &Group[S]{
		cfg:       cfg,
		waiters:   newWaiters(),
		notifier:  newNotifier(),
		addresses: make(map[replica.ID]string),
		levels:    make(map[replica.ID]announcedLevel),
		proposals: proposals{byIndex: make(map[uint64]proposal)},
		compactor: compactor{limits: cfg.Compaction.withDefaults()},

		roundsSentAt: make(map[uint64]time.Duration),
	}
	g.applier = newApplier(g)
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
	l, stopLoop := loop.New(ctx, model, g.runEffects)
	g.loop = l
	ticks, stopTicks := cfg.Clock.Subscribe(cfg.Timing.Tick)
	go g.tick(ctx, ticks)
	stopApplier := g.applier.run(ctx)
	return g, func() {
		stopTicks()
		cancel()
		stopLoop()
		stopApplier()
		g.waiters.failAll(ErrOutcomeUnknown)
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

// recover reads the log file, or creates one with a new replica ID. It returns
// the function that closes the file.
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
		if err := store.Append(g.frame(record{ID: g.self.ID})); err != nil {
			return nil, errors.Join(err, closeStore())
		}
	}
	return closeStore, nil
}

// replay restores the replica's ID, its stored log and the state of its snapshot.
func (g *Group[S]) replay(frames [][]byte) error {
	for _, frame := range frames {
		rec, err := g.readFrame(frame)
		if err != nil {
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
	restored := &latestState[S]{Applied: Applied[S]{Index: g.stored.Snapshot.Index, State: state}}
	g.latest.Store(restored)
	g.applied.Store(&restored.Applied)
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

// Done returns a channel that is closed when the replica has stopped, either by
// the function of Open or after a disk error.
func (g *Group[S]) Done() <-chan struct{} { return g.loop.Done() }

// Err returns the error that stopped the replica, if any.
func (g *Group[S]) Err() error { return g.loop.Err() }

// Self returns this replica as a member.
func (g *Group[S]) Self() replica.Member { return g.self }

// Name returns the group's name.
func (g *Group[S]) Name() string { return g.cfg.Name }

// State returns the state that this replica has applied. It may be stale. Until the replica
// has recovered it is that of the snapshot on its disk.
func (g *Group[S]) State() Applied[S] { return *g.applied.Load() }

// Watch returns a channel that is closed at the next change of the state, the
// membership or the replica's role.
func (g *Group[S]) Watch() <-chan struct{} { return g.notifier.next() }

// Role returns the replica's role, its term and the leader it knows of.
func (g *Group[S]) Role() replica.RoleChanged {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.role
}

// Members returns the latest membership in the replica's log.
func (g *Group[S]) Members() replica.Members {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members
}

// Formed reports whether the replica has a membership.
func (g *Group[S]) Formed() bool { return len(g.Members().Voters) > 0 }

// LeaderAddress returns the leader's address, or "" if no leader is known.
func (g *Group[S]) LeaderAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addressOf(g.role.Leader)
}

// addressOf returns the address in the replica's last message, or else the one
// in the membership: an instance may restart at another address with its disk.
// The caller holds g.mu.
func (g *Group[S]) addressOf(id replica.ID) string {
	if address, ok := g.addresses[id]; ok {
		return address
	}
	m, _ := g.members.Find(id)
	return m.Address
}

// Receive handles a message from another replica. A message to another ID, such
// as that of a lost data folder, is dropped.
func (g *Group[S]) Receive(e Envelope) {
	if e.Message.To != g.self.ID {
		return
	}
	g.mu.Lock()
	g.addresses[e.Message.From] = e.FromAddress
	g.levels[e.Message.From] = announcedLevel{level: e.Level, at: g.cfg.Clock.Now()}
	g.mu.Unlock()
	_ = g.loop.Send(replica.Received{Message: e.Message})
}

// Form sets the group's first membership on a replica without state.
func (g *Group[S]) Form(m replica.Members) error {
	return g.loop.Send(replica.Formed{Members: m})
}

// Transfer starts to transfer leadership to another voter. It has no effect unless
// this replica is the leader.
func (g *Group[S]) Transfer(to replica.ID) error {
	return g.loop.Send(replica.TransferRequested{To: to})
}
