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
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// requestLog records which requests targets have received.
type requestLog struct {
	mu       sync.Mutex
	received map[string]bool
}

func (l *requestLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received == nil {
		l.received = make(map[string]bool)
	}
	l.received[id] = true
}

func (l *requestLog) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received[id]
}

func getLine(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", path, id)
}

// shutDown starts a graceful shutdown with the time limit and returns a channel that
// receives its result.
func (e *testEntry) shutDown(limit time.Duration) <-chan error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	e.t.Cleanup(cancel)
	result := make(chan error, 1)
	go func() { result <- e.server.Shutdown(ctx) }()
	for !e.server.isStopping() {
		time.Sleep(time.Millisecond)
	}
	return result
}

// TestNoRequestIsTakenAfterShutdown sends one before the process has ended.
func TestNoRequestIsTakenAfterShutdown(t *testing.T) {
	var log requestLog
	proceed := make(chan struct{})
	e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
		log.add(r.Header.Get("Request-Id"))
		<-proceed
		respondOK("x")(w, r)
	})
	defer close(proceed)
	assert.NilError(t, <-e.shutDown(10*time.Second))
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		return // a refused connection is what callers can repeat at once
	}
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)))
	_, _ = io.WriteString(conn, getLine("/look/x", "late"))
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.Assert(t, err != nil)
	assert.Assert(t, !log.has("late"), "a request was passed on after the shutdown had ended")
}

// holdUpShutdown opens a connection with a partly sent request.
func (e *testEntry) holdUpShutdown() {
	dial(e.t, e.address).send("GET /look/x HTTP/1.1\r\n")
	poll.WaitOn(e.t, func(poll.LogT) poll.Result {
		if e.server.readingConns() == 0 {
			return poll.Continue("the request has not arrived yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestRequestBehindLastAnswerIsPassedOnOnlyIfAnswered sends it while that answer is written.
func TestRequestBehindLastAnswerIsPassedOnOnlyIfAnswered(t *testing.T) {
	const callers = 8
	var log requestLog
	proceed := make(chan struct{})
	handler := func(w io.Writer, r *http.Request) {
		log.add(r.Header.Get("Request-Id"))
		if !strings.HasPrefix(r.URL.Path, "/fetch/") {
			respondOK("small")(w, r)
			return
		}
		<-proceed
		writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(largeBody), largeBody)
		time.Sleep(200 * time.Millisecond) // a body that takes long to arrive
		_, _ = io.WriteString(w, largeBody)
	}
	e := startEntry(t, nil, handler, handler, handler, handler)
	var conns []*caller
	for n := range callers {
		c := dial(t, e.address)
		c.send(getLine("/fetch/x", fmt.Sprintf("first-%d", n)))
		conns = append(conns, c)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for n := range callers {
			if !log.has(fmt.Sprintf("first-%d", n)) {
				return poll.Continue("request %d has not arrived", n)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	ended := e.shutDown(10 * time.Second)
	for e.server.stoppingConns() < callers {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	var wg sync.WaitGroup
	for n, c := range conns {
		wg.Go(func() {
			resp, err := http.ReadResponse(c.reader, nil)
			assert.Check(t, err)
			c.send(getLine("/look/x", fmt.Sprintf("second-%d", n)))
			body, err := io.ReadAll(resp.Body)
			assert.Check(t, err)
			assert.Check(t, len(body) == 2*len(largeBody))
			second, err := http.ReadResponse(c.reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, second.Body)
			}
			assert.Check(t, err == nil || !log.has(fmt.Sprintf("second-%d", n)), "request %d was passed on and not answered: %v", n, err)
		})
	}
	wg.Wait()
	assert.NilError(t, <-ended)
}

// stoppingConns counts connections that close after the responses that are due.
func (s *Server) stoppingConns() int {
	n := 0
	s.forEachConn(func(c *callerConn) {
		if c.isStopping() {
			n++
		}
	})
	return n
}

// TestLastAnswerIsNotLostToAReset has requests unread when the connection is closed.
func TestLastAnswerIsNotLostToAReset(t *testing.T) {
	body := strings.Repeat(largeBody, 64) // more than the socket buffers of a caller that reads slowly
	for _, c := range []struct {
		name, header string
		stop         bool
	}{
		{name: "in a graceful shutdown", stop: true},
		{name: "of a caller that closes", header: "Connection: close\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			proceed := make(chan struct{})
			arrived := make(chan struct{}, 1)
			e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
				arrived <- struct{}{}
				<-proceed
				respondOK(body)(w, r)
			})
			conn := dial(t, e.address)
			assert.NilError(t, conn.conn.(*net.TCPConn).SetReadBuffer(32<<10))
			if c.stop {
				conn.send("GET /fetch/x HTTP/1.1\r\nHost: h\r\n")
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if e.server.readingConns() == 0 {
						return poll.Continue("the request has not arrived yet")
					}
					return poll.Success()
				}, poll.WithDelay(time.Millisecond))
				e.shutDown(10 * time.Second)
				conn.send("Request-Id: first\r\n\r\n")
			} else {
				conn.send("GET /fetch/x HTTP/1.1\r\nHost: h\r\n" + c.header + "Request-Id: first\r\n\r\n")
			}
			<-arrived
			conn.send(strings.Repeat(getLine("/look/x", "second"), 200)) // more than the entry reads ahead
			close(proceed)
			resp, err := http.ReadResponse(conn.reader, nil)
			assert.NilError(t, err)
			assert.Assert(t, resp.Close)
			var got int
			for err == nil {
				var n int
				time.Sleep(time.Millisecond) // reads slowly
				n, err = resp.Body.Read(make([]byte, 64<<10))
				got += n
			}
			assert.Equal(t, err, io.EOF, "after %d of %d bytes", got, len(body))
		})
	}
}

// TestAnswerBeingWrittenIsNotLostToAReset has the shutdown begin while it is written.
func TestAnswerBeingWrittenIsNotLostToAReset(t *testing.T) {
	body := strings.Repeat(largeBody, 64)
	e := startEntry(t, nil, respondOK(body))
	c := dial(t, e.address)
	assert.NilError(t, c.conn.(*net.TCPConn).SetReadBuffer(32<<10))
	c.send(getLine("/fetch/x", "first"))
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	e.shutDown(10 * time.Second)
	time.Sleep(2 * shutdownPollInterval) // lets the shutdown look at the connection
	c.send(strings.Repeat(getLine("/look/x", "second"), 200))
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err, "after %d of %d bytes", len(got), len(body))
	second, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Assert(t, second.Close)
}

// TestNoRequestIsReadAndDroppedAtEndOfShutdown sends requests until the listener is closed.
func TestNoRequestIsReadAndDroppedAtEndOfShutdown(t *testing.T) {
	const callers = 16
	e := startEntry(t, nil, respondOK("x"))
	e.holdUpShutdown()
	ended := e.shutDown(500 * time.Millisecond)
	var callersDone sync.WaitGroup
	for range callers {
		callersDone.Go(func() {
			for {
				conn, err := net.Dial("tcp", e.address)
				if err != nil {
					return
				}
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // a failure shows at the read
				_, err = io.WriteString(conn, getLine("/look/x", "late"))
				if err == nil {
					_, err = http.ReadResponse(bufio.NewReader(conn), nil)
				}
				_ = conn.Close()
				// With bytes unread, the connection would have been reset.
				assert.Check(t, !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF), "a request was read and not answered")
			}
		})
	}
	<-ended // the time limit may end it
	e.stop()
	callersDone.Wait()
}
