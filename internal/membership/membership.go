// Package membership keeps one replica of a group on each control instance that the
// accepted configuration names, or of a seeded group on each member that responds.
// It forms new groups, adds replicas of new instances, replaces those whose disk was
// lost, and removes those that are no longer needed, one replica at a time.
package membership

import (
	"slices"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// Step is the next change of a group's membership; at most one field is set.
type Step struct {
	Members    *replica.Members // members to propose
	TransferTo replica.ID       // replica to transfer leadership to
}

// NextStep returns the next step towards one voter on each desired instance, or
// false if there is none. joining lists the replicas that asked to join.
func NextStep(s replica.Status, desired []string, joining []replica.Member) (Step, bool) {
	if s.Role != replica.Leader {
		return Step{}, false
	}
	steps := []func(replica.Status, []string, []replica.Member) (Step, bool){dropLearner, addLearner, promoteLearner, removeUndesired}
	for _, step := range steps {
		if out, ok := step(s, desired, joining); ok {
			return out, true
		}
	}
	return Step{}, false
}

func propose(m replica.Members) (Step, bool) { return Step{Members: &m}, true }

// dropLearner removes a learner whose instance is no longer desired, or whose disk
// was lost before it was promoted, so that its instance joins with a new replica.
func dropLearner(s replica.Status, desired []string, joining []replica.Member) (Step, bool) {
	for _, x := range s.Members.Learners {
		replaced := slices.ContainsFunc(joining, func(j replica.Member) bool {
			return j.Instance == x.Instance && j.ID != x.ID
		})
		if replaced || !slices.Contains(desired, x.Instance) {
			return propose(s.Members.Without(x.ID))
		}
	}
	return Step{}, false
}

// addLearner adds a replica as a learner: it catches up before it may vote.
func addLearner(s replica.Status, desired []string, joining []replica.Member) (Step, bool) {
	for _, j := range joining {
		if _, known := s.Members.Find(j.ID); known || !slices.Contains(desired, j.Instance) {
			continue
		}
		return propose(s.Members.WithLearner(j))
	}
	return Step{}, false
}

// promoteLearner makes a learner that has caught up a voter. If its instance has
// another replica as a voter, that one is removed first: its disk was lost.
func promoteLearner(s replica.Status, _ []string, _ []replica.Member) (Step, bool) {
	for _, x := range s.Members.Learners {
		if !s.Peer(x.ID).CaughtUp {
			continue
		}
		if old, ok := voterOn(s.Members, x.Instance); ok {
			return removeVoter(s, old)
		}
		return propose(s.Members.WithVoter(x))
	}
	return Step{}, false
}

func voterOn(m replica.Members, instance string) (replica.Member, bool) {
	i := slices.IndexFunc(m.Voters, func(x replica.Member) bool { return x.Instance == instance })
	if i < 0 {
		return replica.Member{}, false
	}
	return m.Voters[i], true
}

// removeUndesired removes a voter whose instance is no longer desired, once all
// desired instances have a voter.
func removeUndesired(s replica.Status, desired []string, _ []replica.Member) (Step, bool) {
	for _, instance := range desired {
		if _, ok := voterOn(s.Members, instance); !ok {
			return Step{}, false
		}
	}
	for _, x := range s.Members.Voters {
		if !slices.Contains(desired, x.Instance) {
			return removeVoter(s, x)
		}
	}
	return Step{}, false
}

// removeVoter removes a voter if a majority of the others is alive. A leader that is
// to be removed transfers leadership first.
func removeVoter(s replica.Status, x replica.Member) (Step, bool) {
	rest := s.Members.Without(x.ID)
	alive := slices.DeleteFunc(slices.Clone(rest.Voters), func(m replica.Member) bool { return !s.Peer(m.ID).Alive })
	if len(rest.Voters) == 0 || 2*len(alive) <= len(rest.Voters) {
		return Step{}, false
	}
	if x.ID != s.ID {
		return propose(rest)
	}
	for _, m := range alive {
		if s.Peer(m.ID).CaughtUp {
			return Step{TransferTo: m.ID}, true
		}
	}
	return Step{}, false
}
