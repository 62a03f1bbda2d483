package leader

import (
	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// proof is why keys may be given to another owner: what makes it certain that the last one
// has stopped.
type proof string

const (
	provenByRelease    proof = "released"
	provenByExpiry     proof = "leases have ended"
	provenByLaterStart proof = "later start of the owner"
	provenByAddress    proof = "another target has the address"
	// sameTarget stands for keys that go back to their target, which needs no proof.
	sameTarget proof = "same target"
)

// placements are the ranges that may get a new fence.
type placements struct {
	regrants     []deployment.Assignment // only to the target that is named
	reassignable []deployment.Assignment // to any target
}

// reassign returns the step of a range whose owner has stopped. Only an owner that released
// it has handed over its data.
func reassign(ref deployment.RangeRef, rs *rangeState, p proof) rangeStep {
	rs.proof = p
	a := deployment.Assignment{Range: ref, To: rs.nextOwner}
	if p != provenByExpiry {
		a.Handover = rs.handover
	}
	return rangeStep{reassignable: []deployment.Assignment{a}}
}

// proofs returns why each of the assignments is allowed, in their order.
func (m *Model) proofs(assign []deployment.Assignment) []proof {
	out := make([]proof, len(assign))
	for i, a := range assign {
		last := -1
		for from, rs := range m.rangeStates[fenceID{service: a.Range.Service, fence: a.Range.Fence}] {
			if from <= a.Range.From && int(from) > last {
				last, out[i] = int(from), rs.proof
			}
		}
	}
	return out
}
