package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// maxVoters limits the voters of a seeded group. Seven tolerate the loss of three.
	maxVoters = 7
	// minVoters is the number of voters that must remain when a lost one is removed.
	minVoters = 3
	// lostAfter is the time without contact after which a member is lost and may be
	// replaced. A shorter partition does not change the group.
	lostAfter = 6 * time.Second
	// replaceAfter is the time without contact after which a voter gives its place to a replica
	// that has caught up. A restart or a pause is shorter.
	replaceAfter = 1500 * time.Millisecond
	// formAfter is the time after which a majority of the seeds forms the group without the
	// others. All seeds start within a fraction of it.
	formAfter = 2 * time.Second
	// formStagger is the further time for each seed before this one in the order of names that
	// answers and may be about to form the group. It is longer than forming takes.
	formStagger = 1500 * time.Millisecond
	// rejoinAfter is the time without a leader after which a replica asks to join
	// again: it may have been removed without receiving that change.
	rejoinAfter = 2 * time.Second
)

// Seeds holds the instances that a replica asks for its group if no configuration
// lists the members. The replica learns the other members from the group.
type Seeds struct {
	Peers     []settings.Peer // from the settings
	Bootstrap bool            // the deployment starts for the first time: seeds may form the group
}

// WithSeeds makes the group a seeded one and returns the manager. Call it before Run.
func (m *Manager) WithSeeds(s Seeds) *Manager {
	m.seeds = &s
	m.listPeers = m.seedsAndMembers
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

// seedsAndMembers returns the seeds and the known members.
func (m *Manager) seedsAndMembers() []settings.Peer {
	out := m.seedPeers()
	for _, x := range m.replica.Members().All() {
		if !slices.ContainsFunc(out, func(p settings.Peer) bool { return p.Name == x.Instance }) {
			out = append(out, settings.Peer{Name: x.Instance, Address: x.Address})
		}
	}
	return out
}

// mayForm reports whether this instance may form the group.
func (m *Manager) mayForm() bool {
	if m.seeds == nil {
		return true
	}
	self := m.replica.Self().Instance
	return m.seeds.Bootstrap && slices.ContainsFunc(m.seedPeers(), func(p settings.Peer) bool { return p.Name == self })
}

// mayFormWithout reports whether this seed may form the group with the seeds that answer that they
// have no state. They are a majority, so that the others can't form a second group; those join the
// group when they are back. The seed that would form the group usually may be lost, or be back
// after it was started again, which may form none.
func (m *Manager) mayFormWithout(seeds []settings.Peer, unformed []replica.Member) bool {
	self := m.replica.Self()
	before, answers := 0, false
	for _, x := range unformed {
		answers = answers || x.ID == self.ID
		if x.Instance < self.Instance {
			before++
		}
	}
	waited := m.clock.Now().Sub(m.startedAt)
	return answers && 2*len(unformed) > len(seeds) && waited >= formAfter+time.Duration(before)*formStagger
}

// leaderless reports whether this replica of a seeded group has had no leader for
// longer than rejoinAfter.
func (m *Manager) leaderless() bool {
	if m.seeds == nil {
		return false
	}
	if m.replica.Role().Leader != "" {
		m.leaderSeenAt = m.clock.Now()
		return false
	}
	return m.clock.Now().Sub(m.leaderSeenAt) > rejoinAfter
}

// desiredInstances returns the instances that should have a voter: the listed ones,
// or those that DesiredInstances returns for a seeded group.
func (m *Manager) desiredInstances(s replica.Status, joining []replica.Member) []string {
	if m.seeds == nil {
		var names []string
		for _, p := range m.listPeers() {
			names = append(names, p.Name)
		}
		return names
	}
	return DesiredInstances(s, joining, m.silentFor(lostAfter))
}

// noteSilence records since when members have been without contact.
func (m *Manager) noteSilence(s replica.Status) {
	now := m.clock.Now()
	silent := make(map[replica.ID]timer.Instant)
	for _, x := range s.Members.All() {
		if x.ID == s.ID || s.Peer(x.ID).Alive {
			continue
		}
		since, ok := m.silentSince[x.ID]
		if !ok {
			since = now
		}
		silent[x.ID] = since
	}
	m.silentSince = silent
}

// silentFor returns the members without contact for longer than a time, the one that has been
// silent longest first.
func (m *Manager) silentFor(d time.Duration) []replica.ID {
	now := m.clock.Now()
	var out []replica.ID
	for id, since := range m.silentSince {
		if now.Sub(since) > d {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b replica.ID) int {
		return cmp.Or(-cmp.Compare(now.Sub(m.silentSince[a]), now.Sub(m.silentSince[b])), cmp.Compare(a, b))
	})
	return out
}

// DesiredInstances returns the instances that should have a voter in a seeded group:
// members and joining replicas that are not lost, up to maxVoters. Lost voters stay
// while fewer than minVoters instances would remain. Removing a voter needs a
// majority, so the two sides of a partition never both do it.
func DesiredInstances(s replica.Status, joining []replica.Member, lost []replica.ID) []string {
	var names []string
	responsive := 0
	for _, v := range s.Members.Voters {
		if !slices.Contains(lost, v.ID) {
			names = append(names, v.Instance)
			responsive++
		}
	}
	for _, x := range slices.Concat(s.Members.Learners, joining) {
		if slices.Contains(lost, x.ID) || slices.Contains(names, x.Instance) || len(names) >= maxVoters {
			continue
		}
		names = append(names, x.Instance)
	}
	for _, v := range s.Members.Voters {
		if slices.Contains(lost, v.ID) && responsive < minVoters && len(names) < minVoters && !slices.Contains(names, v.Instance) {
			names = append(names, v.Instance)
		}
	}
	return names
}

// rejoin asks to join again under the replica's current ID.
func (m *Manager) rejoin(ctx context.Context) {
	m.log.Info("no leader; asking to join again", "group", m.replica.Name(), "replica", m.replica.Self().ID)
	m.askToJoin(ctx, m.listPeers())
}
