package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Replica is the running replica that a manager looks after.
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
	period      = 200 * time.Millisecond
	callTimeout = 300 * time.Millisecond
	joinExpiry  = 5 * time.Second // after which a request to join is forgotten
)

// Manager looks after the membership of one group at one instance.
type Manager struct {
	replica Replica
	pool    *instance.Pool
	clock   timer.Clock
	log     *log.Logger
	wanted  func() []settings.Peer

	seeds  *Seeds // nil where the instances are listed
	silent map[replica.ID]timer.Instant
	ledAt  timer.Instant // when a leader was last known

	mu      sync.Mutex
	joining map[string]request // by instance
}

// request is a replica that asked to be let in.
type request struct {
	member replica.Member
	at     timer.Instant
}

// New returns a manager. Wanted returns the instances that should have a
// replica of the group.
func New(r Replica, pool *instance.Pool, clock timer.Clock, logger *log.Logger, wanted func() []settings.Peer) *Manager {
	return &Manager{replica: r, pool: pool, clock: clock, log: logger, wanted: wanted, joining: make(map[string]request)}
}

// Run works until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	timer.Every(ctx, m.clock, period, func() { m.once(ctx) })
}

func (m *Manager) once(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	switch {
	case !m.replica.Formed():
		m.enter(ctx)
	case m.replica.Role().Role == replica.Leader:
		m.lead(ctx)
	case m.left():
		m.askToJoin(ctx, m.wanted())
	case m.stray():
		m.joinAgain(ctx)
	}
}

// left reports whether this replica is not a member of its group as far as it
// knows.
func (m *Manager) left() bool {
	_, ok := m.replica.Members().Find(m.replica.Self().ID)
	return !ok
}

// Join notes a replica that wants to be let in.
func (m *Manager) Join(x replica.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joining[x.Instance] = request{member: x, at: m.clock.Now()}
}

func (m *Manager) requests() []replica.Member {
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

// lead takes the next step of a leader.
func (m *Manager) lead(ctx context.Context) {
	status, err := m.replica.Status(ctx)
	if err != nil {
		return
	}
	joining := m.requests()
	step, ok := Next(status, m.instances(status, joining), joining)
	if !ok {
		return
	}
	if step.TransferTo != "" {
		_ = m.replica.Transfer(step.TransferTo)
		return
	}
	err = m.replica.ProposeMembers(ctx, *step.Members)
	m.log.Info("group membership proposed", "group", m.replica.Name(), "voters", ids(step.Members.Voters),
		"learners", ids(step.Members.Learners), "error", err)
}

func ids(members []replica.Member) []string {
	out := make([]string, 0, len(members))
	for _, x := range members {
		out = append(out, string(x.ID))
	}
	return out
}

// enter joins the group if any wanted instance has it. Only where all of them
// answer that they have no state does the first by name form the group: a lost
// disk never forms a second one.
func (m *Manager) enter(ctx context.Context) {
	peers := m.wanted()
	var found []replica.Member
	for _, p := range peers {
		res, err := m.probe(ctx, p.Address)
		if err != nil {
			continue
		}
		if res.Formed {
			m.askToJoin(ctx, peers)
			return
		}
		found = append(found, res.Self)
	}
	if len(found) != len(peers) || len(peers) == 0 || !m.mayForm() || !m.first(peers) {
		return
	}
	m.form(ctx, found)
}

func (m *Manager) probe(ctx context.Context, address string) (*instance.ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &instance.ProbeRequest{Group: m.replica.Name()}
	return instance.Call[instance.ProbeRequest, instance.ProbeResponse](ctx, m.pool, address, "Probe", req)
}

func (m *Manager) first(peers []settings.Peer) bool {
	least := slices.MinFunc(peers, func(a, b settings.Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return least.Name == m.replica.Self().Instance
}

// form gives all first members the same beginning, itself included.
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

// askToJoin asks the leader, wherever it is, to let this replica in.
func (m *Manager) askToJoin(ctx context.Context, peers []settings.Peer) {
	var addresses []string
	for _, p := range peers {
		if p.Name != m.replica.Self().Instance {
			addresses = append(addresses, p.Address)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &instance.JoinRequest{Group: m.replica.Name(), Member: m.replica.Self()}
	leader := instance.NewLeader(m.pool, addresses, callTimeout)
	if _, err := instance.CallLeader[instance.JoinRequest, instance.Empty](ctx, leader, "Join", req); err != nil {
		m.log.Debug("not let into the group yet", "group", m.replica.Name(), "error", err)
	}
}
