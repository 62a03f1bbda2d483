package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// Guards against a release in a heartbeat that comes after a change of the leader, and was sent before the keys were last granted.
func TestReleaseInLateHeartbeatIsNoProof(t *testing.T) {
	w := newHeartbeatWorld(t, 1, 2, 0)
	w.run(6 * time.Second)
	x := w.targets[0]
	held := x.held[0]
	late := KeyHeartbeatReceived{Incarnation: x.incarnation(), Sequence: x.sequence - 1, Keys: deployment.KeyReport{
		Released: []deployment.ReleasedRange{{From: held.From, To: held.To, Handover: "warm"}},
	}}
	x.nextBeat = w.now.Add(time.Hour) // it hears nothing more until its leases end
	w.model = w.newLeader()
	w.receive(worldMessage{target: x, beat: &late})
	for len(x.held) > 0 {
		w.step()
	}
	w.run(3 * time.Second)
	assert.Equal(t, w.holders(held.From), 1)
}
