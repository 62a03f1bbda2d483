package leader

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// play runs a model against an agreed state, with a clock of its own.
type play struct {
	t      testing.TB
	model  *Model
	state  deployment.State
	index  uint64
	now    timer.Instant
	advice instance.ReportResponse
}

const testService = "catalog"

// newPlay starts a leader of a deployment with one keyed service.
func newPlay(t testing.TB) *play {
	p := &play{t: t, model: NewModel(DefaultTiming())}
	p.commit(deployment.Command{ConfigChange: &deployment.ConfigChange{
		Version:  1,
		Whole:    true,
		Services: []deployment.Service{{Name: testService, Keyed: true}},
	}})
	p.lead()
	return p
}

func (p *play) lead() {
	p.send(LeadershipTaken{At: p.now, Index: p.index})
}

func (p *play) send(e Event) []Effect {
	_, effects := p.model.Update(e)
	return effects
}

func (p *play) commit(c deployment.Command) {
	p.index++
	p.state, _ = p.state.Apply(p.index, wire.Encode(c))
}

func incarnation(n int) deployment.Incarnation {
	return deployment.Incarnation{ID: fmt.Sprintf("t%d", n), StartMillis: int64(1000 + n)}
}

func (p *play) announce(n int, change func(t *deployment.Target)) {
	t := deployment.Target{
		ID: incarnation(n).ID, StartMillis: incarnation(n).StartMillis, Service: testService, Slots: 3,
		Address: fmt.Sprintf("10.0.0.%d:80", n), Status: deployment.Live, Sequence: 1,
	}
	if change != nil {
		change(&t)
	}
	p.commit(deployment.Command{Announce: &t})
	p.heartbeat(n)
}

func (p *play) heartbeat(n int) { p.send(HeartbeatReceived{At: p.now, Incarnation: incarnation(n)}) }

// tick lets time pass and returns the calls that fall due. Commands are
// committed at once.
func (p *play) tick(d time.Duration) []Effect {
	p.now = p.now.Add(d)
	return p.carryOut(p.send(Ticked{At: p.now, State: p.state}))
}

// carryOut commits the commands among the effects, with what follows from them,
// and returns the calls.
func (p *play) carryOut(effects []Effect) []Effect {
	var calls []Effect
	for _, e := range effects {
		switch c := e.(type) {
		case SendGrant, SendRelease:
			calls = append(calls, e)
		case Advise:
			p.advice = c.Advice
		case Propose:
			p.commit(c.Command)
			p.send(Committed{})
			calls = append(calls, p.carryOut(p.send(Ticked{At: p.now, State: p.state}))...)
		}
	}
	return calls
}

// answer answers the grants and releases among the calls.
func (p *play) answer(calls []Effect) {
	for _, e := range calls {
		switch c := e.(type) {
		case SendGrant:
			p.send(Granted{At: p.now, Range: c.Range, Sent: true})
		case SendRelease:
			p.answer(p.carryOut(p.send(Released{At: p.now, Range: c.Range, Handover: "warm"})))
		}
	}
}

// settle shares out the keys over the targets and confirms all grants.
func (p *play) settle(targets ...int) {
	for range 40 {
		for _, n := range targets {
			p.heartbeat(n)
		}
		p.answer(p.tick(100 * time.Millisecond))
	}
	p.assertOwned()
}

// assertOwned checks that all keys are owned.
func (p *play) assertOwned() {
	p.t.Helper()
	for _, r := range p.ranges() {
		assert.Equal(p.t, r.Phase, deployment.Owned)
	}
}

func (p *play) ranges() []deployment.Range {
	table, ok := p.state.Table(testService)
	assert.Assert(p.t, ok)
	return table.Ranges
}

func (p *play) ownerOf(key deployment.Key) string {
	table, _ := p.state.Table(testService)
	return table.Find(key).Target
}

func releases(calls []Effect) int {
	n := 0
	for _, e := range calls {
		if _, ok := e.(SendRelease); ok {
			n++
		}
	}
	return n
}

func TestFirstShares(t *testing.T) {
	t.Run("wait for targets that start together and are equal", func(t *testing.T) {
		p := newPlay(t)
		p.announce(1, nil)
		p.tick(300 * time.Millisecond)
		p.announce(2, nil)
		p.announce(3, nil)
		p.settle(1, 2, 3)
		assert.Equal(t, len(p.ranges()), 3)
	})
	t.Run("a target that came first holds all until another comes", func(t *testing.T) {
		p := newPlay(t)
		p.announce(1, nil)
		p.settle(1)
		p.announce(2, nil)
		p.settle(1, 2)
		assert.Equal(t, p.ownerOf(0) != p.ownerOf(deployment.MaxKey), true)
	})
}

func TestReleaseWaits(t *testing.T) {
	t.Run("for a renewal that is under way", func(t *testing.T) {
		p := newPlay(t)
		p.announce(1, nil)
		p.announce(2, nil)
		p.settle(1, 2)
		var underWay []Effect
		for len(underWay) == 0 {
			p.heartbeat(1)
			p.heartbeat(2)
			underWay = p.tick(50 * time.Millisecond)
		}
		p.announce(1, func(t *deployment.Target) { t.Status, t.Sequence = deployment.Draining, 2 })
		assert.Equal(t, releases(p.tick(50*time.Millisecond)), 0)
		p.answer(underWay)
		assert.Assert(t, releases(p.tick(50*time.Millisecond)) > 0)
	})
	t.Run("after an election", func(t *testing.T) {
		p := newPlay(t)
		p.announce(1, nil)
		p.announce(2, nil)
		p.settle(1, 2)
		p.announce(1, func(t *deployment.Target) { t.Status, t.Sequence = deployment.Draining, 2 })
		p.lead()
		calls := p.tick(50 * time.Millisecond)
		assert.Equal(t, releases(calls), 0)
		p.answer(calls)
		p.now = p.now.Add(DefaultTiming().Quiet)
		assert.Assert(t, releases(p.tick(50*time.Millisecond)) > 0)
	})
}

func TestLeavingTargetHandsOver(t *testing.T) {
	p := newPlay(t)
	p.announce(1, nil)
	p.announce(2, nil)
	p.settle(1, 2)
	p.announce(1, func(t *deployment.Target) { t.Status, t.Sequence = deployment.Draining, 2 })
	p.settle(1, 2)
	for _, r := range p.ranges() {
		assert.Equal(t, r.Target, incarnation(2).ID)
	}
	assert.Equal(t, p.ranges()[0].Handover, "warm")
}

// errLost stands for a call without an answer.
var errLost = errors.New("no answer")

func TestUnansweredGrantOutlastsRelease(t *testing.T) {
	p := newPlay(t)
	p.announce(1, nil)
	p.announce(2, nil)
	p.settle(1, 2)
	// A renewal gets no answer: it may be applied later.
	for done := false; !done; {
		p.heartbeat(1)
		p.heartbeat(2)
		for _, e := range p.tick(50 * time.Millisecond) {
			g, ok := e.(SendGrant)
			if ok && g.Target.ID == incarnation(1).ID {
				p.send(Granted{At: p.now, Range: g.Range, Sent: true, Err: errLost})
				done = true
				continue
			}
			p.answer([]Effect{e})
		}
	}
	lost := p.now
	p.announce(1, func(t *deployment.Target) { t.Status, t.Sequence = deployment.Draining, 2 })
	for p.ownerOf(0) == incarnation(1).ID || p.ownerOf(deployment.MaxKey) == incarnation(1).ID {
		p.heartbeat(1)
		p.heartbeat(2)
		p.answer(p.tick(50 * time.Millisecond))
	}
	assert.Assert(t, p.now.Sub(lost) > DefaultTiming().LeaseDuration, "given on after %s", p.now.Sub(lost))
}

func TestLostTarget(t *testing.T) {
	t.Run("keeps its keys until its last grant is over", func(t *testing.T) {
		p := newPlay(t)
		p.announce(1, nil)
		p.announce(2, nil)
		p.settle(1, 2)
		lastAnswer := p.now
		for range 200 {
			p.heartbeat(2)
			for _, e := range p.tick(50 * time.Millisecond) {
				g, ok := e.(SendGrant)
				if ok && g.Target.ID == incarnation(1).ID {
					p.now = p.now.Add(grantTimeout)
					lastAnswer = p.now
					p.send(Granted{At: p.now, Range: g.Range, Sent: true, Err: errLost})
					continue
				}
				p.answer([]Effect{e})
			}
			if p.ownerOf(0) == p.ownerOf(deployment.MaxKey) {
				break
			}
		}
		assert.Equal(t, p.ownerOf(0), incarnation(2).ID)
		assert.Equal(t, p.ownerOf(deployment.MaxKey), incarnation(2).ID)
		assert.Assert(t, p.now.Sub(lastAnswer) > DefaultTiming().LeaseDuration)
	})
	t.Run("loses its keys at once to a later life", func(t *testing.T) {
		p := newPlay(t)
		p.announce(1, nil)
		p.announce(2, nil)
		p.settle(1, 2)
		p.announce(1, func(t *deployment.Target) { t.StartMillis += 500 })
		p.tick(50 * time.Millisecond)
		for _, r := range p.ranges() {
			assert.Assert(t, r.StartMillis != incarnation(1).StartMillis)
		}
	})
	t.Run("loses its keys at once to a later life at its address", func(t *testing.T) {
		p := newPlay(t)
		p.announce(1, nil)
		p.announce(2, nil)
		p.settle(1, 2)
		p.announce(3, func(t *deployment.Target) { t.Address = "10.0.0.1:80" })
		p.tick(50 * time.Millisecond)
		for _, r := range p.ranges() {
			assert.Assert(t, r.Target != incarnation(1).ID)
		}
	})
}

// TestFailedGrantWaitsForAHeartbeat plays a cut behind which the target starts
// anew: after the cut its address answers, and the new incarnation is not known yet.
func TestFailedGrantWaitsForAHeartbeat(t *testing.T) {
	p := newPlay(t)
	p.announce(1, nil)
	p.settle(1)
	var failed []Effect
	for len(failed) == 0 {
		p.heartbeat(1)
		failed = p.tick(50 * time.Millisecond)
	}
	p.now = p.now.Add(grantTimeout)
	for _, e := range failed {
		p.send(Granted{At: p.now, Range: e.(SendGrant).Range, Sent: true, Err: errLost})
	}
	for range 40 {
		assert.Equal(t, len(p.tick(50*time.Millisecond)), 0, "granted again without a heartbeat")
	}
	p.heartbeat(1)
	assert.Equal(t, len(p.tick(50*time.Millisecond)), 1)
}

func TestFencedTargetIsGrantedAnew(t *testing.T) {
	p := newPlay(t)
	p.announce(1, nil)
	p.announce(2, nil)
	p.settle(1, 2)
	before := p.ranges()[0]
	ref := deployment.RangeRef{Service: testService, From: before.From, To: before.To, Fence: before.Fence}
	p.send(Granted{At: p.now, Range: ref, Sent: true, Err: ErrFenced})
	p.tick(50 * time.Millisecond)
	after := p.ranges()[0]
	assert.Equal(t, after.Target, before.Target)
	assert.Assert(t, after.Fence > before.Fence)
}

func TestHotKeysMove(t *testing.T) {
	p := newPlay(t)
	for n := 1; n <= 4; n++ {
		p.announce(n, nil)
	}
	p.settle(1, 2, 3, 4)
	for range 60 {
		for n := 1; n <= 4; n++ {
			p.heartbeat(n)
		}
		// 80 requests a second for 256 neighbouring keys of one target.
		var keys []instance.KeyLoad
		for b := range 16 {
			keys = append(keys, instance.KeyLoad{Service: testService, Bucket: deployment.Key(b * deployment.BucketKeys), Count: 1})
		}
		p.send(Reported{At: p.now, Report: instance.ReportRequest{Keys: keys}})
		p.answer(p.tick(200 * time.Millisecond))
	}
	owners := make(map[string]bool)
	for b := range 16 {
		owners[p.ownerOf(deployment.Key(b*deployment.BucketKeys))] = true
	}
	assert.Assert(t, len(owners) >= 3, "hot keys are with %d targets", len(owners))
}

// ask reports requests for one key, at a steady rate, for a while.
func (p *play) ask(key deployment.Key, perSecond int, targets ...int) {
	for range 30 {
		for _, n := range targets {
			p.heartbeat(n)
		}
		loads := []instance.KeyLoad{{Service: testService, Bucket: key, Count: uint32(perSecond / 5)}}
		for n := range deployment.Key(4) {
			// Neighbours with five requests a second each.
			loads = append(loads, instance.KeyLoad{Service: testService, Bucket: key + 100 + 50*n, Count: 1})
		}
		p.send(Reported{At: p.now, Report: instance.ReportRequest{Instance: "entry-1", Keys: loads}})
		p.answer(p.tick(200 * time.Millisecond))
	}
}

func TestKeyThatExceedsAnyTarget(t *testing.T) {
	p := newPlay(t)
	for n := 1; n <= 4; n++ {
		p.announce(n, nil)
	}
	p.settle(1, 2, 3, 4)
	// Three slots and 50 ms a request: a target serves 60 a second.
	p.ask(100, 240, 1, 2, 3, 4)
	table, _ := p.state.Table(testService)
	r := table.Find(100)
	t.Run("neighbours move away", func(t *testing.T) {
		assert.Assert(t, table.Find(300).Target != r.Target)
	})
	t.Run("stays where it is", func(t *testing.T) {
		p.ask(100, 240, 1, 2, 3, 4)
		table, _ := p.state.Table(testService)
		assert.Equal(t, table.Find(100).Fence, r.Fence)
	})
	t.Run("is the only one to be turned away, down to what its holder can do", func(t *testing.T) {
		assert.Equal(t, len(p.advice.Overloads), 1)
		o := p.advice.Overloads[0]
		assert.Equal(t, o.From, deployment.Key(100))
		assert.Equal(t, o.To, deployment.Key(100))
		assert.Assert(t, o.Share > 0.15 && o.Share < 0.4, "share %.2f", o.Share)
	})
	t.Run("entries are counted", func(t *testing.T) { assert.Equal(t, p.advice.Entries, 1) })
}

func TestGrantThatWasNotSentIsNoFailure(t *testing.T) {
	p := newPlay(t)
	p.announce(1, nil)
	p.settle(1)
	var grants []Effect
	for len(grants) == 0 {
		grants = p.tick(100 * time.Millisecond)
	}
	p.send(Granted{At: p.now, Range: grants[0].(SendGrant).Range, Err: replica.ErrNotLeader})
	assert.Equal(t, len(p.tick(100*time.Millisecond)), 1)
}

// TestPlanBeforeCommit looks at the state again before a move is committed, as
// happens where the group's disks are slow.
func TestPlanBeforeCommit(t *testing.T) {
	p := newPlay(t)
	p.announce(1, nil)
	p.announce(2, nil)
	p.settle(1, 2)
	p.announce(3, nil)
	var moves *Propose
	for moves == nil {
		p.now = p.now.Add(100 * time.Millisecond)
		p.heartbeat(3)
		for _, e := range p.send(Ticked{At: p.now, State: p.state}) {
			if c, ok := e.(Propose); ok && len(c.Command.Move) > 0 {
				moves = &c
				continue
			}
			p.answer(p.carryOut([]Effect{e}))
		}
	}
	p.announce(0, nil) // would be as good an owner
	p.answer(p.tick(50 * time.Millisecond))
	p.commit(moves.Command)
	p.send(Committed{})
	p.settle(0, 1, 2, 3)
	assert.Equal(t, p.ownerOf(moves.Command.Move[0].From), incarnation(3).ID)
}
