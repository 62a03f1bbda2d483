package replica_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// countAppends returns the number of messages to the replica that carry entries.
func countAppends(effects []replica.Effect, to replica.ID) (n int) {
	for _, e := range effects {
		if s, ok := e.(replica.Send); ok && s.Message.To == to && len(s.Message.Entries) > 0 {
			n++
		}
	}
	return n
}

// Guards against entries that are sent again with each heartbeat while a busy follower writes them.
func TestEntryIsNotResentWhileItIsBeingWritten(t *testing.T) {
	c, leader := newClusterWithLeader(t, 3)
	follower := others(c, leader)[0]
	cfg := c.config(leader)
	r, effects := c.nodes[leader].replica.Update(replica.Proposed{Data: make([]byte, 32)})
	sent := countAppends(effects, follower)
	update := func(e replica.Event) {
		r, effects = r.Update(e)
		sent += countAppends(effects, follower)
	}
	heartbeats := func(ticks int) {
		for range ticks {
			update(replica.Ticked{})
			// Reads add heartbeats between the periodic ones.
			for range 3 {
				update(replica.Received{Message: replica.Message{Kind: replica.MsgHeartbeatResponse, From: follower, To: leader, Term: r.Term()}})
			}
		}
	}
	heartbeats(cfg.ElectionTicks - 1)
	assert.Equal(t, sent, 1, "times that the entry was sent within an election timeout")
	heartbeats(2 * cfg.ElectionTicks)
	assert.Assert(t, sent >= 2, "an entry that may be lost was not sent again")
}
