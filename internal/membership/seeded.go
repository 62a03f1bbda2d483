package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// maxVoters bounds a seeded group. Seven bear the loss of three.
	maxVoters = 7
	// minVoters is how many voters a removal of a lost one must leave.
	minVoters = 3
	// lostAfter is for how long a member must be silent before another replica
	// takes its place. A short cut does not change the group.
	lostAfter = 6 * time.Second
	// strayAfter is for how long a replica without a leader waits before it asks
	// to be let in again: it may have been removed without learning of it.
	strayAfter = 2 * time.Second
)

// Seeds finds a group whose replicas are not listed anywhere: instances know a
// few addresses of others, and learn the rest from the group.
type Seeds struct {
	Peers     []settings.Peer // as the settings give them
	Bootstrap bool            // the deployment starts for the first time
}

// Seeded makes the manager look after a seeded group.
func (m *Manager) Seeded(s Seeds) *Manager {
	m.seeds = &s
	m.silent = make(map[replica.ID]timer.Instant)
	m.wanted = m.known
	return m
}

// SetSeeds replaces the seeds of a seeded group.
func (m *Manager) SetSeeds(peers []settings.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds.Peers = peers
}

func (m *Manager) seedPeers() []settings.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.seeds.Peers)
}

// known returns the seeds and the members as far as they are known.
func (m *Manager) known() []settings.Peer {
	out := m.seedPeers()
	for _, x := range m.replica.Members().All() {
		if !slices.ContainsFunc(out, func(p settings.Peer) bool { return p.Name == x.Instance }) {
			out = append(out, settings.Peer{Name: x.Instance, Address: x.Address})
		}
	}
	return out
}

// mayForm reports whether this instance may take part in forming the group.
func (m *Manager) mayForm() bool {
	if m.seeds == nil {
		return true
	}
	self := m.replica.Self().Instance
	return m.seeds.Bootstrap && slices.ContainsFunc(m.seedPeers(), func(p settings.Peer) bool { return p.Name == self })
}

// stray reports whether this replica has had no leader for a while.
func (m *Manager) stray() bool {
	if m.seeds == nil {
		return false
	}
	if m.replica.Role().Leader != "" {
		m.ledAt = m.clock.Now()
		return false
	}
	return m.clock.Now().Sub(m.ledAt) > strayAfter
}

// instances returns the instances that should have a voter: all members and
// those that ask to join, without members that were silent for long and can be
// spared.
func (m *Manager) instances(s replica.Status, joining []replica.Member) []string {
	if m.seeds == nil {
		var names []string
		for _, p := range m.wanted() {
			names = append(names, p.Name)
		}
		return names
	}
	return Wanted(s, joining, m.lost(s))
}

// lost returns the members that have been silent for long.
func (m *Manager) lost(s replica.Status) []replica.ID {
	now := m.clock.Now()
	var out []replica.ID
	for _, x := range s.Members.All() {
		if x.ID == s.ID || s.Peer(x.ID).Alive {
			delete(m.silent, x.ID)
			continue
		}
		since, ok := m.silent[x.ID]
		if !ok {
			m.silent[x.ID] = now
			continue
		}
		if now.Sub(since) > lostAfter {
			out = append(out, x.ID)
		}
	}
	return out
}

// Wanted returns the instances that should have a voter in a seeded group. A
// lost voter is given up only where enough others remain without it; removing
// it needs a majority, so that two halves of a cut group never both do.
func Wanted(s replica.Status, joining []replica.Member, lost []replica.ID) []string {
	var names []string
	sound := 0
	for _, v := range s.Members.Voters {
		if !slices.Contains(lost, v.ID) {
			names = append(names, v.Instance)
			sound++
		}
	}
	for _, x := range slices.Concat(s.Members.Learners, joining) {
		if slices.Contains(lost, x.ID) || slices.Contains(names, x.Instance) || len(names) >= maxVoters {
			continue
		}
		names = append(names, x.Instance)
	}
	for _, v := range s.Members.Voters {
		if slices.Contains(lost, v.ID) && sound < minVoters && len(names) < minVoters && !slices.Contains(names, v.Instance) {
			names = append(names, v.Instance)
		}
	}
	return names
}

// joinAgain asks for admission under the ID that the replica has.
func (m *Manager) joinAgain(ctx context.Context) {
	m.log.Info("no leader for a while; asking to be let in again", "group", m.replica.Name(), "replica", m.replica.Self().ID)
	m.askToJoin(ctx, m.wanted())
}
