package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/target"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// startWithoutControl returns the handler of an entry that has no view yet and reaches no
// control instance.
func startWithoutControl(t *testing.T) *Handler {
	pool, closePool := instance.NewPool(t.Context(), instance.Security{}, &instance.Traffic{})
	t.Cleanup(closePool)
	quiet := log.New(io.Discard)
	e, stop := entry.Start(t.Context(), entry.Config{
		Name: "entry", Control: []string{"127.0.0.1:1"}, Pool: pool, Clock: timer.NewSystem(t.Context()),
		Router: router.Config{Limits: router.FixedLimit}, Log: quiet,
	})
	t.Cleanup(stop)
	return New(Config{Entry: e, Log: quiet, Capacity: 10})
}

// TestOutcomeWithoutConfig sends requests to an entry that has no configuration. It can't
// look up whether a booking that is sent again has run.
func TestOutcomeWithoutConfig(t *testing.T) {
	h := startWithoutControl(t)
	for name, c := range map[string]struct {
		method, key string
		want        Outcome
	}{
		"a booking that may be sent again": {http.MethodPost, "order-7", Unknown},
		"a lookup":                         {http.MethodGet, "", NotRun},
		"a booking without a key":          {http.MethodPost, "", NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, "/orders/grocer-7", strings.NewReader("qty=2"))
			if c.key != "" {
				r.Header.Set(HeaderIdempotencyKey, c.key)
			}
			w := httptest.NewRecorder()
			h.Routes().ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get(target.HeaderOutcome), string(c.want))
			assert.Assert(t, w.Header().Get("Retry-After") != "")
		})
	}
}
