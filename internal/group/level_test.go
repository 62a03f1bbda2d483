package group_test

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const earlierFiles = "../deployment/testdata/ff6f5b7"

// earlierLog returns a copy of the log that the build of commit ff6f5b7 wrote.
func earlierLog(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS(filepath.Join(earlierFiles, "log"))))
	return dir
}

// sentNames receives the group names of the messages that a replica sends.
type sentNames chan string

func (s sentNames) Send(_ string, e group.Envelope) {
	select {
	case s <- e.Group:
	default:
	}
}

// openDeployment opens the replica of a deployment with the log in dir.
func openDeployment(t *testing.T, dir string, level uint64, sent sentNames) (*group.Group[deployment.State], func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g, stop, err := group.Open(ctx, group.Config[deployment.State]{
		Name: "deployment", Instance: "10.0.0.9:1", Address: "10.0.0.9:1", Dir: dir, Decode: deployment.Decode,
		Transport: sent, Clock: timer.NewSystem(ctx), Timing: group.DefaultTiming(), Level: level,
	})
	if err == nil {
		t.Cleanup(stop)
	}
	return g, stop, err
}

// lead waits until the replica leads and has applied its log.
func lead(t *testing.T, g *group.Group[deployment.State]) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := g.Barrier(ctx); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestEarlierLogIsRead guards against a log of feature level 1 that is read differently.
func TestEarlierLogIsRead(t *testing.T) {
	g, _, err := openDeployment(t, earlierLog(t), deployment.FeatureLevel, nil)
	assert.NilError(t, err)
	lead(t, g)
	data, err := os.ReadFile(filepath.Join(earlierFiles, "snapshot.json"))
	assert.NilError(t, err)
	var want struct {
		Data []byte `json:"data"`
	}
	assert.NilError(t, json.Unmarshal(data, &want))
	assert.DeepEqual(t, g.State().State.Encode(), want.Data)
}

// TestRaisedLevelIsKept guards against a build below the agreed level that starts with the
// disk of a newer one, or that follows a leader whose commands it does not know.
func TestRaisedLevelIsKept(t *testing.T) {
	dir := earlierLog(t)
	g, stop, err := openDeployment(t, dir, 2, nil)
	assert.NilError(t, err)
	lead(t, g)
	raise := wire.Encode(deployment.Command{RaiseLevel: &deployment.RaiseLevel{Level: 2}})
	_, err = g.Propose(context.Background(), raise)
	assert.NilError(t, err)
	stop()
	_, _, err = openDeployment(t, dir, 0, nil)
	assert.Assert(t, errors.Is(err, group.ErrLevel), "%v", err)
	sent := make(sentNames)
	g, _, err = openDeployment(t, dir, 2, sent)
	assert.NilError(t, err)
	lead(t, g)
	assert.Equal(t, g.State().State.FeatureLevel(), uint64(2))
	assert.NilError(t, g.ProposeMembers(context.Background(), g.Members().WithLearner(replica.Member{ID: "b#1", Instance: "b", Address: "b"})))
	assert.Equal(t, <-sent, "deployment@2")
	levels := g.MemberLevels()
	assert.Equal(t, len(levels), 2)
	assert.Assert(t, levels[0].Level == 2 && levels[0].Heard && !levels[1].Heard)
	g.NoteLevel("b#1", 1)
	assert.Assert(t, g.MemberLevels()[1].Level == 1 && g.MemberLevels()[1].Heard)
}

// TestUnknownRecordStopsReplica guards against a replica that goes on after a record that it
// does not know.
func TestUnknownRecordStopsReplica(t *testing.T) {
	g, _, err := openDeployment(t, earlierLog(t), deployment.FeatureLevel, nil)
	assert.NilError(t, err)
	lead(t, g)
	before := g.State()
	_, err = g.Propose(context.Background(), wire.Encode(map[string]any{"rename": map[string]any{"from": "a"}}))
	assert.Assert(t, errors.Is(err, group.ErrOutcomeUnknown), "%v", err)
	<-g.Done()
	assert.Assert(t, errors.Is(g.Err(), deployment.ErrUnknownRecord), "%v", g.Err())
	assert.Equal(t, g.State().Index, before.Index)
}

// TestParseName guards against a level in a message's group name that is not recognised.
func TestParseName(t *testing.T) {
	for s, want := range map[string]uint64{"deployment": 1, "deployment@2": 2, "deployment@17": 17} {
		name, level := group.ParseName(s)
		assert.Equal(t, name, "deployment")
		assert.Equal(t, level, want)
	}
}
