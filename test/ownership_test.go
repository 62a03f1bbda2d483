package test

import (
	"testing"
	"time"
)

// TestOneOwnerDuringFailures guards against two owners of a key and repeated bookings.
// It kills or pauses owners, entries and control leaders under load: a paused process
// may act on an expired lease when it resumes.
func TestOneOwnerDuringFailures(t *testing.T) {
	cases := []struct {
		name        string
		checksFence bool
		takeover    string
		inject      func(s *system)
	}{
		{"owner killed", true, "wait", func(s *system) { s.targets[s.owner("stock", "k1")].kill() }},
		{"owner without fence check killed", false, "wait", func(s *system) { s.targets[s.owner("stock", "k1")].kill() }},
		{"owner paused and resumed", true, "wait", pauseOwner},
		{"owner without fence check paused and resumed", false, "wait", pauseOwner},
		{"entry paused and resumed", true, "wait", pauseEntry},
		{"control leader killed", true, "wait", func(s *system) { s.instances[s.leader()].kill() }},
		{"control leader paused and resumed", true, "wait", pauseLeader},
		{"control leader and owner killed", true, "wait", func(s *system) {
			owner, leader := s.owner("stock", "k1"), s.leader()
			s.targets[owner].kill()
			s.instances[leader].kill()
		}},
		{"control leader paused and owner killed", true, "wait", func(s *system) {
			owner, leader := s.owner("stock", "k1"), s.leader()
			s.instances[leader].pause()
			s.targets[owner].kill()
			time.Sleep(3 * time.Second)
			s.instances[leader].resume()
		}},
		{"entry paused and owner killed", true, "wait", func(s *system) {
			s.instances["i5"].pause()
			s.targets[s.owner("stock", "k1")].kill()
			time.Sleep(3 * time.Second)
			s.instances["i5"].resume()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 5, func(s *system) { s.takeover = c.takeover })
			s.startTargets(3, c.checksFence)
			l := startLoad(s, 3)
			time.Sleep(500 * time.Millisecond)
			c.inject(s)
			for i := range 20 {
				waitForLookup(s, s.configs[3].caller, "k"+string(rune('0'+i%10)))
			}
			time.Sleep(500 * time.Millisecond)
			l.stop()
			assertOneOwner(t, s.records())
			l.assertBookings(t)
		})
	}
}

func pauseOwner(s *system) {
	owner := s.targets[s.owner("stock", "k1")]
	owner.pause()
	time.Sleep(3 * time.Second)
	owner.resume()
}

func pauseEntry(s *system) {
	s.instances["i4"].pause()
	time.Sleep(3 * time.Second)
	s.instances["i4"].resume()
}

func pauseLeader(s *system) {
	leader := s.instances[s.leader()]
	leader.pause()
	time.Sleep(3 * time.Second)
	leader.resume()
}
