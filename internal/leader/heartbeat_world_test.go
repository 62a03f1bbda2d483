package leader

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	worldStep       = 10 * time.Millisecond
	heartbeatPeriod = 870 * time.Millisecond
	// answerTimeout is the time for which a target waits for an answer.
	answerTimeout = time.Second
	// clockSlowdown is by how much longer a lease is on a target's slow clock.
	clockSlowdown = 1.02
)

// heartbeatWorld plays a leader that grants keys by heartbeat, its successors and targets
// over a network that delays, loses and repeats messages. It checks that no two targets
// hold the same key, and that a key is never taken under a lower fence than before.
type heartbeatWorld struct {
	t         testing.TB
	rand      *rand.Rand
	now       timer.Instant
	index     uint64
	state     deployment.State
	model     *Model
	previous  *Model // the leader before, which may still answer until previousUntil
	until     timer.Instant
	targets   []*worldTarget
	messages  []worldMessage
	proposals []worldProposal
	calls     map[uint64]worldMessage // the answers to heartbeats without their leases, by ID
	nextID    uint64
	fences    map[int]uint64 // highest fence taken, by 1,024 keys
	harm      float64        // share of messages that are delayed, lost or repeated
	zones     []string       // of the targets, in turn; none for a world without zones
}

// zoneOf returns a target's availability zone.
func (w *heartbeatWorld) zoneOf(x *worldTarget) string {
	if len(w.zones) == 0 {
		return ""
	}
	return w.zones[x.n%len(w.zones)]
}

// worldProposal is a command that is being committed.
type worldProposal struct {
	at      timer.Instant
	model   *Model
	command deployment.Command
}

// worldCall identifies a heartbeat.
type worldCall struct {
	incarnation deployment.Incarnation
	sequence    uint64
}

// worldMessage is a message in flight: a heartbeat, or the answer to one.
type worldMessage struct {
	at     timer.Instant
	target *worldTarget
	beat   *KeyHeartbeatReceived
	answer *deployment.KeyLeases
	call   worldCall // that is answered
}

func newHeartbeatWorld(t testing.TB, seed int64, targets int, harm float64) *heartbeatWorld {
	w := &heartbeatWorld{t: t, rand: rand.New(rand.NewSource(seed)), now: 1, calls: make(map[uint64]worldMessage), fences: make(map[int]uint64), harm: harm}
	w.commit(deployment.Command{ConfigChange: &deployment.ConfigChange{
		Version: 1, Whole: true, Services: []deployment.Service{{Name: testService, Keyed: true}},
	}})
	for n := range targets {
		x := &worldTarget{n: n, nextBeat: w.now.Add(time.Duration(w.rand.Int63n(int64(heartbeatPeriod))))}
		w.targets = append(w.targets, x)
		w.startTarget(x)
	}
	w.model = w.newLeader()
	return w
}

func (w *heartbeatWorld) newLeader() *Model {
	m := NewHeartbeatModel(DefaultTiming().WithHeartbeat(heartbeatPeriod, 10*time.Second))
	m.Update(LeadershipTaken{At: w.now, Index: w.index, State: w.state})
	return m
}

func (w *heartbeatWorld) commit(c deployment.Command) {
	w.index++
	w.state, _ = w.state.Apply(w.index, wire.Encode(c))
}

// delay returns how long a message takes, and false if it is lost.
func (w *heartbeatWorld) delay() (time.Duration, bool) {
	d := time.Duration(1+w.rand.Intn(20)) * time.Millisecond
	if w.rand.Float64() < w.harm {
		switch w.rand.Intn(3) {
		case 0:
			return 0, false
		case 1:
			d += time.Duration(w.rand.Intn(6000)) * time.Millisecond
		default:
			d += time.Duration(w.rand.Intn(900)) * time.Millisecond
		}
	}
	return d, true
}

func (w *heartbeatWorld) sendMessage(msg worldMessage) {
	for range 2 {
		if d, ok := w.delay(); ok {
			msg.at = w.now.Add(d)
			w.messages = append(w.messages, msg)
		}
		if w.rand.Float64() >= w.harm/2 {
			return
		}
	}
}

// receive delivers a heartbeat to the leader, or to its predecessor while that may still
// answer.
func (w *heartbeatWorld) receive(msg worldMessage) {
	m := w.model
	if w.previous != nil && w.now < w.until {
		m = w.previous
	}
	if t, ok := w.state.Target(msg.beat.Incarnation.ID); ok && t.Status == deployment.Silent && t.StartMillis == msg.beat.Incarnation.StartMillis {
		t.Status, t.Sequence = deployment.Live, msg.beat.Sequence
		w.commit(deployment.Command{Announce: &t})
	}
	w.nextID++
	e := *msg.beat
	e.At, e.ID, e.State = w.now, w.nextID, w.state
	w.calls[e.ID] = worldMessage{target: msg.target, call: worldCall{incarnation: e.Incarnation, sequence: e.Sequence}}
	w.update(m, e)
}

// update applies an event to a leader and runs the effects. Commands are committed some
// time later, unless the leader was replaced.
func (w *heartbeatWorld) update(m *Model, e Event) {
	_, effects := m.Update(e)
	for _, effect := range effects {
		switch f := effect.(type) {
		case AnswerKeyHeartbeat:
			call, ok := w.calls[f.ID]
			delete(w.calls, f.ID)
			if ok && f.Leases != nil && w.mayAnswer(m) {
				call.answer = f.Leases
				w.sendMessage(call)
			}
		case Propose:
			at := w.now.Add(time.Duration(w.rand.Intn(60)) * time.Millisecond)
			w.proposals = append(w.proposals, worldProposal{at: at, model: m, command: f.Command})
		}
	}
}

// decide commits the proposals that are due, but for those of a leader that was replaced.
func (w *heartbeatWorld) decide() {
	due := w.proposals
	w.proposals = nil
	for _, p := range due {
		if p.at > w.now {
			w.proposals = append(w.proposals, p)
			continue
		}
		if p.model == w.model {
			w.commit(p.command)
		}
		w.update(p.model, ProposeEnded{})
		w.update(p.model, Ticked{At: w.now, State: w.state})
	}
}

// mayAnswer reports whether a leader still considers itself confirmed.
func (w *heartbeatWorld) mayAnswer(m *Model) bool {
	return m == w.model && (w.previous == nil || w.now >= w.until) || m == w.previous && w.now < w.until
}

// step advances the clock.
func (w *heartbeatWorld) step() {
	w.now = w.now.Add(worldStep)
	due := w.messages
	w.messages = nil
	for _, msg := range due {
		switch {
		case msg.at > w.now:
			w.messages = append(w.messages, msg)
		case msg.beat != nil:
			w.receive(msg)
		default:
			w.takeAnswer(msg)
		}
	}
	for _, x := range w.targets {
		w.stepTarget(x)
	}
	if w.previous != nil && w.now < w.until {
		w.update(w.previous, Ticked{At: w.now, State: w.state})
	}
	w.update(w.model, Ticked{At: w.now, State: w.state})
	w.decide()
	w.checkOwners()
}

// checkOwners checks that no two targets hold the same key.
func (w *heartbeatWorld) checkOwners() {
	type owned struct {
		heldByTarget
		target *worldTarget
	}
	var all []owned
	for _, x := range w.targets {
		for _, h := range x.held {
			if !x.down && w.now <= h.expiry {
				all = append(all, owned{heldByTarget: h, target: x})
			}
		}
	}
	slices.SortFunc(all, func(a, b owned) int { return int(a.From) - int(b.From) })
	for i := 1; i < len(all); i++ {
		if all[i].From <= all[i-1].To && all[i].target != all[i-1].target {
			w.t.Fatalf("at %v: targets %d (fence %d) and %d (fence %d) hold key %d", time.Duration(w.now), all[i-1].target.n, all[i-1].Fence, all[i].target.n, all[i].Fence, all[i].From)
		}
	}
}

// run advances the clock by d.
func (w *heartbeatWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.step()
	}
}

// replaceLeader elects another leader. The old one goes on answering for a while, as one
// that has not noticed, but no longer than its last confirmation lasts.
func (w *heartbeatWorld) replaceLeader() {
	w.previous, w.until = w.model, w.now.Add(confirmationValidity)
	old := w.model
	w.model = NewHeartbeatModel(DefaultTiming()) // nobody leads
	for w.now < w.until {
		w.step()
	}
	old.Update(LeadershipLost{})
	w.previous = nil
	w.run(100 * time.Millisecond)
	w.model = w.newLeader()
}

// report reports the load of the keys to the leader.
func (w *heartbeatWorld) report(rates map[deployment.Key]uint32) {
	r := instance.ReportRequest{Instance: "entry"}
	for key, n := range rates {
		r.Keys = append(r.Keys, instance.KeyLoad{Service: testService, Bucket: key, Count: n})
	}
	w.update(w.model, Reported{At: w.now, Report: r})
}

// holders returns the number of targets that hold a key.
func (w *heartbeatWorld) holders(key deployment.Key) int {
	n := 0
	for _, x := range w.targets {
		for _, h := range x.held {
			if !x.down && h.releaseAt == 0 && h.From <= key && key <= h.To && w.now <= h.expiry {
				n++
			}
		}
	}
	return n
}

// assertAllHeld checks that every key is held.
func (w *heartbeatWorld) assertAllHeld() {
	w.t.Helper()
	for key := 0; key <= int(deployment.MaxKey); key += 61 {
		assert.Equal(w.t, w.holders(deployment.Key(key)), 1, "key %d at %v", key, time.Duration(w.now))
	}
}

// TestOneOwnerWithHeartbeats plays a few seeds of playHeartbeatWorld.
func TestOneOwnerWithHeartbeats(t *testing.T) {
	for seed := range int64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playHeartbeatWorld(t, seed) })
	}
}

func FuzzOneOwnerWithHeartbeats(f *testing.F) {
	f.Add(int64(36))
	f.Fuzz(func(t *testing.T, seed int64) { playHeartbeatWorld(t, seed) })
}

// playHeartbeatWorld plays lost, delayed and repeated heartbeats and answers, restarts and
// leaving targets, changes of the leader and moves for load. At the end all keys are held.
func playHeartbeatWorld(t *testing.T, seed int64) {
	w := newHeartbeatWorld(t, seed, 3+int(uint64(seed)%6), 0.15)
	w.run(6 * time.Second)
	for range 40 {
		x := w.targets[w.rand.Intn(len(w.targets))]
		switch w.rand.Intn(6) {
		case 0:
			x.down = true
			w.run(time.Duration(w.rand.Intn(3000)) * time.Millisecond)
			w.startTarget(x)
		case 1:
			x.sequence++
			w.announce(x, deployment.Draining)
			w.run(time.Duration(500+w.rand.Intn(2000)) * time.Millisecond)
			w.startTarget(x)
		case 2:
			w.replaceLeader()
		default:
			for range 4 {
				hot := deployment.Key(w.rand.Intn(1 << 16))
				w.report(map[deployment.Key]uint32{hot: uint32(w.rand.Intn(60)), hot / 2: uint32(w.rand.Intn(40)), hot / 3: 9})
				w.run(250 * time.Millisecond)
			}
		}
		w.run(time.Duration(w.rand.Intn(1500)) * time.Millisecond)
	}
	w.harm = 0
	w.run(20 * time.Second)
	w.assertAllHeld()
}
