package leader

import (
	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
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

// earlierExpiry returns the time by which all grants of earlier leaders have expired. One
// that has handed over its leadership may send until its last confirmation is too old.
func (m *Model) earlierExpiry() timer.Instant {
	return m.timing.latestExpiry(m.leadingSince.Add(confirmationValidity))
}

func (rs *rangeState) inheritExpiry(other *rangeState) {
	rs.expiry = max(rs.expiry, other.expiry)
	rs.unansweredExpiry = max(rs.unansweredExpiry, other.unansweredExpiry)
}

// inheritFromEarlierFences extends the expiry of a range by grants under earlier fences that
// its owner may still hold, because the keys went back to it without a proof that it stopped.
func (m *Model) inheritFromEarlierFences(rs *rangeState, service string, r deployment.Range) {
	for id, ranges := range m.rangeStates {
		if id.service != service || id.fence >= r.Fence {
			continue
		}
		for from, other := range ranges {
			if other.owner == r.Target && from <= r.To && r.From <= other.to {
				rs.inheritExpiry(other)
			}
		}
	}
}
