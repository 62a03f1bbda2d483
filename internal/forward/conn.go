package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/http1"
)

const (
	// pipelineDepth bounds the requests of one connection that wait for a response.
	pipelineDepth = 16
	// bodyTimeout bounds the time for reading a request's body.
	bodyTimeout     = 10 * time.Second
	writeTimeout    = 10 * time.Second
	readBufferBytes = 4 << 10
)

// defaultLimits returns the limits that apply until a configuration is known.
func defaultLimits() deployment.CallerLimits {
	return deployment.CallerLimits{
		HeaderBytes:   16 << 10,
		BodyBytes:     1 << 20,
		HeaderTimeout: 3 * time.Second,
		IdleTimeout:   15 * time.Second,
	}
}

const (
	// peerHeaderRoom is the size of the headers that another entry adds to a request.
	peerHeaderRoom  = 1 << 10
	maxPeerBody     = 256 << 20
	peerIdleTimeout = 15 * time.Second
)

// peerLimits returns the limits for requests that another entry passes on, which has
// checked that they keep to those of callers.
func peerLimits(limits deployment.CallerLimits) deployment.CallerLimits {
	limits.HeaderBytes += peerHeaderRoom
	limits.BodyBytes = maxPeerBody
	limits.IdleTimeout = peerIdleTimeout
	return limits
}

// request is a caller's request with its complete body.
type request struct {
	ctx       context.Context // ends when the caller disconnects
	start     time.Time
	method    string
	uri       string
	path      string
	host      string
	header    http.Header
	body      []byte
	closeConn bool // the caller asked to close the connection
	relayed   bool // another entry passed it on
	heldBytes int  // of the body, counted in the entry's budget
}

// callerConn is one connection of a caller. Pipelined requests run concurrently;
// responses are written in the order of the requests.
type callerConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan chan response

	opened   time.Time
	fromPeer bool // it is another entry's
	// halfClosed reports that the last response was written, and the write side closed.
	halfClosed bool

	mu         sync.Mutex
	pending    int       // requests read whose response is not written yet
	reading    bool      // part of a request was read
	used       bool      // a request was read
	stopping   bool      // it closes after the responses that are due
	lastChosen bool      // its last response was chosen; no further request is read
	lastRead   time.Time // when the last request was read
	// streaming reports that a response is streamed. If its body breaks off, the connection
	// has to be closed, so that no request is begun meanwhile.
	streaming  bool
	answeredAt time.Time  // when the last response was written
	changed    *sync.Cond // of pending, streaming and lastChosen
}

func (s *Server) newConn(nc net.Conn, fromPeer bool) *callerConn {
	ctx, cancel := context.WithCancel(s.ctx)
	c := &callerConn{
		server: s,
		conn:   nc,
		reader: bufio.NewReaderSize(nc, readBufferBytes),
		ctx:    ctx,
		cancel: cancel,
		queue:  make(chan chan response, pipelineDepth),
		opened: time.Now(),

		fromPeer: fromPeer,
	}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// serve reads and answers requests until the connection is closed.
func (c *callerConn) serve() {
	defer c.server.untrack(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses()
	}()
	c.readRequests()
	close(c.queue)
	<-written
	callerLeft := !c.halfClosed && c.ctx.Err() != nil
	c.cancel()
	if c.halfClosed {
		c.discardUnread()
	}
	if !callerLeft {
		c.awaitSent()
	}
	_ = c.conn.Close()
}

// readRequests reads requests until the caller disconnects or a request ends the
// connection.
func (c *callerConn) readRequests() {
	for {
		r, rejection, err := c.readRequest()
		if err != nil {
			c.cancelIfDisconnected(err)
			return
		}
		if !c.addPending() {
			c.server.releaseBody(r)
			return
		}
		respCh := make(chan response, 1)
		select {
		case c.queue <- respCh:
		case <-c.ctx.Done():
			c.server.releaseBody(r)
			return
		}
		if rejection != nil {
			respCh <- *rejection
			return
		}
		go func() {
			out := c.server.handle(r)
			c.server.releaseBody(r)
			respCh <- out
		}()
		if r.closeConn {
			c.awaitClose()
			return
		}
	}
}

// errNoMoreRequests reports that no further request is read, after an idle timeout
// or in a graceful shutdown.
var errNoMoreRequests = errors.New("connection takes no more requests")

// readRequest reads one request. It returns a response instead if the request is
// rejected, after which the connection closes.
func (c *callerConn) readRequest() (*request, *response, error) {
	limits := c.server.callerLimits()
	if c.fromPeer {
		limits = peerLimits(limits)
	}
	if err := c.awaitFirstByte(limits); err != nil {
		return nil, nil, err
	}
	start := time.Now()
	hr, err := http1.ReadRequest(c.reader, limits.HeaderBytes)
	if err != nil {
		return nil, c.rejectHeader(err), c.headerError(err)
	}
	r := &request{
		ctx:       c.ctx,
		start:     start,
		method:    hr.Method,
		uri:       hr.Target,
		path:      rawPath(hr.Target),
		host:      hr.Host,
		header:    hr.Header,
		closeConn: hr.Close,
		relayed:   c.fromPeer,
	}
	if hr.ContentLength > int64(limits.BodyBytes) {
		return nil, c.reject(http.StatusRequestEntityTooLarge, "request body is too large"), nil
	}
	rejection, err := c.readBody(hr, r, limits)
	if rejection != nil || err != nil {
		c.server.releaseBody(r)
	}
	return r, rejection, err
}

// awaitFirstByte waits for the next request. It returns errNoMoreRequests in a
// graceful shutdown, and after the idle timeout if no responses are due. If the
// caller disconnects, it returns another error.
func (c *callerConn) awaitFirstByte(limits deployment.CallerLimits) error {
	for {
		if c.isStopping() {
			return errNoMoreRequests
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(c.idleLeft(limits.IdleTimeout)))
		if c.isStopping() {
			return errNoMoreRequests
		}
		_, err := c.reader.Peek(1)
		var timeout net.Error
		switch {
		case err == nil:
			if !c.startReading(limits.HeaderTimeout) {
				return errNoMoreRequests
			}
			return nil
		case errors.As(err, &timeout) && timeout.Timeout():
			if c.isStopping() || c.idleLeft(limits.IdleTimeout) <= 0 {
				return errNoMoreRequests
			}
		default:
			return err
		}
	}
}

func (c *callerConn) readBody(hr *http1.Request, r *request, limits deployment.CallerLimits) (*response, error) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	if out := c.server.rejectEarly(r, hr.ContentLength); out != nil {
		return c.rejectBody(r, *out), nil
	}
	if hr.Header.Get("Expect") == "100-continue" {
		if !c.awaitAnswers() {
			return nil, errNoMoreRequests
		}
		if err := c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, fmt.Errorf("continue: %w", err)
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	hr.LimitBody(2*int64(limits.BodyBytes) + readBufferBytes)
	body, err := c.server.readWithinBudget(hr, r, limits.BodyBytes)
	if err != nil {
		var timeout net.Error
		switch {
		case errors.Is(err, errBodyBudget):
			return c.rejectForBudget(r, int(max(hr.ContentLength, int64(r.heldBytes)))), nil
		case errors.Is(err, http1.ErrBodyTooLarge):
			return c.reject(http.StatusRequestEntityTooLarge, "request body is too large"), nil
		case errors.Is(err, http1.ErrMalformed):
			return c.reject(http.StatusBadRequest, "invalid request body: "+err.Error()), nil
		case errors.As(err, &timeout) && timeout.Timeout():
			return c.reject(http.StatusRequestTimeout, "timeout reading the request body"), nil
		}
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > limits.BodyBytes {
		return c.reject(http.StatusRequestEntityTooLarge, "request body is too large"), nil
	}
	r.body = body
	return nil, nil
}

// rejectHeader returns the response to a header that could not be read. It returns
// nil if the connection failed or the caller disconnected.
func (c *callerConn) rejectHeader(err error) *response {
	var timeout net.Error
	switch {
	case errors.Is(err, http1.ErrHeadTooLarge):
		return c.reject(http.StatusRequestHeaderFieldsTooLarge, "request header is too large")
	case errors.As(err, &timeout) && timeout.Timeout():
		return c.reject(http.StatusRequestTimeout, "timeout reading the request header")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return nil
	case errors.As(err, &timeout):
		return nil
	}
	if errors.Is(err, http1.ErrVersion) {
		return c.reject(http.StatusHTTPVersionNotSupported, "invalid request: "+err.Error())
	}
	return c.reject(http.StatusBadRequest, "invalid request: "+err.Error())
}

// headerError returns the error if rejectHeader has no response to it.
func (c *callerConn) headerError(err error) error {
	if c.rejectHeader(err) != nil {
		return nil
	}
	return err
}

func (c *callerConn) reject(status int, reason string) *response {
	c.server.log.Info("request rejected before routing", "status", status, "reason", reason, "caller", c.conn.RemoteAddr().String())
	r := errorResponse(status, reason)
	r.closeConn = true
	if c.fromPeer {
		r.header[relayRejectedHeader] = []string{rejectedOne}
	}
	return &r
}

// rawPath returns the path of a request URI as the caller sent it, still escaped.
func rawPath(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}
