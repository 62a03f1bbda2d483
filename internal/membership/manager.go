package membership

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Replica is the local replica of the group that a Manager manages.
type Replica interface {
	Name() string
	Self() replica.Member
	Formed() bool
	Members() replica.Members
	LeaderAddress() string
	Role() replica.RoleChanged
	Form(m replica.Members) error
	Status(ctx context.Context) (replica.Status, error)
	ProposeMembers(ctx context.Context, m replica.Members) error
	Transfer(to replica.ID) error
}

const (
	tickPeriod  = 200 * time.Millisecond
	callTimeout = 300 * time.Millisecond
	joinExpiry  = 5 * time.Second // after which a join request is dropped
)

// Manager manages the membership of one group from one instance: it forms the group
// or joins it, and changes its members while the local replica is the leader.
type Manager struct {
	replica   Replica
	pool      *instance.Pool
	clock     timer.Clock
	log       *log.Logger
	listPeers func() []settings.Peer

	level        uint64                       // feature level to announce; 0 for none
	seeds        *Seeds                       // nil if listPeers names the instances
	silentSince  map[replica.ID]timer.Instant // members without contact, while this replica leads
	leaderSeenAt timer.Instant                // when the replica last had a leader
	startedAt    timer.Instant

	// When logRefusal last wrote a line. Only the goroutine of Run uses them.
	refusalLogged   bool
	refusalLoggedAt timer.Instant

	mu      sync.Mutex
	joining map[string]joinRequest // by name of the instance
}

// joinRequest is the request of a replica to join the group.
type joinRequest struct {
	member replica.Member
	at     timer.Instant
}

// New returns a manager. listPeers returns the instances that should have a replica
// of the group; it may be nil if WithSeeds follows.
func New(r Replica, pool *instance.Pool, clock timer.Clock, logger *log.Logger, listPeers func() []settings.Peer) *Manager {
	return &Manager{replica: r, pool: pool, clock: clock, log: logger, listPeers: listPeers, joining: make(map[string]joinRequest)}
}

// WithLevel sets the feature level to announce when probing and joining, and returns the
// manager. Call it before Run.
func (m *Manager) WithLevel(level uint64) *Manager {
	m.level = level
	return m
}

// levelNoter is a replica that keeps the feature levels that others announce.
type levelNoter interface {
	NoteLevel(id replica.ID, level uint64)
}

// refusalLogPeriod is the time between two log lines about a refused request to join, which
// is sent every tickPeriod.
const refusalLogPeriod = 10 * time.Second

// logRefusal logs that the leader refuses this replica.
func (m *Manager) logRefusal(err error) {
	now := m.clock.Now()
	if m.refusalLogged && now.Sub(m.refusalLoggedAt) < refusalLogPeriod {
		return
	}
	m.refusalLogged, m.refusalLoggedAt = true, now
	m.log.Error("group refuses this replica", "group", m.replica.Name(), "replica", m.replica.Self().ID, "level", m.level, "error", err)
}

// Run manages the group until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.startedAt = m.clock.Now()
	timer.Every(ctx, m.clock, tickPeriod, func() { m.tick(ctx) })
}

func (m *Manager) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	if m.replica.Role().Role != replica.Leader {
		m.silentSince = nil // a later term begins anew
	}
	switch {
	case !m.replica.Formed():
		m.joinOrForm(ctx)
	case m.replica.Role().Role == replica.Leader:
		m.advance(ctx)
	case m.removed():
		m.askToJoin(ctx, m.listPeers())
	case m.leaderless():
		m.rejoin(ctx)
	}
}

// removed reports whether this replica is not a member of its group, as far as it
// knows.
func (m *Manager) removed() bool {
	_, ok := m.replica.Members().Find(m.replica.Self().ID)
	return !ok
}

// Join records the request of replica x to join.
func (m *Manager) Join(x replica.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joining[x.Instance] = joinRequest{member: x, at: m.clock.Now()}
}

func (m *Manager) joinRequests() []replica.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []replica.Member
	for name, r := range m.joining {
		if m.clock.Now().Sub(r.at) > joinExpiry {
			delete(m.joining, name)
			continue
		}
		out = append(out, r.member)
	}
	return out
}

// maxSteps is the number of steps of a membership change that follow each other at once.
const maxSteps = 4

// advance takes the next steps of a membership change as the leader. Between two steps the group
// may tolerate fewer losses than after the last one.
func (m *Manager) advance(ctx context.Context) {
	for range maxSteps {
		if !m.step(ctx) {
			return
		}
	}
}

// step takes the next step of a membership change, and reports whether the members changed.
func (m *Manager) step(ctx context.Context) bool {
	status, err := m.replica.Status(ctx)
	if err != nil {
		return false
	}
	m.noteSilence(status)
	joining := m.joinRequests()
	silent := m.silentFor(replaceAfter)
	step, ok := NextStep(status, Wanted{Instances: m.desiredInstances(status, joining), Joining: joining, Silent: silent})
	if !ok {
		return false
	}
	if step.TransferTo != "" {
		_ = m.replica.Transfer(step.TransferTo)
		return false
	}
	err = m.replica.ProposeMembers(ctx, *step.Members)
	m.log.Info("group membership proposed", "group", m.replica.Name(), "voters", ids(step.Members.Voters),
		"learners", ids(step.Members.Learners), "silent", silent, "error", err)
	return err == nil
}

func ids(members []replica.Member) []string {
	out := make([]string, 0, len(members))
	for _, x := range members {
		out = append(out, string(x.ID))
	}
	return out
}

// joinOrForm asks to join the group if any peer has formed it. The first peer by
// name forms the group if all peers answer that they have no state: an
// instance that lost its disk never forms a second group. Without some of the seeds a majority
// of them forms the group later.
func (m *Manager) joinOrForm(ctx context.Context) {
	peers := m.listPeers()
	var unformed []replica.Member
	for _, p := range peers {
		res, err := m.probe(ctx, p.Address)
		if err != nil {
			continue
		}
		if res.Formed {
			m.askToJoin(ctx, peers)
			return
		}
		unformed = append(unformed, res.Self)
	}
	if !m.mayForm() {
		return
	}
	all := len(unformed) == len(peers) && len(peers) > 0 && m.isFirst(peers)
	if all || m.seeds != nil && m.mayFormWithout(peers, unformed) {
		m.form(ctx, unformed)
	}
}

func (m *Manager) probe(ctx context.Context, address string) (*instance.ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &instance.ProbeRequest{Group: m.replica.Name(), Level: m.level}
	res, err := instance.Call[instance.ProbeRequest, instance.ProbeResponse](ctx, m.pool, address, "Probe", req)
	if l, ok := m.replica.(levelNoter); ok && err == nil && res.Self.ID != m.replica.Self().ID {
		l.NoteLevel(res.Self.ID, res.Level)
	}
	return res, err
}

func (m *Manager) isFirst(peers []settings.Peer) bool {
	first := slices.MinFunc(peers, func(a, b settings.Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return first.Name == m.replica.Self().Instance
}

// form forms the group with the voters, at the other voters first. It gives up if
// one of them fails.
func (m *Manager) form(ctx context.Context, voters []replica.Member) {
	members := replica.Members{Voters: voters}
	for _, x := range voters {
		if x.ID == m.replica.Self().ID {
			continue
		}
		req := &instance.FormRequest{Group: m.replica.Name(), Members: members}
		if _, err := instance.Call[instance.FormRequest, instance.Empty](ctx, m.pool, x.Address, "Form", req); err != nil {
			m.log.Warn("group not formed yet", "group", m.replica.Name(), "instance", x.Instance, "error", err)
			return
		}
	}
	err := m.replica.Form(members)
	m.log.Info("group formed", "group", m.replica.Name(), "voters", ids(voters), "error", err)
}

// askToJoin finds the leader through the peers and asks it to add this replica.
func (m *Manager) askToJoin(ctx context.Context, peers []settings.Peer) {
	var addresses []string
	for _, p := range peers {
		if p.Name != m.replica.Self().Instance {
			addresses = append(addresses, p.Address)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &instance.JoinRequest{Group: m.replica.Name(), Member: m.replica.Self(), Level: m.level}
	leader := instance.NewLeaderClient(m.pool, addresses, callTimeout)
	if _, err := instance.CallLeader[instance.JoinRequest, instance.Empty](ctx, leader, "Join", req); errors.Is(err, instance.ErrRejected) {
		m.logRefusal(err)
	} else if err != nil {
		m.log.Debug("not added to the group yet", "group", m.replica.Name(), "error", err)
	}
}
