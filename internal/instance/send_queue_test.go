package instance

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

func appendOf(size int) group.Envelope {
	return group.Envelope{Message: replica.Message{Kind: replica.MsgAppend, Entries: []replica.Entry{{Data: make([]byte, size)}}}}
}

func assertQueued(t *testing.T, q *sendQueue, messages int) {
	t.Helper()
	assert.Equal(t, len(q.messages), messages)
}

// Guards against a queue for a slow peer that outgrows memory because only the number of its
// messages is bounded.
func TestSendQueueIsBoundedByBytes(t *testing.T) {
	const size = 1 << 20
	fill := func(n, size int) *sendQueue {
		q := newSendQueue()
		for range n {
			q.add(appendOf(size))
		}
		return q
	}
	t.Run("large messages", func(t *testing.T) { assertQueued(t, fill(100, size), sendQueueBytes/size) })
	t.Run("small messages", func(t *testing.T) { assertQueued(t, fill(100, 10), 100) })
	t.Run("a message that is larger than the bound", func(t *testing.T) { assertQueued(t, fill(2, 2*sendQueueBytes), 1) })
	t.Run("room after messages were taken", func(t *testing.T) {
		q := fill(100, size)
		q.taken(<-q.messages)
		q.add(appendOf(size))
		assertQueued(t, q, sendQueueBytes/size)
		q.discard()
		assertQueued(t, q, 0)
		assert.Equal(t, q.bytes.Load(), int64(0))
	})
}
