// Package target communicates with targets over HTTP/1.1: it receives their
// announcements, delivers grants and sends requests.
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

	"github.com/cranberrywind/cranberrywind/internal/http1"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Headers of requests to targets and of their answers. They are removed from the
// requests of callers.
const (
	HeaderEpoch    = "Cranberrywind-Epoch"
	HeaderPoint    = "Cranberrywind-Point"
	HeaderRequest  = "Cranberrywind-Request-Id"
	HeaderDeadline = "Cranberrywind-Deadline-Ms"
	HeaderKey      = "Cranberrywind-Idempotency-Key"
	HeaderOutcome  = "Cranberrywind-Outcome"
	HeaderPrefix   = "Cranberrywind-"
)

// GrantPath is the path at which a target receives grants.
const GrantPath = "/cranberrywind/grant"

// OutcomeNotRun is the value of HeaderOutcome in a target's answer to a request that
// it shed.
const OutcomeNotRun = "not_run"

// Errors of Send.
var (
	// ErrNotRun reports that no byte of the request was sent to the target.
	ErrNotRun = errors.New("request did not run")
	// ErrUncertain reports that the request may have run.
	ErrUncertain = errors.New("request may have run")
)

const (
	dialTimeout           = time.Second
	idleTimeout           = 5 * time.Second
	maxIdleConnsPerTarget = 64
	maxHeaderBytes        = 64 << 10
)

// Client sends requests and the control leader's grants to targets.
type Client struct {
	transport *http.Transport
	clock     timer.Clock
	dialer    net.Dialer
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient(clock timer.Clock) (*Client, func()) {
	c := &Client{clock: clock, dialer: net.Dialer{Timeout: dialTimeout}}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
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
	return &guardedConn{ClientConn: http1.NewClientConn(conn)}, nil
}

// Request is a request to a target.
type Request struct {
	ID             string
	Method         string
	URI            string // path and query
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Send sends a request to its destination and returns the answer, whose body
// must be closed. The error is ErrNotRun if no byte was sent, ErrUncertain
// otherwise.
func (c *Client) Send(ctx context.Context, req Request, dest router.Destination, point uint64) (*http.Response, error) {
	tracker := &connTracker{}
	out, err := c.newRequest(ctx, req, dest, point, tracker)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, fmt.Errorf("%w: target %s: %w", tracker.closeAndClassify(), dest.Target.Name, err)
	}
	return resp, nil
}

// connTracker records which connection a request uses and whether any of it was
// written.
type connTracker struct {
	mu           sync.Mutex
	conn         *guardedConn
	wroteEarlier bool // on an earlier connection
}

// set records the connection that the request uses from now on, and sets its method and guard.
func (t *connTracker) set(conn net.Conn, method string, guard func() error) {
	g, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wroteEarlier = t.wroteEarlier || (t.conn != nil && t.conn.written.Load() > 0)
	g.startRequest(method, guard)
	t.conn = g
}

// closeAndClassify closes the connection of a failed request. It returns ErrNotRun
// if no byte of the request was written, ErrUncertain otherwise.
func (t *connTracker) closeAndClassify() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return ErrNotRun
	}
	// Closing it first ensures that no byte is written after the count is read.
	_ = t.conn.Close()
	if !t.wroteEarlier && t.conn.written.Load() == 0 {
		return ErrNotRun
	}
	return ErrUncertain
}

// onceBody prevents net/http from sending a request body a second time on its own. A
// request with this body has no GetBody, so net/http can't replay a body that it has
// begun to send.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (c *Client) newRequest(ctx context.Context, req Request, dest router.Destination, point uint64, tracker *connTracker) (*http.Request, error) {
	guard := func() error {
		if c.clock.Now() >= dest.Expiry {
			return ErrExpired
		}
		return ctx.Err()
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { tracker.set(info.Conn, req.Method, guard) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+dest.Target.Address+req.URI, onceBody{bytes.NewReader(req.Body)})
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		out.Body = nil
	}
	out.Header = req.Header.Clone()
	c.setHeaders(ctx, out.Header, req, dest, point)
	return out, nil
}

// setHeaders sets the headers with the request's ID, epoch, point, idempotency key
// and the time until its deadline.
func (c *Client) setHeaders(ctx context.Context, h http.Header, req Request, dest router.Destination, point uint64) {
	h.Set(HeaderRequest, req.ID)
	if dest.Epoch > 0 {
		h.Set(HeaderEpoch, strconv.FormatUint(dest.Epoch, 10))
		h.Set(HeaderPoint, strconv.FormatUint(point, 10))
	}
	if req.IdempotencyKey != "" {
		h.Set(HeaderKey, req.IdempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
}

// Grant delivers grants and returns nil once the target has accepted them.
func (c *Client) Grant(ctx context.Context, address string, grants instance.GrantSet) error {
	body, err := json.Marshal(grants)
	if err != nil {
		return fmt.Errorf("encode grants: %w", err)
	}
	tracker := &connTracker{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { tracker.set(info.Conn, http.MethodPost, nil) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+address+GrantPath, bytes.NewReader(body))
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

// ConnRefused reports whether the address refuses connections.
func (c *Client) ConnRefused(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
