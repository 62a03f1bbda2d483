package deployment_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// earlierRecords are the records that the build of commit ff6f5b7 wrote.
type earlierRecords struct {
	First   uint64          `json:"first_index"`
	Records []earlierRecord `json:"records"`
}

type earlierRecord struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

func readTestdata[T any](t *testing.T, name string) T {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "ff6f5b7", name))
	assert.NilError(t, err)
	var out T
	assert.NilError(t, json.Unmarshal(data, &out))
	return out
}

// TestEarlierBuildIsRead guards against a build that reads the records or snapshots of
// feature level 1 differently, or that writes them so that the earlier build reads them
// differently, for example with a new field that is not left out while it is zero.
func TestEarlierBuildIsRead(t *testing.T) {
	in := readTestdata[earlierRecords](t, "records.json")
	snapshot := readTestdata[earlierRecord](t, "snapshot.json")
	var state deployment.State
	for i, rec := range in.Records {
		next, value, err := state.TryApply(in.First+uint64(i), rec.Data)
		assert.NilError(t, err, rec.Name)
		var result deployment.Result
		assert.NilError(t, wire.Decode(value, &result))
		assert.Assert(t, result.Outcome != deployment.Invalid && next.Version() > state.Version(), "%s: %v", rec.Name, result)
		state = next
		var c deployment.Command
		assert.NilError(t, wire.Decode(rec.Data, &c))
		assert.Equal(t, c.Level(), uint64(1), rec.Name)
		assert.DeepEqual(t, wire.Encode(c), rec.Data)
	}
	assert.DeepEqual(t, state.Encode(), snapshot.Data)
	decoded, err := deployment.Decode(snapshot.Data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Encode(), snapshot.Data)
	assert.Equal(t, decoded.FeatureLevel(), uint64(1))
}

// TestUnknownRecords guards against a replica that takes a record of a later build for an
// empty command, or a part of it for nothing.
func TestUnknownRecords(t *testing.T) {
	var m machine
	change := firstChange("a")
	m.apply(deployment.Command{ConfigChange: &change})
	type object = map[string]any
	for _, c := range []struct {
		name   string
		record any
	}{
		{"command", object{"rename": object{"from": "a"}}},
		{"field of a command", object{"announce": object{"id": "t", "born": 1, "region": "x"}}},
		{"field of an item in a list", object{"order": object{"routes": []object{{"name": "r", "region": "x"}}}}},
		{"field of a nested item in a list", object{"assign": object{"pieces": []object{{"piece": object{"service": "s", "shard": 1}}}}}},
		{"type of a field", object{"announce": object{"id": object{"name": "t"}}}},
		{"record that is not a command", "text"},
		{"level", deployment.Command{RaiseLevel: &deployment.RaiseLevel{Level: deployment.FeatureLevel + 1}}},
	} {
		t.Run("unknown "+c.name, func(t *testing.T) {
			next, _, err := m.state.TryApply(m.index+1, wire.Encode(c.record))
			assert.Assert(t, errors.Is(err, deployment.ErrUnknownRecord), "%v", err)
			assert.DeepEqual(t, next.Encode(), m.state.Encode())
		})
	}
	t.Run("an empty command is known and has no effect", func(t *testing.T) {
		_, _, err := m.state.TryApply(m.index+1, wire.Encode(object{}))
		assert.NilError(t, err)
	})
	for _, field := range []string{"region", "feature_level"} {
		t.Run("snapshot with an unknown "+field, func(t *testing.T) {
			var snapshot object
			assert.NilError(t, wire.Decode(m.state.Encode(), &snapshot))
			snapshot[field] = deployment.FeatureLevel + 1
			_, err := deployment.Decode(wire.Encode(snapshot))
			assert.Assert(t, errors.Is(err, deployment.ErrUnknownRecord), "%v", err)
		})
	}
}

// TestFeatureLevel guards against a command that is written before all instances know it.
func TestFeatureLevel(t *testing.T) {
	upload := firstChange("a")
	upload.Routes = append(upload.Routes, route("put", func(r *deployment.Route) { r.Kind = deployment.Upload }))
	command := deployment.Command{ConfigChange: &upload}
	raise := deployment.Command{RaiseLevel: &deployment.RaiseLevel{Level: 2}}
	var m machine
	err := m.state.Admit(command)
	assert.Assert(t, errors.Is(err, deployment.ErrFeatureLevel), "%v", err)
	assert.NilError(t, m.state.Admit(raise))
	assert.NilError(t, m.state.CheckLevel(0))

	m.apply(raise)
	assert.Equal(t, m.state.FeatureLevel(), uint64(2))
	assert.Equal(t, m.state.Version(), m.index)
	assert.NilError(t, m.state.Admit(command))
	assert.Assert(t, m.state.CheckLevel(0) != nil && m.state.CheckLevel(1) != nil)
	assert.NilError(t, m.state.CheckLevel(2))
	decoded, err := deployment.Decode(m.state.Encode())
	assert.NilError(t, err)
	assert.Equal(t, decoded.FeatureLevel(), uint64(2))

	m.apply(deployment.Command{RaiseLevel: &deployment.RaiseLevel{Level: 1}})
	assert.Equal(t, m.state.FeatureLevel(), uint64(2), "the level never falls")
}

// TestLevel2Contents guards against a command that an earlier build would misread and that is
// written before all instances know it.
func TestLevel2Contents(t *testing.T) {
	withService := func(s deployment.Service) deployment.Command {
		return deployment.Command{ConfigChange: &deployment.ConfigChange{Services: []deployment.Service{s}}}
	}
	cases := []struct {
		name    string
		command deployment.Command
		level   uint64
	}{
		{"plain service", withService(deployment.Service{Name: "s"}), 1},
		{"service with a cold rate", withService(deployment.Service{Name: "s", ColdRate: 1}), 2},
		{"service with a cold time", withService(deployment.Service{Name: "s", ColdTime: 1}), 2},
		{"evacuation", deployment.Command{Evacuate: &deployment.Evacuate{Zone: "a"}}, 2},
		{"withdrawal of an evacuation", deployment.Command{Evacuate: &deployment.Evacuate{Zone: "a", Withdraw: true}}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.command.Level(), c.level) })
	}
}
