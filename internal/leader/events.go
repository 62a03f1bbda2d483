package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/overflow"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Timing holds the leader's durations and intervals.
type Timing struct {
	LeaseDuration     time.Duration // how long a grant is valid at a target
	RenewalInterval   time.Duration // between two grants of the same keys
	InitialDelay      time.Duration // wait after a change of the live targets before the first assignment of keys
	MaxInitialDelay   time.Duration // longest such wait after the first target
	HeartbeatTimeout  time.Duration // time without a heartbeat after which a target is silent
	ElectionGrace     time.Duration // time after an election in which no keys are moved
	ForgetAfter       time.Duration // how long a target that left is remembered
	RebalanceInterval time.Duration // between rounds of rebalancing and updates of the advice
	MaxLease          time.Duration // longest lease that targets accept; 0 to keep LeaseDuration
}

// stretchedRanges is the number of ranges from which on leases that are granted by calls are
// longer, so that the leader makes no more calls a second. It holds as long as ranges are not
// merged, so a later leader never assumes a shorter lease than an earlier one has granted.
const stretchedRanges = 800

// withRanges returns the timing for a number of ranges that are renewed one by one.
func (t Timing) withRanges(n int) Timing {
	if n <= stretchedRanges || t.MaxLease <= t.LeaseDuration {
		return t
	}
	factor := min(float64(n)/stretchedRanges, float64(t.MaxLease)/float64(t.LeaseDuration))
	t.LeaseDuration = time.Duration(factor * float64(t.LeaseDuration))
	t.RenewalInterval = time.Duration(factor * float64(t.RenewalInterval))
	return t
}

// A grant counts as valid for 3% longer than LeaseDuration, which covers a target's
// clock that runs 2% slow, plus deliverySlack for a call that arrives late.
const (
	leaseMarginNumerator, leaseMarginDenominator = 103, 100
	deliverySlack                                = 250 * time.Millisecond
)

// latestExpiry returns the time by which a grant that was sent no later than at has
// certainly expired.
func (t Timing) latestExpiry(at timer.Instant) timer.Instant {
	return leaseExpiry(at, t.LeaseDuration)
}

// leaseExpiry returns the time by which a lease that was granted no later than at has
// certainly expired.
func leaseExpiry(at timer.Instant, lease time.Duration) timer.Instant {
	return at.Add(lease*leaseMarginNumerator/leaseMarginDenominator + deliverySlack)
}

// leasePeriods is the duration of a lease in periods of targets' heartbeats, if leases are
// granted in the answers: two heartbeats may be lost, or one and an election.
const leasePeriods = 3.5

// WithHeartbeat returns the timing for targets that send a heartbeat each period, with
// leases that are granted in the answers and last no longer than maxLease.
func (t Timing) WithHeartbeat(period, maxLease time.Duration) Timing {
	t.LeaseDuration = min(time.Duration(leasePeriods*float64(period)), maxLease)
	return t
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
	Term  uint64
	Index uint64 // last log index of earlier leaders
	State deployment.State
}

// LeadershipLost reports that this instance no longer leads.
type LeadershipLost struct{}

// Ticked carries the time, the committed state and the feature levels that the members of
// the control group announce.
type Ticked struct {
	At      timer.Instant
	State   deployment.State
	Members []group.MemberLevel // nil if they were not read
}

// HeartbeatReceived reports a heartbeat of a target.
type HeartbeatReceived struct {
	At          timer.Instant
	Incarnation deployment.Incarnation
}

// HeartbeatsReceived reports heartbeats of several targets.
type HeartbeatsReceived struct {
	At           timer.Instant
	Incarnations []deployment.Incarnation
}

// KeyHeartbeatReceived reports a heartbeat of a target that is granted keys in the
// answer.
type KeyHeartbeatReceived struct {
	At          timer.Instant
	ID          uint64           // identifies the heartbeat in AnswerKeyHeartbeat
	State       deployment.State // committed state, with what the heartbeat changed
	Incarnation deployment.Incarnation
	Sequence    uint64
	Keys        deployment.KeyReport
}

// Reported carries an entry's measurements.
type Reported struct {
	At     timer.Instant
	Report instance.ReportRequest
}

// GrantEnded reports that a SendGrant has ended, successfully or not.
type GrantEnded struct {
	At            timer.Instant
	Term          uint64 // in which it was decided
	Range         deployment.RangeRef
	LeaseDuration time.Duration // that the call carried
	Sent          bool          // the call may have reached the target
	Err           error
}

// ReleaseEnded reports that a SendRelease has ended, successfully or not.
type ReleaseEnded struct {
	At       timer.Instant
	Term     uint64 // in which it was decided
	Range    deployment.RangeRef
	Handover string
	Err      error
}

// ProposeEnded reports that a Propose has ended, successfully or not.
type ProposeEnded struct {
	Term uint64 // in which it was decided
	Err  error
}

func (LeadershipTaken) isEvent()      {}
func (HeartbeatsReceived) isEvent()   {}
func (KeyHeartbeatReceived) isEvent() {}
func (LeadershipLost) isEvent()       {}
func (Ticked) isEvent()               {}
func (HeartbeatReceived) isEvent()    {}
func (Reported) isEvent()             {}
func (GrantEnded) isEvent()           {}
func (ReleaseEnded) isEvent()         {}
func (ProposeEnded) isEvent()         {}

// Effect is an action that a Model requests.
type Effect interface{ isEffect() }

// SendGrant grants keys to a target, or renews the grant.
type SendGrant struct {
	Term          uint64 // nothing may be sent in another one
	Target        deployment.Target
	Range         deployment.RangeRef
	LeaseDuration time.Duration
	Handover      string
}

// SendRelease asks a target to give keys back.
type SendRelease struct {
	Term   uint64 // nothing may be sent in another one
	Target deployment.Target
	Range  deployment.RangeRef
}

// Propose proposes a command to the control group.
type Propose struct {
	Term    uint64 // nothing may be proposed in another one
	Command deployment.Command
	Reason  string
}

// LogProofs logs why ranges may get the owners that are proposed.
type LogProofs struct {
	Ranges []deployment.Assignment
	Proofs []proof // by range; empty for keys that never had an owner
}

// AnswerKeyHeartbeat answers a KeyHeartbeatReceived.
type AnswerKeyHeartbeat struct {
	ID      uint64
	Target  string
	Leases  *deployment.KeyLeases // nil to renew nothing
	Granted []deployment.RangeRef // ranges that the target is granted for the first time in the term
	LeftOut int                   // ranges that are assigned to the target and not granted
}

// LogLoad logs how the load of a keyed service is distributed over its targets.
type LogLoad struct {
	Service         string
	Targets, Ranges int
	Utilization     float64 // mean over all targets
	// ServiceTimeMillis is the mean over all targets that is assumed, Moves the number of
	// moves since the last line, and BlockedRounds the number of rounds that ended because
	// no move of the busiest target's keys would have helped.
	ServiceTimeMillis    float64
	Moves, BlockedRounds int
	BusiestTargets       []TargetUsage // busiest first
	BusiestBuckets       []BucketRate  // busiest first
}

// BucketRate is the request rate of one bucket of keys.
type BucketRate struct {
	From  deployment.Key `json:"from"`
	Rate  float64        `json:"rate"` // requests a second
	Owner string         `json:"holder"`
}

// TargetUsage is the part of a service's keys and load that falls on one target.
type TargetUsage struct {
	Target            string  `json:"target"`
	Keys              int     `json:"keys"`
	Rate              float64 `json:"rate"`    // requests a second
	ServiceTimeMillis float64 `json:"work_ms"` // time for one request, without waiting for a slot
	RateLimit         float64 `json:"rate_limit,omitempty"`
	Waiting           float64 `json:"waiting"`     // requests in its queue; -1 if not known
	Utilization       float64 `json:"utilization"` // of the target's slots, or of its rate limit if that is less
}

// Advise sets the advice that entries get in response to their reports.
type Advise struct {
	Advice instance.ReportResponse // the same for all entries
	// Parts holds the parts that each entry is advised of, by entry and service.
	Parts map[string]map[string]float64
	// ZoneShares holds the shares of requests that leave their zone, by the zone of entries.
	ZoneShares map[string]instance.ZoneShares
}

// LogZoneShares logs which zones began or stopped to give away requests to a service.
type LogZoneShares struct {
	Service        string
	Began, Stopped []string
	Shares         overflow.Shares
	Zones          []overflow.Zone
}

func (AnswerKeyHeartbeat) isEffect() {}
func (Advise) isEffect()             {}
func (LogLoad) isEffect()            {}
func (LogZoneShares) isEffect()      {}
func (SendGrant) isEffect()          {}
func (SendRelease) isEffect()        {}
func (Propose) isEffect()            {}
func (LogProofs) isEffect()          {}
