package leader

import (
	"errors"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// lateLogInterval is the least time between two log lines about late confirmations.
const lateLogInterval = time.Second

// logIfLate logs a confirmation that took longer than its validity: where the time went, and
// what the loops are busy with. The start is on the boot clock.
func (l *Leader) logIfLate(start time.Duration, steps group.Confirmation, err error) {
	end := timer.BootTime()
	if end-start <= confirmationValidity || errors.Is(err, replica.ErrNotLeader) {
		return
	}
	last := l.lateLoggedAt.Load()
	if end-time.Duration(last) < lateLogInterval || !l.lateLoggedAt.CompareAndSwap(last, int64(end)) {
		return
	}
	load, groupLoad := l.Load(), l.group.Load()
	l.log.Warn("leadership confirmed late", "took_ms", (end - start).Milliseconds(), "sent_after_ms", millisBetween(start, steps.Sent),
		"answered_after_ms", millisBetween(steps.Sent, steps.Answered), "noticed_after_ms", millisBetween(steps.Answered, end),
		"replica", groupLoad, "leader", load, "error", err)
}

// millisBetween returns the time between two steps in milliseconds, or -1 if one was not taken.
func millisBetween(from, to time.Duration) int64 {
	if from == 0 || to == 0 {
		return -1
	}
	return (to - from).Milliseconds()
}
