package test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withRelays puts a relay before each control instance.
func withRelays(relays map[string]*relay) func(*system) {
	return func(s *system) {
		for i := range s.configs[:3] {
			c := &s.configs[i]
			c.listen = s.newConfig("x", true).address
			relays[c.name] = startRelay(s.t, c.address, c.listen)
		}
	}
}

// TestLeaderCut cuts the control leader off silently, both ways or one way,
// while an owner is lost, and heals the cut later.
func TestLeaderCut(t *testing.T) {
	cases := []struct {
		name    string
		in, out bool
	}{{"both ways", true, true}, {"nothing reaches it", true, false}, {"nothing leaves by accepted connections", false, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			relays := make(map[string]*relay)
			s := newSystem(t, 5, withRelays(relays))
			s.startTargets(3, true)
			l := startLoad(s, 2)
			leader, owner := s.leader(), s.owner("stock", "k1")
			relays[leader].drop(c.in, c.out)
			s.targets[owner].kill()
			took := outage(s, s.configs[3].caller, "k1")
			time.Sleep(3 * time.Second)
			relays[leader].heal()
			l.goOn(100)
			l.stop()
			t.Logf("key served again after %s", took)
			assertOneOwner(t, s.records())
			l.assertBookings(t)
		})
	}
}

// joined waits until each group has a live voter on each control instance.
func (s *system) joined() {
	s.t.Helper()
	s.eventually("full membership", func() error {
		out, err := s.status()
		if err != nil {
			return err
		}
		groups, ok := out.Groups.(map[string]any)
		if !ok || len(groups) < 2 {
			return fmt.Errorf("groups: %v", out.Groups)
		}
		for name, g := range groups {
			members := g.(map[string]any)["members"].(map[string]any)
			voters, _ := members["voters"].([]any)
			learners, _ := members["learners"].([]any)
			if len(voters) != 3 || len(learners) != 0 {
				return fmt.Errorf("group %s has %d voters, %d learners", name, len(voters), len(learners))
			}
			if err := currentVoters(s, voters); err != nil {
				return fmt.Errorf("group %s: %w", name, err)
			}
		}
		return nil
	})
}

// currentVoters reports a voter whose disk was lost.
func currentVoters(s *system, voters []any) error {
	for _, v := range voters {
		id, _ := v.(map[string]any)["id"].(string)
		for _, lost := range s.lost {
			if id == lost {
				return fmt.Errorf("voter %s lost its disk", id)
			}
		}
	}
	return nil
}

// voterIDs returns the replica IDs that an instance has in all groups.
func (s *system) voterIDs(instance string) []string {
	s.t.Helper()
	out, err := s.status()
	assert.NilError(s.t, err)
	var ids []string
	for _, g := range out.Groups.(map[string]any) {
		members := g.(map[string]any)["members"].(map[string]any)
		for _, v := range members["voters"].([]any) {
			if id, _ := v.(map[string]any)["id"].(string); strings.HasPrefix(id, instance+"#") {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// TestLostDisks removes the data folders of two control instances, the second
// right after the first is repaired. Nothing acknowledged may be lost.
func TestLostDisks(t *testing.T) {
	s := newSystem(t, 5)
	s.startTargets(2, true)
	l := startLoad(s, 2)
	first := book(s.configs[4].caller, "k1", "before")
	assert.Equal(t, first.outcome, "done", "%+v", first)
	for _, name := range []string{"i1", "i2"} {
		s.joined()
		s.lost = append(s.lost, s.voterIDs(name)...)
		s.instances[name].kill()
		assert.NilError(t, os.RemoveAll(s.dataDir(name)))
		s.startInstance(name)
	}
	s.joined()
	s.instances["i3"].kill()
	s.eventually("stored answer after all repairs", func() error {
		again := book(s.configs[4].caller, "k1", "before")
		if again.body != first.body || again.header.Get("Idempotency-Replayed") != "true" {
			return fmt.Errorf("%+v", again)
		}
		return nil
	})
	time.Sleep(500 * time.Millisecond)
	l.stop()
	assertOneOwner(t, s.records())
	l.assertBookings(t)
}

// TestReplacedControlInstance replaces a control instance by the configuration
// alone.
func TestReplacedControlInstance(t *testing.T) {
	s := newSystem(t, 4)
	s.startTargets(2, true)
	first := book(s.configs[3].caller, "k1", "before")
	assert.Equal(t, first.outcome, "done", "%+v", first)
	s.lost = s.voterIDs("i1")
	s.instances["i1"].kill()
	fresh := s.newConfig("i9", true)
	next := append([]instanceConfig{fresh}, s.configs[1:]...)
	s.accept(1, s.textWith(next))
	s.configs = append(s.configs, fresh)
	s.startInstance("i9")
	s.configs = s.configs[1:]
	s.joined()
	assert.Equal(t, len(s.voterIDs("i1")), 0)
	s.instances["i2"].kill()
	s.eventually("stored answer with the new instance's help", func() error {
		again := book(s.configs[2].caller, "k1", "before")
		if again.body != first.body {
			return fmt.Errorf("%+v", again)
		}
		return nil
	})
}

// TestNoMajority freezes two of three control instances. Without a majority
// nothing is acknowledged: entries refuse with a time to come back, fail the
// balancer's check, and serve again after the majority has returned.
func TestNoMajority(t *testing.T) {
	s := newSystem(t, 5)
	s.startTargets(2, true)
	entry := s.configs[3].caller
	for _, name := range []string{"i1", "i2"} {
		s.instances[name].freeze()
	}
	s.eventually("refusal", func() error {
		if r := lookup(entry, "k1"); r.outcome != "not_run" || r.header.Get("Retry-After") == "" {
			return fmt.Errorf("%+v", r)
		}
		return nil
	})
	assert.Equal(t, call("GET", "http://"+entry+"/cranberrywind/ready", "", "").status, 503)
	for i := range 5 {
		r := book(entry, "k1", fmt.Sprintf("n%d", i))
		assert.Assert(t, r.outcome == "unknown" || r.outcome == "not_run", "%+v", r)
	}
	for _, name := range []string{"i1", "i2"} {
		s.instances[name].thaw()
	}
	s.waitServed()
	for i := range 5 {
		s.eventually("booking after the majority returned", func() error {
			if r := book(entry, "k1", fmt.Sprintf("n%d", i)); r.outcome != "done" {
				return fmt.Errorf("%+v", r)
			}
			return nil
		})
	}
	assertOneOwner(t, s.records())
}
