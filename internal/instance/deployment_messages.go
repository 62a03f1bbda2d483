package instance

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// ConfigChangeRequest asks the leader to commit an operator's change of the
// configuration.
type ConfigChangeRequest struct {
	Change deployment.ConfigChange `msgpack:"order"`
}

// ConfigChangeResponse holds the outcome of the change.
type ConfigChangeResponse struct {
	Result deployment.Result `msgpack:"result"`
}

// EvacuateRequest asks the leader to commit an operator's call to evacuate an availability
// zone or to withdraw that.
type EvacuateRequest struct {
	Evacuate deployment.Evacuate `msgpack:"evacuate"`
}

// EvacuateResponse holds the outcome of the call.
type EvacuateResponse struct {
	Result deployment.Result `msgpack:"result"`
}

// AnnounceTargetRequest forwards a target's announcement or withdrawal to the leader.
type AnnounceTargetRequest struct {
	// Target is the target as announced. For a withdrawal only ID and StartMillis
	// are set; a StartMillis of 0 means the current incarnation.
	Target   deployment.Target `msgpack:"target"`
	Withdraw bool              `msgpack:"leaves"` // the target withdraws
}

// AnnounceTargetResponse confirms that any change in the announcement is committed.
type AnnounceTargetResponse struct{}

// KeyHeartbeatRequest forwards to the leader a heartbeat of a target that is granted its
// keys in the response.
type KeyHeartbeatRequest struct {
	Target deployment.Target    `msgpack:"target"`
	Keys   deployment.KeyReport `msgpack:"keys"`
}

// KeyHeartbeatResponse holds the keys that the target is to hold. Leases is nil if the
// leader renews nothing.
type KeyHeartbeatResponse struct {
	Leases *deployment.KeyLeases `msgpack:"leases"`
}

// BarrierRequest asks the leader for a log index that covers everything
// acknowledged before the call.
type BarrierRequest struct {
	// WithConfig asks for the configuration too. The caller has no current state.
	WithConfig bool `msgpack:"with_config,omitempty"`
}

// BarrierResponse holds the index.
type BarrierResponse struct {
	Index uint64 `msgpack:"index"`
	// Config is the configuration in force, if one is and it was asked for.
	Config *deployment.Config `msgpack:"config,omitempty"`
}

// ReportRequest reports to the leader what an entry measured since its last report.
type ReportRequest struct {
	Instance string        `msgpack:"instance"`
	Zone     string        `msgpack:"zone"` // availability zone of the entry
	Interval time.Duration `msgpack:"span"` // since the last report
	Keys     []KeyLoad     `msgpack:"keys"`
	Targets  []TargetLoad  `msgpack:"targets"`
	// CrashReports names the kinds of requests that were in flight at targets that
	// crashed.
	CrashReports []deployment.CrashReport `msgpack:"blames"`
	// Collect asks a control instance that is not the leader to pass the report on with
	// those of other entries.
	Collect bool `msgpack:"collect,omitempty"`
	// RelayAddress is where other entries can pass requests on to this one; empty while
	// they can't.
	RelayAddress string `msgpack:"relay_address,omitempty"`
	// DispatchAddress is where other entries ask this one for slots of targets; empty
	// while it is no dispatcher.
	DispatchAddress string `msgpack:"dispatch_address,omitempty"`
	// DispatchersVersion is the version of the list of dispatchers that the entry has, and
	// NoDispatchers if it has none. It is 0 if the entry needs no list.
	DispatchersVersion uint64 `msgpack:"dispatchers_version,omitempty"`
	// Level is the feature level that the entry supports; 0 if it announces none.
	Level uint64 `msgpack:"level,omitempty"`
	// Demand holds the demand for services without keys, while dispatchers decide.
	Demand []ServiceDemand `msgpack:"demand,omitempty"`
	// TargetsKnown is the log index up to which the entry knows which targets have ended; 0
	// from a build that does not use it.
	TargetsKnown uint64 `msgpack:"targets_known,omitempty"`
}

// ServiceDemand counts what callers of an entry asked of a service without keys.
type ServiceDemand struct {
	Service  string `msgpack:"service"`
	Requests uint32 `msgpack:"requests"`       // admitted, also if they were rejected later
	Sent     uint32 `msgpack:"sent,omitempty"` // of these, sent to a target
	// Bytes is the size of the requests that were sent and of their responses.
	Bytes uint64 `msgpack:"bytes,omitempty"`
	// Slowdown sums up over the requests that were sent how much longer than usual their
	// targets took, as a share of the usual time. Service times don't contain it.
	Slowdown float32 `msgpack:"slowdown,omitempty"`
}

// ZoneShares holds, by service and other availability zone, the share of the requests of one
// availability zone that goes there.
type ZoneShares map[string]map[string]float32

// ReportBatchRequest passes reports of several entries on to the leader.
type ReportBatchRequest struct {
	Reports []ReportRequest `msgpack:"reports"`
	// DispatchersVersion is that of the list that the sender has, as in ReportRequest.
	DispatchersVersion uint64 `msgpack:"dispatchers_version,omitempty"`
}

// ReportBatchResponse is the leader's advice to the entries of a batch.
type ReportBatchResponse struct {
	Advice ReportResponse `msgpack:"advice"` // without Parts
	// Parts holds the parts that each entry is advised of, by entry and service.
	Parts map[string]map[string]float64 `msgpack:"parts,omitempty"`
	// ZoneShares holds the shares by the availability zone of entries. A zone is left out if
	// it has no shares, or if no report of the batch is from it.
	ZoneShares map[string]ZoneShares `msgpack:"zone_shares,omitempty"`
}

// KeyLoad counts the requests for one bucket of a service's keys.
type KeyLoad struct {
	Service string         `msgpack:"service"`
	Bucket  deployment.Key `msgpack:"bucket"` // first key of the bucket
	Count   uint32         `msgpack:"count"`
}

// TargetLoad holds an entry's measurements of one target.
type TargetLoad struct {
	ID        string `msgpack:"id"`
	Successes uint32 `msgpack:"answers"`
	// ServiceTime is the sum over the successes, without waiting for a slot. It is 0 if
	// the entry could not measure it.
	ServiceTime time.Duration `msgpack:"busy"`
	// Failures counts failed, missing and overdue answers.
	Failures uint32 `msgpack:"failures"`
	// RateLimit is the rate limit that the target's last answer named, in requests a
	// second, or 0 if the limit has ended. It is nil if no answer told.
	RateLimit *float64 `msgpack:"rate_limit,omitempty"`
	// Waiting is the number of requests that waited at the target when it gave its last
	// answer. It is nil if no answer told.
	Waiting *uint32 `msgpack:"waiting,omitempty"`
	// StartMillis, Leaving and Rest tell what the target said of itself: that it is
	// leaving, and for how long it wants no requests. StartMillis is 0 if it said
	// neither.
	StartMillis int64         `msgpack:"born,omitempty"`
	Leaving     bool          `msgpack:"leaving,omitempty"`
	Rest        time.Duration `msgpack:"rest,omitempty"`
}

// ReportResponse is the leader's advice, computed from the reports of all entries.
type ReportResponse struct {
	Entries   int        `msgpack:"entries"` // number of entries that report; 0 if not known yet
	Overloads []Overload `msgpack:"overloads"`
	// OverloadedOwners lists the targets of whose keys only a share is admitted. One item
	// for each target and not for each of its ranges keeps the advice small: it is sent to
	// every entry four times a second, also over the narrowest links.
	OverloadedOwners []OverloadedOwner `msgpack:"overloaded_owners,omitempty"`
	Failing          []FailingTarget   `msgpack:"failing"` // worst first
	// Leaving lists the targets that began to drain or left not long ago. They are in the
	// view as well, which may come late over a full link.
	Leaving []deployment.Incarnation `msgpack:"leaving,omitempty"`
	Limits  []TargetLimit            `msgpack:"limits"`
	// Peers holds some of the entries to which others can pass requests on. All of them
	// are advised in turn.
	Peers []Peer `msgpack:"peers,omitempty"`
	// LimitsKnown reports that Limits and Parts are complete. A new leader first has to
	// hear from all entries.
	LimitsKnown bool `msgpack:"limits_known"`
	// Parts holds the reporting entry's part of the requests to each service, from 0 to
	// 1. It is set only while there are limits.
	Parts map[string]float64 `msgpack:"parts,omitempty"`
	// AvailabilityZone is that of the control instance which answers the report.
	AvailabilityZone string `msgpack:"zone,omitempty"`
	// NoAdvice reports that there is no advice yet. All
	// other fields but Refused, AvailabilityZone and Config are zero then.
	NoAdvice bool `msgpack:"no_advice,omitempty"`
	// Refused reports that the report was not taken: the entry turns to another control
	// instance. NoAdvice is set as well.
	Refused bool `msgpack:"refused,omitempty"`
	// DispatchersVersion is the version of the leader's list of dispatchers; 0 while it has
	// none. Dispatchers holds the list only if the version in the report is another one.
	DispatchersVersion uint64           `msgpack:"dispatchers_version,omitempty"`
	Dispatchers        []DispatcherZone `msgpack:"dispatchers,omitempty"`
	// ZoneSharesKnown reports that the leader decides which requests leave their availability
	// zone. ZoneShares holds the shares of the entry's own zone; a request without one stays.
	ZoneSharesKnown bool       `msgpack:"zones_known,omitempty"`
	ZoneShares      ZoneShares `msgpack:"zone_shares,omitempty"`
	// Config is the newest configuration; nil from a build that confirms none.
	Config *ConfigConfirmation `msgpack:"config,omitempty"`
}

// ConfirmConfigRequest asks for the newest configuration.
type ConfirmConfigRequest struct {
	// Relayed also accepts what an instance that is not the leader was told by the leader. A
	// build that does not know the field answers only as the leader.
	Relayed bool `msgpack:"relayed,omitempty"`
	// TargetsKnown is To of the newest TargetConfirmation that the sender has; 0 for none.
	TargetsKnown uint64 `msgpack:"targets_known,omitempty"`
}

// ConfigConfirmation names the newest configuration that was acknowledged to an operator at
// a moment before the message was sent.
type ConfigConfirmation struct {
	Index uint64        `msgpack:"index"` // log index that accepted it; 0 if the sender does not know now
	Age   time.Duration `msgpack:"age"`   // from that moment until the message was sent
	// Targets tells which targets had ended at that moment; nil from a build that does not
	// confirm them.
	Targets *TargetConfirmation `msgpack:"targets,omitempty"`
}

// TargetConfirmation lists the targets that stopped being usable at log indexes in (From, To].
// No target has stopped being usable at a later index before the moment of the confirmation.
type TargetConfirmation struct {
	From  uint64        `msgpack:"from,omitempty"`
	To    uint64        `msgpack:"to"` // 0 if the sender does not know now
	Ended []EndedTarget `msgpack:"ended,omitempty"`
}

// EndedTarget is a target that began to drain, left, or was replaced by a later incarnation.
type EndedTarget struct {
	ID          string `msgpack:"id"`
	StartMillis int64  `msgpack:"born"` // of the last incarnation that ended
	Index       uint64 `msgpack:"index"`
	// Age is a time that passed between the end and the sending of the message, rounded up;
	// negative if it is not known.
	Age time.Duration `msgpack:"age,omitempty"`
}

// Peer is an entry to which others can pass requests on.
type Peer struct {
	Address          string `msgpack:"address"`
	AvailabilityZone string `msgpack:"zone"`
}

// TargetLimit is the rate limit that a target names in its answers. All entries share
// it.
type TargetLimit struct {
	Target    string  `msgpack:"target"`
	PerSecond float64 `msgpack:"per_second"`
	// Admit is the share of the requests for the target's keys that keeps all entries
	// together within the limit. It is 0 for a service without keys.
	Admit float64 `msgpack:"admit"`
}

// FailingTarget is a target that fails part of its requests, measured over the
// reports of all entries.
type FailingTarget struct {
	Target       string  `msgpack:"target"`
	FailureShare float64 `msgpack:"share"` // failed part of its requests, from 0 to 1
}

// OverloadedOwner is a target that gets more requests for its keys than it can serve.
type OverloadedOwner struct {
	Target      string  `msgpack:"target"`
	StartMillis int64   `msgpack:"born"`
	Share       float64 `msgpack:"share"` // part of the requests that it can serve
}

// Overload is a run of keys, both ends included, that get more requests than their
// owner can serve.
type Overload struct {
	Service string         `msgpack:"service"`
	From    deployment.Key `msgpack:"from"`
	To      deployment.Key `msgpack:"to"`
	Share   float64        `msgpack:"share"` // part of the requests that the owner can serve
}

// HeartbeatsRequest reports to the leader the targets that sent heartbeats without
// changes since the last call.
type HeartbeatsRequest struct {
	Incarnations []deployment.Incarnation `msgpack:"lives"`
}

// FeaturesRequest asks the leader for the feature level.
type FeaturesRequest struct{}

// FeaturesResponse holds the feature levels of a deployment.
type FeaturesResponse struct {
	Agreed    uint64 `msgpack:"agreed" json:"agreed"`
	Supported uint64 `msgpack:"supported" json:"supported"` // by the build of the instance that was asked
	Leader    string `msgpack:"leader" json:"leader"`       // address of the leader; empty if none is known
	// HeldBackBy names the instances because of which the leader does not raise the level,
	// with the reason of each.
	HeldBackBy []string `msgpack:"held_back_by" json:"held_back_by"`
}

// WatchRequest asks for an entry's view and all later changes of it.
type WatchRequest struct {
	Instance string `msgpack:"instance"`
	// Version and ConfigIndex are those of the entry's current view; 0 if it has none.
	Version     uint64 `msgpack:"version"`
	ConfigIndex uint64 `msgpack:"doc_index"`
	// Parts reports that the entry can assemble an update from parts.
	Parts bool `msgpack:"parts"`
	// Level is the feature level that the entry supports; 0 if it announces none.
	Level uint64 `msgpack:"level,omitempty"`
}

// ViewUpdate holds changes of an entry's view. The first update of a stream holds
// the changes since the view that the entry has, or the whole view.
type ViewUpdate struct {
	Whole        bool                     `msgpack:"whole"`     // the update holds the whole view
	Version      uint64                   `msgpack:"version"`   // log index up to which the view is complete
	ConfigIndex  uint64                   `msgpack:"doc_index"` // log index that accepted the configuration
	ConfigChange *deployment.ConfigChange `msgpack:"document"`  // change of the configuration; nil if none
	// ConfigBase is the log index that accepted the configuration to which ConfigChange
	// applies; 0 for a whole one.
	ConfigBase uint64              `msgpack:"config_base"`
	Targets    []deployment.Target `msgpack:"targets"` // new and changed targets
	Removed    []string            `msgpack:"gone"`    // IDs of removed targets
	// AllTargets holds the sorted IDs of all targets. It is set instead of Removed if
	// the sender no longer has the state that the entry's view was made from.
	AllTargets []string              `msgpack:"known"`
	Tables     []deployment.KeyTable `msgpack:"tables"`  // with the changed ranges
	Control    []string              `msgpack:"control"` // addresses of control instances
	// Suspects holds all suspects if SuspectsChanged is set, else nothing.
	Suspects        []deployment.Suspect `msgpack:"suspects"`
	SuspectsChanged bool                 `msgpack:"suspects_changed"`
	// Evacuated holds all evacuations in force if EvacuatedChanged is set, else nothing.
	Evacuated        []deployment.Evacuation `msgpack:"evacuated,omitempty"`
	EvacuatedChanged bool                    `msgpack:"evacuated_changed,omitempty"`
	// Current reports that the sender leads or receives its leader's heartbeats.
	Current bool `msgpack:"current"`
	// Part is one part of an update that was compressed and split. Beside it only
	// Version, ConfigIndex, Control and Current are set.
	Part []byte `msgpack:"part,omitempty"`
	// MoreParts reports that further parts of the same update follow.
	MoreParts bool `msgpack:"more_parts,omitempty"`
}

// IsPart reports whether the message is a part of a split update.
func (u *ViewUpdate) IsPart() bool { return len(u.Part) > 0 }
