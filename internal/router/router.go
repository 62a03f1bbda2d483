// Package router decides, at one entry of a deployment whose members vote on its
// configuration (see internal/control), whether each request is admitted to a
// target, queued or rejected. Entries of routed deployments use internal/forward
// instead. A request with a key may go only to the key's owner. Router is a
// reducer: it changes only in Update, reads no clock and does no input or output.
package router

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// AttemptID identifies one attempt of a request at this entry. A retry has a new one.
type AttemptID uint64

// Reason says why an attempt was rejected. A rejected attempt was not sent to a target,
// but an earlier attempt of the same request may have run.
type Reason string

// Reasons for rejecting an attempt.
const (
	ReasonNoLease    Reason = "no_lease"        // this entry's lease has expired
	ReasonNoConfig   Reason = "no_text"         // no configuration has been accepted yet
	ReasonDeadline   Reason = "deadline"        // no target could answer before the deadline
	ReasonQueueFull  Reason = "queue_full"      // the queue is full, or too long for an answer before the deadline
	ReasonBlocked    Reason = "held"            // requests of this kind crashed targets
	ReasonBudget     Reason = "retry_budget"    // the service's retry budget is exhausted
	ReasonDependency Reason = "dependency"      // a service it depends on has no live target
	ReasonNoService  Reason = "unknown_service" // the configuration in force has no such service
	// ReasonConfigChanged: the request's path was matched by an earlier configuration,
	// and is not one of the service by the one in force.
	ReasonConfigChanged Reason = "config_changed"
	ReasonStopping      Reason = "stopping"             // this instance is shutting down
	ReasonCapacity      Reason = "instance_at_capacity" // this instance is at its request limit
)

// Destination is the target of an admitted attempt and the conditions for sending it.
type Destination struct {
	Target  control.Target
	Start   keyspace.Point // of the key's range; 0 without a key
	Epoch   uint64         // of the key's range; 0 without a key
	Version uint64         // of the view from which the target was chosen
	Expiry  timer.Instant  // no byte may be sent at or after this instant
}

// Event is an input of the router's Update.
type Event interface{ isEvent() }

// Arrived asks for a target for a request, for its first attempt or another one.
type Arrived struct {
	ID      AttemptID
	Service string
	Path    string // by which the service was matched
	// ConfigVersion is the version of the configuration that matched the path.
	ConfigVersion uint64
	Point         keyspace.Point
	Fingerprint   string
	Deadline      timer.Instant
	Now           timer.Instant
	Retry         bool   // an earlier attempt failed
	NotRun        bool   // it provably did not run; such a retry costs no retry budget
	FailedTarget  string // name of the target of the attempt that just failed
}

// Ended reports that the attempt of an admitted request has ended.
type Ended struct {
	ID     AttemptID
	Now    timer.Instant
	Result AttemptResult
}

// AttemptResult is the result of an attempt.
type AttemptResult uint8

// Results of attempts.
const (
	ResultAnswered  AttemptResult = iota // the target answered
	ResultShed                           // the target shed the request before it ran
	ResultUnreached                      // no byte could be sent to the target
	ResultFailed                         // the target answered with a server error
	ResultBroken                         // the connection broke while the request ran
	ResultAbandoned                      // the caller disconnected or the deadline passed
)

// Abandoned reports that a request no longer needs a target. It ends the request's
// attempt, if it was admitted.
type Abandoned struct {
	ID  AttemptID
	Now timer.Instant
}

// Renewed carries a renewed lease and, if there is a newer view, that view.
type Renewed struct {
	View  *View // nil if there is no newer view
	Lease lease.Held
	Now   timer.Instant
}

// Ticked is sent periodically to expire queued requests.
type Ticked struct{ Now timer.Instant }

// SuspectsAdded adds fingerprints of requests that are suspected of crashing targets,
// and of those that are blocked. They come with control's response to a crash report
// of this entry and apply until the next view replaces them.
type SuspectsAdded struct {
	Blocked   map[string]bool
	Suspected map[string]bool
}

// CrashNoticed carries the fingerprints of requests that were in flight at a target
// that crashed. Entries send it before control has committed the crash report.
type CrashNoticed struct {
	Owner        keyspace.Owner
	Fingerprints []string
	Now          timer.Instant
}

func (CrashNoticed) isEvent()  {}
func (SuspectsAdded) isEvent() {}
func (Arrived) isEvent()       {}
func (Ended) isEvent()         {}
func (Abandoned) isEvent()     {}
func (Renewed) isEvent()       {}
func (Ticked) isEvent()        {}

// Effect is an action that Update asks its caller to carry out.
type Effect interface{ isEffect() }

// Admit permits sending a request to its destination.
type Admit struct {
	ID          AttemptID
	Destination Destination
}

// Reject ends an attempt that was not sent to a target.
type Reject struct {
	ID         AttemptID
	Reason     Reason
	RetryAfter time.Duration // when the caller may try again
}

// Cancel ends an attempt whose target was lost, removed or restarted.
type Cancel struct{ ID AttemptID }

// Ack reports that no attempt depends on ownership that was revoked up to Version.
type Ack struct{ Version uint64 }

func (Admit) isEffect()  {}
func (Reject) isEffect() {}
func (Cancel) isEffect() {}
func (Ack) isEffect()    {}

// View is the committed state, as this entry last received it, that the router bases
// its decisions on. Routed deployments have their own type in internal/view.
type View struct {
	Version       uint64
	ConfigVersion uint64
	Config        config.Config
	Targets       map[string]control.Target
	Tables        map[string]keyspace.Table
	Blocked       map[string]bool // fingerprints of requests that are rejected
	Suspected     map[string]bool // fingerprints of requests that may have crashed a target
}

// attempt is an admitted request that has not ended.
type attempt struct {
	request     Arrived
	destination Destination
	revokedBy   uint64 // view version that revoked its range or lost its target, or 0
}

// Router holds the routing state of one entry. Update changes its maps in place,
// since copying them for each event would cost more than the decisions themselves;
// only one goroutine may use a Router.
type Router struct {
	cfg            Config
	view           View
	lease          lease.Held
	targetStates   map[string]*targetState   // this entry's measurements, by target name
	attempts       map[AttemptID]*attempt    // that have not ended
	queues         map[string]*queue         // waiting requests, by service
	retryBudgets   map[string]limit.Budget   // by service; empty after a new configuration
	requestCounts  map[string]*requestCounts // since the last report, by service
	noticedCrashes map[string]noticedCrashes // from other entries' notices, by fingerprint
	acked          uint64                    // view version last acknowledged to the leader
	jitterSeq      uint64                    // number of random values used so far; seeds the next one
}

// Config sets the policy of a router.
type Config struct {
	Limits        LimitPolicy
	NoShedBackoff bool // send at once after a shed, as the benchmark's baseline
	Seed          uint64
}

// New returns a router without a view. It rejects every request until Renewed.
func New(cfg Config) *Router {
	return &Router{
		cfg:            cfg,
		targetStates:   make(map[string]*targetState),
		attempts:       make(map[AttemptID]*attempt),
		queues:         make(map[string]*queue),
		retryBudgets:   make(map[string]limit.Budget),
		requestCounts:  make(map[string]*requestCounts),
		noticedCrashes: make(map[string]noticedCrashes),
	}
}

// Update applies the event and returns the router and the effects to carry out.
func (r *Router) Update(event Event) (*Router, []Effect) {
	switch e := event.(type) {
	case Arrived:
		return r, r.arrive(e)
	case Ended:
		return r, r.end(e)
	case Abandoned:
		return r, r.abandon(e)
	case Renewed:
		return r, r.renew(e)
	case Ticked:
		return r, r.updateQueues(e.Now)
	case LoadRequested:
		return r, r.reportLoad()
	case CrashNoticed:
		r.addCrashNotice(e)
		return r, nil
	case SuspectsAdded:
		r.addSuspects(e)
		return r, nil
	default:
		return r, nil
	}
}
