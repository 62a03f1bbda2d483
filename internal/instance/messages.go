// Package instance implements the protocol between the system's own instances:
// gRPC with MessagePack bodies over plain TCP or TLS. Instances are addressed by IP
// address and port.
package instance

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// SyncRequest asks the control leader to renew an entry's lease and to update the
// entry's view.
type SyncRequest struct {
	Instance      string                `msgpack:"instance"`
	Incarnation   string                `msgpack:"incarnation"`
	Version       uint64                `msgpack:"version"`         // of the entry's view; 0 for none
	ConfigVersion uint64                `msgpack:"text_version"`    // of the entry's configuration; 0 for none
	Acked         uint64                `msgpack:"acked"`           // no request of the entry runs under an older version
	Loads         []control.ServiceLoad `msgpack:"loads,omitempty"` // since the last report
	AckOnly       bool                  `msgpack:"ack_only"`        // reports Acked without renewing the lease
}

// SyncResponse renews an entry's lease. The lease counts from when the entry sent
// the request.
type SyncResponse struct {
	Lease time.Duration `msgpack:"lease"`
	View  *View         `msgpack:"view"` // nil if the entry has the latest version
}

// View holds the parts of an entry's view that changed after the version Since.
type View struct {
	Since         uint64                 `msgpack:"since"` // 0 for a whole view
	Version       uint64                 `msgpack:"version"`
	ConfigVersion uint64                 `msgpack:"text_version"`
	Source        []byte                 `msgpack:"source"` // of the accepted configuration, if it changed
	Targets       []control.Target       `msgpack:"targets"`
	Tables        []control.ServiceTable `msgpack:"tables"`
	Suspects      []control.Suspect      `msgpack:"suspects"`
	Control       []string               `msgpack:"control"` // addresses of control instances
}

// AnnounceRequest is a target's heartbeat, forwarded by the entry that received it.
type AnnounceRequest struct {
	Target control.Target `msgpack:"target"`
	Fence  uint64         `msgpack:"fence"` // of the last GrantSet that the target accepted
}

// AnnounceResponse renews a target's lease. The lease counts from when the target
// sent the heartbeat.
type AnnounceResponse struct {
	Accepted  bool          `msgpack:"accepted"`
	Reason    string        `msgpack:"reason"`
	Lease     time.Duration `msgpack:"lease"`
	Heartbeat time.Duration `msgpack:"heartbeat"`
	Grants    *GrantSet     `msgpack:"order"`
}

// GrantSet lists all ranges that a target owns. The fence never decreases.
type GrantSet struct {
	Fence       uint64  `msgpack:"fence" json:"fence"`
	Incarnation string  `msgpack:"incarnation" json:"incarnation"`
	Ranges      []Grant `msgpack:"ranges" json:"ranges"`
}

// Grant is one range that a target owns, both ends included. Each request for a key
// in the range carries its epoch.
type Grant struct {
	First keyspace.Point `msgpack:"first" json:"first"`
	Last  keyspace.Point `msgpack:"last" json:"last"`
	Epoch uint64         `msgpack:"epoch" json:"epoch"`
}

// ProposeRequest proposes a configuration for the members to vote on.
type ProposeRequest struct{ Propose control.Propose }

// VoteRequest holds a member's vote on a proposal.
type VoteRequest struct{ Vote control.Vote }

// ChangeResponse holds the result of a proposal or vote.
type ChangeResponse struct{ Result control.Result }

// CrashReportRequest reports the requests that were in flight at a target when it
// crashed.
type CrashReportRequest struct {
	CrashReport control.CrashReport `msgpack:"Blame"`
}

// CrashNoticeRequest notifies another entry of the requests that were in flight at a
// target when it crashed. It is sent at once, before the crash report is committed.
type CrashNoticeRequest struct {
	Owner        keyspace.Owner `msgpack:"owner"`
	Fingerprints []string       `msgpack:"fingerprints"`
}

// CrashReportResponse lists all suspects after the report.
type CrashReportResponse struct {
	Suspects []control.Suspect `msgpack:"suspects"`
}

// Empty is a response without content.
type Empty struct{}

// StatusRequest asks the leader for the replicated state.
type StatusRequest struct{}

// StatusResponse holds the replicated state, read after a barrier, and the leader's
// own records.
type StatusResponse struct {
	State   []byte                    `msgpack:"state"` // encoded control.State
	Groups  map[string]replica.Status `msgpack:"groups"`
	Entries []EntryStatus             `msgpack:"seen"`
	// Balances is measured since the start of this leader's term.
	Balances []control.Balance `msgpack:"balances"`
}

// EntryStatus is the leader's record of an entry.
type EntryStatus struct {
	Instance     string `msgpack:"instance" json:"instance"`
	Incarnation  string `msgpack:"incarnation" json:"incarnation"`
	Acked        uint64 `msgpack:"acked" json:"acked"` // as in SyncRequest
	LeaseExpired bool   `msgpack:"lease_over" json:"lease_over"`
}

// BookingRequest holds a command for a booking log.
type BookingRequest struct {
	Group   string          `msgpack:"group"`
	Command booking.Command `msgpack:"command"`
}

// BookingResponse holds the command's result.
type BookingResponse struct{ Result booking.Result }

// ProbeRequest asks an instance about its replica of a group.
type ProbeRequest struct {
	Group string
	Level uint64 `msgpack:"level,omitempty"` // feature level that the sender supports
}

// ProbeResponse describes the replica.
type ProbeResponse struct {
	Self   replica.Member `msgpack:"self"`
	Formed bool           `msgpack:"formed"`          // the replica has a membership
	Level  uint64         `msgpack:"level,omitempty"` // feature level that the instance supports
}

// FormRequest sets the group's first membership on a replica without state.
type FormRequest struct {
	Group   string          `msgpack:"group"`
	Members replica.Members `msgpack:"members"`
}

// JoinRequest asks a group's leader to add a replica to the members.
type JoinRequest struct {
	Group  string         `msgpack:"group"`
	Member replica.Member `msgpack:"member"`
	Level  uint64         `msgpack:"level,omitempty"` // feature level that the replica supports
}
