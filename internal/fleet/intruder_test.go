package fleet

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// Guards against a heartbeat of a service that nobody configured, which ends a sound target at its address or ID.
func TestUnnamedServiceEndsNoTarget(t *testing.T) {
	c := startTestControl(t, &failingDisk{})
	c.announcing = newAnnouncing()
	eventually(t, func() error {
		_, err := c.SubmitChange(context.Background(), deployment.ConfigChange{Version: 1, Whole: true, Digest: "1", Services: []deployment.Service{{Name: "catalog"}}})
		return err
	})
	announce := func(id, service, address string, start int64) {
		assert.NilError(t, c.Announce(context.Background(), deployment.Target{
			ID: id, Service: service, Address: address, StartMillis: start, Slots: 1, Sequence: 1, Status: deployment.Live,
		}))
	}
	assertTarget := func(t *testing.T, id string, start int64, status deployment.Status) {
		t.Helper()
		got, ok := c.State().Target(id)
		assert.Equal(t, ok, start > 0)
		assert.Equal(t, got.StartMillis, start)
		assert.Equal(t, got.Status, status)
	}
	announce("sound", "catalog", "10.0.0.1:80", 100)
	t.Run("at its address", func(t *testing.T) {
		announce("other", "unnamed", "10.0.0.1:80", 200)
		assertTarget(t, "sound", 100, deployment.Live)
		assertTarget(t, "other", 0, "")
	})
	t.Run("with its ID", func(t *testing.T) {
		announce("sound", "unnamed", "10.0.0.2:80", 200)
		assertTarget(t, "sound", 100, deployment.Live)
	})
	t.Run("elsewhere it is recorded", func(t *testing.T) {
		announce("early", "unnamed", "10.0.0.3:80", 200)
		assertTarget(t, "early", 200, deployment.Live)
	})
	t.Run("a configured one takes the address", func(t *testing.T) {
		announce("next", "catalog", "10.0.0.1:80", 300)
		assertTarget(t, "sound", 100, deployment.Left)
		assertTarget(t, "next", 300, deployment.Live)
	})
}
