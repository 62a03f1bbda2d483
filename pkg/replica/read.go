package replica

import "slices"

// reads holds the reads that wait for a round of heartbeats. When a majority
// confirms a round that started after a read was requested, the leader was still
// the leader at the time of the request.
type reads struct {
	round      uint64        // number of the last round sent
	confirming []pendingRead // wait for the current round
	queued     []pendingRead // wait for the next round
}

type pendingRead struct {
	token uint64
	index uint64
}

func (s *step) requestRead(token uint64) {
	if s.role != Leader {
		s.reject(token, ErrNotLeader)
		return
	}
	s.reads.queued = append(slices.Clip(s.reads.queued), pendingRead{token: token})
	s.startQueuedReads()
}

// startQueuedReads starts a round for the queued reads, unless a round is in
// progress or the leader has not yet committed an entry of its term.
func (s *step) startQueuedReads() {
	if len(s.reads.confirming) > 0 || len(s.reads.queued) == 0 || !s.committedInTerm() {
		return
	}
	s.reads.round++
	s.reads.confirming = s.reads.queued
	for i := range s.reads.confirming {
		s.reads.confirming[i].index = s.commit
	}
	s.reads.queued = nil
	s.broadcastHeartbeat()
	s.finishReads()
}

// finishReads completes the reads of the current round once it is confirmed, and
// starts the next round.
func (s *step) finishReads() {
	if len(s.reads.confirming) == 0 || !s.roundConfirmed() {
		return
	}
	for _, r := range s.reads.confirming {
		s.emit(ReadReady{Token: r.token, Index: r.index})
	}
	s.reads.confirming = nil
	s.startQueuedReads()
}

// roundConfirmed reports whether a majority of the voters confirmed the current
// round.
func (s *step) roundConfirmed() bool {
	n := 0
	for _, p := range s.progress {
		if s.Members().isVoter(p.id) && (p.id == s.cfg.ID || p.round >= s.reads.round) {
			n++
		}
	}
	return n >= s.quorum()
}

func (s *step) failReads() {
	for _, r := range slices.Concat(s.reads.confirming, s.reads.queued) {
		s.reject(r.token, ErrNotLeader)
	}
	s.reads.confirming = nil
	s.reads.queued = nil
}
