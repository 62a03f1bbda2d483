package instance_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// barrierOnly is a control instance that answers barriers.
type barrierOnly struct{ instance.DeploymentHandler }

func (barrierOnly) Barrier(context.Context, *instance.BarrierRequest) (*instance.BarrierResponse, error) {
	return &instance.BarrierResponse{Index: 7}, nil
}

// TestTrafficByZone guards against bytes between zones that no metric shows, or that are
// counted at both ends.
func TestTrafficByZone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, client := &instance.Traffic{}, &instance.Traffic{}
	t.Cleanup(instance.ServeDeployment(l, barrierOnly{}, instance.Security{}, server))
	for _, zone := range []string{"a", "b", ""} {
		pool, closePool := instance.NewPool(t.Context(), instance.Security{}, client)
		t.Cleanup(closePool)
		pool.SetZone(zone)
		_, err := instance.Call[instance.BarrierRequest, instance.BarrierResponse](t.Context(), pool, l.Addr().String(), "Barrier", &instance.BarrierRequest{})
		assert.NilError(t, err)
	}
	answered := server.Answered()["Barrier"]
	for _, zone := range []string{"a", "b", ""} {
		t.Run("zone "+zone, func(t *testing.T) {
			assert.Assert(t, answered[zone].In > 0 && answered[zone].Out > 0, "%+v", answered)
		})
	}
	t.Run("the caller counts no answered call", func(t *testing.T) {
		assert.Equal(t, len(client.Answered()), 0)
		assert.Assert(t, client.In() > 0 && client.Out() > 0)
	})
}
