package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/suspect"
)

// startCrashingEntry starts an entry with a sound target, which has answered, and with one that
// serves /crash/ and crashes in the handler.
func startCrashingEntry(t *testing.T, kind deployment.Kind, h targetHandler) *testEntry {
	e := startEntry(t, nil, respondOK("sound"))
	wantResponse(t, e.request("GET", "/look/x"), http.StatusOK, "sound")
	l := listenLocal(t)
	e.serveTarget(l, "crashing", func(w io.Writer, r *http.Request) {
		defer func() {
			_ = l.Close()
			_ = w.(*net.TCPConn).SetLinger(0)
			_ = w.(net.Conn).Close()
		}()
		h(w, r)
	})
	e.publish(&instance.ViewUpdate{
		Version: 2, ConfigIndex: 2, Current: true, ConfigBase: 1,
		ConfigChange: &deployment.ConfigChange{
			Version: 2, Base: 1, Services: []deployment.Service{{Name: "sheets", Connections: 100}},
			Routes: []deployment.Route{{
				Name: "crash", Host: "h", Prefix: "/crash/", Kind: kind, Timeout: time.Second, Objective: 500 * time.Millisecond, Attempts: 1,
				Split: []deployment.WeightedService{{Service: "sheets", Weight: 1}},
			}},
		},
		Targets: []deployment.Target{{ID: "crashing", StartMillis: 1, Service: "sheets", Slots: 4, Status: deployment.Live, Address: l.Addr().String(), AvailabilityZone: "a"}},
	})
	return e
}

// awaitCrashReport returns the next report of a crash.
func (e *testEntry) awaitCrashReport() deployment.CrashReport {
	e.t.Helper()
	var out deployment.CrashReport
	poll.WaitOn(e.t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.crashes) == 0 {
			return poll.Continue("no crash was reported")
		}
		out = e.crashes[0]
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
	return out
}

func writeHalf(w io.Writer, r *http.Request) {
	writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(largeBody), largeBody)
	time.Sleep(50 * time.Millisecond) // until it was sent
}

// Guards against a request that is never blocked although it crashes its targets, since a crash
// is recorded only if it comes before the answer begins.
func TestCrashesAreReported(t *testing.T) {
	read := func(c *caller) {
		if resp, err := http.ReadResponse(c.reader, nil); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}
	leave := func(c *caller) { _ = c.conn.Close() }
	cases := []struct {
		name   string
		kind   deployment.Kind
		target targetHandler
		caller func(*caller)
	}{
		{"before the answer", deployment.Lookup, func(io.Writer, *http.Request) {}, read},
		{"while the answer is streamed", deployment.Download, writeHalf, read},
		{"while the answer is streamed to a caller that does not read it", deployment.Download, writeHalf, func(*caller) {}},
		{"after the caller of a booking left", deployment.Booking, func(io.Writer, *http.Request) { time.Sleep(200 * time.Millisecond) }, leave},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startCrashingEntry(t, c.kind, c.target)
			caller := e.request("GET", "/crash/x")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if e.receivedBy("crashing") == 0 {
					return poll.Continue("not sent")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			c.caller(caller)
			report := e.awaitCrashReport()
			assert.Equal(t, report.Incarnation.ID, "crashing")
			assert.Equal(t, len(report.Fingerprints), 1)
		})
	}
}

// Guards against an answer that breaks off and still clears its request of the suspicion that it
// crashes targets.
func TestOnlyWholeAnswersClearSuspects(t *testing.T) {
	cases := []struct {
		name    string
		target  targetHandler
		cleared bool
	}{
		{"whole answer", func(w io.Writer, r *http.Request) { respondOK(largeBody)(w, r) }, true},
		{"answer that breaks off", writeHalf, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startCrashingEntry(t, deployment.Download, c.target)
			fingerprint := fingerprintOf(&request{method: "GET", host: "h", uri: "/crash/x"})
			e.publish(&instance.ViewUpdate{Version: 3, ConfigIndex: 2, Current: true, SuspectsChanged: true, Suspects: []deployment.Suspect{
				{Fingerprint: fingerprint, Crashes: []deployment.Incarnation{{ID: "earlier"}}},
			}})
			_, _, _ = e.request("GET", "/crash/x").readBody()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				r := e.server.crashes
				r.mu.Lock()
				defer r.mu.Unlock()
				if slices.Contains(r.cleared, fingerprint) != c.cleared {
					return poll.Continue("cleared: %v", r.cleared)
				}
				return poll.Success()
			}, poll.WithTimeout(time.Second))
		})
	}
}

// Guards against crashes that are forgotten with a report that was not delivered.
func TestUndeliveredCrashesAreReportedAgain(t *testing.T) {
	r := newCrashRecorder()
	target := deployment.Target{ID: "t", Address: refusingAddress(t)}
	reached := func(string) bool { return true }
	for _, f := range strings.Fields("f g f") {
		r.recordIfCrashed(t.Context(), target, f, reached)
	}
	lost := r.take()
	assert.Equal(t, len(r.take()), 0)
	r.recordIfCrashed(t.Context(), target, "g", reached)
	r.giveBack(lost)
	again := r.take()
	assert.Equal(t, len(again), 1)
	slices.Sort(again[0].Fingerprints)
	assert.DeepEqual(t, again[0].Fingerprints, []string{"f", "g"})
	var blocked []deployment.Suspect
	for i, id := range []string{"a", "a", "b"} { // the first crash is reported twice
		blocked = suspect.WithCrash(blocked, uint64(i), deployment.Incarnation{ID: id}, []string{"f"}, nil)
		assert.Equal(t, blocked[0].Blocked(), id == "b", fmt.Sprint(i))
	}
}
