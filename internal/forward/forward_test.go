package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatcher"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// testHeaderNames returns header names in the canonical form of net/http.
func testHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: "Request-Id", Deadline: "Deadline", Target: "Target", Signature: "Signature", NotRun: "Not-Run", Load: "Load", Key: "Key", Leaving: "Leaving",
		ParseRest: func(value string) (time.Duration, bool) {
			seconds, err := strconv.ParseFloat(value, 64)
			return time.Duration(seconds * float64(time.Second)), err == nil && seconds > 0 && seconds < 600
		},
		ParseLoad: func(value string) (Load, bool) {
			var l Load
			n, err := fmt.Sscanf(value, "%d,%d,%d", &l.Running, &l.Waiting, &l.Slots)
			return l, n == 3 && err == nil
		},
	}
}

// publisher is a control instance that streams a fixed view, and the messages sent on
// further.
type publisher struct {
	instance.DeploymentHandler
	update  instance.ViewUpdate
	further chan *instance.ViewUpdate
}

func (p *publisher) Watch(ctx context.Context, _ *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	for ctx.Err() == nil {
		if err := send(&p.update); err != nil {
			return err
		}
		select {
		case u := <-p.further:
			if err := send(u); err != nil {
				return err
			}
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// targetHandler handles a request at a target.
type targetHandler func(w io.Writer, r *http.Request)

// writeResponse writes the status line, the headers common to all answers, and the
// formatted rest. A refusal is not signed.
func writeResponse(w io.Writer, r *http.Request, code int, format string, args ...any) {
	rest := fmt.Sprintf(format, args...)
	if code >= http.StatusBadRequest && strings.Contains(rest, "Not-Run: ") {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%s", code, r.Header.Get("Request-Id"), rest)
		return
	}
	// A disconnected caller shows in the test's own checks.
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nSignature: s\r\nRequest-Id: %s\r\n%s", code, r.Header.Get("Request-Id"), rest)
}

func respondOK(body string) targetHandler { return respondWith(http.StatusOK, body) }

// respondWith answers with a status and a body.
func respondWith(code int, body string) targetHandler {
	return func(w io.Writer, r *http.Request) {
		writeResponse(w, r, code, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// respondStatus answers with a status and header lines, without a body.
func respondStatus(code int, header string) targetHandler {
	return func(w io.Writer, r *http.Request) { writeResponse(w, r, code, "%sContent-Length: 0\r\n\r\n", header) }
}

// sequence uses one handler per request, and the last one for all further requests.
func sequence(list ...targetHandler) targetHandler {
	var mu sync.Mutex
	return func(w io.Writer, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		list[0](w, r)
		if len(list) > 1 {
			list = list[1:]
		}
	}
}

// testEntry is an entry with its targets.
type testEntry struct {
	t           *testing.T
	address     string
	relay       string // address for other entries
	dispatch    string // address for other entries' requests for slots
	server      *Server
	stopControl func()
	stop        func()                    // ends the entry at once
	further     chan *instance.ViewUpdate // from the control instance

	targetDrain time.Duration // for which a leaving target serves requests

	unconfirmed        atomic.Bool   // reports are not answered
	targetsUnconfirmed atomic.Bool   // answers to reports confirm no targets
	newest             atomic.Uint64 // log index that accepted the newest configuration

	mu       sync.Mutex
	received []string                 // IDs of the targets that received a request, in order
	demand   []instance.ServiceDemand // reported
	crashes  []deployment.CrashReport // reported
}

// startEntry starts an entry and a target for each handler. All targets serve the
// routes /look/, /fetch/ and /book/; the first one owns all keys of /keyed/.
func startEntry(t *testing.T, link *limit.Link, handlers ...targetHandler) *testEntry {
	return startEntryWith(t, link, usualDrain, handlers...)
}

// startDrainEntry is startEntry for tests in which targets drain for testDrain.
func startDrainEntry(t *testing.T, handlers ...targetHandler) *testEntry {
	return startEntryWith(t, nil, testDrain, handlers...)
}

func startEntryWith(t *testing.T, link *limit.Link, drain time.Duration, handlers ...targetHandler) *testEntry {
	e := &testEntry{t: t, targetDrain: drain, further: make(chan *instance.ViewUpdate)}
	e.newest.Store(1)
	change := deployment.ConfigChange{Version: 1, Whole: true, Services: []deployment.Service{{Name: "catalog", Connections: 100}}}
	for kind, name := range map[deployment.Kind]string{deployment.Lookup: "look", deployment.Download: "fetch", deployment.Booking: "book"} {
		change.Routes = append(change.Routes, deployment.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second, Objective: 500 * time.Millisecond, Attempts: 2,
			Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}},
		})
	}
	change.Services = append(change.Services, deployment.Service{Name: "shelf", Connections: 100, Keyed: true})
	keyed := change.Routes[0]
	keyed.Name, keyed.Prefix, keyed.Kind = "keyed", "/keyed/", deployment.Lookup
	keyed.Split = []deployment.WeightedService{{Service: "shelf", Weight: 1}}
	change.Routes = append(change.Routes, keyed)
	limits := defaultLimits()
	change.Limits = &limits
	update := instance.ViewUpdate{Whole: true, Version: 1, ConfigIndex: 1, ConfigChange: &change, Current: true}
	for n, h := range handlers {
		id := fmt.Sprintf("t%d", n)
		update.Targets = append(update.Targets, deployment.Target{
			ID: id, StartMillis: 1, Service: "catalog", Slots: 4, Status: deployment.Live, Address: e.startTarget(id, h), AvailabilityZone: "a",
		})
	}
	update.Tables = []deployment.KeyTable{{Service: "shelf", Changed: 1, Ranges: []deployment.Range{
		{To: deployment.MaxKey, Phase: deployment.Owned, Target: "t0", StartMillis: 1, Fence: 1},
	}}}
	control := listenLocal(t)
	e.stopControl = instance.ServeDeployment(control, &publisher{update: update, further: e.further}, instance.Security{}, &instance.Traffic{})
	t.Cleanup(e.stopControl)
	e.serveEntry(control.Addr().String(), link)
	return e
}

func listenLocal(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// testDrain is for how long a leaving target serves requests in tests of that. Others use
// usualDrain, beside which a late answer to a report does not matter.
const (
	testDrain  = 400 * time.Millisecond
	usualDrain = 4 * time.Second
)

// testConfigApply is the time within which a configuration has to be in force at a testEntry.
const testConfigApply = time.Second

func (e *testEntry) serveEntry(control string, link *limit.Link) {
	ctx, cancel := context.WithCancel(context.Background())
	e.t.Cleanup(cancel)
	clock := timer.NewSystem(ctx)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	e.t.Cleanup(closePool)
	targetPool, closeTargets := targethttp.NewPool(clock)
	e.t.Cleanup(closeTargets)
	quiet := log.New(io.Discard)
	l, peers := listenLocal(e.t), listenLocal(e.t)
	follower := view.Follow(ctx, view.FollowerConfig{Name: "entry", Seeds: []string{control}, Pool: pool, Log: quiet, ConfigApply: testConfigApply, TargetDrain: e.targetDrain})
	dispatch := listenLocal(e.t)
	d := dispatcher.New(ctx, dispatcher.Config{
		Name: "entry", Address: dispatch.Addr().String(), View: follower, Clock: clock, Log: quiet, Open: pool.OpenDispatch,
	})
	e.t.Cleanup(instance.ServeDispatch(dispatch, d, instance.Security{}, &instance.Traffic{}))
	e.dispatch = dispatch.Addr().String()
	server, stop := Serve(ctx, l, Config{
		Name: "entry", AvailabilityZone: "a", Headers: testHeaderNames(), View: follower, Pool: targetPool, Clock: clock, Log: quiet, RoutineLog: quiet,
		Observer: nopObserver{}, Report: e.recordReport,
		RetryRatio: 1, RetrySlack: 10, RetryShare: 1, ConfigApply: testConfigApply, TargetDrain: e.targetDrain, Link: link, RelayAddress: peers.Addr().String(),
		Dispatcher: d,
	})
	e.t.Cleanup(stop)
	server.ServePeers(peers)
	e.server, e.address, e.relay, e.stop = server, l.Addr().String(), peers.Addr().String(), stop
	for deadline := time.Now().Add(10 * time.Second); follower.View().ConfigIndex == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(e.t, time.Now().Before(deadline), "the entry received no view")
	}
}

// startTarget starts a target that serves each connection with the handler, and
// returns its address.
func (e *testEntry) startTarget(id string, h targetHandler) string {
	l := listenLocal(e.t)
	e.serveTarget(l, id, h)
	return l.Addr().String()
}

// serveTarget serves the connections to a target until its listener is closed.
func (e *testEntry) serveTarget(l net.Listener, id string, h targetHandler) {
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					e.mu.Lock()
					e.received = append(e.received, id)
					e.mu.Unlock()
					h(c, r)
				}
			}()
		}
	}()
}

// request sends a request on a new connection.
func (e *testEntry) request(method, uri string) *caller {
	c := dial(e.t, e.address)
	c.send(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nKey: 7\r\nRequest-Id: %s\r\n\r\n", method, uri, strings.ReplaceAll(uri, "/", "-")))
	return c
}

// readBody reads a response and its body up to its end or the first error.
func (c *caller) readBody() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

var largeBody = strings.Repeat("0123456789abcdef", 4<<10) // 64 KB

func TestLargeResponses(t *testing.T) {
	t.Run("are streamed before they are complete", func(t *testing.T) {
		proceed := make(chan struct{})
		e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
			writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(largeBody), largeBody)
			<-proceed
			_, _ = io.WriteString(w, largeBody)
		})
		c := e.request("GET", "/fetch/x")
		resp, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadFull(resp.Body, make([]byte, len(largeBody)))
		assert.NilError(t, err)
		close(proceed)
		rest, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), largeBody)
	})
	t.Run("a body that breaks off ends the caller's response early", func(t *testing.T) {
		e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
			writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(largeBody), largeBody)
			_ = w.(net.Conn).Close()
		})
		_, got, err := e.request("GET", "/fetch/x").readBody()
		assert.Assert(t, err != nil && len(got) <= len(largeBody), "%d bytes, %v", len(got), err)
	})
	t.Run("an error is read completely before it is handled", func(t *testing.T) {
		e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
			writeResponse(w, r, http.StatusServiceUnavailable, "Not-Run: yes\r\nContent-Length: %d\r\n\r\n%s", len(largeBody), largeBody)
		}, respondOK(largeBody))
		for n := range 8 {
			resp, got, err := e.request("GET", fmt.Sprintf("/fetch/%d", n)).readBody()
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, got, largeBody)
		}
	})
	t.Run("transfer ends when the caller disconnects", func(t *testing.T) {
		ended := make(chan struct{})
		e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
			writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(largeBody), largeBody)
			for {
				if _, err := w.Write([]byte("x")); err != nil {
					close(ended)
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
		c := e.request("GET", "/fetch/x")
		_, err := c.reader.ReadByte()
		assert.NilError(t, err)
		assert.NilError(t, c.conn.Close())
		<-ended
	})
	t.Run("are overtaken by small ones on a narrow link", func(t *testing.T) {
		e := startEntry(t, limit.NewLink(64<<10), func(w io.Writer, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/fetch/") {
				respondOK(largeBody)(w, r)
				return
			}
			respondOK("small")(w, r)
		})
		began := time.Now()
		fetch := e.request("GET", "/fetch/x")
		_, err := fetch.reader.ReadByte()
		assert.NilError(t, err)
		assert.NilError(t, fetch.reader.UnreadByte())
		_, got, err := e.request("GET", "/look/x").readBody()
		assert.NilError(t, err)
		assert.Equal(t, got, "small")
		lookupTime := time.Since(began)
		_, got, err = fetch.readBody()
		assert.NilError(t, err)
		assert.Equal(t, got, largeBody)
		assert.Assert(t, lookupTime < time.Since(began)/2, "lookup took %v of %v", lookupTime, time.Since(began))
	})
}

func TestHeadRequest(t *testing.T) {
	e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
		writeResponse(w, r, http.StatusOK, "Content-Length: 5\r\n\r\n") // of the body that GET would return
	})
	c := e.request("HEAD", "/look/x")
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.ContentLength, int64(5))
}

// TestShedByOwner requests a key whose owner sheds the request.
func TestShedByOwner(t *testing.T) {
	notRun := "Not-Run: yes\r\n"
	t.Run("once: the request is sent again", func(t *testing.T) {
		e := startEntry(t, nil, sequence(respondStatus(http.StatusServiceUnavailable, notRun), respondOK("hello")))
		resp, got, err := e.request("GET", "/keyed/x").readBody()
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, got, "hello")
	})
	t.Run("always: the caller gets a rejection at once", func(t *testing.T) {
		e := startEntry(t, nil, respondStatus(http.StatusServiceUnavailable, notRun))
		e.assertRejectedAtOnce(2)
	})
	t.Run("while overloaded: the request is not sent again", func(t *testing.T) {
		e := startEntry(t, nil, respondStatus(http.StatusServiceUnavailable, notRun+"Load: 4,9,4\r\n"))
		e.assertRejectedAtOnce(1)
	})
}

// assertRejectedAtOnce checks that a keyed request is rejected long before its
// deadline of one second, with a Retry-After, and that targets received it that many
// times.
func (e *testEntry) assertRejectedAtOnce(times int) {
	e.t.Helper()
	began := time.Now()
	resp, _, err := e.request("GET", "/keyed/x").readBody()
	assert.NilError(e.t, err)
	assert.Equal(e.t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(e.t, resp.Header.Get("Retry-After") != "")
	assert.Assert(e.t, time.Since(began) < 300*time.Millisecond, "after %v", time.Since(began))
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(e.t, len(e.received), times)
}

// TestFailedByTarget sends requests to a target that runs them and answers with an
// error.
func TestFailedByTarget(t *testing.T) {
	cases := []struct {
		name, path string
		handlers   []targetHandler
		status     int
	}{
		{name: "a lookup is sent again", path: "/keyed/x", handlers: []targetHandler{respondStatus(500, ""), respondOK("hello")}, status: 200},
		{name: "a lookup returns the target's error if retries fail", path: "/keyed/x", handlers: []targetHandler{respondStatus(500, "")}, status: 500},
		{name: "a booking is not sent again", path: "/book/x", handlers: []targetHandler{respondStatus(500, ""), respondOK("hello")}, status: 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, _, err := startEntry(t, nil, sequence(c.handlers...)).request("GET", c.path).readBody()
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, resp.Header.Get("Signature") != "")
		})
	}
}

// TestServesWithoutControl checks that an entry serves requests from its last view
// while no control instance runs.
func TestServesWithoutControl(t *testing.T) {
	e := startEntry(t, nil, respondOK("hello"))
	e.stopControl()
	time.Sleep(1200 * time.Millisecond) // longer than the timeout of a silent stream
	_, got, err := e.request("GET", "/look/x").readBody()
	assert.NilError(t, err)
	assert.Equal(t, got, "hello")
}

// TestReplacedConfigIsNotServed announces a configuration whose parts do not all arrive.
func TestReplacedConfigIsNotServed(t *testing.T) {
	e := startEntry(t, nil, respondOK("fresh"))
	assertAnswer := func(uri string, status int, retryAfter bool) {
		t.Helper()
		resp, _, err := e.request(http.MethodGet, uri).readBody()
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, status)
		assert.Equal(t, resp.Header.Get("Retry-After") != "", retryAfter)
	}
	assertAnswer("/new/1", http.StatusNotFound, false)
	e.newest.Store(2)
	e.further <- &instance.ViewUpdate{Version: 2, ConfigIndex: 2, Current: true, Part: []byte{0}, MoreParts: true}
	for deadline := time.Now().Add(10 * time.Second); e.server.cfg.View.ConfigLag() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the entry did not hear of the newer configuration")
	}
	assertAnswer("/new/1", http.StatusServiceUnavailable, true)
	assertAnswer("/look/1", http.StatusOK, false)
	time.Sleep(testConfigApply)
	assertAnswer("/look/1", http.StatusServiceUnavailable, true)
}

// TestAnswerWithoutEnd sends requests to a target whose answers never end.
func TestAnswerWithoutEnd(t *testing.T) {
	endless := func(head string) targetHandler {
		return func(w io.Writer, r *http.Request) {
			writeResponse(w, r, http.StatusOK, "%s", head)
			for filler := strings.Repeat("x", 64<<10); ; {
				if _, err := io.WriteString(w, filler); err != nil {
					return
				}
			}
		}
	}
	for name, head := range map[string]string{"head": "Filler: ", "body": "\r\n"} {
		t.Run("a booking ends with an unknown outcome, "+name, func(t *testing.T) {
			resp, _, err := startEntry(t, nil, endless(head)).request(http.MethodPost, "/book/1").readBody()
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		})
		t.Run("a lookup is answered by another target, "+name, func(t *testing.T) {
			e := startEntry(t, nil, endless(head), respondOK("fresh"))
			for i := range 8 {
				_, got, err := e.request(http.MethodGet, fmt.Sprint("/look/", i)).readBody()
				assert.NilError(t, err)
				assert.Equal(t, got, "fresh")
			}
		})
	}
}
