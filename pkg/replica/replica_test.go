package replica_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

const seed = 7

// newClusterWithLeader returns a cluster of n replicas and its leader.
func newClusterWithLeader(t *testing.T, n int) (*cluster, replica.ID) {
	t.Helper()
	c := newCluster(n, seed)
	c.runTicks(60)
	id, ok := c.leader()
	assert.Assert(t, ok, "no leader elected, seed %d", seed)
	return c, id
}

func assertNoViolations(t *testing.T, c *cluster) {
	t.Helper()
	c.checkLogs()
	assert.Equal(t, len(c.violations), 0, "%v", c.violations)
}

func others(c *cluster, id replica.ID) []replica.ID {
	var out []replica.ID
	for _, x := range c.sorted() {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}

// rejection returns the error of the Rejected effect, or nil if there is none.
func rejection(r replica.Replica, e replica.Event) error {
	_, effects := r.Update(e)
	for _, effect := range effects {
		if x, ok := effect.(replica.Rejected); ok {
			return x.Err
		}
	}
	return nil
}

func TestLeadership(t *testing.T) {
	t.Run("isolated leader steps down and answers no reads", func(t *testing.T) {
		c, old := newClusterWithLeader(t, 3)
		c.partitioned[old] = true
		c.read(old)
		c.runTicks(40)
		assert.Assert(t, c.nodes[old].replica.Role() != replica.Leader)
		current, ok := c.leader()
		assert.Assert(t, ok && current != old)
		assertNoViolations(t, c)
	})
	t.Run("leader that receives no messages steps down", func(t *testing.T) {
		c, old := newClusterWithLeader(t, 3)
		c.blockReceive[old] = true
		c.runTicks(60)
		current, ok := c.leader()
		assert.Assert(t, ok && current != old)
		assertNoViolations(t, c)
	})
	t.Run("rejoining replica does not disrupt a stable leader", func(t *testing.T) {
		c, leader := newClusterWithLeader(t, 3)
		isolated := others(c, leader)[0]
		c.partitioned[isolated] = true
		c.runTicks(100)
		term := c.nodes[leader].replica.Term()
		delete(c.partitioned, isolated)
		c.runTicks(40)
		assert.Equal(t, c.nodes[leader].replica.Role(), replica.Leader)
		assert.Equal(t, c.nodes[leader].replica.Term(), term)
	})
	t.Run("transfer moves leadership and rejects commands in the meantime", func(t *testing.T) {
		c, leader := newClusterWithLeader(t, 3)
		to := others(c, leader)[0]
		c.update(leader, replica.TransferRequested{To: to})
		err := rejection(c.nodes[leader].replica, replica.Proposed{Data: []byte("x")})
		assert.Assert(t, errors.Is(err, replica.ErrTransferring))
		c.runTicks(4)
		current, _ := c.leader()
		assert.Equal(t, current, to)
		assertNoViolations(t, c)
	})
	t.Run("follower rejects commands and reads", func(t *testing.T) {
		c, leader := newClusterWithLeader(t, 3)
		r := c.nodes[others(c, leader)[0]].replica
		assert.Assert(t, errors.Is(rejection(r, replica.Proposed{}), replica.ErrNotLeader))
		assert.Assert(t, errors.Is(rejection(r, replica.ReadRequested{}), replica.ErrNotLeader))
	})
}

// TestCommitEarlierTerm is the case of figure 8 in the Raft paper: an entry of an
// earlier term on a majority is not committed by counting replicas.
func TestCommitEarlierTerm(t *testing.T) {
	members := membersOf("r1", "r2", "r3")
	snapshot := replica.Snapshot{Index: 1, Term: 1, Members: members}
	old := replica.Entry{Index: 2, Term: 2, Data: []byte("old")}
	cfg := replica.Config{ID: "r1", ElectionTicks: 8, HeartbeatTicks: 2, MaxAppendBytes: 64, Seed: seed}
	r := replica.New(cfg, replica.Stored{Hard: replica.HardState{Term: 3}, Snapshot: snapshot, Entries: []replica.Entry{old}})
	r, _ = r.Update(replica.Received{Message: replica.Message{Kind: replica.MsgTimeoutNow, From: "r2", To: "r1", Term: 3}})
	r, _ = r.Update(replica.Received{Message: replica.Message{Kind: replica.MsgVoteResponse, From: "r2", To: "r1", Term: 4}})
	assert.Equal(t, r.Role(), replica.Leader)
	t.Run("an entry of an earlier term on a majority", func(t *testing.T) {
		r, _ := r.Update(replica.Received{Message: replica.Message{Kind: replica.MsgAppendResponse, From: "r2", To: "r1", Term: 4, Index: 2}})
		assert.Equal(t, r.Commit(), uint64(1))
	})
	t.Run("an entry of this term on a majority commits both", func(t *testing.T) {
		r, _ := r.Update(replica.Received{Message: replica.Message{Kind: replica.MsgAppendResponse, From: "r2", To: "r1", Term: 4, Index: 3}})
		assert.Equal(t, r.Commit(), uint64(3))
	})
}

func TestMembership(t *testing.T) {
	t.Run("adding two voters at once is rejected", func(t *testing.T) {
		c, leader := newClusterWithLeader(t, 3)
		next := membersOf("r1", "r2", "r3", "r4", "r5")
		err := rejection(c.nodes[leader].replica, replica.MembersProposed{Members: next})
		assert.Assert(t, errors.Is(err, replica.ErrTooManyChanges))
	})
	t.Run("a change before the previous one is committed is rejected", func(t *testing.T) {
		c, leader := newClusterWithLeader(t, 3)
		for _, id := range others(c, leader) {
			c.partitioned[id] = true
		}
		c.update(leader, replica.MembersProposed{Members: membersOf("r1", "r2", "r3", "r4")})
		err := rejection(c.nodes[leader].replica, replica.MembersProposed{Members: membersOf("r1", "r2", "r3", "r5")})
		assert.Assert(t, errors.Is(err, replica.ErrMemberChange))
	})
	t.Run("a leader that has committed nothing in its term rejects a change", func(t *testing.T) {
		c, old := newClusterWithLeader(t, 3)
		rest := others(c, old)
		c.partitioned[old] = true
		c.update(rest[0], replica.Received{Message: replica.Message{Kind: replica.MsgTimeoutNow, From: old, To: rest[0], Term: c.nodes[rest[0]].replica.Term()}})
		for c.nodes[rest[0]].replica.Role() != replica.Leader {
			assert.Assert(t, len(c.network) > 0)
			c.deliver(0, false)
		}
		err := rejection(c.nodes[rest[0]].replica, replica.MembersProposed{Members: membersOf("r1", "r2", "r3", "r4")})
		assert.Assert(t, errors.Is(err, replica.ErrMemberChange))
	})
}

// replaceDisk crashes replica lost and replaces it by replica fresh, which starts with
// an empty disk.
func replaceDisk(t *testing.T, c *cluster, lost, fresh replica.ID) {
	t.Helper()
	c.crash(lost)
	c.runTicks(60)
	leader, ok := c.leader()
	assert.Assert(t, ok)
	c.add(fresh)
	members := c.nodes[leader].replica.Members()
	learner := replica.Member{ID: fresh, Instance: string(lost)}
	for _, next := range []replica.Members{
		members.WithLearner(learner),
		members.Without(lost).WithLearner(learner),
		members.Without(lost).WithVoter(learner),
	} {
		c.update(leader, replica.MembersProposed{Members: next})
		c.runTicks(10)
	}
	delete(c.nodes, lost)
}

// TestReplaceLostDisks replaces a replica that lost its disk, then a second one, and
// checks that the replacements have all entries.
func TestReplaceLostDisks(t *testing.T) {
	c, leader := newClusterWithLeader(t, 3)
	for i := range 20 {
		c.propose(leader, fmt.Sprintf("before-%d", i))
	}
	c.runTicks(5)
	replaceDisk(t, c, others(c, leader)[0], "n1")
	leader, _ = c.leader()
	c.propose(leader, "between")
	c.runTicks(5)
	var second replica.ID
	for _, id := range others(c, leader) {
		if id != "n1" {
			second = id
		}
	}
	replaceDisk(t, c, second, "n2")
	leader, ok := c.leader()
	assert.Assert(t, ok)
	c.propose(leader, "after")
	c.runTicks(10)
	assertNoViolations(t, c)
	for _, id := range []replica.ID{"n1", "n2"} {
		assert.Equal(t, len(c.nodes[id].applied), len(c.nodes[leader].applied), "replica %s", id)
	}
	assert.Assert(t, c.acked["between"] && c.acked["after"])
}

// TestCatchUp checks that a restarted replica that missed 500 commands catches up.
func TestCatchUp(t *testing.T) {
	cases := []struct {
		name    string
		compact bool
	}{{"from the log", false}, {"from one snapshot", true}}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c, leader := newClusterWithLeader(t, 3)
			follower := others(c, leader)[0]
			c.crash(follower)
			for i := range 500 {
				c.propose(leader, fmt.Sprintf("c%d", i))
			}
			c.runTicks(5)
			if x.compact {
				c.compact(leader)
			}
			c.restart(follower)
			c.runTicks(30)
			assert.Equal(t, len(c.nodes[follower].applied), len(c.nodes[leader].applied))
			assert.Equal(t, c.nodes[follower].replica.SnapshotIndex() > 1, x.compact)
			assertNoViolations(t, c)
		})
	}
}

// ticksToPreVote returns the number of ticks until a restarted voter requests
// pre-votes.
func ticksToPreVote(cfg replica.Config) int {
	members := replica.Members{Voters: []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	r := replica.New(cfg, replica.Stored{Snapshot: replica.Snapshot{Index: 1, Term: 1, Members: members}})
	for n := 1; ; n++ {
		next, effects := r.Update(replica.Ticked{})
		r = next
		for _, e := range effects {
			if s, ok := e.(replica.Send); ok && s.Message.Kind == replica.MsgPreVote {
				return n
			}
		}
	}
}

// TestStartTimeout checks that StartTicks shortens the first election timeout.
func TestStartTimeout(t *testing.T) {
	cfg := replica.Config{ID: "a", ElectionTicks: 20, HeartbeatTicks: 2, Seed: seed}
	assert.Assert(t, ticksToPreVote(cfg) >= 20)
	cfg.StartTicks = 5
	assert.Assert(t, ticksToPreVote(cfg) < 10)
}
