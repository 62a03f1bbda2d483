package local_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/local"
)

// response is what a caller received, with the complete body.
type response struct {
	status  int
	outcome string
	header  http.Header
	body    string
}

func send(t *testing.T, method, url, body string, header map[string]string) response {
	t.Helper()
	r, err := trySend(method, url, body, header)
	assert.NilError(t, err)
	return r
}

func trySend(method, url, body string, header map[string]string) (response, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, outcome: resp.Header.Get("Cranberrywind-Outcome"), header: resp.Header, body: string(data)}, err
}

func book(t *testing.T, base, path, key string) response {
	t.Helper()
	return send(t, http.MethodPost, base+path, "qty=2", map[string]string{"Idempotency-Key": key})
}

func assertResponse(t *testing.T, r response, status int, outcome string) {
	t.Helper()
	assert.Equal(t, r.status, status, "body: %s", r.body)
	assert.Equal(t, r.outcome, outcome, "body: %s", r.body)
}

// startReady starts a deployment and waits until it is ready.
func startReady(t *testing.T, opts ...local.Option) *local.Deployment {
	t.Helper()
	d, stop, err := local.Start(context.Background(), t.TempDir(), opts...)
	assert.NilError(t, err)
	t.Cleanup(stop)
	assert.NilError(t, d.WaitReady(context.Background()))
	return d
}

// callerURL returns the base URL for callers of the instance with index i.
func callerURL(d *local.Deployment, i int) string {
	return "http://" + d.Instances[i].Settings.CallerAddress
}
