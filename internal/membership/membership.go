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

// Wanted is what the membership should become, and what is known of its members.
type Wanted struct {
	Instances []string         // that should have a voter
	Joining   []replica.Member // replicas that asked to join
	// Silent are the members without contact for longer than a pause or a restart takes, the one
	// that has been silent longest first.
	Silent []replica.ID
}

// NextStep returns the next step towards one voter on each wanted instance, or false if there is
// none. No step towards that leaves the group unable to bear a loss that it could bear before, but
// for the removal of a voter that is no longer wanted.
func NextStep(s replica.Status, w Wanted) (Step, bool) {
	if s.Role != replica.Leader {
		return Step{}, false
	}
	steps := []func(replica.Status, Wanted) (Step, bool){dropLearner, addLearner, promoteLearner, removeSilent, removeUndesired}
	for _, step := range steps {
		if out, ok := step(s, w); ok {
			return out, true
		}
	}
	return Step{}, false
}

func propose(m replica.Members) (Step, bool) { return Step{Members: &m}, true }

// dropLearner removes a learner whose instance is no longer wanted, or whose disk
// was lost before it was promoted, so that its instance joins with a new replica.
func dropLearner(s replica.Status, w Wanted) (Step, bool) {
	for _, x := range s.Members.Learners {
		replaced := slices.ContainsFunc(w.Joining, func(j replica.Member) bool {
			return j.Instance == x.Instance && j.ID != x.ID
		})
		if replaced || !slices.Contains(w.Instances, x.Instance) {
			return propose(s.Members.Without(x.ID))
		}
	}
	return Step{}, false
}

// addLearner adds a replica as a learner: it catches up before it may vote.
func addLearner(s replica.Status, w Wanted) (Step, bool) {
	for _, j := range w.Joining {
		if _, known := s.Members.Find(j.ID); known || !slices.Contains(w.Instances, j.Instance) {
			continue
		}
		return propose(s.Members.WithLearner(j))
	}
	return Step{}, false
}

// promoteLearner makes a learner that has caught up a voter. If its instance has
// another replica as a voter, that one is removed first: its disk was lost. Beside a voter that
// does not answer, one more voter would raise the quorum and let the group tolerate no further
// loss: a silent voter is removed first, and one that may be back at once is waited for.
func promoteLearner(s replica.Status, w Wanted) (Step, bool) {
	for _, x := range s.Members.Learners {
		if p := s.Peer(x.ID); !p.CaughtUp || !p.Alive {
			continue
		}
		if old, ok := voterOn(s.Members, x.Instance); ok {
			return removeVoter(s, old)
		}
		if old, ok := silentVoter(s, w); ok {
			return removeVoter(s, old)
		}
		if len(aliveVoters(s, s.Members)) == len(s.Members.Voters) {
			return propose(s.Members.WithVoter(x))
		}
	}
	return Step{}, false
}

// removeSilent removes a silent voter where that lowers the quorum. With an odd number of voters
// it does not, and the voter's disk may still be needed.
func removeSilent(s replica.Status, w Wanted) (Step, bool) {
	if old, ok := silentVoter(s, w); ok && len(s.Members.Voters)%2 == 0 {
		return removeVoter(s, old)
	}
	return Step{}, false
}

// silentVoter returns the voter that has been silent longest.
func silentVoter(s replica.Status, w Wanted) (replica.Member, bool) {
	for _, id := range w.Silent {
		if x, ok := s.Members.Find(id); ok && s.Members.IsVoter(id) && !s.Peer(id).Alive {
			return x, true
		}
	}
	return replica.Member{}, false
}

func aliveVoters(s replica.Status, m replica.Members) []replica.Member {
	return slices.DeleteFunc(slices.Clone(m.Voters), func(x replica.Member) bool { return !s.Peer(x.ID).Alive })
}

func voterOn(m replica.Members, instance string) (replica.Member, bool) {
	i := slices.IndexFunc(m.Voters, func(x replica.Member) bool { return x.Instance == instance })
	if i < 0 {
		return replica.Member{}, false
	}
	return m.Voters[i], true
}

// removeUndesired removes a voter whose instance is no longer wanted, once all
// wanted instances have a voter.
func removeUndesired(s replica.Status, w Wanted) (Step, bool) {
	for _, instance := range w.Instances {
		if _, ok := voterOn(s.Members, instance); !ok {
			return Step{}, false
		}
	}
	for _, x := range s.Members.Voters {
		if !slices.Contains(w.Instances, x.Instance) {
			return removeVoter(s, x)
		}
	}
	return Step{}, false
}

// removeVoter removes a voter if a majority of the others is alive. A leader that is
// to be removed transfers leadership first.
func removeVoter(s replica.Status, x replica.Member) (Step, bool) {
	rest := s.Members.Without(x.ID)
	alive := aliveVoters(s, rest)
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
