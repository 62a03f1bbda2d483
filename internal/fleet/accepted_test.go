package fleet

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// Guards against an accepted change whose resend gets no acknowledgement while the leader is busy or gone.
func TestAcceptedChangeIsAcknowledgedWithoutLeader(t *testing.T) {
	fs := &failingDisk{}
	c := startTestControl(t, fs)
	change := deployment.ConfigChange{Version: 1, Whole: true, Digest: "first", Services: []deployment.Service{{Name: "catalog"}}}
	eventually(t, func() error {
		_, err := c.SubmitChange(context.Background(), change)
		return err
	})
	fs.broken.Store(true)
	_, err := c.SubmitChange(context.Background(), deployment.ConfigChange{Version: 2, Base: 1, Digest: "second"})
	assert.ErrorIs(t, err, ErrUnavailable)
	result, err := c.SubmitChange(context.Background(), change)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, deployment.Accepted)
}
