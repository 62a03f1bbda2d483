package fleet

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/view"
)

// slowLeader is a leader whose responses take as long as over a full link.
type slowLeader struct {
	instance.DeploymentHandler
	delay time.Duration
}

func (l slowLeader) Report(context.Context, *instance.ReportRequest) (*instance.ReportResponse, error) {
	time.Sleep(l.delay)
	return &instance.ReportResponse{Entries: 3}, nil
}

func (l slowLeader) Watch(ctx context.Context, _ *instance.WatchRequest, _ func(*instance.ViewUpdate) error) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestReportOverFullLink sends a report whose response arrives late.
func TestReportOverFullLink(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(instance.ServeDeployment(l, slowLeader{delay: 700 * time.Millisecond}, instance.Security{}, &instance.Traffic{}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	quiet := log.New(io.Discard)
	seeds := []string{l.Addr().String()}
	i := &Instance{pool: pool, log: quiet, follower: view.Follow(ctx, view.FollowerConfig{Name: "entry", Seeds: seeds, Pool: pool, Log: quiet})}
	res := i.sendReport(ctx, instance.NewLeaderClient(pool, seeds, reportTimeout), instance.ReportRequest{Instance: "entry"})
	assert.Assert(t, res != nil, "no advice")
	assert.Equal(t, res.Entries, 3)
}
