package caller

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/config"
)

func TestForwardedHeaders(t *testing.T) {
	in := http.Header{}
	for name, value := range map[string]string{
		"Accept": "text/plain", "Connection": "close, X-Hop", "X-Hop": "1", "Te": "trailers",
		"Cranberrywind-Epoch": "9", "Cranberrywind-Outcome": "done", "Idempotency-Key": "k", "X-Idempotency-Key": "k",
	} {
		in.Set(name, value)
	}
	out := forwardedHeaders(in)
	assert.Equal(t, len(out), 1, "%v", out)
	assert.Equal(t, out.Get("Accept"), "text/plain")
	assert.Equal(t, in.Get("Cranberrywind-Epoch"), "9", "the caller's headers must stay as they are")
}

func TestKeyOf(t *testing.T) {
	cases := []struct {
		name, uri string
		header    string
		key       config.KeySource
		want      string
	}{
		{"part of the path", "/stock/oil/price", "", config.KeySource{From: config.KeyPath, Segment: 1}, "oil"},
		{"second part", "/stock/oil/price", "", config.KeySource{From: config.KeyPath, Segment: 2}, "price"},
		{"missing part", "/stock/oil", "", config.KeySource{From: config.KeyPath, Segment: 2}, ""},
		{"escaped", "/stock/palm%20oil", "", config.KeySource{From: config.KeyPath, Segment: 1}, "palm oil"},
		{"query", "/stock/?sku=7&x=1", "", config.KeySource{From: config.KeyQuery, Name: "sku"}, "7"},
		{"header", "/stock/", "h", config.KeySource{From: config.KeyHeader, Name: "X-Key"}, "h"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u, err := url.Parse(c.uri)
			assert.NilError(t, err)
			r := &http.Request{URL: u, Header: http.Header{"X-Key": {c.header}}}
			key, errResp := keyOf(r, config.Service{Prefix: "/stock/", Key: c.key})
			assert.Equal(t, key, c.want)
			assert.Equal(t, errResp == nil, c.want != "")
		})
	}
}

func TestIdempotencyKeys(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		valid  bool
	}{
		{"one", []string{"order-7"}, true},
		{"none", nil, false},
		{"empty", []string{""}, false},
		{"two", []string{"a", "b"}, false},
		{"the same twice", []string{"a", "a"}, false},
		{"space", []string{"a b"}, false},
		{"control character", []string{"a\x01"}, false},
		{"not ASCII", []string{"schlüssel"}, false},
		{"too long", []string{strings.Repeat("k", maxIdempotencyKeyBytes+1)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			errResp := checkIdempotencyKey(c.values)
			assert.Equal(t, errResp == nil, c.valid)
			if errResp != nil {
				assert.Equal(t, errResp.outcome, NotRun)
				assert.Equal(t, errResp.field, HeaderIdempotencyKey)
			}
		})
	}
}

func FuzzFill(f *testing.F) {
	f.Add("/stock/oil?x=1", "k", "a,b", "body")
	f.Add("/stock/%00", "", "Connection", "")
	f.Fuzz(func(t *testing.T, uri, key, connection, body string) {
		u, err := url.ParseRequestURI(uri)
		if err != nil {
			return
		}
		r := &http.Request{Method: http.MethodPost, URL: u, RequestURI: uri, Header: http.Header{"Connection": {connection}, "Idempotency-Key": {key}}}
		service := config.Service{Name: "s", Kind: config.Booking, Prefix: "/stock/", Methods: []string{http.MethodPost}, Key: config.KeySource{From: config.KeyPath, Segment: 1}}
		if checkRequest(r, service) != nil {
			return
		}
		c := &call{service: service}
		if c.fill(r, []byte(body)) != nil {
			return
		}
		assert.Assert(t, c.request.IdempotencyKey == key && len(key) <= maxIdempotencyKeyBytes && !strings.ContainsAny(key, "\r\n "))
		assert.Equal(t, len(c.permitReq.Fingerprint), 2*fingerprintBytes)
	})
}
