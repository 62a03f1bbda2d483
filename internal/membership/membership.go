// Package membership brings a group's replicas in line with the control instances
// that the accepted configuration names: it forms new groups, lets in replicas of
// new instances or of lost disks, and removes those that left, one replica at a
// time.
package membership

import (
	"slices"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// Step is the next change of a group's membership; at most one field is set.
type Step struct {
	Members    *replica.Members // to propose
	TransferTo replica.ID       // hand leadership over first
}

// Next returns the step that brings the group closer to one voter on each
// wanted instance. Joining lists the replicas that asked to be let in.
func Next(s replica.Status, wanted []string, joining []replica.Member) (Step, bool) {
	if s.Role != replica.Leader {
		return Step{}, false
	}
	steps := []func(replica.Status, []string, []replica.Member) (Step, bool){dropLearner, addLearner, promote, remove}
	for _, step := range steps {
		if out, ok := step(s, wanted, joining); ok {
			return out, true
		}
	}
	return Step{}, false
}

func propose(m replica.Members) (Step, bool) { return Step{Members: &m}, true }

// dropLearner removes a learner whose instance is no longer wanted, or whose
// disk was lost before it was promoted.
func dropLearner(s replica.Status, wanted []string, joining []replica.Member) (Step, bool) {
	for _, x := range s.Members.Learners {
		replaced := slices.ContainsFunc(joining, func(j replica.Member) bool {
			return j.Instance == x.Instance && j.ID != x.ID
		})
		if replaced || !slices.Contains(wanted, x.Instance) {
			return propose(s.Members.Without(x.ID))
		}
	}
	return Step{}, false
}

// addLearner lets a replica catch up before it counts.
func addLearner(s replica.Status, wanted []string, joining []replica.Member) (Step, bool) {
	for _, j := range joining {
		if _, known := s.Members.Find(j.ID); known || !slices.Contains(wanted, j.Instance) {
			continue
		}
		return propose(s.Members.WithLearner(j))
	}
	return Step{}, false
}

// promote makes a learner that holds the whole log a voter. Where its instance
// had another replica before, that one is removed first: its disk is gone.
func promote(s replica.Status, _ []string, _ []replica.Member) (Step, bool) {
	for _, x := range s.Members.Learners {
		if !s.Peer(x.ID).CaughtUp {
			continue
		}
		if old, ok := voterOf(s.Members, x.Instance); ok {
			return removeVoter(s, old)
		}
		return propose(s.Members.WithVoter(x))
	}
	return Step{}, false
}

func voterOf(m replica.Members, instance string) (replica.Member, bool) {
	i := slices.IndexFunc(m.Voters, func(x replica.Member) bool { return x.Instance == instance })
	if i < 0 {
		return replica.Member{}, false
	}
	return m.Voters[i], true
}

// remove takes out a voter whose instance is no longer wanted, once all wanted
// instances have a voter.
func remove(s replica.Status, wanted []string, _ []replica.Member) (Step, bool) {
	for _, instance := range wanted {
		if _, ok := voterOf(s.Members, instance); !ok {
			return Step{}, false
		}
	}
	for _, x := range s.Members.Voters {
		if !slices.Contains(wanted, x.Instance) {
			return removeVoter(s, x)
		}
	}
	return Step{}, false
}

// removeVoter removes a voter if a majority of the others is alive. A leader
// hands over before it removes itself.
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
