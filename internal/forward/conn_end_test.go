package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// TestRequestBehindLastAnswerResetsNothingInShutdown sends a request behind the last answer 200 ms after it was written.
func TestRequestBehindLastAnswerResetsNothingInShutdown(t *testing.T) {
	body := strings.Repeat(largeBody, 32)
	proceed := make(chan struct{})
	arrived := make(chan struct{}, 1)
	e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
		arrived <- struct{}{}
		<-proceed
		respondOK(body)(w, r)
	})
	conn := dial(t, e.address)
	assert.NilError(t, conn.conn.(*net.TCPConn).SetReadBuffer(32<<10))
	conn.send("GET /fetch/x HTTP/1.1\r\nHost: h\r\n")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.server.readingConns() == 0 {
			return poll.Continue("the request has not arrived yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	e.shutDown(10 * time.Second)
	conn.send("Request-Id: first\r\n\r\n")
	<-arrived
	close(proceed)
	time.Sleep(300 * time.Millisecond) // the answer is on its way to the caller
	conn.send(getLine("/look/x", "second"))
	time.Sleep(50 * time.Millisecond) // lets a reset arrive
	resp, err := http.ReadResponse(conn.reader, nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err, "after %d of %d bytes", n, len(body))
}

// TestAnswerOnItsWayIsNotLostToAnIdleClose has the shutdown begin when the answer was written
// but has not arrived.
func TestAnswerOnItsWayIsNotLostToAnIdleClose(t *testing.T) {
	body := strings.Repeat(largeBody, 16)
	e := startEntry(t, nil, respondOK(body))
	conn := dial(t, e.address)
	assert.NilError(t, conn.conn.(*net.TCPConn).SetReadBuffer(32<<10))
	conn.send(getLine("/fetch/x", "first"))
	time.Sleep(300 * time.Millisecond) // the answer is written
	e.shutDown(10 * time.Second)
	time.Sleep(2 * shutdownPollInterval) // lets the shutdown look at the connection
	conn.send(getLine("/look/x", "second"))
	time.Sleep(50 * time.Millisecond) // lets a reset arrive
	resp, err := http.ReadResponse(conn.reader, nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err, "after %d of %d bytes", n, len(body))
}

// TestContinueIsNotSentInsideAnAnswer sends Expect: 100-continue while an earlier answer is streamed.
func TestContinueIsNotSentInsideAnAnswer(t *testing.T) {
	body := bytes.Repeat([]byte("z"), 2*len(largeBody))
	e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
		writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", len(body), body[:len(largeBody)])
		time.Sleep(300 * time.Millisecond)
		_, _ = w.Write(body[len(largeBody):])
	})
	c := dial(t, e.address)
	c.send(getLine("/fetch/x", "first"))
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	c.send("POST /book/x HTTP/1.1\r\nHost: h\r\nRequest-Id: second\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body), "the body has other bytes: %q", fmt.Sprintf("%.60s", bytes.ReplaceAll(got, []byte("z"), nil)))
}

// TestRequestNotPassedOnIsRejectedAtEndOfShutdown has requests wait for a moving key.
func TestRequestNotPassedOnIsRejectedAtEndOfShutdown(t *testing.T) {
	e := &testEntry{t: t, targetDrain: usualDrain, further: make(chan *instance.ViewUpdate)}
	limits := defaultLimits()
	change := deployment.ConfigChange{Version: 1, Whole: true, Limits: &limits,
		Services: []deployment.Service{{Name: "shelf", Connections: 100, Keyed: true}},
		Routes: []deployment.Route{{Name: "keyed", Host: "h", Prefix: "/keyed/", Kind: deployment.Booking, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond, Attempts: 1,
			Split: []deployment.WeightedService{{Service: "shelf", Weight: 1}}}},
	}
	update := instance.ViewUpdate{Whole: true, Version: 1, ConfigIndex: 1, ConfigChange: &change, Current: true}
	// The owner is draining, and its range is being released to another target.
	update.Targets = []deployment.Target{{ID: "t0", StartMillis: 1, Service: "shelf", Slots: 4, Status: deployment.Draining, Address: e.startTarget("t0", respondOK("x")), AvailabilityZone: "a"}}
	update.Tables = []deployment.KeyTable{{Service: "shelf", Changed: 1, Ranges: []deployment.Range{
		{To: deployment.MaxKey, Phase: deployment.Releasing, Target: "t0", StartMillis: 1, Fence: 1},
	}}}
	control := listenLocal(t)
	e.stopControl = instance.ServeDeployment(control, &publisher{update: update, further: e.further}, instance.Security{}, &instance.Traffic{})
	t.Cleanup(e.stopControl)
	e.serveEntry(control.Addr().String(), nil)
	var conns []*caller
	for range 16 {
		c := dial(t, e.address)
		c.send("GET /keyed/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: 7\r\n\r\n")
		conns = append(conns, c)
	}
	time.Sleep(400 * time.Millisecond) // more than the loss slack
	assert.Assert(t, <-e.shutDown(500*time.Millisecond) != nil)
	e.stop()
	noAnswer := 0
	for _, c := range conns {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			noAnswer++
			continue
		}
		assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable, "status %d", resp.StatusCode)
	}
	assert.Equal(t, noAnswer, 0)
}

// TestIdleTimeCountsFromTheAnswer reuses a connection well within the idle timeout.
func TestIdleTimeCountsFromTheAnswer(t *testing.T) {
	e := &testEntry{t: t, targetDrain: usualDrain, further: make(chan *instance.ViewUpdate)}
	limits := defaultLimits()
	limits.IdleTimeout = time.Second
	change := deployment.ConfigChange{Version: 1, Whole: true, Limits: &limits,
		Services: []deployment.Service{{Name: "catalog", Connections: 100}},
		Routes: []deployment.Route{{Name: "look", Host: "h", Prefix: "/look/", Kind: deployment.Lookup, Timeout: 3 * time.Second, Objective: 2000 * time.Millisecond, Attempts: 1,
			Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}}}},
	}
	update := instance.ViewUpdate{Whole: true, Version: 1, ConfigIndex: 1, ConfigChange: &change, Current: true}
	update.Targets = []deployment.Target{{ID: "t0", StartMillis: 1, Service: "catalog", Slots: 4, Status: deployment.Live, Address: e.startTarget("t0", func(w io.Writer, r *http.Request) {
		time.Sleep(800 * time.Millisecond)
		respondOK("x")(w, r)
	}), AvailabilityZone: "a"}}
	control := listenLocal(t)
	e.stopControl = instance.ServeDeployment(control, &publisher{update: update, further: e.further}, instance.Security{}, &instance.Traffic{})
	t.Cleanup(e.stopControl)
	e.serveEntry(control.Addr().String(), nil)
	c := dial(t, e.address)
	c.send(getLine("/look/x", "first"))
	status, _, _ := c.readResponse()
	assert.Equal(t, status, http.StatusOK)
	time.Sleep(limits.IdleTimeout / 2)
	_, _ = io.WriteString(c.conn, getLine("/look/x", "second"))
	_, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err, "after half of the idle timeout")
}

// TestRequestsBehindABrokenAnswer sends them ahead of an answer that its target breaks off.
func TestRequestsBehindABrokenAnswer(t *testing.T) {
	var log requestLog
	h := func(w io.Writer, r *http.Request) {
		log.add(r.Header.Get("Request-Id"))
		if strings.HasPrefix(r.URL.Path, "/fetch/") {
			writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(largeBody), largeBody)
			time.Sleep(100 * time.Millisecond)
			w.(io.Closer).Close()
			return
		}
		respondOK("x")(w, r)
	}
	e := startEntry(t, nil, h, h, h)
	c := dial(t, e.address)
	c.send(getLine("/fetch/x", "first") + getLine("/look/x", "second-0") + getLine("/look/x", "second-1"))
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_, err = http.ReadResponse(c.reader, nil)
	for n := range 2 {
		assert.Check(t, err == nil || !log.has(fmt.Sprintf("second-%d", n)), "passed on and not answered: %v", err)
	}
}

// TestBodyInTooManyChunksIsRejected sends chunks of one byte.
func TestBodyInTooManyChunksIsRejected(t *testing.T) {
	e := startEntry(t, nil, respondOK("x"))
	c := dial(t, e.address)
	go func() {
		_, _ = fmt.Fprint(c.conn, "POST /book/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n")
		buf := make([]byte, 0, 1<<16)
		for range 700 {
			buf = buf[:0]
			for range 1000 {
				buf = append(buf, "1\r\nx\r\n"...)
			}
			if _, err := c.conn.Write(buf); err != nil {
				return
			}
		}
		_, _ = fmt.Fprint(c.conn, "0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// TestDrainingEntryRejectsRequestsOfOthers checks that another entry is asked instead.
func TestDrainingEntryRejectsRequestsOfOthers(t *testing.T) {
	e := startEntry(t, nil, respondOK("x"))
	e.server.Drain(context.Background())
	c := dial(t, e.relay)
	c.send(fmt.Sprintf("GET /look/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n%s: 1\r\n%s: 1\r\n%s: catalog\r\n\r\n", relayConfigHeader, relayAttemptsHeader, relayServiceHeader))
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get(relayRejectedHeader), rejectedAll)
	assert.Assert(t, resp.Close)
}

// learn sets what the entry has measured of the service time of targets.
func (e *testEntry) learn(serviceTime time.Duration, ids ...string) {
	e.t.Helper()
	for _, id := range ids {
		target, ok := e.server.cfg.View.View().Target(id)
		assert.Assert(e.t, ok)
		e.server.targets.mu.Lock()
		e.server.targets.state(target).serviceTime = serviceTime.Seconds()
		e.server.targets.mu.Unlock()
	}
}

// Guards against an entry that stops and closes a connection behind one answer, while a target
// works on the next request of the connection.
func TestRequestsBehindARejectionAreAnsweredInShutdown(t *testing.T) {
	const work, limit = 400 * time.Millisecond, 650 * time.Millisecond
	var log requestLog
	target := func(w io.Writer, r *http.Request) {
		log.add(r.Header.Get("Request-Id"))
		if r.URL.Path == "/look/fails" {
			time.Sleep(work / 2)
			respondStatus(http.StatusInternalServerError, "")(w, r)
			return
		}
		time.Sleep(work)
		respondOK("served")(w, r)
	}
	e := startEntry(t, nil, target, target)
	e.learn(work, "t0", "t1")
	c := dial(t, e.address)
	c.send(getLine("/look/fails", "first") + getLine("/look/works", "second"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !log.has("first") || !log.has("second") {
			return poll.Continue("a request was not passed on")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	stopped := e.shutDown(limit)
	// No target may be sent the first request again: it would outlast the shutdown.
	wantResponse(t, c, http.StatusInternalServerError, "")
	wantResponse(t, c, http.StatusOK, "served")
	assert.NilError(t, c.conn.Close())
	assert.NilError(t, <-stopped)
}
