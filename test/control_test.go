package test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withRelays puts a relay in front of each control instance.
func withRelays(relays map[string]*relay) func(*system) {
	return func(s *system) {
		for i := range s.configs[:3] {
			c := &s.configs[i]
			c.listen = s.newInstanceConfig("x", true).address
			relays[c.name] = startRelay(s.t, c.address, c.listen)
		}
	}
}

// TestPartitionedLeader guards against two owners of a key and repeated bookings when
// the control leader is partitioned. The relay discards bytes on the connections that
// the leader accepted, in one or both directions, and an owner is killed during the
// partition. The partition heals after the key is served again.
func TestPartitionedLeader(t *testing.T) {
	cases := []struct {
		name    string
		in, out bool
	}{{"both directions", true, true}, {"inbound", true, false}, {"outbound on accepted connections", false, true}}
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
			took := waitForLookup(s, s.configs[3].caller, "k1")
			time.Sleep(3 * time.Second)
			relays[leader].heal()
			l.waitForLookups(100)
			l.stop()
			t.Logf("key served again after %s", took)
			assertOneOwner(t, s.records())
			l.assertBookings(t)
		})
	}
}

// waitForVoters waits until each group has three voters whose disks weren't lost, and
// no learners.
func (s *system) waitForVoters() {
	s.t.Helper()
	s.eventually("three voters in each group", func() error {
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
			if err := checkVoters(s, voters); err != nil {
				return fmt.Errorf("group %s: %w", name, err)
			}
		}
		return nil
	})
}

// checkVoters returns an error if the disk of a voter was lost.
func checkVoters(s *system, voters []any) error {
	for _, v := range voters {
		id, _ := v.(map[string]any)["id"].(string)
		for _, lost := range s.lostReplicas {
			if id == lost {
				return fmt.Errorf("voter %s lost its disk", id)
			}
		}
	}
	return nil
}

// voterIDs returns the replica IDs of an instance's voters in all groups.
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

// TestBookingsSurviveLostDisks guards against the loss of acknowledged bookings when
// control instances lose their disks. It removes the data directories of two of the
// three, the second as soon as the first is repaired, and then kills the third: the two
// repaired instances must still return the stored answer of a booking.
func TestBookingsSurviveLostDisks(t *testing.T) {
	s := newSystem(t, 5)
	s.startTargets(2, true)
	l := startLoad(s, 2)
	first := book(s.configs[4].caller, "k1", "before")
	assert.Equal(t, first.outcome, "done", "%+v", first)
	for _, name := range []string{"i1", "i2"} {
		s.waitForVoters()
		s.lostReplicas = append(s.lostReplicas, s.voterIDs(name)...)
		s.instances[name].kill()
		assert.NilError(t, os.RemoveAll(s.dataDir(name)))
		s.startInstance(name)
	}
	s.waitForVoters()
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

// TestReplacedControlInstance guards against the loss of acknowledged bookings when a
// configuration change alone replaces a lost control instance. When a second one is
// killed, the replacement must form a majority with the third, and the stored answer
// of a booking must still be returned.
func TestReplacedControlInstance(t *testing.T) {
	s := newSystem(t, 4)
	s.startTargets(2, true)
	first := book(s.configs[3].caller, "k1", "before")
	assert.Equal(t, first.outcome, "done", "%+v", first)
	s.lostReplicas = s.voterIDs("i1")
	s.instances["i1"].kill()
	replacement := s.newInstanceConfig("i9", true)
	nextConfigs := append([]instanceConfig{replacement}, s.configs[1:]...)
	s.acceptConfig(1, s.renderConfig(nextConfigs))
	s.configs = append(s.configs, replacement)
	s.startInstance("i9")
	s.configs = s.configs[1:]
	s.waitForVoters()
	assert.Equal(t, len(s.voterIDs("i1")), 0)
	s.instances["i2"].kill()
	s.eventually("stored answer with the replacement as voter", func() error {
		again := book(s.configs[2].caller, "k1", "before")
		if again.body != first.body {
			return fmt.Errorf("%+v", again)
		}
		return nil
	})
}

// TestNoMajority pauses two of three control instances. Without a majority, entries
// must acknowledge nothing, reject requests with Retry-After and fail the balancer's
// readiness check. They must serve again after the majority has returned.
func TestNoMajority(t *testing.T) {
	s := newSystem(t, 5)
	s.startTargets(2, true)
	entry := s.configs[3].caller
	for _, name := range []string{"i1", "i2"} {
		s.instances[name].pause()
	}
	s.eventually("rejection with Retry-After", func() error {
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
		s.instances[name].resume()
	}
	s.waitUntilServing()
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
