package deployment_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// evacuate applies an operator's call that had read the log up to base.
func (m *machine) evacuate(zone string, base uint64) deployment.ChangeOutcome {
	return m.apply(deployment.Command{Evacuate: &deployment.Evacuate{Zone: zone, Base: base}}).Outcome
}

func (m *machine) withdraw(zone string, base uint64) deployment.ChangeOutcome {
	return m.apply(deployment.Command{Evacuate: &deployment.Evacuate{Zone: zone, Withdraw: true, Base: base}}).Outcome
}

func assertEvacuated(t *testing.T, s deployment.State, zones ...string) {
	t.Helper()
	got := []string{}
	for _, e := range s.Evacuated() {
		got = append(got, e.Zone)
		assert.Assert(t, s.IsEvacuated(e.Zone))
	}
	assert.DeepEqual(t, got, append([]string{}, zones...))
}

func TestEvacuate(t *testing.T) {
	t.Run("several zones, of which no target is known", func(t *testing.T) {
		var m machine
		for _, zone := range []string{"b", "a", "c"} {
			assert.Equal(t, m.evacuate(zone, m.index), deployment.Accepted)
		}
		assert.Equal(t, m.withdraw("a", m.index), deployment.Accepted)
		assertEvacuated(t, m.state, "b", "c")
		assert.Equal(t, m.state.EvacuatedIndex(), m.index)
	})
	t.Run("a repeated call has no effect and is accepted", func(t *testing.T) {
		var m machine
		assert.Equal(t, m.evacuate("a", 0), deployment.Accepted)
		assert.Equal(t, m.evacuate("a", 0), deployment.Accepted)
		assert.DeepEqual(t, m.state.Evacuated(), []deployment.Evacuation{{Zone: "a", Index: 1}})
		assert.Equal(t, m.state.Version(), uint64(1))
	})
	t.Run("a withdrawal of what is not in force has no effect and is accepted", func(t *testing.T) {
		var m machine
		assert.Equal(t, m.withdraw("a", 0), deployment.Accepted)
		assert.Equal(t, m.state.Version(), uint64(0))
	})
	t.Run("invalid names and a zone too many are rejected", func(t *testing.T) {
		var m machine
		assert.Equal(t, m.evacuate("", 0), deployment.Invalid)
		assert.Equal(t, m.evacuate(strings.Repeat("x", 65), 0), deployment.Invalid)
		for i := range 64 {
			assert.Equal(t, m.evacuate(fmt.Sprintf("%064d", i), m.index), deployment.Accepted)
		}
		assert.Equal(t, m.evacuate("one more", m.index), deployment.Invalid)
		assert.Equal(t, m.evacuate(fmt.Sprintf("%064d", 3), m.index), deployment.Accepted)
		assert.Equal(t, len(m.state.Evacuated()), 64)
	})
}

// TestLateEvacuationCalls guards against calls that are committed after later ones, for
// example because the instance that took them was suspended meanwhile.
func TestLateEvacuationCalls(t *testing.T) {
	t.Run("an order after its withdrawal", func(t *testing.T) {
		var m machine
		m.evacuate("a", 0)
		m.withdraw("a", m.index)
		assert.Equal(t, m.evacuate("a", 0), deployment.Conflict)
		assertEvacuated(t, m.state)
		assert.Equal(t, m.evacuate("a", m.index), deployment.Accepted)
	})
	t.Run("a withdrawal after the next order", func(t *testing.T) {
		var m machine
		m.evacuate("a", 0)
		m.withdraw("a", 1)
		m.evacuate("a", 2)
		assert.Equal(t, m.withdraw("a", 1), deployment.Conflict)
		assertEvacuated(t, m.state, "a")
	})
	t.Run("a withdrawal after a repeated order", func(t *testing.T) {
		m := machine{index: 10}
		m.evacuate("a", 10)
		m.evacuate("a", 15)
		assert.Equal(t, m.withdraw("a", 13), deployment.Conflict)
		assertEvacuated(t, m.state, "a")
		assert.Equal(t, m.withdraw("a", 16), deployment.Accepted)
	})
	t.Run("an order after a withdrawal that found nothing in force", func(t *testing.T) {
		m := machine{index: 10}
		m.withdraw("a", 10)
		assert.Equal(t, m.evacuate("a", 9), deployment.Conflict)
		assertEvacuated(t, m.state)
	})
	t.Run("a repeated order does not hold up the withdrawal", func(t *testing.T) {
		m := machine{index: 10}
		m.evacuate("a", 10)
		base := m.index
		m.evacuate("a", 10)
		assert.Equal(t, m.withdraw("a", base), deployment.Accepted)
	})
	t.Run("an order after its withdrawal was forgotten", func(t *testing.T) {
		var m machine
		m.evacuate("a", 0)
		m.withdraw("a", 1)
		for i := range 200 {
			m.withdraw(fmt.Sprint("zone-", i), m.index)
		}
		assert.Equal(t, m.evacuate("a", 0), deployment.Conflict)
		assert.Equal(t, m.evacuate("a", m.index), deployment.Accepted)
		assert.Assert(t, len(m.state.Encode()) < 16<<10, "records of zones grow without a bound")
	})
}

// TestEvacuationsInSnapshot guards against a replica that forgets evacuations, or the calls
// that may not be undone, when it starts from a snapshot.
func TestEvacuationsInSnapshot(t *testing.T) {
	var m machine
	m.evacuate("a", 0)
	m.evacuate("b", 1)
	m.withdraw("a", 2)
	restored, err := deployment.Decode(m.state.Encode())
	assert.NilError(t, err)
	assertEvacuated(t, restored, "b")
	assert.DeepEqual(t, restored.Evacuated(), m.state.Evacuated())
	assert.Equal(t, restored.EvacuatedIndex(), m.state.EvacuatedIndex())
	m.state = restored
	assert.Equal(t, m.evacuate("a", 0), deployment.Conflict)
}
