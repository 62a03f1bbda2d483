package local_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/standin"
)

// TestEndToEnd sends one request of each kind through the whole deployment.
func TestEndToEnd(t *testing.T) {
	d := startReady(t)
	t.Run("lookup reaches the owner through every entry", func(t *testing.T) {
		first := send(t, http.MethodGet, callerURL(d, 0)+"/stock/oil", "", nil)
		assertResponse(t, first, http.StatusOK, "done")
		for i := range d.Instances {
			assert.Equal(t, send(t, http.MethodGet, callerURL(d, i)+"/stock/oil", "", nil).body, first.body)
		}
	})
	t.Run("resent booking is replayed through another entry", func(t *testing.T) {
		first := book(t, callerURL(d, 0), "/orders/42", "k1")
		assertResponse(t, first, http.StatusOK, "done")
		again := book(t, callerURL(d, 1), "/orders/42", "k1")
		assertResponse(t, again, http.StatusOK, "done")
		assert.Equal(t, again.body, first.body)
		assert.Equal(t, again.header.Get("Idempotency-Replayed"), "true")
	})
	t.Run("download arrives complete", func(t *testing.T) {
		r := send(t, http.MethodGet, callerURL(d, 2)+"/sheets/today.pdf", "", nil)
		assertResponse(t, r, http.StatusOK, "done")
		assert.Assert(t, r.body == string(standin.DownloadBody(256<<10)))
	})
}

// TestInvalidRequestsAreNotRun checks that entries reject invalid requests with the
// name of the invalid field.
func TestInvalidRequestsAreNotRun(t *testing.T) {
	d := startReady(t)
	base := callerURL(d, 0)
	long := strings.Repeat("x", 200)
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		field                    string
	}{
		{"unknown service", "GET", "/nope", "", nil, 404, "path"},
		{"method not allowed", "PUT", "/stock/a", "", nil, 405, "method"},
		{"missing key", "GET", "/stock/", "", nil, 400, "key"},
		{"missing idempotency key", "POST", "/orders/a", "", nil, 400, "Idempotency-Key"},
		{"malformed idempotency key", "POST", "/orders/a", "", map[string]string{"Idempotency-Key": "a b"}, 400, "Idempotency-Key"},
		{"long idempotency key", "POST", "/orders/a", "", map[string]string{"Idempotency-Key": long}, 400, "Idempotency-Key"},
		{"large headers", "GET", "/stock/a", "", map[string]string{"X-Large": strings.Repeat("x", 64<<10)}, 431, "headers"},
		{"large body", "POST", "/orders/a", strings.Repeat("x", 2<<20), map[string]string{"Idempotency-Key": "k"}, 413, "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := send(t, c.method, base+c.path, c.body, c.header)
			assertResponse(t, r, c.status, "not_run")
			assert.Assert(t, strings.Contains(r.body, `"field":"`+c.field+`"`), r.body)
		})
	}
	t.Run("idempotency key reused for another request", func(t *testing.T) {
		assertResponse(t, book(t, base, "/orders/b", "twice"), http.StatusOK, "done")
		assertResponse(t, book(t, base, "/orders/c", "twice"), http.StatusUnprocessableEntity, "not_run")
	})
}
