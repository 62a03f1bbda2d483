package instance_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// TestEarlierMessagesAreRead guards against messages of the build of commit ff6f5b7 that are
// read differently, or whose sender is not recognised by that it announces no level.
func TestEarlierMessagesAreRead(t *testing.T) {
	file, err := os.ReadFile("testdata/ff6f5b7/messages.json")
	assert.NilError(t, err)
	var messages []struct {
		Name string `json:"name"`
		Data []byte `json:"data"`
	}
	assert.NilError(t, json.Unmarshal(file, &messages))
	var envelope group.Envelope
	var probe instance.ProbeRequest
	var probed instance.ProbeResponse
	var join instance.JoinRequest
	var watch instance.WatchRequest
	var report instance.ReportRequest
	var advice instance.ReportResponse
	var update instance.ViewUpdate
	into := map[string]any{
		"envelope": &envelope, "probe_request": &probe, "probe_response": &probed, "join_request": &join, "watch_request": &watch,
		"report_request": &report, "report_response": &advice, "view_update": &update,
	}
	assert.Equal(t, len(messages), len(into))
	for _, m := range messages {
		assert.NilError(t, wire.DecodeStrict(m.Data, into[m.Name]), m.Name)
	}
	assert.Assert(t, envelope.Level == 0 && probe.Level == 0 && probed.Level == 0 && join.Level == 0 && watch.Level == 0 && report.Level == 0)
	assert.Assert(t, envelope.Group == "deployment" && envelope.Message.Kind == replica.MsgSnapshot && envelope.Message.Snapshot.Index == 3)
	assert.Assert(t, probed.Formed && probed.Self.ID == "a#1" && join.Member == probed.Self)
	assert.Assert(t, watch.Version == 7 && watch.ConfigIndex == 3 && watch.Parts)
	assert.Assert(t, report.Instance == "entry" && report.Keys[0].Count == 2 && report.Targets[0].Successes == 3 && report.RelayAddress != "")
	assert.Assert(t, advice.Entries == 3 && len(advice.Peers) == 1 && advice.LimitsKnown)
	assert.Assert(t, update.Whole && update.Current && len(update.Targets) == 2 && len(update.Tables) == 1 && update.ConfigChange.Version == 6)
}

// lowLevel is a leader at a feature level that is too low.
type lowLevel struct{ instance.DeploymentHandler }

func (lowLevel) ChangeConfig(context.Context, *instance.ConfigChangeRequest) (*instance.ConfigChangeResponse, error) {
	return nil, deployment.ErrFeatureLevel
}

// TestFeatureLevelError guards against a caller at another instance that can't tell that the
// command needs a higher feature level, also if the leader's build does not have the method.
func TestFeatureLevelError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(instance.ServeDeployment(l, lowLevel{}, instance.Security{}, &instance.Traffic{}))
	pool, closePool := instance.NewPool(t.Context(), instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	for _, method := range []string{"Change", "MethodOfLaterBuild"} {
		_, err := instance.Call[instance.ConfigChangeRequest, instance.ConfigChangeResponse](t.Context(), pool, l.Addr().String(), method, &instance.ConfigChangeRequest{})
		assert.Assert(t, errors.Is(err, deployment.ErrFeatureLevel), "%s: %v", method, err)
	}
}
