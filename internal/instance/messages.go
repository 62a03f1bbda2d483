// Package instance carries the protocol between the system's own instances:
// gRPC with MessagePack bodies, over plain TCP or TLS, to IP addresses.
package instance

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// SyncRequest is an entry's renewal of its lease.
type SyncRequest struct {
	Instance      string                `msgpack:"instance"`
	Incarnation   string                `msgpack:"incarnation"`
	Version       uint64                `msgpack:"version"`         // of the view it holds
	ConfigVersion uint64                `msgpack:"text_version"`    // of the configuration it has
	Acked         uint64                `msgpack:"acked"`           // no request runs under an older version
	Loads         []control.ServiceLoad `msgpack:"loads,omitempty"` // since the last report
	AckOnly       bool                  `msgpack:"ack_only"`        // brings Acked at once and asks for nothing
}

// SyncResponse renews an entry's lease, counted from when it sent the request.
type SyncResponse struct {
	Lease time.Duration `msgpack:"lease"`
	View  *View         `msgpack:"view"` // nil where the entry's is the latest
}

// View is what an entry routes by, as far as it changed after the version Since.
type View struct {
	Since         uint64                 `msgpack:"since"` // 0 for a whole view
	Version       uint64                 `msgpack:"version"`
	ConfigVersion uint64                 `msgpack:"text_version"`
	Source        []byte                 `msgpack:"source"` // of the accepted configuration, where it changed
	Targets       []control.Target       `msgpack:"targets"`
	Tables        []control.ServiceTable `msgpack:"tables"`
	Suspects      []control.Suspect      `msgpack:"suspects"`
	Control       []string               `msgpack:"control"` // addresses of control instances
}

// AnnounceRequest is a target's heartbeat, passed on by the instance it spoke to.
type AnnounceRequest struct {
	Target control.Target `msgpack:"target"`
	Fence  uint64         `msgpack:"fence"` // of the last grants that the target accepted
}

// AnnounceResponse renews a target's lease, counted from when it sent the
// heartbeat.
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

// Grant is one range that a target owns, both ends included. Epoch goes with
// every request for a key in it.
type Grant struct {
	First keyspace.Point `msgpack:"first" json:"first"`
	Last  keyspace.Point `msgpack:"last" json:"last"`
	Epoch uint64         `msgpack:"epoch" json:"epoch"`
}

// ProposeRequest puts a configuration to the vote.
type ProposeRequest struct{ Propose control.Propose }

// VoteRequest brings a member's vote.
type VoteRequest struct{ Vote control.Vote }

// ChangeResponse tells what became of a proposal or vote.
type ChangeResponse struct{ Result control.Result }

// CrashReportRequest reports what was in flight at a target that crashed.
type CrashReportRequest struct {
	CrashReport control.CrashReport `msgpack:"Blame"`
}

// CrashNoticeRequest tells another entry at once what was in flight at a target that
// crashed, before control has agreed on it.
type CrashNoticeRequest struct {
	Owner        keyspace.Owner `msgpack:"owner"`
	Fingerprints []string       `msgpack:"fingerprints"`
}

// CrashReportResponse lists the kinds of requests that are suspected now.
type CrashReportResponse struct {
	Suspects []control.Suspect `msgpack:"suspects"`
}

// Empty is an answer without content.
type Empty struct{}

// StatusRequest asks the leader for the agreed state.
type StatusRequest struct{}

// StatusResponse is the agreed state, read through a barrier.
type StatusResponse struct {
	State  []byte                    `msgpack:"state"` // encoded control.State
	Groups map[string]replica.Status `msgpack:"groups"`
	Seen   []EntrySeen               `msgpack:"seen"`
	// Balances is measured by this leader since it took office.
	Balances []control.Balance `msgpack:"balances"`
}

// EntrySeen is what the leader knows of an entry.
type EntrySeen struct {
	Instance    string `msgpack:"instance" json:"instance"`
	Incarnation string `msgpack:"incarnation" json:"incarnation"`
	Acked       uint64 `msgpack:"acked" json:"acked"`
	LeaseOver   bool   `msgpack:"lease_over" json:"lease_over"`
}

// BookingRequest is one command for a booking log.
type BookingRequest struct {
	Group   string          `msgpack:"group"`
	Command booking.Command `msgpack:"command"`
}

// BookingResponse is the command's result.
type BookingResponse struct{ Result booking.Result }

// ProbeRequest asks an instance for its replica of a group.
type ProbeRequest struct{ Group string }

// ProbeResponse describes a replica.
type ProbeResponse struct {
	Self   replica.Member `msgpack:"self"`
	Formed bool           `msgpack:"formed"`
}

// FormRequest gives a replica without state its group's first membership.
type FormRequest struct {
	Group   string          `msgpack:"group"`
	Members replica.Members `msgpack:"members"`
}

// JoinRequest asks a group's leader to take in a new replica.
type JoinRequest struct {
	Group  string         `msgpack:"group"`
	Member replica.Member `msgpack:"member"`
}
