package fleet

import (
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// reportLog counts an entry's reports by outcome and remembers the last answer. Its methods
// are safe for concurrent use.
type reportLog struct {
	mu       sync.Mutex
	counts   reportCounts
	answer   reportAnswer
	rejected bool          // the configuration was not in force at the last report
	since    time.Duration // on the boot clock, of the first such report
}

// reportCounts counts reports by outcome. A report that is not collected is sent to the
// leader and counted a second time there.
type reportCounts struct {
	Collected    uint64 `json:"collected"`
	NotCollected uint64 `json:"not_collected"`
	Direct       uint64 `json:"direct"` // answered by the leader
	Failed       uint64 `json:"failed"`
}

// reportAnswer describes the last answer to a report.
type reportAnswer struct {
	at, took     time.Duration // on the boot clock; from the report's sending
	confirmation instance.ConfigConfirmation
	items        int // of lists in the advice, which grow with the number of targets
}

// notCollected counts a report that the collecting control instance did not answer, or refused.
func (l *reportLog) notCollected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.NotCollected++
}

// failed counts a report that nobody answered.
func (l *reportLog) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Failed++
}

// answered counts a report that was sent at the time sentAt of the boot clock.
func (l *reportLog) answered(sentAt time.Duration, direct bool, res *instance.ReportResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if direct {
		l.counts.Direct++
	} else {
		l.counts.Collected++
	}
	now := timer.BootTime()
	items := len(res.Overloads) + len(res.OverloadedOwners) + len(res.Failing) + len(res.Leaving) + len(res.Limits) + len(res.Parts)
	l.answer = reportAnswer{at: now, took: now - sentAt, items: items}
	if res.Config != nil {
		l.answer.confirmation = *res.Config
	}
}

// read returns the counts.
func (l *reportLog) read() reportCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// setInForce records whether the configuration is in force. If that has changed, it returns
// true and for how long it was not.
func (l *reportLog) setInForce(inForce bool) (changed bool, rejectedFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed, l.rejected = l.rejected == inForce, !inForce
	now := timer.BootTime()
	rejectedFor = now - l.since
	if changed && !inForce {
		l.since = now
	}
	return changed, rejectedFor
}

// lastAnswer returns the last answer to a report.
func (l *reportLog) lastAnswer() reportAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answer
}

// logConfigInForce logs when the entry begins and ends to reject requests because its
// configuration is not confirmed, and what became of its reports.
func (i *Instance) logConfigInForce() {
	v, inForce := i.follower, i.follower.ConfigInForce()
	changed, rejectedFor := i.reports.setInForce(inForce)
	if !changed {
		return
	}
	if inForce {
		i.log.Info("configuration confirmed again", "rejected_ms", rejectedFor.Milliseconds(), "confirmed_ms_ago", v.ConfigConfirmedAge().Milliseconds(),
			"instance_bytes_in", i.traffic.In(), "instance_bytes_out", i.traffic.Out())
		return
	}
	a, now := i.reports.lastAnswer(), timer.BootTime()
	i.log.Warn("configuration not confirmed in time; rejecting requests", "confirmed_ms_ago", v.ConfigConfirmedAge().Milliseconds(),
		"config_index", v.View().ConfigIndex, "view_age_ms", v.Age().Milliseconds(), "answered_ms_ago", (now - a.at).Milliseconds(), "answer_took_ms", a.took.Milliseconds(),
		"answer_index", a.confirmation.Index, "answer_age_ms", a.confirmation.Age.Milliseconds(), "answer_items", a.items,
		"reports", i.reports.read(), "instance_bytes_in", i.traffic.In(), "instance_bytes_out", i.traffic.Out())
}
