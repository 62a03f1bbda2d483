package replica

import "slices"

// maxRounds is the number of rounds of heartbeats in progress from which on reads wait for the
// next one. A read that waited for the end of a round would take up to two of them, and a
// leader that confirms its leadership regularly would know an old confirmation only.
const maxRounds = 3

// reads holds the reads that wait for a round of heartbeats. When a majority
// confirms a round that started after a read was requested, the leader was still
// the leader at the time of the request.
type reads struct {
	round      uint64        // number of the last round sent
	confirming []pendingRead // wait for a round in progress, oldest first
	queued     []pendingRead // wait for the next round
}

type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// inProgress returns the number of rounds in progress.
func (r reads) inProgress() uint64 {
	if len(r.confirming) == 0 {
		return 0
	}
	return r.round - r.confirming[0].round + 1
}

func (s *step) requestRead(token uint64) {
	if s.role != Leader {
		s.reject(token, ErrNotLeader)
		return
	}
	s.reads.queued = append(slices.Clip(s.reads.queued), pendingRead{token: token})
	s.startQueuedReads()
}

// startQueuedReads starts a round for the queued reads, unless maxRounds rounds are in
// progress or the leader has not yet committed an entry of its term.
func (s *step) startQueuedReads() {
	if s.reads.inProgress() >= maxRounds || len(s.reads.queued) == 0 || !s.committedInTerm() {
		return
	}
	s.reads.round++
	confirming := slices.Clip(s.reads.confirming)
	for _, r := range s.reads.queued {
		r.index, r.round = s.commit, s.reads.round
		confirming = append(confirming, r)
	}
	s.reads.confirming = confirming
	s.reads.queued = nil
	s.broadcastHeartbeat()
	s.finishReads()
}

// finishReads completes the reads whose rounds are confirmed, and starts the next round.
func (s *step) finishReads() {
	n := 0
	for _, r := range s.reads.confirming {
		if !s.roundConfirmed(r.round) {
			break
		}
		s.emit(ReadReady{Token: r.token, Index: r.index, Round: r.round})
		n++
	}
	s.reads.confirming = s.reads.confirming[n:]
	if n > 0 {
		s.startQueuedReads()
	}
}

// roundConfirmed reports whether a majority of the voters confirmed the round or a later one.
func (s *step) roundConfirmed(round uint64) bool {
	n := 0
	for _, p := range s.progress {
		if s.Members().IsVoter(p.id) && (p.id == s.cfg.ID || p.round >= round) {
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
