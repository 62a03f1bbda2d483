package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

type nopObserver struct{}

func (nopObserver) Responded(string, string, int, time.Duration) {}

// startServer starts an entry that has no configuration. It rejects all requests,
// each with its ID.
func startServer(t *testing.T) (*Server, string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := timer.NewSystem(ctx)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	quiet := log.New(io.Discard)
	targetPool, closeTargets := targethttp.NewPool(clock)
	t.Cleanup(closeTargets)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, stop := Serve(ctx, l, Config{
		Name:       "entry",
		Headers:    HeaderNames{RequestID: "Request-Id"},
		View:       view.Follow(ctx, view.FollowerConfig{Name: "entry", Seeds: []string{"127.0.0.1:1"}, Pool: pool, Log: quiet}),
		Pool:       targetPool,
		Clock:      clock,
		Log:        quiet,
		RoutineLog: quiet,
		Observer:   nopObserver{},
		Report:     func(instance.ReportRequest) *instance.ReportResponse { return nil },
	})
	t.Cleanup(stop)
	return s, l.Addr().String()
}

// caller is a caller's connection to an entry.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &caller{t: t, conn: c, reader: bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// readResponse reads one response and returns it with its status and request ID.
func (c *caller) readResponse() (int, string, *http.Response) {
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode, resp.Header.Get("Request-Id"), resp
}

// assertClosed checks that the entry has closed its side.
func (c *caller) assertClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.Equal(c.t, err, io.EOF)
}

func get(id string) string {
	return fmt.Sprintf("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", id)
}

func TestCallerConnections(t *testing.T) {
	t.Run("pipelined requests are answered in order", func(t *testing.T) {
		_, address := startServer(t)
		c := dial(t, address)
		c.send(get("one") + get("two") + "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: three\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("four"))
		for _, want := range []string{"one", "two", "three", "four"} {
			status, id, resp := c.readResponse()
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, id, want)
			assert.Assert(t, resp.Header.Get("Retry-After") != "")
		}
	})
	cases := []struct {
		name, request string
		status        int
	}{
		{"header too large", "GET /x HTTP/1.1\r\nHost: h\r\nBig: " + strings.Repeat("x", 40000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"malformed request", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"two lengths", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name+" is rejected", func(t *testing.T) {
			_, address := startServer(t)
			conn := dial(t, address)
			conn.send(c.request)
			status, _, _ := conn.readResponse()
			assert.Equal(t, status, c.status)
		})
	}
	t.Run("connection closes if the caller asks for it", func(t *testing.T) {
		_, address := startServer(t)
		c := dial(t, address)
		c.send("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: last\r\nConnection: close\r\n\r\n")
		_, id, resp := c.readResponse()
		assert.Equal(t, id, "last")
		assert.Assert(t, resp.Close)
		c.assertClosed()
	})
}

// readingConns counts connections on which part of a request was read.
func (s *Server) readingConns() int {
	n := 0
	s.forEachConn(func(c *callerConn) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.reading {
			n++
		}
	})
	return n
}

func TestGracefulShutdown(t *testing.T) {
	s, address := startServer(t)
	idle, busy := dial(t, address), dial(t, address)
	idle.send(get("before"))
	idle.readResponse()
	busy.send("POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: half\r\nContent-Length: 4\r\n\r\nab")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.readingConns() == 0 {
			return poll.Continue("the request has not arrived yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	t.Run("idle connections are closed", func(*testing.T) { idle.assertClosed() })
	t.Run("a connection opened now gets its request answered", func(t *testing.T) {
		late := dial(t, address)
		time.Sleep(2 * shutdownPollInterval)
		late.send(get("late"))
		_, id, resp := late.readResponse()
		assert.Equal(t, id, "late")
		assert.Assert(t, resp.Close)
		late.assertClosed()
	})
	t.Run("a connection without a request does not hold up the shutdown", func(t *testing.T) {
		dial(t, address).assertClosed()
	})
	t.Run("a partly read request is answered", func(t *testing.T) {
		busy.send("cd")
		_, id, resp := busy.readResponse()
		assert.Equal(t, id, "half")
		assert.Assert(t, resp.Close)
		busy.assertClosed()
	})
	assert.NilError(t, <-stopped)
}
