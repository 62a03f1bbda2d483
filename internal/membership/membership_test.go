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

// status returns the status of leader a1 with the voters a1, b1, c1 on instances a,
// b, c.
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

func addLearner(s *replica.Status, id, instance string, caughtUp bool) {
	s.Members.Learners = append(s.Members.Learners, member(id, instance))
	s.Peers = append(s.Peers, replica.PeerStatus{ID: replica.ID(id), Alive: true, CaughtUp: caughtUp})
}

func markDown(s *replica.Status, id replica.ID) {
	for i := range s.Peers {
		if s.Peers[i].ID == id {
			s.Peers[i].Alive = false
		}
	}
}

// formatStep formats a step as the voters and learners to propose.
func formatStep(s membership.Step, ok bool) string {
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

func TestNextStep(t *testing.T) {
	abc, abcd := []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	fourVoters := func(down ...replica.ID) replica.Status {
		return status(func(s *replica.Status) {
			s.Members.Voters = append(s.Members.Voters, member("d1", "d"))
			s.Peers = append(s.Peers, replica.PeerStatus{ID: "d1", Alive: true, CaughtUp: true})
			for _, id := range down {
				markDown(s, id)
			}
		})
	}
	replacement := []replica.Member{member("c2", "c")}
	cases := []struct {
		name    string
		status  replica.Status
		desired []string
		joining []replica.Member
		want    string
		silent  []replica.ID
	}{
		{"nothing to do", status(nil), abc, nil, "none", nil},
		{"only the leader takes steps", status(func(s *replica.Status) { s.Role = replica.Follower }), abc, replacement, "none", nil},
		{"replica after a lost disk joins as a learner", status(func(s *replica.Status) { markDown(s, "c1") }), abc, replacement, "[a1 b1 c1] [c2]", nil},
		{"learner that has not caught up is not promoted", status(func(s *replica.Status) { markDown(s, "c1"); addLearner(s, "c2", "c", false) }), abc, replacement, "none", nil},
		{"lost replica is removed before its successor votes", status(func(s *replica.Status) { markDown(s, "c1"); addLearner(s, "c2", "c", true) }), abc, replacement, "[a1 b1] [c2]", nil},
		{"successor of a removed replica is promoted", status(func(s *replica.Status) {
			s.Members = s.Members.Without("c1")
			addLearner(s, "c2", "c", true)
		}), abc, nil, "[a1 b1 c2] []", nil},
		{"learner whose disk was lost again is removed", status(func(s *replica.Status) { addLearner(s, "c2", "c", false) }), abc, []replica.Member{member("c3", "c")}, "[a1 b1 c1] []", nil},
		{"replica of an undesired instance does not join", status(nil), abc, []replica.Member{member("x1", "x")}, "none", nil},
		{"no voter is removed before the new instance has one", status(nil), []string{"a", "b", "d"}, nil, "none", nil},
		{"voter of an instance that left the configuration is removed last", status(func(s *replica.Status) {
			s.Members.Voters = append(s.Members.Voters, member("d1", "d"))
			s.Peers = append(s.Peers, replica.PeerStatus{ID: "d1", Alive: true, CaughtUp: true})
		}), []string{"a", "b", "d"}, nil, "[a1 b1 d1] []", nil},
		{"leader that left the configuration transfers leadership first", status(nil), []string{"b", "c"}, nil, "transfer to b1", nil},
		{"no voter is removed without a live majority of the others", status(func(s *replica.Status) { markDown(s, "b1"); addLearner(s, "c2", "c", true) }), abc, replacement, "none", nil},
		{"no voter is added beside one that does not answer", status(func(s *replica.Status) { markDown(s, "c1"); addLearner(s, "d1", "d", true) }), abcd, nil, "none", nil},
		{"silent voter is removed before its successor votes", status(func(s *replica.Status) { markDown(s, "c1"); addLearner(s, "d1", "d", true) }), abcd, nil, "[a1 b1] [d1]", []replica.ID{"c1"}},
		{"silent voter stays while its successor has not caught up", status(func(s *replica.Status) { markDown(s, "c1"); addLearner(s, "d1", "d", false) }), abcd, nil, "none", []replica.ID{"c1"}},
		{"voter that answers again stays", status(func(s *replica.Status) { addLearner(s, "d1", "d", true) }), abcd, nil, "[a1 b1 c1 d1] []", []replica.ID{"c1"}},
		{"silent one of four voters is removed", fourVoters("c1"), abcd, nil, "[a1 b1 d1] []", []replica.ID{"c1"}},
		{"silent one of three voters stays", status(func(s *replica.Status) { markDown(s, "c1") }), abc, nil, "none", []replica.ID{"c1"}},
		{"silent one of four voters is removed although another does not answer", fourVoters("c1", "b1"), abcd, nil, "[a1 b1 d1] []", []replica.ID{"c1"}},
		{"no silent voter is removed without a live majority of the others", fourVoters("c1", "b1", "d1"), abcd, nil, "none", []replica.ID{"c1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, formatStep(membership.NextStep(c.status, membership.Wanted{Instances: c.desired, Joining: c.joining, Silent: c.silent})), c.want)
		})
	}
}
