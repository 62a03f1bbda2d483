package instance

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// ConfigChangeRequest is an operator's change for the leader.
type ConfigChangeRequest struct {
	Change deployment.ConfigChange `msgpack:"order"`
}

// ConfigChangeResponse tells what became of it.
type ConfigChangeResponse struct {
	Result deployment.Result `msgpack:"result"`
}

// AnnounceTargetRequest passes on what a target said of itself.
type AnnounceTargetRequest struct {
	Target deployment.Target `msgpack:"target"` // as announced; ID alone for a withdrawal
	Leaves bool              `msgpack:"leaves"` // the target withdraws
}

// AnnounceTargetResponse acknowledges it: what changed is committed.
type AnnounceTargetResponse struct{}

// BarrierRequest asks the leader for an index that covers everything
// acknowledged before the call.
type BarrierRequest struct{}

// BarrierResponse answers it.
type BarrierResponse struct {
	Index uint64 `msgpack:"index"`
}

// ReportRequest tells the leader what an entry measured since its last report.
type ReportRequest struct {
	Instance string        `msgpack:"instance"`
	Span     time.Duration `msgpack:"span"`
	Keys     []KeyLoad     `msgpack:"keys"`
	Targets  []TargetLoad  `msgpack:"targets"`
	// CrashReports names requests that were in flight at targets that crashed.
	CrashReports []deployment.CrashReport `msgpack:"blames"`
}

// KeyLoad counts the requests for one bucket of a service's keys.
type KeyLoad struct {
	Service string         `msgpack:"service"`
	Bucket  deployment.Key `msgpack:"bucket"` // first key of the bucket
	Count   uint32         `msgpack:"count"`
}

// TargetLoad is what an entry saw of one target.
type TargetLoad struct {
	ID      string        `msgpack:"id"`
	Answers uint32        `msgpack:"answers"` // that were successes
	Busy    time.Duration `msgpack:"busy"`    // their work in all, without waiting for a slot
	// Failures counts answers that were failures, did not come, or are overdue.
	Failures uint32 `msgpack:"failures"`
}

// ReportResponse answers a report with what one entry can't see by itself.
type ReportResponse struct {
	Entries   int        `msgpack:"entries"` // that report to the leader
	Overloads []Overload `msgpack:"overloads"`
	Failing   []Failing  `msgpack:"failing"` // worst first
}

// Failing names a target that fails part of its requests, as all entries
// together see it.
type Failing struct {
	Target string  `msgpack:"target"`
	Share  float64 `msgpack:"share"` // of its requests
}

// Overload names keys that are asked for more often than their owner can serve.
type Overload struct {
	Service string         `msgpack:"service"`
	From    deployment.Key `msgpack:"from"`
	To      deployment.Key `msgpack:"to"`
	Share   float64        `msgpack:"share"` // of their requests that the owner can serve
}

// HeartbeatsRequest tells the leader which targets sent heartbeats that changed
// nothing, since the last call.
type HeartbeatsRequest struct {
	Incarnations []deployment.Incarnation `msgpack:"lives"`
}

// WatchRequest asks for an entry's view and all its changes.
type WatchRequest struct {
	Instance string `msgpack:"instance"`
	// Version and DocIndex are those of the view that the entry has; 0 for none.
	Version  uint64 `msgpack:"version"`
	DocIndex uint64 `msgpack:"doc_index"`
}

// ViewUpdate is what changed in an entry's view. The first one of a stream
// brings what changed since the view that the entry has, or all of it.
type ViewUpdate struct {
	Whole    bool                     `msgpack:"whole"`
	Version  uint64                   `msgpack:"version"` // log index that the view is complete to
	DocIndex uint64                   `msgpack:"doc_index"`
	Document *deployment.ConfigChange `msgpack:"document"` // what changed in it; nil for nothing
	Targets  []deployment.Target      `msgpack:"targets"`
	Gone     []string                 `msgpack:"gone"`    // IDs that were forgotten
	Known    []string                 `msgpack:"known"`   // IDs of all targets, where Gone can't be told
	Tables   []deployment.KeyTable    `msgpack:"tables"`  // with the ranges that changed
	Control  []string                 `msgpack:"control"` // addresses of control instances
	// Suspects holds all kinds of requests that are suspected; SuspectsChanged
	// tells whether it is set.
	Suspects        []deployment.Suspect `msgpack:"suspects"`
	SuspectsChanged bool                 `msgpack:"suspects_changed"`
	// Current reports that the sender is in touch with the leader.
	Current bool `msgpack:"current"`
}
