package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

const (
	// pipelineDepth is how many requests of one connection may be under way.
	pipelineDepth = 16
	// defaultBodyWait bounds the time between two reads of a request's body.
	defaultBodyWait = 10 * time.Second
	writeTimeout    = 10 * time.Second
	readBuffer      = 4 << 10
)

// defaultLimits hold until a configuration is known.
func defaultLimits() deployment.CallerLimits {
	return deployment.CallerLimits{
		HeaderBytes:   16 << 10,
		BodyBytes:     1 << 20,
		HeaderTimeout: 3 * time.Second,
		IdleTimeout:   15 * time.Second,
	}
}

// request is one request of a caller, read whole.
type request struct {
	ctx     context.Context // ends when the caller leaves
	began   time.Time
	method  string
	uri     string
	path    string
	host    string
	header  http.Header
	body    []byte
	closing bool // the caller asked to close the connection
}

// response is the final answer to a caller.
type response struct {
	status  int
	header  http.Header
	body    []byte
	rest    *targethttp.BodyStream // a body that is still coming in, instead of body
	ended   func(error)            // is told how the passing on of rest ended
	closing bool                   // the connection ends with it
	abort   bool                   // the connection is cut without an answer
	head    bool                   // answers a HEAD request
}

// size returns the length of the body.
func (r response) size() int {
	if r.rest != nil {
		return r.rest.Size()
	}
	return len(r.body)
}

// done tells how the passing on of the answer ended.
func (r response) done(err error) {
	if r.ended != nil {
		r.ended(err)
	}
}

// callerConn is one connection of a caller. Requests are read ahead and run side
// by side; answers go out in the order of the requests.
type callerConn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	budget *countdown
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan chan response

	mu      sync.Mutex
	pending int  // requests read and not yet answered
	reading bool // part of a request has come in
	ending  bool // no further request is read
}

// countdown bounds how many bytes the header of one request may have.
type countdown struct {
	r    io.Reader
	left int
}

var errHeaderTooLarge = errors.New("request header is too large")

func (c *countdown) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if len(p) > c.left {
		p = p[:c.left]
	}
	n, err := c.r.Read(p)
	c.left -= n
	return n, err
}

func (s *Server) serveConn(nc net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	budget := &countdown{r: nc}
	c := &callerConn{
		server: s,
		net:    nc,
		reader: bufio.NewReaderSize(budget, readBuffer),
		budget: budget,
		ctx:    ctx,
		cancel: cancel,
		queue:  make(chan chan response, pipelineDepth),
	}
	s.track(c)
	defer s.untrack(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers()
	}()
	c.readRequests()
	close(c.queue)
	<-written
	cancel()
	_ = nc.Close()
}

// readRequests reads until the caller leaves or one answer ends the connection.
func (c *callerConn) readRequests() {
	for {
		r, refusal, err := c.readRequest()
		if err != nil {
			c.leave(err)
			return
		}
		c.accepted()
		answer := make(chan response, 1)
		select {
		case c.queue <- answer:
		case <-c.ctx.Done():
			return
		}
		if refusal != nil {
			answer <- *refusal
			return
		}
		go func() { answer <- c.server.handle(r) }()
		if r.closing {
			c.awaitClose()
			return
		}
	}
}

// leave ends the work for a caller that closed its connection. One that sits
// idle, or a planned stop, lets what was read go on.
func (c *callerConn) leave(err error) {
	if errors.Is(err, errIdle) {
		return
	}
	c.cancel()
}

// awaitClose notices that a caller leaves after its last request.
func (c *callerConn) awaitClose() {
	_ = c.net.SetReadDeadline(time.Time{})
	c.budget.left = readBuffer
	if _, err := c.reader.Peek(1); err != nil && c.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		c.cancel()
	}
}

// errIdle ends a connection on which nothing is under way.
var errIdle = errors.New("connection is idle")

// readRequest reads one request, or says with which answer the connection ends.
func (c *callerConn) readRequest() (*request, *response, error) {
	limits := c.server.limits()
	if err := c.awaitFirstByte(limits); err != nil {
		return nil, nil, err
	}
	began := time.Now()
	_ = c.net.SetReadDeadline(began.Add(limits.HeaderTimeout))
	c.budget.left = limits.HeaderBytes + readBuffer
	hr, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.refuseHeader(err), c.readFailure(err)
	}
	r := &request{
		ctx:     c.ctx,
		began:   began,
		method:  hr.Method,
		uri:     hr.RequestURI,
		path:    rawPath(hr.RequestURI),
		host:    hr.Host,
		header:  hr.Header,
		closing: hr.Close,
	}
	if fault := framingFault(hr); fault != "" {
		return nil, c.refusal(http.StatusBadRequest, fault), nil
	}
	if headerBytes(hr) > limits.HeaderBytes {
		return nil, c.refusal(http.StatusRequestHeaderFieldsTooLarge, "request header is too large"), nil
	}
	if hr.ContentLength > int64(limits.BodyBytes) {
		return nil, c.refusal(http.StatusRequestEntityTooLarge, "request body is too large"), nil
	}
	refusal, err := c.readBody(hr, r, limits)
	return r, refusal, err
}

// headerBytes returns about how many bytes a request's header took.
func headerBytes(hr *http.Request) int {
	n := len(hr.Method) + len(hr.RequestURI) + len(hr.Host) + 24
	for name, values := range hr.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// framingFault finds requests that another server might divide differently.
func framingFault(hr *http.Request) string {
	if len(hr.TransferEncoding) > 0 && hr.Header.Get("Content-Length") != "" {
		return "request has both a length and chunks"
	}
	if len(hr.TransferEncoding) > 1 || len(hr.TransferEncoding) == 1 && hr.TransferEncoding[0] != "chunked" {
		return "transfer encoding is not supported"
	}
	return ""
}

// awaitFirstByte waits for the next request. An idle connection ends after the
// limit; while answers are due it only notices that the caller leaves.
func (c *callerConn) awaitFirstByte(limits deployment.CallerLimits) error {
	c.budget.left = limits.HeaderBytes + readBuffer
	for {
		if c.isEnding() {
			return errIdle
		}
		_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if c.isEnding() {
			return errIdle
		}
		_, err := c.reader.Peek(1)
		var timeout net.Error
		switch {
		case err == nil:
			c.startReading()
			return nil
		case errors.As(err, &timeout) && timeout.Timeout():
			if c.isEnding() || c.pendingCount() == 0 {
				return errIdle
			}
		default:
			return err
		}
	}
}

func (c *callerConn) readBody(hr *http.Request, r *request, limits deployment.CallerLimits) (*response, error) {
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil, nil
	}
	c.budget.left = 2*limits.BodyBytes + readBuffer
	if hr.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, fmt.Errorf("continue: %w", err)
		}
	}
	_ = c.net.SetReadDeadline(time.Now().Add(defaultBodyWait))
	body, err := io.ReadAll(io.LimitReader(hr.Body, int64(limits.BodyBytes)+1))
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return c.refusal(http.StatusRequestTimeout, "request body did not come in time"), nil
		}
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > limits.BodyBytes {
		return c.refusal(http.StatusRequestEntityTooLarge, "request body is too large"), nil
	}
	r.body = body
	return nil, nil
}

// refuseHeader answers a header that can't be read. A nil response means that
// the caller is gone.
func (c *callerConn) refuseHeader(err error) *response {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return c.refusal(http.StatusRequestHeaderFieldsTooLarge, "request header is too large")
	case errors.As(err, &timeout) && timeout.Timeout():
		return c.refusal(http.StatusRequestTimeout, "request header did not come in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return nil
	case errors.As(err, &timeout):
		return nil
	}
	return c.refusal(http.StatusBadRequest, "request can't be read: "+err.Error())
}

// readFailure returns the error where refuseHeader has no answer to it.
func (c *callerConn) readFailure(err error) error {
	if c.refuseHeader(err) != nil {
		return nil
	}
	return err
}

func (c *callerConn) refusal(status int, reason string) *response {
	c.server.log.Info("request refused before routing", "status", status, "reason", reason, "caller", c.net.RemoteAddr().String())
	r := refuse(status, reason)
	r.closing = true
	return &r
}

// errConnectionEnded reports an answer that came after its caller's connection
// had ended.
var errConnectionEnded = errors.New("caller's connection has ended")

// writeAnswers sends the answers in the order of their requests.
func (c *callerConn) writeAnswers() {
	broken := false
	for answer := range c.queue {
		r := <-answer
		ends := c.done()
		if broken {
			r.done(errConnectionEnded)
			continue
		}
		last := r.closing || ends
		err := c.write(r, last)
		r.done(err)
		if r.abort || err != nil || last {
			broken = true
			c.end()
		}
	}
}

// write sends one answer.
func (c *callerConn) write(r response, last bool) error {
	if r.abort {
		return nil
	}
	link, size := c.server.cfg.Link, r.size()
	small := r.rest == nil && (link == nil || size <= targethttp.StreamThresholdBytes)
	out := c.header(r, last)
	if small && !r.head {
		out = append(out, r.body...)
	}
	link.Count(len(out))
	if err := c.send(out); err != nil || small || r.head {
		return err
	}
	return c.writeLarge(r)
}

// writeLarge sends a body as it comes in, in chunks.
func (c *callerConn) writeLarge(r response) error {
	size := r.size()
	for at := 0; at < size; {
		part := r.body[min(at, len(r.body)):]
		if r.rest != nil {
			var err error
			if part, err = r.rest.Next(c.ctx, at); err != nil {
				return err
			}
		}
		if c.server.cfg.Link != nil {
			part = part[:min(len(part), limit.ChunkBytes)]
		}
		if err := c.server.cfg.Link.Wait(c.ctx, len(part), size-at); err != nil {
			return err
		}
		if err := c.send(part); err != nil {
			return err
		}
		at += len(part)
	}
	return nil
}

func (c *callerConn) send(data []byte) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.net.Write(data)
	return err
}

// header returns the header of an answer.
func (c *callerConn) header(r response, last bool) []byte {
	out := make([]byte, 0, 512+len(r.body))
	out = fmt.Appendf(out, "HTTP/1.1 %03d %s\r\n", r.status, http.StatusText(r.status))
	for name, values := range r.header {
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, v...)
			out = append(out, "\r\n"...)
		}
	}
	if r.status != http.StatusNoContent && r.status != http.StatusNotModified && (!r.head || r.header.Get("Content-Length") == "") {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(r.size()), 10)
		out = append(out, "\r\n"...)
	}
	if last {
		out = append(out, "Connection: close\r\n"...)
	}
	return append(out, "\r\n"...)
}

// end stops reading: the connection closes once its answers are out. The write
// side closes first, so that an answer is not lost to a reset.
func (c *callerConn) end() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.cancel()
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
}

// stopWhenIdle lets a planned stop end the connection: at once where nothing is
// under way, else with the answer that is due.
func (c *callerConn) stopWhenIdle() {
	c.mu.Lock()
	c.ending = true
	idle := c.pending == 0 && !c.reading
	c.mu.Unlock()
	if idle {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *callerConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

func (c *callerConn) startReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
}

// accepted counts a request that is due an answer.
func (c *callerConn) accepted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.pending++
}

// done counts an answer and reports whether it is the last one of a connection
// that a planned stop ends.
func (c *callerConn) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	return c.ending && c.pending == 0 && !c.reading
}

func (c *callerConn) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// rawPath returns the path of a request as the caller wrote it.
func rawPath(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}
