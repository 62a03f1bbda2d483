package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func TestPeerWithOlderConfigurationAnswersNothing(t *testing.T) {
	change := deployment.ConfigChange{Version: 2, Routes: []deployment.Route{{
		Name: "added", Host: "h", Prefix: "/added/", Kind: deployment.Lookup, Timeout: time.Second, Objective: 500 * time.Millisecond, Attempts: 2,
		Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}},
	}}}
	e := startCutEntry(t, startEntry(t, nil, respondOK("older")))
	e.updateView(&instance.ViewUpdate{Version: 2, ConfigIndex: 2, ConfigChange: &change, Current: true})
	wantResponse(t, e.request("GET", "/added/x"), http.StatusOK, "not through this entry")
}

func TestOlderConfigurationServesNothingAfterPeersNewer(t *testing.T) {
	other := startEntry(t, nil, respondOK("newer"))
	other.updateView(&instance.ViewUpdate{Version: 2, ConfigIndex: 2, ConfigChange: &deployment.ConfigChange{Version: 2}, Current: true})
	e := startCutEntry(t, other)
	wantResponse(t, e.request("GET", "/look/x"), http.StatusOK, "newer")
	e.server.path.dial = func(context.Context, string) error { return nil }
	assert.Assert(t, !e.server.path.check())
	wantResponse(t, e.request("GET", "/look/x"), http.StatusOK, "newer")
	other.server.Drain(context.Background())
	other.cut()
	wantResponse(t, e.request("GET", "/look/x"), http.StatusServiceUnavailable, "")
	assert.Equal(t, e.receivedCount(), 0)
}

func TestHeaderAtCallersLimitIsPassedOn(t *testing.T) {
	e := startCutEntry(t, startEntry(t, nil, respondOK("x")))
	c := dial(t, e.address)
	c.send(fmt.Sprintf("GET /look/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nPad: %s\r\n\r\n", strings.Repeat("x", defaultLimits().HeaderBytes-100)))
	wantResponse(t, c, http.StatusOK, "x")
}

func TestCallersThatLeaveDontCountAgainstPeers(t *testing.T) {
	e := startCutEntry(t, startEntry(t, nil, func(w io.Writer, r *http.Request) {
		if strings.Contains(r.RequestURI, "slow") {
			time.Sleep(200 * time.Millisecond) // until the caller has left
		}
		respondOK("x")(w, r)
	}))
	var callers []*caller
	for i := range 6 {
		callers = append(callers, e.request("GET", fmt.Sprintf("/look/slow%d", i)))
	}
	time.Sleep(50 * time.Millisecond) // the requests reach the target
	for _, c := range callers {
		_ = c.conn.Close()
	}
	time.Sleep(50 * time.Millisecond) // they are cancelled
	assert.Assert(t, e.server.CanServe())
	wantResponse(t, e.request("GET", "/look/x"), http.StatusOK, "x")
	assert.Equal(t, e.receivedCount(), 0)
}

func TestOwnerThatNoEntryReaches(t *testing.T) {
	var all []*testEntry
	for range 4 {
		e := startEntry(t, nil, respondOK("x"), respondOK("x"))
		e.hideTarget("t0")
		all = append(all, e)
	}
	e := all[0]
	for _, other := range all[1:] {
		e.server.peers.Advise([]instance.Peer{{Address: other.relay}})
	}
	wantResponse(t, e.request("GET", "/keyed/x"), http.StatusServiceUnavailable, "")
	t.Run("does not count against entries", func(t *testing.T) { assert.Assert(t, e.server.peers.Available()) })
	t.Run("is asked for through others once in a while", func(t *testing.T) {
		sent, _, _ := e.server.RelayedRequests()
		for range 5 {
			wantResponse(t, e.request("GET", "/keyed/x"), http.StatusServiceUnavailable, "")
		}
		after, _, _ := e.server.RelayedRequests()
		assert.Equal(t, after, sent)
	})
	t.Run("its requests count once", func(t *testing.T) {
		total := uint32(0)
		for _, any := range all {
			for _, k := range any.server.keys.take() {
				total += k.Count
			}
		}
		assert.Equal(t, total, uint32(6))
	})
}

func TestPeerThatWasCutAMomentAgo(t *testing.T) {
	justCut, third := startEntry(t, nil, respondOK("x")), startEntry(t, nil, respondOK("third"))
	justCut.hideTarget("t0")
	e := startCutEntry(t, justCut)
	e.server.peers.Advise([]instance.Peer{{Address: third.relay, AvailabilityZone: "b"}})
	for i := range 10 {
		wantResponse(t, e.request("GET", fmt.Sprintf("/book/%d", i)), http.StatusOK, "third")
	}
}

func TestBrokenStreamOfPeerIsNoFailureOfOwner(t *testing.T) {
	other := startEntry(t, nil, func(w io.Writer, r *http.Request) {
		writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(largeBody), largeBody)
		_ = w.(net.Conn).Close()
	})
	e := startEntry(t, nil, respondOK("x"), respondOK("x"))
	e.hideTarget("t0")
	e.server.peers.Advise([]instance.Peer{{Address: other.relay}})
	_, _, err := e.request("GET", "/keyed/x").readBody()
	assert.Assert(t, err != nil)
	owner, _ := e.server.cfg.View.View().Target("t0")
	e.server.targets.mu.Lock()
	defer e.server.targets.mu.Unlock()
	assert.Equal(t, e.server.targets.state(owner).consecutiveFailures, 1)
}

// TestPeersWhileZoneIsCut plays requests of an entry in a zone that is cut off, with one entry
// of each two others in another zone cut off as well.
func TestPeersWhileZoneIsCut(t *testing.T) {
	const (
		duration    = 10 * time.Second
		adviceEvery = 250 * time.Millisecond
		adviceLag   = time.Second // until the leader leaves out entries that are cut off
	)
	for _, size := range []struct{ entries, perSecond int }{{9, 140}, {40, 60}, {200, 30}} {
		t.Run(fmt.Sprintf("%d entries", size.entries), func(t *testing.T) {
			clock := timer.NewManual()
			p := newPeers(clock, "own", "a")
			cut := make(map[string]bool)
			var all []instance.Peer
			for i := range size.entries {
				peer := instance.Peer{Address: fmt.Sprint("peer-", i), AvailabilityZone: []string{"a", "b", "c"}[i%3]}
				cut[peer.Address] = i%3 == 0 || i%6 == 1
				all = append(all, peer)
			}
			p.Advise(all)
			failed, total, next := 0, 0, 0
			step := time.Second / time.Duration(size.perSecond)
			var advised time.Duration
			for at := step; at < duration; at += step {
				clock.Advance(step)
				if at-advised >= adviceEvery {
					advised = at
					for range 8 {
						if peer := all[next%len(all)]; at < adviceLag || !cut[peer.Address] {
							p.Advise([]instance.Peer{peer})
						}
						next++
					}
				}
				total++
				if !serveAtPeer(p, cut) {
					failed++
				}
			}
			assert.Assert(t, failed <= 10+total/50, "%d of %d", failed, total)
		})
	}
}

// TestStoppedPeersDontSpendOthers checks that an entry which still serves requests is used
// when several others can't be connected to.
func TestStoppedPeersDontSpendOthers(t *testing.T) {
	clock := timer.NewManual()
	p := newPeers(clock, "own", "a")
	clock.Advance(time.Minute)
	p.Advise([]instance.Peer{{Address: "0"}, {Address: "1"}, {Address: "2"}, {Address: "3"}})
	serving, ok := p.Take(nil)
	assert.Assert(t, ok)
	p.Done(serving, relayServed)
	tried := []string{serving}
	for range unreachablePeers {
		address, ok := p.Take(tried)
		assert.Assert(t, ok)
		p.Done(address, relayUnreachable)
		tried = append(tried, address)
	}
	assert.Assert(t, p.Available())
}

// serveAtPeer reports whether a request finds an entry that is not cut off.
func serveAtPeer(p *peers, cut map[string]bool) bool {
	var tried []string
	for range maxRelayRejections {
		address, ok := p.Take(tried)
		if !ok {
			return false
		}
		if !cut[address] {
			p.Done(address, relayServed)
			return true
		}
		tried = append(tried, address)
		p.Done(address, relayUnable)
	}
	return false
}

// TestBookingsAtStoppingPeers checks that no booking that is passed on runs twice, or after
// it was rejected, while other entries shut down and targets fail.
func TestBookingsAtStoppingPeers(t *testing.T) {
	const failureShare = 0.05 // of each kind
	var mu sync.Mutex
	runs := make(map[string]int)
	handler := func(w io.Writer, r *http.Request) {
		if rand.Float64() < failureShare {
			writeResponse(w, r, http.StatusServiceUnavailable, "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		mu.Lock()
		runs[r.Header.Get("Request-Id")]++
		mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond) // the time that the request runs
		if rand.Float64() < failureShare {
			_ = w.(net.Conn).Close()
			return
		}
		respondOK(r.Header.Get("Request-Id"))(w, r)
	}
	start := func() *testEntry { return startEntry(t, nil, handler, handler, handler, handler, handler) }
	e := start()
	e.cut()
	var others []*testEntry
	for range 4 {
		other := start()
		others = append(others, other)
		e.server.peers.Advise([]instance.Peer{{Address: other.relay, AvailabilityZone: "a"}})
	}
	var wg sync.WaitGroup
	for n := range 20 {
		wg.Go(func() { sendBookings(t, e, n, &mu, runs) })
	}
	for _, other := range others[:3] {
		time.Sleep(100 * time.Millisecond) // bookings are in flight
		other.server.Drain(context.Background())
		time.Sleep(100 * time.Millisecond) // the drain
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		assert.NilError(t, other.server.Shutdown(ctx))
		cancel()
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		assert.Assert(t, n <= 1, "booking %s ran %d times", id, n)
	}
}

// sendBookings sends bookings one after the other, and checks that those that were rejected
// did not run.
func sendBookings(t *testing.T, e *testEntry, n int, mu *sync.Mutex, runs map[string]int) {
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 30 {
		id := fmt.Sprintf("b%d-%d", n, i)
		_, _ = fmt.Fprintf(conn, "POST /book/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nab", id, id)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Errorf("booking %s: %v", id, err)
			return
		}
		body, _ := io.ReadAll(resp.Body)
		mu.Lock()
		ran := runs[id]
		mu.Unlock()
		if resp.StatusCode == http.StatusServiceUnavailable && ran > 0 {
			t.Errorf("booking %s was rejected and ran", id)
		}
		if resp.StatusCode == http.StatusOK && (string(body) != id || resp.Header.Get("Request-Id") != id) {
			t.Errorf("booking %s got the response %q of %s", id, body, resp.Header.Get("Request-Id"))
		}
	}
}
