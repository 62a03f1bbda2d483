package replica_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// delayed is a message on its way.
type delayed struct {
	at      time.Duration
	message replica.Message
}

// TestConfirmationsOverlap guards against confirmations that wait for each other, so that a
// leader whose heartbeats are answered in time knows an old confirmation only.
func TestConfirmationsOverlap(t *testing.T) {
	const (
		step     = 5 * time.Millisecond
		interval = 100 * time.Millisecond // between two confirmations, as leaders of deployments have it
		validity = 300 * time.Millisecond
		oneWay   = 90 * time.Millisecond // with the interval a round trip is within the validity
	)
	c, leader := newClusterWithLeader(t, 5)
	c.network = nil
	var network []delayed
	rounds := make(map[uint64]time.Duration) // when each was sent first
	confirmedAt, oldest := time.Duration(0), time.Duration(0)
	update := func(now time.Duration, id replica.ID, e replica.Event) {
		next, effects := c.nodes[id].replica.Update(e)
		c.nodes[id].replica = next
		for _, effect := range effects {
			switch e := effect.(type) {
			case replica.Send:
				if _, known := rounds[e.Message.Round]; !known && e.Message.Kind == replica.MsgHeartbeat {
					rounds[e.Message.Round] = now
				}
				network = append(network, delayed{at: now + oneWay, message: e.Message})
			case replica.ReadReady:
				confirmedAt = max(confirmedAt, rounds[e.Round])
			}
		}
	}
	for now := time.Duration(0); now < 5*time.Second; now += step {
		if now%interval == 0 {
			update(now, leader, replica.ReadRequested{Token: uint64(now)})
		}
		for len(network) > 0 && network[0].at <= now {
			m := network[0].message
			network = network[1:]
			update(now, m.To, replica.Received{Message: m})
		}
		if now > time.Second {
			oldest = max(oldest, now-confirmedAt)
		}
	}
	assert.Assert(t, oldest <= validity, "the last confirmation was %v old", oldest)
}
