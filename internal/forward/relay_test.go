package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// startCutEntry starts an entry that reaches no target, with the given other entries.
func startCutEntry(t *testing.T, others ...*testEntry) *testEntry {
	e := startEntry(t, nil, respondOK("not through this entry"))
	e.cut()
	for _, other := range others {
		e.server.peers.Advise([]instance.Peer{{Address: other.relay, AvailabilityZone: "a"}})
	}
	return e
}

// cut makes the entry find that it reaches no target. Its own connections still work, so
// that a request that is not passed on shows.
func (e *testEntry) cut() {
	e.server.path.dial = func(context.Context, string) error { return errors.New("no route") }
	assert.Assert(e.t, e.server.path.check())
}

// refusingAddress returns an address that refuses connections until the test ends: its port
// is bound, so that no other listener gets it, and nothing listens there.
func refusingAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
}

// hideTarget makes the entry know a target by an address that refuses connections.
func (e *testEntry) hideTarget(id string) {
	target, _ := e.server.cfg.View.View().Target(id)
	target.Address = refusingAddress(e.t)
	e.updateView(&instance.ViewUpdate{Version: 2, ConfigIndex: 1, Current: true, Targets: []deployment.Target{target}})
}

// updateView sends an update from the control instance and waits until it is applied.
func (e *testEntry) updateView(u *instance.ViewUpdate) {
	e.further <- u
	for e.server.cfg.View.View().Version < u.Version {
		time.Sleep(time.Millisecond)
	}
}

// receivedCount returns how many requests targets have received.
func (e *testEntry) receivedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

// startClosingPeer listens for entries and closes each connection once a request has come.
// It returns its address and a function that returns the number of requests.
func startClosingPeer(t *testing.T) (string, func() int) {
	l := listenLocal(t)
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := c.Read(make([]byte, 1)); err == nil {
				mu.Lock()
				n++
				mu.Unlock()
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

func wantResponse(t *testing.T, c *caller, status int, body string) *http.Response {
	t.Helper()
	resp, got, err := c.readBody()
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status, got)
	if body != "" {
		assert.Equal(t, got, body)
	}
	return resp
}

func TestRequestsOfCutEntry(t *testing.T) {
	t.Run("are served through another entry", func(t *testing.T) {
		var mu sync.Mutex
		var seen http.Header
		other := startEntry(t, nil, func(w io.Writer, r *http.Request) {
			mu.Lock()
			seen = r.Header
			mu.Unlock()
			respondOK("x")(w, r)
		})
		e := startCutEntry(t, other)
		for _, uri := range []string{"/look/1", "/book/2", "/keyed/3"} {
			resp := wantResponse(t, e.request("GET", uri), http.StatusOK, "x")
			assert.Equal(t, resp.Header.Get("Signature"), "s")
			assert.Equal(t, resp.Header.Get(relayConfigHeader), "")
		}
		assert.Equal(t, other.receivedCount(), 3)
		assert.Equal(t, e.receivedCount(), 0)
		mu.Lock()
		defer mu.Unlock()
		for name := range seen {
			assert.Assert(t, !strings.HasPrefix(name, relayHeaderPrefix), name)
		}
	})
	t.Run("are streamed", func(t *testing.T) {
		e := startCutEntry(t, startEntry(t, nil, respondOK(largeBody)))
		wantResponse(t, e.request("GET", "/fetch/x"), http.StatusOK, largeBody)
	})
	t.Run("count at the entry that serves them", func(t *testing.T) {
		other := startEntry(t, nil, respondOK("x"))
		e := startCutEntry(t, other)
		wantResponse(t, e.request("GET", "/keyed/1"), http.StatusOK, "x")
		assert.Equal(t, e.server.RetryBudgets()["shelf"], 0.0)
		assert.Assert(t, other.server.RetryBudgets()["shelf"] > 0)
	})
	t.Run("go to another entry if one can't serve them", func(t *testing.T) {
		cut, stopping, old := startEntry(t, nil, respondOK("cut")), startEntry(t, nil, respondOK("stopping")), startEntry(t, nil, respondOK("old"))
		cut.cut()
		stopping.holdUpShutdown()
		stopping.shutDown(10 * time.Second)
		for _, unable := range []*testEntry{cut, stopping, old} {
			e := startCutEntry(t, unable)
			if unable == old {
				e.server.raisePeerConfig("2")
			}
			c := &call{request: &request{ctx: t.Context(), method: "GET", host: "h", uri: "/look/x", header: http.Header{"Request-Id": {"r"}}}, route: &deployment.Route{Attempts: 2}, deadline: time.Now().Add(time.Second), bodyCtx: t.Context(), id: "r"}
			assert.Assert(t, e.server.relay(t.Context(), c) == nil)
			assert.Assert(t, !c.mayHaveRun)
			assert.Equal(t, unable.receivedCount(), 0)
			_, _, rejected := unable.server.RelayedRequests()
			assert.Equal(t, rejected, uint64(1))
		}
	})
}

func TestRequestsThatNoPeerServes(t *testing.T) {
	t.Run("are sent to targets if no other entry can serve them", func(t *testing.T) {
		e := startEntry(t, nil, respondOK("x"))
		e.cut()
		wantResponse(t, e.request("GET", "/look/x"), http.StatusOK, "x")
	})
	t.Run("are not passed on twice", func(t *testing.T) {
		a, b := startEntry(t, nil, respondOK("a")), startEntry(t, nil, respondOK("b"))
		a.cut()
		b.cut()
		a.server.peers.Advise([]instance.Peer{{Address: b.relay}})
		b.server.peers.Advise([]instance.Peer{{Address: a.relay}})
		wantResponse(t, a.request("GET", "/look/x"), http.StatusOK, "a")
		assert.Equal(t, b.receivedCount(), 0)
	})
	t.Run("a booking whose outcome is unknown is not repeated", func(t *testing.T) {
		address, count := startClosingPeer(t)
		e := startCutEntry(t, startEntry(t, nil, respondOK("x")))
		e.server.peers.byAddress = make(map[string]*peer)
		e.server.peers.Advise([]instance.Peer{{Address: address, AvailabilityZone: "a"}})
		wantResponse(t, e.request("GET", "/book/x"), http.StatusBadGateway, "")
		assert.Equal(t, count(), 1)
		assert.Equal(t, e.receivedCount(), 0)
	})
	t.Run("a lookup whose outcome is unknown goes to another entry", func(t *testing.T) {
		address, count := startClosingPeer(t)
		other := startEntry(t, nil, respondOK("x"))
		e := startCutEntry(t)
		e.server.creditRetryBudget("catalog")
		e.server.peers.Advise([]instance.Peer{{Address: address, AvailabilityZone: "a"}})
		c := e.request("GET", "/look/x")
		for count() == 0 {
			time.Sleep(time.Millisecond)
		}
		e.server.peers.Advise([]instance.Peer{{Address: other.relay, AvailabilityZone: "a"}})
		resp, _, err := c.readBody()
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	})
	t.Run("are sent to targets again once these can be reached", func(t *testing.T) {
		e := startCutEntry(t, startEntry(t, nil, respondOK("other")))
		e.server.path.dial = func(context.Context, string) error { return nil }
		assert.Assert(t, !e.server.path.check())
		wantResponse(t, e.request("GET", "/look/x"), http.StatusOK, "not through this entry")
	})
}

// TestKeysOfUnreachableOwner checks requests at an entry that can't connect to a key's owner.
func TestKeysOfUnreachableOwner(t *testing.T) {
	start := func(t *testing.T) *testEntry {
		e := startEntry(t, nil, respondOK("x"), respondOK("x"))
		e.hideTarget("t0")
		return e
	}
	t.Run("are served through another entry", func(t *testing.T) {
		e, other := start(t), startEntry(t, nil, respondOK("other"))
		e.server.peers.Advise([]instance.Peer{{Address: other.relay}})
		for range 10 {
			wantResponse(t, e.request("GET", "/keyed/x"), http.StatusOK, "other")
		}
	})
	t.Run("go to a third entry if the second can't reach it either", func(t *testing.T) {
		e, second, third := start(t), start(t), startEntry(t, nil, respondOK("third"))
		e.server.peers.Advise([]instance.Peer{{Address: second.relay}, {Address: third.relay}})
		for range 10 {
			wantResponse(t, e.request("GET", "/keyed/x"), http.StatusOK, "third")
		}
	})
	t.Run("are rejected without other entries", func(t *testing.T) {
		e := start(t)
		for range 3 {
			wantResponse(t, e.request("GET", "/keyed/x"), http.StatusServiceUnavailable, "")
		}
	})
	t.Run("are rejected if other entries don't reach it either", func(t *testing.T) {
		e, other := start(t), startEntry(t, nil, respondOK("other"))
		e.server.peers.Advise([]instance.Peer{{Address: other.relay}})
		wantResponse(t, e.request("GET", "/keyed/x"), http.StatusOK, "other")
		e.server.targets.setFailureShares([]instance.FailingTarget{{Target: "t0", FailureShare: 1}})
		wantResponse(t, e.request("GET", "/keyed/x"), http.StatusServiceUnavailable, "")
		assert.Equal(t, other.receivedCount(), 1)
	})
}

// TestRefusedConnectionsOfCutEntryAreNoCrashes checks that an entry which reaches no target
// doesn't report that one crashed.
func TestRefusedConnectionsOfCutEntryAreNoCrashes(t *testing.T) {
	r := newCrashRecorder()
	target := deployment.Target{ID: "t", Address: refusingAddress(t)}
	r.recordIfCrashed(t.Context(), target, "f", func(string) bool { return false })
	assert.Equal(t, len(r.take()), 0)
	r.recordIfCrashed(t.Context(), target, "f", func(string) bool { return true })
	assert.Equal(t, len(r.take()), 1)
}

// TestCutEntryReportsNoFailures checks what the leader learns of an entry that reaches no
// target.
func TestCutEntryReportsNoFailures(t *testing.T) {
	e := startEntry(t, nil, respondOK("x"))
	target, _ := e.server.cfg.View.View().Target("t0")
	e.server.targets.requestEnded(target, attemptResult{failed: true, sentAt: e.server.targets.requestSent(target)})
	assert.Equal(t, e.server.report(time.Second).RelayAddress, e.relay)
	e.server.targets.requestEnded(target, attemptResult{failed: true, sentAt: e.server.targets.requestSent(target)})
	e.cut()
	req := e.server.report(time.Second)
	assert.Equal(t, req.RelayAddress, "")
	for _, tl := range req.Targets {
		assert.Equal(t, tl.Failures, uint32(0))
	}
}
