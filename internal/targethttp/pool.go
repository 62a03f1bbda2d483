// Package targethttp is an HTTP/1.1 client for targets with its own connection
// pool. It reports whether a request may have reached its target, matches
// responses to requests by their ID, and never returns a truncated response as
// complete. The net/http client is unsuitable: it can't skip a stale response on
// a connection, and it retries requests on its own.
package targethttp

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/http1"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Errors that Do returns; check for them with errors.Is.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoConnection is an ErrNotSent: no connection to the target could be opened.
	ErrNoConnection = fmt.Errorf("no connection: %w", ErrNotSent)
	// ErrConnLimit is an ErrNotSent: all allowed connections are in use.
	ErrConnLimit = fmt.Errorf("all connections are in use: %w", ErrNotSent)
	// ErrNotAllowed is the cause of an ErrNotSent when Request.Allowed returned false.
	ErrNotAllowed = errors.New("no longer allowed by its sender")
	// ErrIncompleteResponse reports that the request may have been sent and that no
	// complete response was received: the request may have run.
	ErrIncompleteResponse = errors.New("no complete response")
	// ErrTimeout is an ErrIncompleteResponse: the context ended first.
	ErrTimeout = fmt.Errorf("timeout: %w", ErrIncompleteResponse)
)

const (
	defaultConnectTimeout = 250 * time.Millisecond // several round trips within a region
	// defaultIdleTimeout is assumed for a target that doesn't send its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout is the longest idle timeout that a target can name.
	maxIdleTimeout = time.Hour
	// idleTimeoutFraction is the fraction of a target's idle timeout after which a
	// connection is not reused: the target's close may be on its way.
	idleTimeoutFraction = 0.85
	// connectTimeWeight is the weight of a new sample in the moving average of
	// connect times.
	connectTimeWeight = 0.1
	readBufferBytes   = 4 << 10
)

// Pool keeps idle connections to targets. Its methods are safe for concurrent
// use.
type Pool struct {
	clock        timer.Clock
	resetOnClose bool
	mu           sync.Mutex
	hosts        map[string]*host
	// avgConnectTime is the moving average of connect times to all addresses.
	avgConnectTime time.Duration
	bodies         bodyBudget
}

// host holds the state of the connections to one address.
type host struct {
	idle []*conn // the most recently used one last
	open int     // connections that are idle, in use or being opened
}

// conn is one connection to a target.
type conn struct {
	*http1.Conn
	address  string
	reader   *bufio.Reader
	lastUsed timer.Instant
	maxIdle  time.Duration // longest idle time after which it is reused
	reused   bool
	sending  *sending // the last request, whose body may still be sent
	// failed holds the IDs of the requests that were answered with an error. A target may
	// write such a response once more, so that no later attempt of the same request may
	// use the connection.
	failed []string
}

// maxFailed bounds the failed requests of a connection that is kept.
const maxFailed = 32

// Option configures a Pool.
type Option func(*Pool)

// WithReset makes the pool reset connections instead of closing them gracefully,
// so that bytes that the target has not received yet are discarded.
func WithReset() Option { return func(p *Pool) { p.resetOnClose = true } }

// NewPool returns a pool and its clean-up function, which closes idle connections.
func NewPool(clock timer.Clock, opts ...Option) (*Pool, func()) {
	p := &Pool{clock: clock, hosts: make(map[string]*host)}
	for _, opt := range opts {
		opt(p)
	}
	return p, p.closeAllIdle
}

func (p *Pool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		for _, c := range h.idle {
			_ = c.Close()
		}
		h.idle = nil
	}
}

// CloseIdleConns closes the idle connections to an address.
func (p *Pool) CloseIdleConns(address string) {
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

// get returns a connection to the address: the most recently used idle one that is
// still usable, or else a new one.
func (p *Pool) get(ctx context.Context, address string, maxConns int, r Request) (*conn, error) {
	for {
		c, err := p.reserve(address, maxConns, r)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, address, cmp.Or(r.ConnectTimeout, defaultConnectTimeout))
		}
		if c.usable() {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
}

// reserve removes a connection from the idle ones and returns it; for a
// non-idempotent request it may have been idle for half of maxIdle at most. If there
// is none, or the request wants a connection of its own, reserve counts a new connection,
// which the caller opens, and returns nil.
// It returns ErrConnLimit if maxConns connections are open already.
func (p *Pool) reserve(address string, maxConns int, r Request) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	now := p.clock.Now()
	for i := len(h.idle) - 1; i >= 0 && !r.OwnConn; i-- {
		c := h.idle[i]
		if r.ID != "" && slices.Contains(c.failed, r.ID) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		limit := c.maxIdle
		if r.NonIdempotent {
			limit /= 2
		}
		if now.Sub(c.lastUsed) <= limit {
			return c, nil
		}
		_ = c.Close()
		h.open--
	}
	if h.open >= maxConns {
		if len(h.idle) == 0 {
			return nil, ErrConnLimit
		}
		// The idle connections that are left may not be used for this request.
		_ = h.idle[0].Close()
		h.idle = slices.Delete(h.idle, 0, 1)
		h.open--
	}
	h.open++
	return nil, nil
}

// dial opens a new connection that reserve has counted, and uncounts it on failure.
func (p *Pool) dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	start := p.clock.Now()
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, fmt.Errorf("%w: %w", ErrNoConnection, err)
	}
	p.recordConnectTime(p.clock.Now().Sub(start))
	if err := p.setSocketOptions(raw); err != nil {
		p.releaseSlot(address)
		return nil, errors.Join(fmt.Errorf("%w: %w", ErrNoConnection, err), raw.Close())
	}
	c := http1.NewConn(raw)
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBufferBytes), maxIdle: time.Duration(float64(defaultIdleTimeout) * idleTimeoutFraction)}, nil
}

// setSocketOptions applies the pool's options to a new connection.
func (p *Pool) setSocketOptions(raw net.Conn) error {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil
	}
	if p.resetOnClose {
		if err := tcp.SetLinger(0); err != nil {
			return fmt.Errorf("set linger: %w", err)
		}
	}
	return nil
}

// recordConnectTime adds a sample to the moving average of connect times.
func (p *Pool) recordConnectTime(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avgConnectTime += time.Duration(connectTimeWeight * float64(took-p.avgConnectTime))
}

// ExpectedConnectTime returns how long it is expected to take to get a connection
// to the address: zero if the newest idle one can be reused.
func (p *Pool) ExpectedConnectTime(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.hosts[address]; ok && len(h.idle) > 0 && p.clock.Now().Sub(h.idle[len(h.idle)-1].lastUsed) <= h.idle[len(h.idle)-1].maxIdle {
		return 0
	}
	return p.avgConnectTime
}

// ConnectTime returns the moving average of the times to open a connection.
func (p *Pool) ConnectTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.avgConnectTime
}

// releaseSlot stops counting a connection to the address as open.
func (p *Pool) releaseSlot(address string) {
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

// discard closes a connection at once, so that the target stops any request still
// running on it.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.releaseSlot(c.address)
}

// put makes a connection available to later requests.
func (p *Pool) put(c *conn) {
	c.lastUsed = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.hosts[c.address]; ok {
		h.idle = append(h.idle, c)
		return
	}
	_ = c.Close()
}

// usable reports whether an idle connection can carry another request: its target
// has neither closed it nor sent unsolicited bytes.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.Conn.(*net.TCPConn).SyscallConn()
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

// applyKeepAlive sets maxIdle from the idle timeout in a response's Keep-Alive
// header, if there is one.
func (c *conn) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			idle := time.Duration(min(seconds, int(maxIdleTimeout/time.Second))) * time.Second
			c.maxIdle = time.Duration(float64(idle) * idleTimeoutFraction)
		}
	}
}
