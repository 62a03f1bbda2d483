package replica_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// TestRandomFaults checks election safety, log matching, state machine safety,
// linearizable reads and that no acknowledged command is lost, under crashes
// between any two effects, lost, repeated and reordered messages, two-way and
// one-way partitions, snapshots, leadership transfers and replaced disks.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{
			cluster: newCluster(rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "replicas"), rapid.Uint64().Draw(rt, "seed")),
		}
		actions := m.actions()
		steps := rapid.IntRange(50, 250).Draw(rt, "steps")
		for range steps {
			rapid.SampledFrom(actions).Draw(rt, "action")(rt)
			m.checkInvariants(rt)
		}
		m.checkRecovery(rt)
	})
}

// actions returns the random actions, each repeated by its weight.
func (m *machine) actions() []func(*rapid.T) {
	weighted := []struct {
		weight int
		action func(*rapid.T)
	}{
		{25, m.run}, {12, m.tick}, {15, m.deliver}, {20, m.propose}, {6, m.read},
		{3, m.crash}, {4, m.crashMidUpdate}, {8, m.restart}, {3, m.partition}, {3, m.blockReceive},
		{6, m.heal}, {3, m.compact}, {3, m.transfer}, {10, m.replace}, {3, m.repeat}, {3, m.drop},
	}
	var out []func(*rapid.T)
	for _, w := range weighted {
		for range w.weight {
			out = append(out, w.action)
		}
	}
	return out
}

// run advances the time of all replicas and delivers random messages.
func (m *machine) run(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "ticks") {
		for _, id := range m.cluster.sorted() {
			m.cluster.update(id, replica.Ticked{})
		}
		for range rapid.IntRange(0, 2*len(m.cluster.network)).Draw(t, "messages") {
			if n := len(m.cluster.network); n > 0 {
				m.cluster.deliver(rapid.IntRange(0, n-1).Draw(t, "message"), false)
			}
		}
	}
}

// machine drives a cluster with random actions.
type machine struct {
	cluster  *cluster
	proposed int
	replaced int
	spare    replica.ID
}

func (m *machine) pick(t *rapid.T) replica.ID {
	return rapid.SampledFrom(m.cluster.sorted()).Draw(t, "replica")
}

func (m *machine) tick(t *rapid.T) {
	id := m.pick(t)
	for range rapid.IntRange(1, 20).Draw(t, "ticks") {
		m.cluster.update(id, replica.Ticked{})
	}
}

func (m *machine) deliver(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "messages") {
		if n := len(m.cluster.network); n > 0 {
			m.cluster.deliver(rapid.IntRange(0, n-1).Draw(t, "message"), false)
		}
	}
}

func (m *machine) repeat(t *rapid.T) {
	if n := len(m.cluster.network); n > 0 {
		m.cluster.deliver(rapid.IntRange(0, n-1).Draw(t, "message"), true)
	}
}

func (m *machine) drop(t *rapid.T) {
	if n := len(m.cluster.network); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(t, "message")
		m.cluster.network = append(m.cluster.network[:i], m.cluster.network[i+1:]...)
	}
}

func (m *machine) propose(t *rapid.T) {
	id, ok := m.cluster.leader()
	if !ok || rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		id = m.pick(t)
	}
	m.proposed++
	m.cluster.propose(id, fmt.Sprintf("c%d", m.proposed))
}

func (m *machine) read(t *rapid.T) { m.cluster.read(m.pick(t)) }

func (m *machine) crash(t *rapid.T) { m.cluster.crash(m.pick(t)) }

// crashMidUpdate crashes a replica between two effects of one event.
func (m *machine) crashMidUpdate(t *rapid.T) {
	n := rapid.IntRange(0, 3).Draw(t, "effects")
	if k := len(m.cluster.network); k > 0 {
		message := m.cluster.network[rapid.IntRange(0, k-1).Draw(t, "message")]
		if _, ok := m.cluster.nodes[message.To]; ok {
			m.cluster.updateUpTo(message.To, replica.Received{Message: message}, n)
		}
		return
	}
	m.cluster.updateUpTo(m.pick(t), replica.Ticked{}, n)
}

func (m *machine) restart(t *rapid.T) { m.cluster.restart(m.pick(t)) }

func (m *machine) partition(t *rapid.T) { m.cluster.partitioned[m.pick(t)] = true }

func (m *machine) blockReceive(t *rapid.T) { m.cluster.blockReceive[m.pick(t)] = true }

func (m *machine) heal(*rapid.T) {
	clear(m.cluster.partitioned)
	clear(m.cluster.blockReceive)
}

func (m *machine) compact(t *rapid.T) { m.cluster.compact(m.pick(t)) }

func (m *machine) transfer(t *rapid.T) {
	if id, ok := m.cluster.leader(); ok {
		m.cluster.update(id, replica.TransferRequested{To: m.pick(t)})
	}
}

// replace replaces a voter, as after the loss of its disk, one step per call: it
// starts a new replica, adds it as a learner, removes a voter and promotes the learner.
func (m *machine) replace(*rapid.T) {
	id, ok := m.cluster.leader()
	if !ok || m.replaced > 2 {
		return
	}
	members := m.cluster.nodes[id].replica.Members()
	switch {
	case m.spare == "":
		m.replaced++
		m.spare = replica.ID(fmt.Sprintf("n%d", m.replaced))
		m.cluster.add(m.spare)
	case len(members.Learners) > 0:
		m.replaceVoter(id, members)
	case m.isVoter(members, m.spare):
		m.spare = ""
	default:
		next := members.WithLearner(replica.Member{ID: m.spare, Instance: string(m.spare)})
		m.cluster.update(id, replica.MembersProposed{Members: next})
	}
}

// replaceVoter removes a voter other than the leader, or promotes the learner if a
// voter was removed already.
func (m *machine) replaceVoter(leader replica.ID, members replica.Members) {
	if len(members.Voters)%2 == 1 && len(members.Voters) >= 3 {
		for _, x := range members.Voters {
			if x.ID != leader {
				m.cluster.update(leader, replica.MembersProposed{Members: members.Without(x.ID)})
				return
			}
		}
	}
	m.cluster.update(leader, replica.MembersProposed{Members: members.WithVoter(members.Learners[0])})
}

func (m *machine) isVoter(members replica.Members, id replica.ID) bool {
	for _, x := range members.Voters {
		if x.ID == id {
			return true
		}
	}
	return false
}

func (m *machine) checkInvariants(t *rapid.T) {
	m.cluster.checkLogs()
	if len(m.cluster.violations) > 0 {
		t.Fatalf("%v", m.cluster.violations)
	}
}

// checkRecovery heals all faults and checks that the group accepts commands again
// and that its leader has applied every entry that any replica applied.
func (m *machine) checkRecovery(t *rapid.T) {
	m.heal(t)
	for _, id := range m.cluster.sorted() {
		m.cluster.restart(id)
	}
	m.cluster.runTicks(200)
	id, ok := m.cluster.leader()
	assert.Assert(t, ok, "no leader after all faults were healed")
	m.cluster.propose(id, "last")
	m.cluster.runTicks(20)
	m.checkInvariants(t)
	assert.Assert(t, m.cluster.acked["last"], "group accepts no commands after all faults were healed")
	atLeader := make(map[string]bool)
	for _, value := range m.cluster.nodes[id].applied {
		atLeader[value] = true
	}
	for index, value := range m.cluster.applied {
		assert.Assert(t, atLeader[value], "entry %d %q was applied but is missing at leader %s", index, value, id)
	}
}
