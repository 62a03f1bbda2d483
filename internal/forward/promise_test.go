package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// promises are the statuses that tell a caller that its request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// wantNoPromise checks that a response says neither that the request has not run nor that a
// target gave this status.
func wantNoPromise(t *testing.T, c *caller) {
	t.Helper()
	resp := wantResponse(t, c, http.StatusBadGateway, "")
	for _, name := range []string{"Signature", "Retry-After", "Not-Run"} {
		assert.Equal(t, resp.Header.Get(name), "", name)
	}
	assert.Assert(t, resp.Header.Get("Request-Id") != "")
}

// Guards against a target's own 503 that tells a caller to send a booking again which has run.
func TestStatusOfRunRequestPromisesNothing(t *testing.T) {
	for _, status := range promises {
		for _, uri := range []string{"/book/x", "/look/x", "/keyed/x", "/fetch/x"} {
			t.Run(fmt.Sprintf("%d %s", status, uri), func(t *testing.T) {
				e := startEntry(t, nil, respondStatus(status, "Retry-After: 0.2\r\n"))
				wantNoPromise(t, e.request("GET", uri))
			})
		}
		t.Run(fmt.Sprintf("%d of a large booking", status), func(t *testing.T) {
			e := startEntry(t, nil, respondWith(status, largeBody))
			wantNoPromise(t, e.request("GET", "/book/x"))
		})
		t.Run(fmt.Sprintf("%d through another entry", status), func(t *testing.T) {
			e := startCutEntry(t, startEntry(t, nil, respondStatus(status, "")))
			wantNoPromise(t, e.request("GET", "/book/x"))
		})
		t.Run(fmt.Sprintf("%d through another entry of an earlier build", status), func(t *testing.T) {
			earlier := startEntry(t, nil, respondOK("x"))
			e := startCutEntry(t)
			// The target stands in for an entry that passes a signed answer on as it is.
			e.server.peers.Advise([]instance.Peer{{Address: earlier.startTarget("peer", respondStatus(status, "")), AvailabilityZone: "a"}})
			wantNoPromise(t, e.request("GET", "/book/x"))
		})
	}
	t.Run("a lookup is sent again", func(t *testing.T) {
		e := startEntry(t, nil, sequence(respondStatus(http.StatusServiceUnavailable, ""), respondOK("hello")))
		wantResponse(t, e.request("GET", "/keyed/x"), http.StatusOK, "hello")
	})
}

// Guards against the answer of a run that is mixed with a refusal: the booking would run twice.
func TestContradictoryAnswerProvesNothing(t *testing.T) {
	refusal := func(status int, header string) targetHandler {
		return func(w io.Writer, r *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nNot-Run: yes\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("Request-Id"), header)
		}
	}
	t.Run("refusal", func(t *testing.T) {
		first := sequence(refusal(http.StatusServiceUnavailable, ""), respondOK("hello"))
		e := startEntry(t, nil, first, first)
		wantResponse(t, e.request("GET", "/book/x"), http.StatusOK, "hello")
		assert.Equal(t, e.receivedCount(), 2)
	})
	for name, h := range map[string]targetHandler{
		"signed refusal": refusal(http.StatusServiceUnavailable, "Signature: s\r\n"),
		"signed 421":     refusal(http.StatusMisdirectedRequest, "Signature: s\r\n"),
		"signed success": refusal(http.StatusOK, "Signature: s\r\n"),
		"success":        refusal(http.StatusOK, ""),
		"redirect":       refusal(http.StatusFound, ""),
		"large success": func(w io.Writer, r *http.Request) {
			writeResponse(w, r, http.StatusOK, "Not-Run: yes\r\nContent-Length: %d\r\n\r\n%s", len(largeBody), largeBody)
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, nil, h, h)
			wantNoPromise(t, e.request("GET", "/book/x"))
			assert.Equal(t, e.receivedCount(), 1)
		})
	}
}
