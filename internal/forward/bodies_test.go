package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const testBodyBudget = 256 << 10

// startUploads starts an entry with the route /up/ for uploads and a small budget for bodies.
func startUploads(t *testing.T, link *limit.Link, handlers ...targetHandler) *testEntry {
	e := startEntry(t, link, handlers...)
	e.server.bodies.limit = testBodyBudget
	limits := defaultLimits()
	limits.BodyBytes = 4 * testBodyBudget
	e.updateView(&instance.ViewUpdate{Version: 2, ConfigIndex: 2, Current: true, ConfigChange: &deployment.ConfigChange{
		Version: 2, Limits: &limits, Routes: []deployment.Route{{
			Name: "up", Host: "h", Prefix: "/up/", Kind: deployment.Upload, Timeout: 2 * time.Second, Objective: time.Second, Attempts: 2,
			Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}},
		}},
	}})
	return e
}

// upload sends the header of a request with a body of n bytes, and the first part of it.
func (e *testEntry) upload(uri string, n int, part string) *caller {
	c := dial(e.t, e.address)
	c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", uri, strings.ReplaceAll(uri, "/", "-"), n, part))
	return c
}

// readAllOK reads the whole body of a request and answers.
func readAllOK(w io.Writer, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	respondOK(fmt.Sprint(n))(w, r)
}

// assertRejectedUnread checks that a request was rejected for now, and its connection closed.
func (c *caller) assertRejectedUnread(status int) {
	c.t.Helper()
	got, _, resp := c.readResponse()
	assert.Equal(c.t, got, status)
	assert.Assert(c.t, resp.Close)
	if status == http.StatusServiceUnavailable {
		assert.Assert(c.t, resp.Header.Get("Retry-After") != "")
	}
}

// TestBodyBudget guards against bodies that together exceed the memory of an entry.
func TestBodyBudget(t *testing.T) {
	t.Run("a declared length that does not fit is rejected before the body is read", func(t *testing.T) {
		e := startUploads(t, nil, readAllOK)
		e.upload("/up/x", testBodyBudget+1, "").assertRejectedUnread(http.StatusServiceUnavailable)
		assert.Equal(t, e.server.HeldBodyBytes(), 0)
	})
	t.Run("all requests share it, and it is free once they end", func(t *testing.T) {
		e := startUploads(t, nil, readAllOK)
		const part = testBodyBudget * 3 / 4
		slow := e.upload("/up/slow", part, "a")
		for e.server.HeldBodyBytes() == 0 {
			time.Sleep(time.Millisecond)
		}
		e.upload("/up/second", part, "").assertRejectedUnread(http.StatusServiceUnavailable)
		assert.Equal(t, e.receivedCount(), 0, "no target is asked before a body is complete")
		slow.send(strings.Repeat("a", part-1))
		_, got, err := slow.readBody()
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprint(part))
		assert.Equal(t, e.server.HeldBodyBytes(), 0)
	})
	t.Run("a chunked body is sent unless it outgrows it", func(t *testing.T) {
		e := startUploads(t, nil, readAllOK)
		send := func(n int) *caller {
			c := dial(t, e.address)
			c.send("POST /up/x HTTP/1.1\r\nHost: h\r\nRequest-Id: x\r\nTransfer-Encoding: chunked\r\n\r\n")
			go func() {
				// The entry may close the connection before it has read all.
				_, _ = fmt.Fprintf(c.conn, "%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("a", n))
			}()
			return c
		}
		_, got, err := send(50_000).readBody()
		assert.NilError(t, err)
		assert.Equal(t, got, "50000")
		send(2 * testBodyBudget).assertRejectedUnread(http.StatusServiceUnavailable)
		assert.Equal(t, e.server.HeldBodyBytes(), 0)
		assert.Equal(t, e.receivedCount(), 1)
	})
	t.Run("a caller that breaks off in its body causes nothing at a target", func(t *testing.T) {
		e := startUploads(t, nil, readAllOK)
		c := e.upload("/up/x", 100_000, "aaa")
		for e.server.HeldBodyBytes() == 0 {
			time.Sleep(time.Millisecond)
		}
		assert.NilError(t, c.conn.Close())
		for deadline := time.Now().Add(5 * time.Second); e.server.HeldBodyBytes() > 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "the body still counts")
		}
		assert.Equal(t, e.receivedCount(), 0)
	})
}

// TestEarlyRejection guards against taking in bodies of requests that are rejected anyway.
func TestEarlyRejection(t *testing.T) {
	cases := []struct {
		name, uri, header string
		link              *limit.Link
		status            int
	}{
		{"without a route", "/none/x", "", nil, http.StatusNotFound},
		{"before 100 Continue", "/none/x", "Expect: 100-continue\r\n", nil, http.StatusNotFound},
		{"without the time for it on a narrow link", "/up/x", "", limit.NewLink(32 << 10), http.StatusServiceUnavailable},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			c := dial(t, startUploads(t, tt.link, readAllOK).address)
			c.send("POST " + tt.uri + " HTTP/1.1\r\nHost: h\r\nRequest-Id: x\r\n" + tt.header + "Content-Length: 100000\r\n\r\n")
			c.assertRejectedUnread(tt.status)
		})
	}
	t.Run("while the only target wants no requests", func(t *testing.T) {
		e := startUploads(t, nil, sequence(respondStatus(http.StatusServiceUnavailable, "Retry-After: 5\r\nNot-Run: 1\r\n"), readAllOK))
		e.statusOf("/look/x")
		e.upload("/up/x", 100_000, "").assertRejectedUnread(http.StatusServiceUnavailable)
		assert.Equal(t, e.receivedCount(), 1)
	})
	t.Run("a check of an upload changes no state", func(t *testing.T) {
		e := startUploads(t, nil, readAllOK)
		route, _ := e.server.cfg.View.View().Routes.Find("h", "/up/x")
		split := *route
		split.Split = []deployment.WeightedService{{Service: "catalog", Weight: 1}, {Service: "shelf", Weight: 1}}
		e.updateView(&instance.ViewUpdate{Version: 3, ConfigIndex: 3, Current: true, ConfigChange: &deployment.ConfigChange{Version: 3, Routes: []deployment.Route{split}}})
		r := &request{start: time.Now(), host: "h", path: "/up/x", header: http.Header{"Request-Id": {"x"}}}
		for range 3 {
			assert.Assert(t, e.server.rejectEarly(r, 100_000) == nil)
		}
		assert.Equal(t, len(e.server.split.routes), 0)
		assert.Equal(t, len(e.server.retryBudgets), 0)
	})
}

// TestUploadMayHaveRun guards against running an upload twice after a target reset the
// connection in the middle of its body.
func TestUploadMayHaveRun(t *testing.T) {
	reset := func(w io.Writer, r *http.Request) {
		// The rest of the test shows whether the connection was reset.
		_, _ = io.ReadFull(r.Body, make([]byte, 1000))
		_ = w.(*net.TCPConn).SetLinger(0)
		_ = w.(net.Conn).Close()
	}
	e := startUploads(t, nil, reset, reset)
	const n = 200_000
	status, _, _ := e.upload("/up/x", n, strings.Repeat("a", n)).readResponse()
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, e.receivedCount(), 1)
}

// TestBodyTimeOnLink guards against uploads that are expected in time and held up by the
// entry's own link, and against taking that time for the target's.
func TestBodyTimeOnLink(t *testing.T) {
	link := limit.NewLink(100_000)
	s := &Server{cfg: Config{Link: link}}
	upload := &call{request: &request{body: make([]byte, 50_000)}, route: &deployment.Route{Kind: deployment.Upload}}
	booking := &call{request: upload.request, route: &deployment.Route{Kind: deployment.Booking}}
	assert.Equal(t, s.bodyTime(upload), 500*time.Millisecond)
	assert.Equal(t, s.bodyTime(booking), time.Duration(0))
	s.countBody(upload, &bodyPace{link: s.cfg.Link})
	assert.Assert(t, s.bodyTime(upload) > 900*time.Millisecond, "it waits behind the one before")

	clock := timer.NewManual()
	ts, x := newTargetStates(clock), testTarget(1, "a")
	for range 60 {
		res := success(0)
		res.bodyTime = upload.bodyTime
		exchange(ts, clock, x, 620*time.Millisecond, res)
	}
	clock.Advance(time.Second)
	expected, _ := ts.expected(x)
	assert.Assert(t, expected < 160*time.Millisecond, "%v", expected)
}
