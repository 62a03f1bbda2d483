// Package leader holds the duties of the control group's leader in a routed
// deployment: it notices silent targets, grants keys and renews the grants,
// takes keys back and moves them by measured load. Model decides, as a reducer;
// Leader runs it.
package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Timing sets the pace of the leader's duties.
type Timing struct {
	LeaseDuration time.Duration // for which a grant lasts at the target
	Renewal       time.Duration // between two grants of the same keys
	Settle        time.Duration // without a new target, before a service's keys are first shared out
	SettleMost    time.Duration // longest wait for further targets
	Silence       time.Duration // without a heartbeat, after which a target counts as silent
	Quiet         time.Duration // after an election, in which nothing is moved
	Forget        time.Duration // for which a target that left is remembered
	Balance       time.Duration // between two looks at the load
}

// Drift bounds how much longer than LeaseDuration a target may serve keys: its
// clock may run 2% slow, and a call may take a moment to arrive.
const (
	driftNumerator, driftDenominator = 103, 100
	arrivalSlack                     = 250 * time.Millisecond
)

// outlasts returns when a grant that left at the instant at the latest is over
// for sure.
func (t Timing) outlasts(at timer.Instant) timer.Instant {
	return at.Add(t.LeaseDuration*driftNumerator/driftDenominator + arrivalSlack)
}

// DefaultTiming suits targets that send a heartbeat about once a second.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration: 4 * time.Second,
		Renewal:       1500 * time.Millisecond,
		Settle:        1200 * time.Millisecond,
		SettleMost:    4 * time.Second,
		Silence:       2500 * time.Millisecond,
		Quiet:         1500 * time.Millisecond,
		Forget:        30 * time.Second,
		Balance:       250 * time.Millisecond,
	}
}

// Event is what can happen to a Model.
type Event interface{ isEvent() }

// LeadershipTaken starts the duties of a new term.
type LeadershipTaken struct {
	At    timer.Instant
	Index uint64 // last log index of earlier leaders
}

// LeadershipLost ends them.
type LeadershipLost struct{}

// Ticked brings the time and the agreed state.
type Ticked struct {
	At    timer.Instant
	State deployment.State
}

// HeartbeatReceived says that a target's heartbeat was received.
type HeartbeatReceived struct {
	At          timer.Instant
	Incarnation deployment.Incarnation
}

// Reported brings an entry's measurements.
type Reported struct {
	At     timer.Instant
	Report instance.ReportRequest
}

// Granted says what became of a SendGrant.
type Granted struct {
	At    timer.Instant
	Range deployment.RangeRef
	Sent  bool // the call may have reached the target
	Err   error
}

// Released says what became of a SendRelease.
type Released struct {
	At       timer.Instant
	Range    deployment.RangeRef
	Handover string
	Err      error
}

// Committed says that a Propose effect has ended, with or without success.
type Committed struct{ Err error }

func (LeadershipTaken) isEvent()   {}
func (LeadershipLost) isEvent()    {}
func (Ticked) isEvent()            {}
func (HeartbeatReceived) isEvent() {}
func (Reported) isEvent()          {}
func (Granted) isEvent()           {}
func (Released) isEvent()          {}
func (Committed) isEvent()         {}

// Effect is what a Model asks for.
type Effect interface{ isEffect() }

// SendGrant gives keys to a target, or renews the grant.
type SendGrant struct {
	Target        deployment.Target
	Range         deployment.RangeRef
	LeaseDuration time.Duration
	Handover      string
}

// SendRelease asks a target to give keys back.
type SendRelease struct {
	Target deployment.Target
	Range  deployment.RangeRef
}

// Propose asks for a command to be committed.
type Propose struct {
	Command deployment.Command
	Reason  string
}

// LogShares reports how a keyed service's load falls on its targets.
type LogShares struct {
	Service         string
	Targets, Ranges int
	Utilization     float64       // mean of all targets
	Shares          []TargetShare // of the busiest targets, busiest first
	Hot             []HotKeys     // busiest first
}

// HotKeys is the rate of a few neighbouring keys.
type HotKeys struct {
	From  deployment.Key `json:"from"`
	Rate  float64        `json:"rate"` // requests a second
	Owner string         `json:"holder"`
}

// TargetShare is one target's part of a service's load.
type TargetShare struct {
	Target      string  `json:"target"`
	Keys        int     `json:"keys"`
	Rate        float64 `json:"rate"`        // requests a second
	WorkMillis  float64 `json:"work_ms"`     // time for one request that does not wait
	Utilization float64 `json:"utilization"` // of the target's slots
}

// Advise brings what entries are told in answer to their reports.
type Advise struct{ Advice instance.ReportResponse }

func (Advise) isEffect()      {}
func (LogShares) isEffect()   {}
func (SendGrant) isEffect()   {}
func (SendRelease) isEffect() {}
func (Propose) isEffect()     {}
