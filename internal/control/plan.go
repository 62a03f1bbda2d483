package control

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/lease"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Timing sets the leases and waits of ownership.
type Timing struct {
	EntryLease   time.Duration // how long an entry may route without a renewal
	EntryRenewal time.Duration // pause between two renewals of an entry
	TargetLease  time.Duration // how long a target may serve without a heartbeat
	Heartbeat    time.Duration // pause between two heartbeats of a target
	TargetLost   time.Duration // silence after which a target counts as lost
}

// DefaultTiming serves a key again within 2 s of its owner's loss.
func DefaultTiming() Timing {
	return Timing{
		EntryLease:   time.Second,
		EntryRenewal: 100 * time.Millisecond,
		TargetLease:  700 * time.Millisecond,
		Heartbeat:    150 * time.Millisecond,
		TargetLost:   800 * time.Millisecond,
	}
}

// EntryID names one start of one entry.
type EntryID struct {
	Instance    string
	Incarnation string
}

// EntryView is what the leader knows of one entry's start.
type EntryView struct {
	Acked uint64 // no request of it runs under an older table version
	Lease lease.Granted
}

// TargetView is what the leader knows of one target's start.
type TargetView struct {
	LastHeartbeat timer.Instant
	Lease         lease.Granted
	First         timer.Instant // first heartbeat to this leader
	Granted       uint64        // version of the last grant order that it confirmed
	Refused       bool          // its address refused a connection after it was lost
}

// View is what only the leader knows: leases, heartbeats and confirmations.
// It begins empty with each term.
type View struct {
	Now     timer.Instant
	Since   timer.Instant // start of this leader's term
	Entries map[EntryID]EntryView
	Targets map[keyspace.Owner]TargetView
	Loads   Loads
}

// entriesPassed reports whether no entry can send a request under a table
// older than the version. Entries that only a former leader knew are out once
// their lease is over, or once they have renewed it with this leader.
func (v View) entriesPassed(s State, version uint64, t Timing) bool {
	for _, e := range v.Entries {
		if e.Acked < version && !e.Lease.Expired(v.Now) {
			return false
		}
	}
	return v.Now >= v.Since.Add(lease.GranterDuration(t.EntryLease)) || v.knowsEveryEntry(s)
}

func (v View) knowsEveryEntry(s State) bool {
	for _, i := range s.accepted.Instances {
		if i.Entry && !v.knowsEntry(i.Name) {
			return false
		}
	}
	return true
}

func (v View) knowsEntry(instance string) bool {
	for id, e := range v.Entries {
		if id.Instance == instance && e.Acked > 0 {
			return true
		}
	}
	return false
}

// lastHeartbeat returns when the target's last heartbeat was received, counted
// from the start of the leader's term.
func (v View) lastHeartbeat(owner keyspace.Owner) timer.Instant {
	return max(v.Since, v.Targets[owner].LastHeartbeat)
}

// Planner plans for one term of a leader. It remembers the last state in which
// there was nothing to do, so that an unchanged state costs only a look at the
// targets' heartbeats.
type Planner struct {
	quiet uint64        // version of a state without work, or 0
	look  timer.Instant // when to look at the load of such a state again
	moves []allowance
}

// lookPeriod is the pause between two looks at the load of a quiet state.
const lookPeriod = time.Second

// Next returns the command that the leader should propose next, if any, and
// the planner for the time after.
func (p Planner) Next(s State, v View, t Timing) (Planner, Command, bool) {
	if c, ok := planLoss(s, v, t); ok {
		return p, c, true
	}
	if p.quiet == s.version && s.version > 0 && v.Now < p.look {
		return p, Command{}, false
	}
	if c, ok := planRanges(s, v, t); ok {
		return p, c, true
	}
	p, c, wanted := p.planBalance(s, v)
	if !wanted && !s.moving() {
		p.quiet = s.version
		p.look = v.Now.Add(lookPeriod)
	}
	return p, c, c != Command{}
}

// Plan returns the command that a leader should propose next, if any.
func Plan(s State, v View, t Timing) (Command, bool) {
	_, c, ok := Planner{}.Next(s, v, t)
	return c, ok
}

// planRanges looks at all ranges.
func planRanges(s State, v View, t Timing) (Command, bool) {
	planners := []func(State, View, Timing) (Command, bool){planAssign, planActivate, planDrain}
	for _, plan := range planners {
		if c, ok := plan(s, v, t); ok {
			return c, true
		}
	}
	return Command{}, false
}

// moving reports whether a range is on its way from or to an owner: its next
// step may depend on the view alone.
func (s State) moving() bool {
	for _, t := range s.tables {
		for _, r := range t.keys.All() {
			if r.Phase != keyspace.Active {
				return true
			}
		}
	}
	return false
}

// planLoss gives up a target that was silent for too long.
func planLoss(s State, v View, t Timing) (Command, bool) {
	for _, target := range s.targets {
		if target.Status == TargetLost {
			continue
		}
		if v.Now.Sub(v.lastHeartbeat(target.Owner())) > t.TargetLost {
			return Command{MarkLost: &MarkLost{Owner: target.Owner()}}, true
		}
	}
	return Command{}, false
}

// planAssign gives unowned ranges to the targets that weigh the least.
func planAssign(s State, v View, t Timing) (Command, bool) {
	var out Assign
	for _, service := range s.accepted.Services {
		keys, ok := s.Table(service.Name)
		if !ok {
			continue
		}
		w := weigh(s, v.Loads, service.Name, keys)
		settled := v.settled(w)
		for i, r := range keys.All() {
			if r.Phase == keyspace.Unowned && !settled {
				continue
			}
			if !free(s, v, t, service, r) {
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

// A service's first ranges wait until no target has announced itself for
// settleTime, so that those that start together share them without moves, but no
// longer than maxSettle.
const (
	settleTime = 300 * time.Millisecond
	maxSettle  = 2 * time.Second
)

// settled reports whether the targets that may own ranges have been known for
// long enough.
func (v View) settled(w weights) bool {
	var oldest, newest timer.Instant
	for owner := range w.targets {
		first := v.Targets[owner].First
		if oldest == 0 || first < oldest {
			oldest = first
		}
		newest = max(newest, first)
	}
	return v.Now.Sub(newest) >= settleTime || v.Now.Sub(oldest) >= maxSettle
}

func refOf(service string, r keyspace.Range) RangeRef {
	return RangeRef{Service: service, Start: r.Start, Epoch: r.Epoch}
}

// ownedCounts returns the ranges owned by each target that may get more.
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

// free reports whether a range may get a new owner: no entry can send to the
// last owner any more, and the last owner has stopped serving it.
func free(s State, v View, t Timing, service config.Service, r keyspace.Range) bool {
	switch r.Phase {
	case keyspace.Unowned:
		return true
	case keyspace.Revoking:
		return v.entriesPassed(s, r.Epoch, t) && stopped(s, v, t, service, r)
	default:
		return false
	}
}

// stopped reports whether the last owner of a revoked range serves it no more.
func stopped(s State, v View, t Timing, service config.Service, r keyspace.Range) bool {
	target, ok := s.Target(r.Owner.Target)
	if !ok || target.Incarnation != r.Owner.Incarnation {
		return true
	}
	view := v.Targets[r.Owner]
	if view.Granted >= r.Epoch || view.Refused {
		return true
	}
	if target.ChecksFence || service.Takeover == config.TakeoverMove {
		return v.leaseOver(r.Owner, t)
	}
	return false
}

// leaseOver reports whether no leader's lease to the target can be valid.
func (v View) leaseOver(owner keyspace.Owner, t Timing) bool {
	return v.Now >= v.Since.Add(lease.GranterDuration(t.TargetLease)) && v.Targets[owner].Lease.Expired(v.Now)
}

// planActivate opens ranges whose owner has confirmed its grant, those of one
// owner at a time.
func planActivate(s State, v View, _ Timing) (Command, bool) {
	var out Activate
	for _, t := range s.tables {
		for _, r := range t.keys.All() {
			if r.Phase != keyspace.Assigned || r.Epoch > v.Targets[r.Owner].Granted {
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

// drainBatch is how many ranges of one service move at the same time, so that
// the keys of a draining target are not all unavailable at once.
const drainBatch = 8

// planDrain moves ranges away from draining targets.
func planDrain(s State, _ View, _ Timing) (Command, bool) {
	var out Revoke
	for _, t := range s.tables {
		if inMotion(t.keys) > 0 || len(ownedCounts(s, t.service, t.keys)) == 0 {
			continue
		}
		for _, r := range t.keys.All() {
			target, ok := s.Target(r.Owner.Target)
			if !ok || target.Status != TargetDraining || r.Phase != keyspace.Active {
				continue
			}
			out.Ranges = append(out.Ranges, refOf(t.service, r))
			if len(out.Ranges) == drainBatch {
				break
			}
		}
	}
	return Command{Revoke: &out}, len(out.Ranges) > 0
}

func inMotion(keys keyspace.Table) int {
	n := 0
	for _, r := range keys.All() {
		if r.Phase == keyspace.Revoking || r.Phase == keyspace.Assigned {
			n++
		}
	}
	return n
}
