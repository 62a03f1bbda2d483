package control_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// members are the voters of the test configuration.
var members = map[string]ed25519.PrivateKey{}

func init() {
	for i, name := range []string{"amman", "irbid", "salt"} {
		seed := make([]byte, ed25519.SeedSize)
		seed[0] = byte(i)
		members[name] = ed25519.NewKeyFromSeed(seed)
	}
}

func source(extra string) string {
	var b strings.Builder
	b.WriteString("[deployment]\nname = d\n[bookings]\ngroups = 1\n")
	for name, key := range members {
		public := base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
		fmt.Fprintf(&b, "[member %s]\npublic_key = %s\n", name, public)
	}
	b.WriteString("[instance i1]\naddress = 127.0.0.1:1\navailability_zone = z\nroles = entry, control\n")
	b.WriteString("[service stock]\nkind = lookup\nprefix = /stock/\nkey = path:1\nranges = 8\n" + extra)
	return b.String()
}

// stateMachine applies commands in order and checks that a snapshot keeps the state.
type stateMachine struct {
	t     *testing.T
	state control.State
	index uint64
}

func (m *stateMachine) apply(c control.Command) control.Result {
	m.t.Helper()
	m.index++
	state, value := m.state.Apply(m.index, wire.Encode(c))
	again, err := control.Decode(state.Encode())
	assert.NilError(m.t, err)
	assert.Equal(m.t, string(again.Encode()), string(state.Encode()), "a snapshot must contain the whole state")
	m.state = again
	var r control.Result
	assert.NilError(m.t, wire.Decode(value, &r))
	return r
}

func (m *stateMachine) propose(id string, base uint64, cfg string) control.Result {
	m.t.Helper()
	return m.apply(control.Command{Propose: &control.Propose{ChangeID: id, Base: base, Source: []byte(cfg)}})
}

func (m *stateMachine) vote(id, member string, yes bool) control.Result {
	m.t.Helper()
	c, _ := m.state.ChangeRecord(id)
	signature := ed25519.Sign(members[member], control.Ballot(id, c.Base, c.Hash, member, yes))
	return m.apply(control.Command{Vote: &control.Vote{ChangeID: id, Member: member, Yes: yes, Signature: signature}})
}

func (m *stateMachine) accept(id string, base uint64, cfg string) {
	m.t.Helper()
	m.propose(id, base, cfg)
	m.vote(id, "amman", true)
	assertState(m.t, m.vote(id, "irbid", true), control.ChangeAccepted)
}

func assertState(t *testing.T, r control.Result, want control.ChangeState) {
	t.Helper()
	assert.Equal(t, r.Reason, "")
	assert.Equal(t, r.Change.State, want)
}

func assertRejected(t *testing.T, r control.Result, part string) {
	t.Helper()
	assert.Assert(t, strings.Contains(r.Reason, part), "reason %q does not contain %q", r.Reason, part)
}

func TestFirstConfig(t *testing.T) {
	m := &stateMachine{t: t}
	assertState(t, m.propose("a", 0, source("")), control.ChangeOpen)
	assertState(t, m.vote("a", "amman", true), control.ChangeOpen)
	assertState(t, m.vote("a", "irbid", true), control.ChangeAccepted)
	accepted, _ := m.state.Config()
	assert.Equal(t, accepted.Version, uint64(1))
}

func TestConcurrentProposals(t *testing.T) {
	m := &stateMachine{t: t}
	m.accept("first", 0, source(""))
	one, two := source("deadline = 1s\n"), source("deadline = 2s\n")
	assertState(t, m.propose("one", 1, one), control.ChangeOpen)
	assertState(t, m.propose("two", 1, two), control.ChangeOpen)
	m.vote("two", "amman", true)
	m.vote("one", "amman", true)
	assertState(t, m.vote("two", "salt", true), control.ChangeAccepted)
	t.Run("a superseded change names the accepted one", func(t *testing.T) {
		r := m.vote("one", "salt", true)
		assertState(t, r, control.ChangeSuperseded)
		assert.Equal(t, r.Change.Winner, "two")
	})
	t.Run("a repeated proposal gets the same answer", func(t *testing.T) {
		r := m.propose("two", 1, two)
		assertState(t, r, control.ChangeAccepted)
		assert.Equal(t, r.Change.Version, uint64(2))
		assertState(t, m.propose("one", 1, one), control.ChangeSuperseded)
	})
	t.Run("a proposal on an old base is superseded", func(t *testing.T) {
		r := m.propose("three", 1, one)
		assertState(t, r, control.ChangeSuperseded)
		assert.Equal(t, r.Change.Winner, "two")
	})
	t.Run("a change ID can't be reused for another configuration", func(t *testing.T) {
		assertRejected(t, m.propose("two", 1, one), "was used for another configuration")
	})
	accepted, _ := m.state.Config()
	assert.Equal(t, accepted.Version, uint64(2))
}

func TestVotes(t *testing.T) {
	cases := []struct {
		name string
		vote func(m *stateMachine) control.Result
		part string
	}{
		{"not a member", func(m *stateMachine) control.Result {
			return m.apply(control.Command{Vote: &control.Vote{ChangeID: "c", Member: "nobody", Yes: true}})
		}, "not a member"},
		{"another member's signature", func(m *stateMachine) control.Result {
			c, _ := m.state.ChangeRecord("c")
			s := ed25519.Sign(members["salt"], control.Ballot("c", c.Base, c.Hash, "irbid", true))
			return m.apply(control.Command{Vote: &control.Vote{ChangeID: "c", Member: "irbid", Yes: true, Signature: s}})
		}, "signature"},
		{"signature of the opposite vote", func(m *stateMachine) control.Result {
			c, _ := m.state.ChangeRecord("c")
			s := ed25519.Sign(members["irbid"], control.Ballot("c", c.Base, c.Hash, "irbid", false))
			return m.apply(control.Command{Vote: &control.Vote{ChangeID: "c", Member: "irbid", Yes: true, Signature: s}})
		}, "signature"},
		{"changed vote", func(m *stateMachine) control.Result { return m.vote("c", "amman", false) }, "already voted otherwise"},
		{"unknown change", func(m *stateMachine) control.Result { return m.vote("x", "amman", true) }, "not known"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &stateMachine{t: t}
			m.accept("first", 0, source(""))
			m.propose("c", 1, source("deadline = 1s\n"))
			m.vote("c", "amman", true)
			assertRejected(t, c.vote(m), c.part)
			accepted, _ := m.state.Config()
			assert.Equal(t, accepted.Version, uint64(1))
		})
	}
	t.Run("a repeated vote counts once", func(t *testing.T) {
		m := &stateMachine{t: t}
		m.propose("c", 0, source(""))
		m.vote("c", "amman", true)
		assertState(t, m.vote("c", "amman", true), control.ChangeOpen)
	})
	t.Run("a majority against the proposal rejects it", func(t *testing.T) {
		m := &stateMachine{t: t}
		m.propose("c", 0, source(""))
		m.vote("c", "amman", false)
		assertState(t, m.vote("c", "irbid", false), control.ChangeRejected)
		assertState(t, m.vote("c", "salt", true), control.ChangeRejected)
	})
	t.Run("an invalid configuration is rejected", func(t *testing.T) {
		m := &stateMachine{t: t}
		assertRejected(t, m.propose("c", 0, source("dedline = 1s\n")), `did you mean "deadline"`)
	})
}
