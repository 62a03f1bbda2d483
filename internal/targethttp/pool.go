// Package targethttp speaks HTTP/1.1 to targets on connections of its own. It
// tells whether a request may have reached its target, matches answers to
// requests by their ID, and never takes a broken answer for a whole one. The
// client of net/http does neither: it can't read on after a stale answer, and
// it repeats requests on its own.
package targethttp

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Sentinel errors of an exchange.
var (
	// ErrNotSent reports that no byte of the request left.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoConnection is an ErrNotSent where the target took no connection.
	ErrNoConnection = fmt.Errorf("no connection: %w", ErrNotSent)
	// ErrFull is an ErrNotSent where all connections allowed are in use.
	ErrFull = fmt.Errorf("all connections are in use: %w", ErrNotSent)
	// ErrNotAllowed is the reason of an ErrNotSent whose sender withdrew it.
	ErrNotAllowed = errors.New("its sender withdrew it")
	// ErrBroken reports a request that was sent and got no whole answer: it may
	// have run.
	ErrBroken = errors.New("no whole answer")
	// ErrTimeout is an ErrBroken where the time was over.
	ErrTimeout = fmt.Errorf("time is over: %w", ErrBroken)
)

const (
	dialTimeout = 250 * time.Millisecond // several round trips within a region
	// defaultIdle is for how long a connection is kept where its target does
	// not say.
	defaultIdle = 4 * time.Second
	// idleShare is the share of the target's own idle timeout after which a
	// connection is not used again: its close may be on the way.
	idleShare = 0.85
	// connectWeight is the weight of one connection in the moving average of the
	// time that connecting takes.
	connectWeight = 0.1
	bufferSize    = 4 << 10 // bytes read from a connection at a time
)

// Pool keeps idle connections to targets. Its methods are safe for concurrent
// use.
type Pool struct {
	clock timer.Clock
	reset bool
	mu    sync.Mutex
	hosts map[string]*host
	// connecting is the moving average of the time that connecting takes.
	connecting time.Duration
}

// host is what the pool knows of one address.
type host struct {
	idle []*conn
	open int
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    timer.Instant
	idle    time.Duration // after which it is not used again
	reused  bool
}

// Option changes a pool.
type Option func(*Pool)

// WithReset makes every close of a connection reset it, so that bytes that the
// target has not received are lost.
func WithReset() Option { return func(p *Pool) { p.reset = true } }

// NewPool returns a pool and its clean-up function.
func NewPool(clock timer.Clock, opts ...Option) (*Pool, func()) {
	p := &Pool{clock: clock, hosts: make(map[string]*host)}
	for _, opt := range opts {
		opt(p)
	}
	return p, p.closeIdle
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		for _, c := range h.idle {
			_ = c.Close()
		}
		h.idle = nil
	}
}

// Forget closes the idle connections of an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		return
	}
	for _, c := range h.idle {
		_ = c.Close()
		h.open--
	}
	h.idle = nil
	if h.open <= 0 {
		delete(p.hosts, address)
	}
}

// get returns a connection to the address: the one that was used last, or a new
// one.
func (p *Pool) get(ctx context.Context, address string, most int, r Request) (*conn, error) {
	for {
		c, err := p.reserve(address, most, r.Careful)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, address, cmp.Or(r.Connect, dialTimeout))
		}
		if c.alive() {
			c.reused = true
			return c, nil
		}
		p.drop(c)
	}
}

// reserve takes an idle connection, or counts a new one that the caller dials.
func (p *Pool) reserve(address string, most int, careful bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	now := p.clock.Now()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		limit := c.idle
		if careful {
			limit /= 2
		}
		if now.Sub(c.used) <= limit {
			return c, nil
		}
		_ = c.Close()
		h.open--
	}
	if h.open >= most {
		return nil, ErrFull
	}
	h.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	began := p.clock.Now()
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, fmt.Errorf("%w: %w", ErrNoConnection, err)
	}
	p.noteConnecting(p.clock.Now().Sub(began))
	if err := p.prepare(raw); err != nil {
		p.release(address)
		return nil, errors.Join(fmt.Errorf("%w: %w", ErrNoConnection, err), raw.Close())
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, bufferSize), idle: time.Duration(float64(defaultIdle) * idleShare)}, nil
}

// prepare sets the options of a new connection.
func (p *Pool) prepare(raw net.Conn) error {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil
	}
	if p.reset {
		if err := tcp.SetLinger(0); err != nil {
			return fmt.Errorf("set linger: %w", err)
		}
	}
	return nil
}

func (p *Pool) noteConnecting(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connecting += time.Duration(connectWeight * float64(took-p.connecting))
}

// Connecting returns how long it is expected to take until there is a connection
// to the address: nothing where one is idle.
func (p *Pool) Connecting(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.hosts[address]; ok && len(h.idle) > 0 && p.clock.Now().Sub(h.idle[len(h.idle)-1].used) <= h.idle[len(h.idle)-1].idle {
		return 0
	}
	return p.connecting
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		return
	}
	h.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// drop closes a connection at once: the target stops work that still runs on it.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.release(c.address)
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.used = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.hosts[c.address]; ok {
		h.idle = append(h.idle, c)
		return
	}
	_ = c.Close()
}

// alive reports whether the target has neither closed an idle connection nor
// sent bytes that nobody asked for.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// noteKeepAlive takes the target's own idle timeout from an answer.
func (c *conn) noteKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idle = time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
}
