package membership_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/membership"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

func member(id, instance string) replica.Member {
	return replica.Member{ID: replica.ID(id), Instance: instance}
}

// status is a leader a1 with voters a1, b1, c1 on instances a, b, c.
func status(change func(s *replica.Status)) replica.Status {
	s := replica.Status{ID: "a1", Role: replica.Leader}
	s.Members.Voters = []replica.Member{member("a1", "a"), member("b1", "b"), member("c1", "c")}
	for _, id := range []replica.ID{"a1", "b1", "c1"} {
		s.Peers = append(s.Peers, replica.PeerStatus{ID: id, Alive: true, CaughtUp: true})
	}
	if change != nil {
		change(&s)
	}
	return s
}

func learner(s *replica.Status, id, instance string, caughtUp bool) {
	s.Members.Learners = append(s.Members.Learners, member(id, instance))
	s.Peers = append(s.Peers, replica.PeerStatus{ID: replica.ID(id), Alive: true, CaughtUp: caughtUp})
}

func dead(s *replica.Status, id replica.ID) {
	for i := range s.Peers {
		if s.Peers[i].ID == id {
			s.Peers[i].Alive = false
		}
	}
}

// shown writes a step as voters and learners.
func shown(s membership.Step, ok bool) string {
	switch {
	case !ok:
		return "none"
	case s.TransferTo != "":
		return "transfer to " + string(s.TransferTo)
	}
	return fmt.Sprint(ids(s.Members.Voters), ids(s.Members.Learners))
}

func ids(members []replica.Member) []string {
	out := []string{}
	for _, m := range members {
		out = append(out, string(m.ID))
	}
	return out
}

func TestNext(t *testing.T) {
	abc := []string{"a", "b", "c"}
	lost := []replica.Member{member("c2", "c")}
	cases := []struct {
		name    string
		status  replica.Status
		wanted  []string
		joining []replica.Member
		want    string
	}{
		{"nothing to do", status(nil), abc, nil, "none"},
		{"only a leader acts", status(func(s *replica.Status) { s.Role = replica.Follower }), abc, lost, "none"},
		{"a lost disk joins as a learner", status(func(s *replica.Status) { dead(s, "c1") }), abc, lost, "[a1 b1 c1] [c2]"},
		{"a learner that lags stays one", status(func(s *replica.Status) { dead(s, "c1"); learner(s, "c2", "c", false) }), abc, lost, "none"},
		{"the lost replica goes first", status(func(s *replica.Status) { dead(s, "c1"); learner(s, "c2", "c", true) }), abc, lost, "[a1 b1] [c2]"},
		{"then the new one votes", status(func(s *replica.Status) {
			s.Members = s.Members.Without("c1")
			learner(s, "c2", "c", true)
		}), abc, nil, "[a1 b1 c2] []"},
		{"a learner whose disk was lost again goes", status(func(s *replica.Status) { learner(s, "c2", "c", false) }), abc, []replica.Member{member("c3", "c")}, "[a1 b1 c1] []"},
		{"a stranger is not let in", status(nil), abc, []replica.Member{member("x1", "x")}, "none"},
		{"no removal before the new instance votes", status(nil), []string{"a", "b", "d"}, nil, "none"},
		{"an instance that left the text goes last", status(func(s *replica.Status) {
			s.Members.Voters = append(s.Members.Voters, member("d1", "d"))
			s.Peers = append(s.Peers, replica.PeerStatus{ID: "d1", Alive: true, CaughtUp: true})
		}), []string{"a", "b", "d"}, nil, "[a1 b1 d1] []"},
		{"a leader that left the text hands over first", status(nil), []string{"b", "c"}, nil, "transfer to b1"},
		{"no removal that leaves no majority alive", status(func(s *replica.Status) { dead(s, "b1"); learner(s, "c2", "c", true) }), abc, lost, "none"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, shown(membership.Next(c.status, c.wanted, c.joining)), c.want)
		})
	}
}
