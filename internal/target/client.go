// Package target speaks to targets: it takes their announcements, brings them
// grants and sends them requests. Everything goes over HTTP/1.1.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Headers between this system and targets. Callers can't set them.
const (
	HeaderEpoch    = "Cranberrywind-Epoch"
	HeaderPoint    = "Cranberrywind-Point"
	HeaderRequest  = "Cranberrywind-Request-Id"
	HeaderDeadline = "Cranberrywind-Deadline-Ms"
	HeaderKey      = "Cranberrywind-Idempotency-Key"
	HeaderOutcome  = "Cranberrywind-Outcome"
	HeaderPrefix   = "Cranberrywind-"
)

// GrantPath is where a target receives grants.
const GrantPath = "/cranberrywind/grant"

// OutcomeNotRun is what a target answers in HeaderOutcome where it turned the
// request down without running it.
const OutcomeNotRun = "not_run"

// Sentinel errors of attempts.
var (
	// ErrNotRun reports that no byte of the request left for the target.
	ErrNotRun = errors.New("request did not run")
	// ErrUncertain reports that the request may have run.
	ErrUncertain = errors.New("request may have run")
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 5 * time.Second
	idlePerTarget  = 64
	maxHeaderBytes = 64 << 10
)

// Client sends requests to targets and orders from the control leader.
type Client struct {
	transport *http.Transport
	clock     timer.Clock
	dialer    net.Dialer
}

// NewClient returns a client and its clean-up function, which closes idle
// connections.
func NewClient(clock timer.Clock) (*Client, func()) {
	c := &Client{clock: clock, dialer: net.Dialer{Timeout: dialTimeout}}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return c, c.transport.CloseIdleConnections
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn}, nil
}

// Request is one request as it goes to a target.
type Request struct {
	ID             string
	Method         string
	URI            string // path and query
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Send sends a request along its route and returns the answer, whose body the
// caller must close. The error is ErrNotRun where no byte left, ErrUncertain
// otherwise.
func (c *Client) Send(ctx context.Context, req Request, route router.Route, point uint64) (*http.Response, error) {
	used := &usedConn{}
	out, err := c.build(ctx, req, route, point, used)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, fmt.Errorf("%w: target %s: %w", used.verdict(), route.Target.Name, err)
	}
	return resp, nil
}

// usedConn remembers which connection carries a request.
type usedConn struct {
	mu    sync.Mutex
	conn  *guardedConn
	wrote bool // on a connection that it no longer uses
}

func (u *usedConn) set(conn net.Conn, guard func() error) {
	g, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.wrote = u.wrote || (u.conn != nil && u.conn.written.Load() > 0)
	g.arm(guard)
	u.conn = g
}

// verdict tells whether a request that failed can have reached the target.
func (u *usedConn) verdict() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return ErrNotRun
	}
	// Closing first makes sure that no write begins after the count is read.
	_ = u.conn.Close()
	if !u.wrote && u.conn.written.Load() == 0 {
		return ErrNotRun
	}
	return ErrUncertain
}

// onceBody keeps net/http from sending a request again by itself: it has no
// GetBody, so a body that was begun can't be replayed.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (c *Client) build(ctx context.Context, req Request, route router.Route, point uint64, used *usedConn) (*http.Request, error) {
	guard := func() error {
		if c.clock.Now() >= route.Expiry {
			return ErrExpired
		}
		return ctx.Err()
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used.set(info.Conn, guard) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+route.Target.Address+req.URI, onceBody{bytes.NewReader(req.Body)})
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		out.Body = nil
	}
	out.Header = req.Header.Clone()
	c.setTerms(ctx, out.Header, req, route, point)
	return out, nil
}

// setTerms adds the headers that tell the target on which terms it is asked.
func (c *Client) setTerms(ctx context.Context, h http.Header, req Request, route router.Route, point uint64) {
	h.Set(HeaderRequest, req.ID)
	if route.Epoch > 0 {
		h.Set(HeaderEpoch, strconv.FormatUint(route.Epoch, 10))
		h.Set(HeaderPoint, strconv.FormatUint(point, 10))
	}
	if req.IdempotencyKey != "" {
		h.Set(HeaderKey, req.IdempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
}

// Grant sends grants to a target and returns nil once the target confirmed them.
func (c *Client) Grant(ctx context.Context, address string, grants instance.GrantSet) error {
	body, err := json.Marshal(grants)
	if err != nil {
		return fmt.Errorf("encode grants: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+GrantPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("send grants to %s: %w", address, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("send grants to %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("send grants to %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("send grants to %s: status %d", address, resp.StatusCode)
	}
	return nil
}

// Refuses reports whether the address refuses connections.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
