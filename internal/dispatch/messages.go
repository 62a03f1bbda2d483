// Package dispatch decides which of many entries' requests gets the next free slot of a
// group of targets. One entry, the dispatcher of the group, runs a Pool, which is a reducer:
// it neither reads a clock nor sends anything.
package dispatch

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// RequestID identifies a request for a slot. It is unique for each entry.
type RequestID struct {
	Entry  string
	Number uint64
}

// Event is an input of a Pool.
type Event interface{ isEvent() }

// TargetsChanged sets the targets of the pool. Their service's limits apply to each of them.
type TargetsChanged struct {
	At      timer.Instant
	Targets []TargetInfo
}

// TargetInfo is a target with what bounds the requests that it may get.
type TargetInfo struct {
	Target deployment.Target
	// ColdLeft is for how long the target stays cold; 0 for a warm one.
	ColdLeft time.Duration
	// ColdRate is how many requests a second the target bears while it is cold; 0 if it
	// bears as many as a warm one.
	ColdRate float64
	// FailureShare is the share of its requests that all entries together see failing.
	FailureShare float64
}

// Requested asks for a slot.
type Requested struct {
	At       timer.Instant
	ID       RequestID
	Priority int           // 0 is the highest
	Age      time.Duration // since the entry received the request
	// Objective and Timeout are those of its route, counted from when it was received.
	Objective, Timeout time.Duration
	Left               time.Duration // until the caller's deadline
	BodyBytes          int
	// BodyTime is how long the body takes on the entry's own link. The target does not work
	// on the request meanwhile.
	BodyTime time.Duration
	// ConnectTime is how long the entry takes to open a connection, in the mean.
	ConnectTime time.Duration
	Excluded    []string // IDs of targets to which it may not go
	Connected   []string // IDs of targets to which the entry has an open connection
	// Returning reports that its caller was told when to return, and kept to that.
	Returning bool
}

// Cancelled withdraws a request that still waits for a slot.
type Cancelled struct {
	At timer.Instant
	ID RequestID
}

// Outcome is how a granted request ended.
type Outcome uint8

// Outcomes of granted requests.
const (
	Succeeded  Outcome = iota
	Failed             // a failed, missing or invalid answer
	NotRun             // the target answered that it did not run the request
	NotSent            // nothing was sent, for example without a connection
	CallerLeft         // says nothing about the target
)

// Ended frees the slot of a granted request.
type Ended struct {
	At      timer.Instant
	ID      RequestID
	Target  string
	Outcome Outcome
	Took    time.Duration // from the sending until the answer
	// Running, Waiting and Slowdown are as reported by the target; LoadKnown is false if
	// it did not report them.
	Running, Waiting int
	Slowdown         float64 // 1 is usual
	LoadKnown        bool
}

// EntryLost reports that the stream of an entry has ended. Its waiting requests are dropped;
// granted ones may still run until their time has passed.
type EntryLost struct {
	At    timer.Instant
	Entry string
}

// Ticked advances the time.
type Ticked struct{ At timer.Instant }

func (TargetsChanged) isEvent() {}
func (Requested) isEvent()      {}
func (Cancelled) isEvent()      {}
func (Ended) isEvent()          {}
func (EntryLost) isEvent()      {}
func (Ticked) isEvent()         {}

// Effect is a decision of a Pool.
type Effect interface{ isEffect() }

// Granted gives a request a slot of a target.
type Granted struct {
	ID     RequestID
	Target string
	Reason Reason
}

// Rejected tells that a request gets no slot. It has not run.
type Rejected struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration // when its caller may return
}

func (Granted) isEffect()  {}
func (Rejected) isEffect() {}

// Reason is why a request was granted or rejected.
type Reason string

// Reasons of grants and rejections.
const (
	FreeSlot    Reason = "free_slot"    // granted on arrival
	Waited      Reason = "waited"       // granted after a wait
	NoTarget    Reason = "no_target"    // the pool has no target to which it may go
	TooLate     Reason = "too_late"     // it would end too late
	LessUrgent  Reason = "less_urgent"  // more urgent requests take the room
	ColdTargets Reason = "cold_targets" // only cold targets are left, and they have their share
	BodyMemory  Reason = "body_memory"  // the targets hold as many bytes of bodies as they may
)

// Status tells entries how much room a pool has.
type Status struct {
	Free    int           // slots
	Waiting int           // requests
	Wait    time.Duration // expected time until a request that comes now gets a slot
}
