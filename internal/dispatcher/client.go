package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

const (
	// answerTime is the time within which a dispatcher answers, beyond the wait that it has
	// announced. A dispatcher that takes longer is lost.
	answerTime = 40 * time.Millisecond
	// fallbackTime is for how long a lost dispatcher is not asked.
	fallbackTime = time.Second
	// lateTimer is the lateness of a timer from which on this process has not run itself. Then
	// an answer may have arrived that was not read yet, and lateGrace is left to read it.
	lateTimer = 10 * time.Millisecond
	lateGrace = 10 * time.Millisecond
)

// Errors of Await.
var (
	// ErrLost is returned while the dispatcher of a pool is lost: the entry has to choose a
	// target by itself.
	ErrLost = errors.New("dispatcher is lost")
	// ErrInterrupted is returned when the interruption came first. The request still waits.
	ErrInterrupted = errors.New("interrupted")
)

// Reasons of fallbacks, by which they are counted.
const (
	noAnswer     = "no_answer"     // none in time
	brokenStream = "broken_stream" // the stream ended
	notMine      = "not_mine"      // the dispatcher does not know that it is to run the pool
)

// Decision is a dispatcher's decision on a request.
type Decision struct {
	Granted    bool
	Target     string // of a grant
	Reason     dispatch.Reason
	RetryAfter time.Duration // of a rejection
}

// Pending is a request for a slot. It is not safe for concurrent use.
type Pending struct {
	client  *client
	address string // of the dispatcher
	link    *link  // to the dispatcher; nil if that is this entry
	pool    string
	number  uint
	changed chan struct{} // signals a change of the fields below

	// The client's mutex guards these fields.
	decided  bool
	decision Decision
	err      error
	deadline time.Time // of the next answer
	ended    bool      // it was reported how the granted request ended
}

// client asks dispatchers for slots.
type client struct {
	ctx   context.Context
	id    string // of this entry and its start
	cfg   Config
	local *pools

	mu        sync.Mutex
	number    uint // of the last request
	pending   map[uint]*Pending
	links     map[string]*link // by address
	statuses  map[string]dispatch.Status
	fallbacks map[fallback]time.Time // ends of the fallbacks in force
	counts    map[string]uint64      // of fallbacks by reason
	lastLog   map[string]time.Time   // by message
	known     map[string]bool        // addresses of dispatchers
}

// fallback names what an entry chooses by itself for: one pool of a dispatcher, or all of
// them if the pool is empty.
type fallback struct{ address, pool string }

// link is the stream to one dispatcher.
type link struct {
	address string
	ready   chan struct{}
	cancel  context.CancelFunc
	out     instance.DispatchMessage // what is to be sent, guarded by the client's mutex
	open    int                      // pending and granted requests
	heard   time.Time                // when the last message came
	asked   time.Time                // when the first request since then was queued
}

func newClient(ctx context.Context, id string, cfg Config, local *pools) *client {
	return &client{
		ctx: ctx, id: id, cfg: cfg, local: local,
		// A restarted entry must not use the numbers of requests that are still in flight.
		number:   uint(rand.Uint32()),
		pending:  make(map[uint]*Pending),
		links:    make(map[string]*link),
		statuses: make(map[string]dispatch.Status), fallbacks: make(map[fallback]time.Time),
		counts: make(map[string]uint64), lastLog: make(map[string]time.Time), known: make(map[string]bool),
	}
}

// setList takes over the dispatchers and closes idle streams to others.
func (c *client) setList(list []dispatch.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.known)
	for _, e := range list {
		c.known[e.Address] = true
	}
	for f, until := range c.fallbacks {
		if !c.known[f.address] && time.Now().After(until) {
			delete(c.fallbacks, f)
		}
	}
	for address, l := range c.links {
		if !c.known[address] && l.open <= 0 {
			c.drop(l)
		}
	}
}

// drop ends a link. Requests from now on get a new one. The caller holds the mutex.
func (c *client) drop(l *link) {
	l.cancel()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

// status returns the status that a pool told last.
func (c *client) status(pool string) (dispatch.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.statuses[pool]
	return s, ok
}

// ask sends a request for a slot.
func (c *client) ask(p dispatch.PoolInfo, r dispatch.Requested) *Pending {
	address := p.Dispatcher.Address
	out := &Pending{client: c, address: address, pool: p.ID, changed: make(chan struct{}, 1)}
	c.mu.Lock()
	if c.fallenBack(address, p.ID) {
		c.mu.Unlock()
		out.decided, out.err = true, ErrLost
		return out
	}
	c.number++
	out.number = c.number
	out.deadline = time.Now().Add(answerTime)
	c.pending[out.number] = out
	// With the first request the status is taken to have room for one less, until the pool
	// tells it anew. Otherwise requests that come together would all ask the same pool.
	if s, ok := c.statuses[p.ID]; ok {
		s.Free = max(0, s.Free-1)
		c.statuses[p.ID] = s
	}
	m := slotRequest(out, r)
	if address != c.cfg.Address {
		l := c.linkTo(address)
		out.link = l
		l.open++
		l.out.Requests = append(l.out.Requests, m)
		notify(l.ready)
		c.mu.Unlock()
		return out
	}
	c.mu.Unlock()
	c.local.handle(c.id, localAsker{c}, &instance.DispatchMessage{Requests: []instance.SlotRequest{m}})
	return out
}

// fallenBack reports whether the dispatcher is not to be asked about the pool. The caller
// holds the mutex.
func (c *client) fallenBack(address, pool string) bool {
	now := time.Now()
	for _, f := range [...]fallback{{address: address}, {address, pool}} {
		until, ok := c.fallbacks[f]
		if !ok {
			continue
		}
		if now.Before(until) {
			return true
		}
		delete(c.fallbacks, f)
		c.logOnce(log.InfoLevel, "fallback ended: the dispatcher is asked again", "dispatcher", address, "pool", f.pool)
	}
	return false
}

func slotRequest(p *Pending, r dispatch.Requested) instance.SlotRequest {
	out := instance.SlotRequest{
		Number: p.number, Pool: p.pool, Priority: r.Priority, Age: int(r.Age / time.Millisecond), Objective: int(r.Objective / time.Millisecond),
		Timeout: int(r.Timeout / time.Millisecond), Left: int(r.Left / time.Millisecond), BodyBytes: r.BodyBytes, BodyTime: int(r.BodyTime / time.Millisecond), Connect: int(r.ConnectTime / time.Millisecond), Excluded: r.Excluded, Returning: r.Returning,
	}
	for _, id := range r.Connected {
		out.Connected = append(out.Connected, shortHash(id))
	}
	return out
}

// Await waits for the decision. It returns ErrLost if the dispatcher is lost, ErrInterrupted
// if interrupt was closed first, and the error of ctx if that ended first. But for
// ErrInterrupted the request is withdrawn then.
func (p *Pending) Await(ctx context.Context, interrupt <-chan struct{}) (Decision, error) {
	c := p.client
	var timeout *time.Timer
	for {
		c.mu.Lock()
		decided, decision, err, deadline := p.decided, p.decision, p.err, p.deadline
		c.mu.Unlock()
		if decided {
			return decision, err
		}
		if timeout == nil {
			timeout = time.NewTimer(time.Until(deadline))
			defer timeout.Stop()
		} else {
			timeout.Reset(time.Until(deadline))
		}
		select {
		case <-p.changed:
		case <-timeout.C:
			c.expire(p, time.Now())
		case <-interrupt:
			return Decision{}, ErrInterrupted
		case <-ctx.Done():
			p.Withdraw()
			return Decision{}, ctx.Err()
		}
	}
}

// expire takes the dispatcher for lost if the request's deadline has passed.
func (c *client) expire(p *Pending, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := now.Sub(p.deadline)
	switch {
	case p.decided || late < 0:
		return
	case p.address == c.cfg.Address:
		// This entry itself is not lost while it runs.
		p.deadline = now.Add(answerTime)
		return
	case late > lateTimer:
		p.deadline = now.Add(lateGrace)
		return
	}
	c.fallBack(fallback{p.address, p.pool}, noAnswer)
	c.withdraw(p)
	p.decided, p.err = true, ErrLost
	if l := p.link; now.Sub(l.heard) > fallbackTime && now.Sub(l.asked) > fallbackTime {
		// It has not answered the requests before either. Its connection may lose messages.
		c.drop(l)
	}
}

// fallBack begins a fallback. The caller holds the mutex.
func (c *client) fallBack(f fallback, reason string) {
	c.counts[reason]++
	c.fallbacks[f] = time.Now().Add(fallbackTime)
	c.logOnce(log.WarnLevel, "fallback begun: targets are chosen without the dispatcher", "dispatcher", f.address, "pool", f.pool, "reason", reason)
}

// logPeriod is the shortest time between two lines with the same message.
const logPeriod = time.Second

// logOnce logs a line unless one with the same message was logged within logPeriod. The
// caller holds the mutex.
func (c *client) logOnce(level log.Level, message string, fields ...any) {
	now := time.Now()
	if now.Sub(c.lastLog[message]) < logPeriod {
		return
	}
	c.lastLog[message] = now
	c.cfg.Log.Log(level, message, fields...)
}

// Withdraw withdraws a request that is not decided. Afterwards Await returns ErrLost.
func (p *Pending) Withdraw() {
	c := p.client
	c.mu.Lock()
	if p.decided {
		granted := p.err == nil && p.decision.Granted
		c.mu.Unlock()
		if granted {
			p.End(dispatch.Ended{Outcome: dispatch.NotSent})
		}
		return
	}
	p.decided, p.err = true, ErrLost
	local := c.withdraw(p)
	c.mu.Unlock()
	if local {
		c.local.handle(c.id, localAsker{c}, &instance.DispatchMessage{Cancels: []instance.SlotCancel{{Number: p.number, Pool: p.pool}}})
	}
}

// withdraw forgets a request and cancels it at its dispatcher. If that is this entry, it
// returns true and leaves the cancellation to the caller, which holds the mutex.
func (c *client) withdraw(p *Pending) bool {
	delete(c.pending, p.number)
	if p.link == nil {
		return true
	}
	p.link.open--
	p.link.out.Cancels = append(p.link.out.Cancels, instance.SlotCancel{Number: p.number, Pool: p.pool})
	notify(p.link.ready)
	return false
}

// End reports how a granted request ended. Only the first call counts.
func (p *Pending) End(e dispatch.Ended) {
	c := p.client
	c.mu.Lock()
	if p.ended || !p.decision.Granted {
		c.mu.Unlock()
		return
	}
	p.ended = true
	c.mu.Unlock()
	m := instance.SlotEnd{
		Number: p.number, Pool: p.pool, Target: p.decision.Target, Outcome: int(e.Outcome), Took: ceilMillis(e.Took),
	}
	if e.LoadKnown {
		m.Load = []int{e.Running, e.Waiting, int(e.Slowdown*usualPercent + 0.5)}
	}
	c.sendEnd(p, m)
}

// sendEnd sends the end of a granted request, on a later stream if that of the grant has
// broken. If there is none, the dispatcher frees the slot once the request's time has passed.
func (c *client) sendEnd(p *Pending, e instance.SlotEnd) {
	if p.link == nil {
		c.local.handle(c.id, localAsker{c}, &instance.DispatchMessage{Ends: []instance.SlotEnd{e}})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.link.open--
	if l := c.links[p.address]; l != nil {
		l.out.Ends = append(l.out.Ends, e)
		notify(l.ready)
	}
}

// localAsker takes the answers of the pools of this entry itself.
type localAsker struct{ client *client }

func (a localAsker) answer(x instance.SlotAnswer) {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	a.client.deliver(x)
}

// deliver applies an answer. One to a request that was withdrawn is dropped: the cancellation
// frees the slot that it may have been granted. The caller holds the mutex.
func (c *client) deliver(a instance.SlotAnswer) {
	p, ok := c.pending[a.Number]
	if !ok {
		return
	}
	if a.Kind != instance.SlotNotMine {
		c.statuses[p.pool] = dispatch.Status{Free: a.Free, Waiting: a.Waiting, Wait: millis(a.Wait)}
	}
	p.decided = a.Kind != instance.SlotWaiting
	switch a.Kind {
	case instance.SlotGranted:
		p.decision = Decision{Granted: true, Target: a.Target, Reason: dispatch.Reason(a.Reason)}
	case instance.SlotRejected:
		p.decision = Decision{Reason: dispatch.Reason(a.Reason), RetryAfter: millis(a.After)}
	case instance.SlotWaiting:
		p.deadline = time.Now().Add(answerTime + millis(a.After))
	default:
		p.err = ErrLost
		c.fallBack(fallback{p.address, p.pool}, notMine)
	}
	if p.decided {
		delete(c.pending, a.Number)
		if p.link != nil && !p.decision.Granted {
			p.link.open--
		}
	}
	notify(p.changed)
}

// linkTo returns the link to an address, and opens it if there is none. The caller holds the
// mutex.
func (c *client) linkTo(address string) *link {
	if l, ok := c.links[address]; ok {
		if l.asked.Before(l.heard) {
			l.asked = time.Now()
		}
		return l
	}
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{address: address, ready: make(chan struct{}, 1), cancel: cancel, asked: time.Now()}
	l.out.Entry = c.id
	c.links[address] = l
	go func() {
		defer cancel()
		c.closeLink(l, c.runLink(ctx, l))
	}()
	return l
}

// runLink sends what is queued and receives answers until the stream ends. All that is
// ready goes out in one message.
func (c *client) runLink(ctx context.Context, l *link) error {
	s, err := c.cfg.Open(ctx, l.address)
	if err != nil {
		return err
	}
	received := make(chan error, 1)
	go func() {
		received <- c.receive(l, s)
		l.cancel()
	}()
	for {
		select {
		case <-s.Context().Done():
			return fmt.Errorf("stream ended: %w", context.Cause(s.Context()))
		case err := <-received:
			return err
		case <-l.ready:
		}
		c.mu.Lock()
		m := l.out
		l.out = instance.DispatchMessage{}
		c.mu.Unlock()
		if err := s.Send(&m); err != nil {
			return err
		}
	}
}

func (c *client) receive(l *link, s instance.DispatchStream) error {
	for {
		m, err := s.Receive()
		if err != nil {
			return err
		}
		c.mu.Lock()
		l.heard = time.Now()
		for _, a := range m.Answers {
			c.deliver(a)
		}
		c.mu.Unlock()
	}
}

// closeLink fails the requests that wait for a dispatcher whose stream has ended.
func (c *client) closeLink(l *link, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(l)
	lost := 0
	for number, p := range c.pending {
		if p.link == l {
			delete(c.pending, number)
			p.decided, p.err = true, ErrLost
			notify(p.changed)
			lost++
		}
	}
	if c.ctx.Err() != nil || lost == 0 && !c.known[l.address] {
		return
	}
	c.logOnce(log.WarnLevel, "dispatcher lost", "dispatcher", l.address, "waiting", lost, "error", err)
	c.fallBack(fallback{address: l.address}, brokenStream)
}

// Fallbacks returns the number of fallbacks that have begun, by reason.
func (d *Dispatcher) Fallbacks() map[string]uint64 {
	c := d.client
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.counts))
	for reason, n := range c.counts {
		out[reason] = n
	}
	return out
}
