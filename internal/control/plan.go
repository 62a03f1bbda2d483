package control

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Timing holds the durations of leases, intervals and timeouts.
type Timing struct {
	EntryLeaseDuration  time.Duration // how long an entry may route requests after a renewal
	EntryRenewInterval  time.Duration // time between two renewals of an entry
	TargetLeaseDuration time.Duration // how long a target may serve its keys after a heartbeat
	HeartbeatInterval   time.Duration // time between two heartbeats of a target
	HeartbeatTimeout    time.Duration // time without a heartbeat after which a target is lost
}

// DefaultTiming returns a timing with which the keys of a lost target are served
// again within 2 s.
func DefaultTiming() Timing {
	return Timing{
		EntryLeaseDuration:  time.Second,
		EntryRenewInterval:  100 * time.Millisecond,
		TargetLeaseDuration: 700 * time.Millisecond,
		HeartbeatInterval:   150 * time.Millisecond,
		HeartbeatTimeout:    800 * time.Millisecond,
	}
}

// EntryID identifies one start of an entry's process.
type EntryID struct {
	Instance    string
	Incarnation string
}

// EntrySession is what the leader knows of one start of an entry's process.
type EntrySession struct {
	Acked uint64 // no request of the entry runs under an older state version
	Lease lease.Granted
}

// TargetSession is what the leader knows of one incarnation of a target.
type TargetSession struct {
	LastHeartbeat    timer.Instant
	Lease            lease.Granted
	FirstHeartbeat   timer.Instant // first heartbeat received by this leader
	ConfirmedVersion uint64        // state version of the last grants that it confirmed
	ConnRefused      bool          // its address refused a connection after the target was lost
}

// LeaderState is the volatile state that only the leader keeps: leases, heartbeats,
// acknowledgements and loads. It starts empty in each term.
type LeaderState struct {
	Now       timer.Instant
	TermStart timer.Instant // start of this leader's term
	Entries   map[EntryID]EntrySession
	Targets   map[keyspace.Owner]TargetSession
	Loads     Loads
}

// entriesCaughtUp reports whether no entry can send a request under a table older
// than the version. An entry known only to a former leader can send none once its
// lease has expired, or once all configured entries have synced with this leader.
func (ls LeaderState) entriesCaughtUp(s State, version uint64, t Timing) bool {
	for _, e := range ls.Entries {
		if e.Acked < version && !e.Lease.Expired(ls.Now) {
			return false
		}
	}
	return ls.Now >= ls.TermStart.Add(lease.GranterDuration(t.EntryLeaseDuration)) || ls.allEntriesAcked(s)
}

func (ls LeaderState) allEntriesAcked(s State) bool {
	for _, i := range s.config.Instances {
		if i.Entry && !ls.entryAcked(i.Name) {
			return false
		}
	}
	return true
}

func (ls LeaderState) entryAcked(instance string) bool {
	for id, e := range ls.Entries {
		if id.Instance == instance && e.Acked > 0 {
			return true
		}
	}
	return false
}

// lastHeartbeat returns when the target's last heartbeat was received, but not
// earlier than the start of the leader's term.
func (ls LeaderState) lastHeartbeat(target keyspace.Owner) timer.Instant {
	return max(ls.TermStart, ls.Targets[target].LastHeartbeat)
}

// Planner plans the commands of one leader's term. It remembers the version of the
// last state for which no command was planned, so that an unchanged state costs only a
// check of the targets' heartbeats.
type Planner struct {
	noCommandVersion uint64        // version of the last state for which no command was planned, or 0
	nextLoadCheck    timer.Instant // when to check the load of such a state again
	budgets          []moveBudget
}

// loadCheckPeriod is the time between two load checks of a state for which no command
// was planned.
const loadCheckPeriod = time.Second

// Next returns the command that the leader should propose next, if any, and the
// planner to use afterwards.
func (p Planner) Next(s State, ls LeaderState, t Timing) (Planner, Command, bool) {
	if c, ok := planMarkLost(s, ls, t); ok {
		return p, c, true
	}
	if p.noCommandVersion == s.version && s.version > 0 && ls.Now < p.nextLoadCheck {
		return p, Command{}, false
	}
	if c, ok := planRanges(s, ls, t); ok {
		return p, c, true
	}
	p, c, unbalanced := p.planBalance(s, ls)
	if !unbalanced && !s.hasInactiveRange() {
		p.noCommandVersion = s.version
		p.nextLoadCheck = ls.Now.Add(loadCheckPeriod)
	}
	return p, c, c != Command{}
}

// Plan returns the command that a new Planner would propose, if any.
func Plan(s State, ls LeaderState, t Timing) (Command, bool) {
	_, c, ok := Planner{}.Next(s, ls, t)
	return c, ok
}

// planRanges checks all ranges for assignments, activations and drains.
func planRanges(s State, ls LeaderState, t Timing) (Command, bool) {
	planners := []func(State, LeaderState, Timing) (Command, bool){planAssign, planActivate, planDrain}
	for _, plan := range planners {
		if c, ok := plan(s, ls, t); ok {
			return c, true
		}
	}
	return Command{}, false
}

// hasInactiveRange reports whether a range is not active. The next step of such a
// range may depend on the leader state alone, so the planner must not skip it.
func (s State) hasInactiveRange() bool {
	for _, t := range s.tables {
		for _, r := range t.keys.All() {
			if r.Phase != keyspace.Active {
				return true
			}
		}
	}
	return false
}

// planMarkLost marks a target as lost if no heartbeat of it was received for
// HeartbeatTimeout.
func planMarkLost(s State, ls LeaderState, t Timing) (Command, bool) {
	for _, target := range s.targets {
		if target.Status == TargetLost {
			continue
		}
		if ls.Now.Sub(ls.lastHeartbeat(target.Owner())) > t.HeartbeatTimeout {
			return Command{MarkLost: &MarkLost{Incarnation: target.Owner()}}, true
		}
	}
	return Command{}, false
}

// planAssign assigns each assignable range to the lightest target.
func planAssign(s State, ls LeaderState, t Timing) (Command, bool) {
	var out Assign
	for _, service := range s.config.Services {
		keys, ok := s.Table(service.Name)
		if !ok {
			continue
		}
		w := computeWeights(s, ls.Loads, service.Name, keys)
		delayOver := ls.initialDelayOver(w)
		for i, r := range keys.All() {
			if r.Phase == keyspace.Unowned && !delayOver {
				continue
			}
			if !assignable(s, ls, t, service, r) {
				continue
			}
			owner, ok := w.lightest()
			if !ok {
				break
			}
			w.add(owner, w.ranges[i])
			out.Ranges = append(out.Ranges, refOf(service.Name, r))
			out.Owners = append(out.Owners, owner)
		}
	}
	return Command{Assign: &out}, len(out.Ranges) > 0
}

// Unowned ranges are assigned once no new target has announced itself for
// initialDelay, so that targets that start together share the ranges without moves,
// but at the latest maxInitialDelay after the first target.
const (
	initialDelay    = 300 * time.Millisecond
	maxInitialDelay = 2 * time.Second
)

// initialDelayOver reports whether the targets that may own ranges have been known
// for initialDelay, or the first of them for maxInitialDelay.
func (ls LeaderState) initialDelayOver(w weights) bool {
	var oldest, newest timer.Instant
	for owner := range w.targets {
		first := ls.Targets[owner].FirstHeartbeat
		if oldest == 0 || first < oldest {
			oldest = first
		}
		newest = max(newest, first)
	}
	return ls.Now.Sub(newest) >= initialDelay || ls.Now.Sub(oldest) >= maxInitialDelay
}

func refOf(service string, r keyspace.Range) RangeRef {
	return RangeRef{Service: service, Start: r.Start, Epoch: r.Epoch}
}

// ownedCounts returns the number of ranges that each live target of the service owns,
// without those that are being revoked.
func ownedCounts(s State, service string, keys keyspace.Table) map[keyspace.Owner]int {
	counts := make(map[keyspace.Owner]int)
	for _, target := range s.targets {
		if target.Service == service && target.Status == TargetLive {
			counts[target.Owner()] = 0
		}
	}
	for _, r := range keys.All() {
		if _, ok := counts[r.Owner]; ok && r.Phase != keyspace.Revoking && r.Phase != keyspace.Unowned {
			counts[r.Owner]++
		}
	}
	return counts
}

// assignable reports whether a range may get a new owner: no entry can still send
// requests for it to the last owner, and the last owner has stopped serving it.
func assignable(s State, ls LeaderState, t Timing, service config.Service, r keyspace.Range) bool {
	switch r.Phase {
	case keyspace.Unowned:
		return true
	case keyspace.Revoking:
		return ls.entriesCaughtUp(s, r.Epoch, t) && ownerStopped(s, ls, t, service, r)
	default:
		return false
	}
}

// ownerStopped reports whether the last owner of a revoked range has stopped serving
// it.
func ownerStopped(s State, ls LeaderState, t Timing, service config.Service, r keyspace.Range) bool {
	target, ok := s.Target(r.Owner.Target)
	if !ok || target.Incarnation != r.Owner.Incarnation {
		return true
	}
	session := ls.Targets[r.Owner]
	if session.ConfirmedVersion >= r.Epoch || session.ConnRefused {
		return true
	}
	if target.ChecksFence || service.Takeover == config.TakeoverMove {
		return ls.targetLeaseExpired(r.Owner, t)
	}
	return false
}

// targetLeaseExpired reports whether all leases of the target have expired, also
// those granted by former leaders.
func (ls LeaderState) targetLeaseExpired(owner keyspace.Owner, t Timing) bool {
	return ls.Now >= ls.TermStart.Add(lease.GranterDuration(t.TargetLeaseDuration)) && ls.Targets[owner].Lease.Expired(ls.Now)
}

// planActivate activates the ranges whose owner has confirmed its grants, for one
// owner at a time.
func planActivate(s State, ls LeaderState, _ Timing) (Command, bool) {
	var out Activate
	for _, t := range s.tables {
		for _, r := range t.keys.All() {
			if r.Phase != keyspace.Assigned || r.Epoch > ls.Targets[r.Owner].ConfirmedVersion {
				continue
			}
			if len(out.Ranges) == 0 {
				out.Owner = r.Owner
			}
			if r.Owner == out.Owner {
				out.Ranges = append(out.Ranges, refOf(t.service, r))
			}
		}
	}
	return Command{Activate: &out}, len(out.Ranges) > 0
}

// maxDrainMoves limits the ranges that move away from draining targets at the same
// time, so that not all keys of such a target are unavailable at once. The count
// covers all services of a command: once the limit is reached, later services are not
// limited.
const maxDrainMoves = 8

// planDrain moves ranges away from draining targets.
func planDrain(s State, _ LeaderState, _ Timing) (Command, bool) {
	var out Revoke
	for _, t := range s.tables {
		if countMoving(t.keys) > 0 || len(ownedCounts(s, t.service, t.keys)) == 0 {
			continue
		}
		for _, r := range t.keys.All() {
			target, ok := s.Target(r.Owner.Target)
			if !ok || target.Status != TargetDraining || r.Phase != keyspace.Active {
				continue
			}
			out.Ranges = append(out.Ranges, refOf(t.service, r))
			if len(out.Ranges) == maxDrainMoves {
				break
			}
		}
	}
	return Command{Revoke: &out}, len(out.Ranges) > 0
}

// countMoving returns the number of ranges that are revoking or assigned.
func countMoving(keys keyspace.Table) int {
	n := 0
	for _, r := range keys.All() {
		if r.Phase == keyspace.Revoking || r.Phase == keyspace.Assigned {
			n++
		}
	}
	return n
}
