package leader

import (
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// endedTargets lists the targets that have ended by the state of this replica, also while it
// does not lead: a new leader can then tell what ended before its term.
type endedTargets struct {
	mu   sync.Mutex
	list view.EndedTargets
	last look
}

// look is a state and what this replica was when it read the state.
type look struct {
	state *deployment.State
	at    time.Duration // on the boot clock, before the state was read
	term  uint64        // that this replica led before and after that; 0 if it did not lead
}

// add returns the list after another look. The caller holds the mutex.
func (e *endedTargets) add(next look) view.EndedTargets {
	if e.last.state == nil || e.last.state.Version() != next.state.Version() {
		// In its own term nothing is acknowledged that this replica has not applied before.
		notBefore := time.Duration(0)
		if next.term != 0 && next.term == e.last.term {
			notBefore = e.last.at
		}
		e.list = e.list.WithState(e.last.state, *next.state, notBefore, timer.BootTime())
	}
	e.last = next
	return e.list
}

// updateEnded returns the targets that have ended by the current state.
func (l *Leader) updateEnded() view.EndedTargets {
	l.ended.mu.Lock()
	defer l.ended.mu.Unlock()
	next := look{at: timer.BootTime(), term: l.term.Load()}
	state := l.group.State().State
	next.state = &state
	if role := l.group.Role(); role.Role != replica.Leader || role.Term != next.term {
		next.term = 0
	}
	return l.ended.add(next)
}
