package replica

import "slices"

// reads are the read barriers that wait for a round of heartbeats. A round
// that began after a read was asked for proves that the leader still led then.
type reads struct {
	round   uint64        // last round that was sent
	running []pendingRead // wait for the present round
	queued  []pendingRead // wait for the next round
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

// startQueuedReads begins a round, unless one is under way or the leader has
// not yet committed an entry of its term.
func (s *step) startQueuedReads() {
	if len(s.reads.running) > 0 || len(s.reads.queued) == 0 || !s.committedInTerm() {
		return
	}
	s.reads.round++
	s.reads.running = s.reads.queued
	for i := range s.reads.running {
		s.reads.running[i].index = s.commit
	}
	s.reads.queued = nil
	s.broadcastHeartbeat()
	s.finishReads()
}

func (s *step) finishReads() {
	if len(s.reads.running) == 0 || !s.roundConfirmed() {
		return
	}
	for _, r := range s.reads.running {
		s.emit(ReadReady{Token: r.token, Index: r.index})
	}
	s.reads.running = nil
	s.startQueuedReads()
}

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
	for _, r := range slices.Concat(s.reads.running, s.reads.queued) {
		s.reject(r.token, ErrNotLeader)
	}
	s.reads.running = nil
	s.reads.queued = nil
}
