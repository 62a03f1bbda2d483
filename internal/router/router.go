// Package router decides, at one entry, where each request goes: to the owner
// of its key, into a queue, or back to its caller with a refusal. Router is a
// reducer: it changes only in Update, reads no clock and does no input or
// output.
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

// RequestID names one request of a caller at this entry.
type RequestID uint64

// Reason says why a request was refused. None of them ran.
type Reason string

// Reasons of refusals.
const (
	ReasonNoLease    Reason = "no_lease"             // this entry has lost touch with control
	ReasonNoConfig   Reason = "no_text"              // no configuration is accepted yet
	ReasonDeadline   Reason = "deadline"             // no target was free in time
	ReasonQueueFull  Reason = "queue_full"           // too many requests wait
	ReasonBlocked    Reason = "held"                 // such requests crashed targets
	ReasonBudget     Reason = "retry_budget"         // too many retries at present
	ReasonDependency Reason = "dependency"           // a service it depends on has no target
	ReasonNoService  Reason = "unknown_service"      // the configuration in force has no such service
	ReasonStopping   Reason = "stopping"             // this instance is shutting down
	ReasonCapacity   Reason = "instance_at_capacity" // this instance is full
)

// Route is where and under which terms a request may be sent.
type Route struct {
	Target  control.Target
	Start   keyspace.Point // of the range; 0 without a key
	Epoch   uint64         // of the range; 0 without a key
	Version uint64         // of the table
	Expiry  timer.Instant  // no byte may leave from this instant on
}

// Event is what can happen to a router.
type Event interface{ isEvent() }

// Arrived brings a request that wants a target, for the first time or again.
type Arrived struct {
	ID          RequestID
	Service     string
	Point       keyspace.Point
	Fingerprint string
	Deadline    timer.Instant
	Now         timer.Instant
	Retry       bool   // an earlier attempt failed
	Shed        bool   // the target turned the earlier attempt down
	Avoid       string // target that just failed the request
}

// Ended says that an admitted request has left its target.
type Ended struct {
	ID     RequestID
	Now    timer.Instant
	Result Result
}

// Result is how an attempt ended.
type Result uint8

// Results of attempts.
const (
	ResultAnswered  Result = iota // the target answered
	ResultShed                    // the target said that it did not run
	ResultUnreached               // no byte could be sent to the target
	ResultFailed                  // the target answered a server error
	ResultBroken                  // the connection broke while the request ran
	ResultAbandoned               // the caller went away, or time ran out
)

// Withdrawn says that a request no longer wants a target.
type Withdrawn struct {
	ID  RequestID
	Now timer.Instant
}

// Renewed brings a renewal of the entry's lease with the view it is for.
type Renewed struct {
	View  *View // nil where the view has not changed
	Lease lease.Held
	Now   timer.Instant
}

// Ticked says that time has passed.
type Ticked struct{ Now timer.Instant }

// SuspectsChanged says which kinds of requests are suspected of crashing targets, as
// control knew it after this entry's own report.
type SuspectsChanged struct {
	Blocked   map[string]bool
	Suspected map[string]bool
}

// CrashNoticed says what was in flight at a target that crashed, before control has
// agreed on it.
type CrashNoticed struct {
	Owner        keyspace.Owner
	Fingerprints []string
	Now          timer.Instant
}

func (CrashNoticed) isEvent()    {}
func (SuspectsChanged) isEvent() {}
func (Arrived) isEvent()         {}
func (Ended) isEvent()           {}
func (Withdrawn) isEvent()       {}
func (Renewed) isEvent()         {}
func (Ticked) isEvent()          {}

// Effect is what the router wants done.
type Effect interface{ isEffect() }

// Admit lets a request go to its target.
type Admit struct {
	ID    RequestID
	Route Route
}

// Refuse gives a request its final answer: it did not run.
type Refuse struct {
	ID     RequestID
	Reason Reason
	After  time.Duration // when to come back
}

// Cancel ends an attempt whose target is gone.
type Cancel struct{ ID RequestID }

// Acked says that no request runs under a table older than the version.
type Acked struct{ Version uint64 }

func (Admit) isEffect()  {}
func (Refuse) isEffect() {}
func (Cancel) isEffect() {}
func (Acked) isEffect()  {}

// View is what the router routes by.
type View struct {
	Version       uint64
	ConfigVersion uint64
	Config        config.Config
	Targets       map[string]control.Target
	Tables        map[string]keyspace.Table
	Blocked       map[string]bool // fingerprints of refused requests
	Suspected     map[string]bool // fingerprints seen at one crash
}

// attempt is a request at a target.
type attempt struct {
	request Arrived
	route   Route
	stale   uint64 // version that took its range away, or 0
}

// Router is the state of one entry's decisions. Its maps belong to the loop
// that runs it: at request rate, copying them for each event would cost more
// than all decisions.
type Router struct {
	cfg      Config
	view     View
	lease    lease.Held
	loads    map[string]*load // by target
	attempts map[RequestID]*attempt
	waiting  map[string]*queue // by service
	budgets  map[string]limit.Budget
	demands  map[string]*demand // by service
	notices  map[string]notice  // by fingerprint
	acked    uint64
	draws    uint64
}

// Config sets the policy of a router.
type Config struct {
	Limits  LimitPolicy
	NoPause bool // ask a full target again at once; the baseline
	Seed    uint64
}

// New returns a router without a view; it refuses everything until Renewed.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg,
		loads:    make(map[string]*load),
		attempts: make(map[RequestID]*attempt),
		waiting:  make(map[string]*queue),
		budgets:  make(map[string]limit.Budget),
		demands:  make(map[string]*demand),
		notices:  make(map[string]notice),
	}
}

// Update returns the router after the event and the effects to carry out.
func (r *Router) Update(event Event) (*Router, []Effect) {
	switch e := event.(type) {
	case Arrived:
		return r, r.arrive(e)
	case Ended:
		return r, r.end(e)
	case Withdrawn:
		return r, r.withdraw(e)
	case Renewed:
		return r, r.renew(e)
	case Ticked:
		return r, r.expire(e.Now)
	case LoadAsked:
		return r, r.reportLoad()
	case CrashNoticed:
		r.noticeCrash(e)
		return r, nil
	case SuspectsChanged:
		r.changeSuspects(e)
		return r, nil
	default:
		return r, nil
	}
}
