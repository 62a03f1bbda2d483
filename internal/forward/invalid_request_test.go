package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// Guards against a request in another one's body that runs by itself, because this entry and the sender
// or the target see different ends of the body.
func TestRequestWithinBodyDoesNotRun(t *testing.T) {
	const inner = "POST /book/inner HTTP/1.1\r\nHost: h\r\nRequest-Id: inner\r\nContent-Length: 0\r\n\r\n"
	relayFields := fmt.Sprintf("\r\n%s: 1\r\n%s: 1\r\n%s: catalog", relayConfigHeader, relayAttemptsHeader, relayServiceHeader)
	for name, x := range map[string]struct {
		fields, body string
		status       int
	}{
		"blank before the colon":      {fields: fmt.Sprintf("Content-Length : %d", len(inner)), status: http.StatusBadRequest},
		"blank within a name":         {fields: fmt.Sprintf("Content-Length: 0\r\nContent Length: %d", len(inner)), status: http.StatusBadRequest},
		"folded length":               {fields: fmt.Sprintf("X: 1\r\n Content-Length: %d", len(inner)), status: http.StatusBadRequest},
		"line feed alone":             {fields: fmt.Sprintf("X: 1\nContent-Length: %d", len(inner)), status: http.StatusBadRequest},
		"carriage return in a value":  {fields: fmt.Sprintf("X: 1\rContent-Length: %d", len(inner)), status: http.StatusBadRequest},
		"two lengths":                 {fields: fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d", len(inner)), status: http.StatusBadRequest},
		"length and chunks":           {fields: fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked", len(inner)), body: "0\r\n\r\n", status: http.StatusBadRequest},
		"unknown encoding":            {fields: "Transfer-Encoding: x, chunked", body: "0\r\n\r\n", status: http.StatusBadRequest},
		"chunks with line feeds":      {fields: "Transfer-Encoding: chunked", body: "1;\nx\r\n0\r\n\r\n", status: http.StatusBadRequest},
		"trailer with a blank":        {fields: "Transfer-Encoding: chunked", body: "0\r\nX Y: 1\r\n\r\n", status: http.StatusBadRequest},
		"no host":                     {fields: "X: 1", status: http.StatusBadRequest},
		"other version":               {fields: "X: 1", status: http.StatusHTTPVersionNotSupported},
		"sound: within the body":      {fields: fmt.Sprintf("Content-Length: %d", len(inner)), status: http.StatusOK},
		"sound: within a chunk":       {fields: "Transfer-Encoding: chunked", body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner), status: http.StatusOK},
		"target is given with a host": {fields: fmt.Sprintf("Content-Length: %d", len(inner)), status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var ran []string
			e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
				mu.Lock()
				ran = append(ran, r.RequestURI)
				mu.Unlock()
				readAllOK(w, r)
			})
			for _, address := range []string{e.address, e.relay} {
				line, host := "POST /book/outer HTTP/1.1", "\r\nHost: h"
				switch name {
				case "no host":
					host = ""
				case "other version":
					line = "POST /book/outer HTTP/1.2"
				case "target is given with a host":
					line = "POST http://h/book/outer HTTP/1.1"
				}
				body := x.body
				if !strings.Contains(body, inner) {
					body += inner
				}
				c := dial(t, address)
				c.send(line + host + relayFields + "\r\nRequest-Id: outer\r\n" + x.fields + "\r\n\r\n" + body)
				resp, _, err := c.readBody()
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, x.status)
				if x.status != http.StatusOK {
					assert.Assert(t, resp.Close)
				}
			}
			time.Sleep(20 * time.Millisecond) // in which a request behind the first one would run
			mu.Lock()
			defer mu.Unlock()
			for _, uri := range ran {
				assert.Assert(t, uri == "/book/outer" && x.status == http.StatusOK, uri)
			}
		})
	}
}

// Guards against a request whose ID or key its target reads from another field than this entry.
func TestRoutingFieldGivenTwice(t *testing.T) {
	e := startEntry(t, nil, respondOK("x"))
	for _, fields := range []string{"Request-Id: a\r\nRequest-Id: b\r\nKey: 7", "Request-Id: a\r\nKey: 7\r\nKey: 8"} {
		c := dial(t, e.address)
		c.send("GET /keyed/x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\n")
		wantResponse(t, c, http.StatusBadRequest, "")
	}
	assert.Equal(t, e.receivedCount(), 0)
}

// Guards against the name of a service that adds a field to what one entry sends to another.
func TestNameOfServiceIsNoField(t *testing.T) {
	const service = "a b%2F\r\nRequest-Id: injected"
	route := deployment.Route{
		Name: "odd", Host: "h", Prefix: "/odd/", Kind: deployment.Lookup, Timeout: time.Second, Objective: 500 * time.Millisecond, Attempts: 2,
		Split: []deployment.WeightedService{{Service: "catalog", Weight: 1}, {Service: service, Weight: 1}},
	}
	var mu sync.Mutex
	counts := make(map[string]int)
	e := startEntry(t, nil, respondOK("x"))
	other := startEntry(t, nil, respondOK("x"))
	target := deployment.Target{ID: "o", StartMillis: 1, Service: service, Slots: 4, Status: deployment.Live, AvailabilityZone: "a"}
	target.Address = other.startTarget("o", func(w io.Writer, r *http.Request) {
		mu.Lock()
		counts[r.Header.Get("Request-Id")]++
		mu.Unlock()
		respondOK("odd")(w, r)
	})
	for _, x := range []*testEntry{e, other} {
		x.updateView(&instance.ViewUpdate{Version: 2, ConfigIndex: 2, Current: true, Targets: []deployment.Target{target}, ConfigChange: &deployment.ConfigChange{
			Version: 2, Routes: []deployment.Route{route}, Services: []deployment.Service{{Name: service, Connections: 100}},
		}})
	}
	e.cut()
	e.server.peers.Advise([]instance.Peer{{Address: other.relay, AvailabilityZone: "a"}})
	for range 4 {
		wantResponse(t, e.request("GET", "/odd/x"), http.StatusOK, "")
	}
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, counts, map[string]int{"-odd-x": 2})
}
