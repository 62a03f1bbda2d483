// Package leader implements the duties of the control group's leader in a routed
// deployment: it detects silent targets, grants keys and renews the grants, places
// keys without an owner, and rebalances keys by measured load. Model is a reducer
// that makes the decisions; Leader runs it.
package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Timing holds the leader's durations and intervals.
type Timing struct {
	LeaseDuration     time.Duration // how long a grant is valid at a target
	RenewalInterval   time.Duration // between two grants of the same keys
	InitialDelay      time.Duration // wait after a new target before the first assignment of keys
	MaxInitialDelay   time.Duration // longest such wait after the first target
	HeartbeatTimeout  time.Duration // time without a heartbeat after which a target is silent
	ElectionGrace     time.Duration // time after an election in which no keys are moved
	ForgetAfter       time.Duration // how long a target that left is remembered
	RebalanceInterval time.Duration // between rounds of rebalancing and updates of the advice
}

// These bound how much longer than LeaseDuration a target may serve keys: its clock
// may run 2% slow, and a call may take a moment to arrive.
const (
	driftNumerator, driftDenominator = 103, 100
	deliverySlack                    = 250 * time.Millisecond
)

// latestExpiry returns the time by which a grant that was sent no later than at has
// certainly expired.
func (t Timing) latestExpiry(at timer.Instant) timer.Instant {
	return at.Add(t.LeaseDuration*driftNumerator/driftDenominator + deliverySlack)
}

// DefaultTiming suits targets that send a heartbeat about once a second.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:     4 * time.Second,
		RenewalInterval:   1500 * time.Millisecond,
		InitialDelay:      1200 * time.Millisecond,
		MaxInitialDelay:   4 * time.Second,
		HeartbeatTimeout:  2500 * time.Millisecond,
		ElectionGrace:     1500 * time.Millisecond,
		ForgetAfter:       30 * time.Second,
		RebalanceInterval: 250 * time.Millisecond,
	}
}

// Event is an input of a Model.
type Event interface{ isEvent() }

// LeadershipTaken reports that this instance became the leader.
type LeadershipTaken struct {
	At    timer.Instant
	Index uint64 // last log index of earlier leaders
}

// LeadershipLost reports that this instance no longer leads.
type LeadershipLost struct{}

// Ticked carries the time and the committed state.
type Ticked struct {
	At    timer.Instant
	State deployment.State
}

// HeartbeatReceived reports a heartbeat of a target.
type HeartbeatReceived struct {
	At          timer.Instant
	Incarnation deployment.Incarnation
}

// Reported carries an entry's measurements.
type Reported struct {
	At     timer.Instant
	Report instance.ReportRequest
}

// Granted reports the result of a SendGrant.
type Granted struct {
	At    timer.Instant
	Range deployment.RangeRef
	Sent  bool // the call may have reached the target
	Err   error
}

// Released reports the result of a SendRelease.
type Released struct {
	At       timer.Instant
	Range    deployment.RangeRef
	Handover string
	Err      error
}

// Committed reports that a Propose effect has ended, successfully or not.
type Committed struct{ Err error }

func (LeadershipTaken) isEvent()   {}
func (LeadershipLost) isEvent()    {}
func (Ticked) isEvent()            {}
func (HeartbeatReceived) isEvent() {}
func (Reported) isEvent()          {}
func (Granted) isEvent()           {}
func (Released) isEvent()          {}
func (Committed) isEvent()         {}

// Effect is an action that a Model requests.
type Effect interface{ isEffect() }

// SendGrant grants keys to a target, or renews the grant.
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

// Propose proposes a command to the control group.
type Propose struct {
	Command deployment.Command
	Reason  string
}

// LogShares logs how the load of a keyed service is distributed over its targets.
type LogShares struct {
	Service         string
	Targets, Ranges int
	Utilization     float64       // mean over all targets
	Shares          []TargetShare // of the busiest targets, busiest first
	Hot             []HotKeys     // busiest first
}

// HotKeys is the request rate of one bucket of keys.
type HotKeys struct {
	From  deployment.Key `json:"from"`
	Rate  float64        `json:"rate"` // requests a second
	Owner string         `json:"holder"`
}

// TargetShare is the part of a service's load that falls on one target.
type TargetShare struct {
	Target            string  `json:"target"`
	Keys              int     `json:"keys"`
	Rate              float64 `json:"rate"`        // requests a second
	ServiceTimeMillis float64 `json:"work_ms"`     // time for one request, without waiting for a slot
	Utilization       float64 `json:"utilization"` // of the target's slots
}

// Advise sets the advice that entries get in response to their reports.
type Advise struct{ Advice instance.ReportResponse }

func (Advise) isEffect()      {}
func (LogShares) isEffect()   {}
func (SendGrant) isEffect()   {}
func (SendRelease) isEffect() {}
func (Propose) isEffect()     {}
