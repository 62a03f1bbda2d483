// Package forward implements an entry of a routed deployment (see
// internal/deployment): it reads callers' requests, forwards each to a target, and
// returns the target's answer or an error response. Large bodies are streamed as
// they arrive. Entries of deployments whose members vote on the configuration use
// internal/router instead.
//
// In this package an answer is what a target sends, and a response is what is sent to
// the caller.
package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// HeaderNames names the headers that carry routing information between callers,
// entries and targets. The names are in the canonical form of net/http.
type HeaderNames struct {
	RequestID string // identifies a caller's request; answers and responses echo it
	Deadline  string // milliseconds left until the response or answer is due
	Target    string // ID of the target that a request is sent to
	Signature string // the target's signature of its answer
	NotRun    string // set if the target did not run the request
	Load      string // the target's load, read by ParseLoad
	Key       string // key of a request to a keyed service
	RateLimit string // rate limit that a target names in its answers, read by ParseRateLimit
	Leaving   string // set in all answers of a target that is leaving
	// ParseLoad parses the value of the Load header. It returns false for an
	// invalid one.
	ParseLoad func(value string) (Load, bool)
	// ParseRateLimit parses the value of the RateLimit header, in requests a second. It
	// returns false for an invalid one.
	ParseRateLimit func(value string) (float64, bool)
	// ParseRest parses the Retry-After header of an answer with status 503: for how long
	// the target wants no requests. It returns false for an invalid value.
	ParseRest func(value string) (time.Duration, bool)
}

// Load is the load that a target reports: running and waiting requests, and how
// many it can run at once.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the target at this moment, as a multiple of the
	// usual time; 1 for a target that does not report it.
	Slowdown float64
}

// Observer receives an entry's measurements.
type Observer interface {
	// Responded is called with each final response to a caller.
	Responded(service, outcome string, status int, took time.Duration)
}

// Reporter sends an entry's measurements to the control leader. It returns the
// leader's response, or nil if the leader could not be reached.
type Reporter func(instance.ReportRequest) *instance.ReportResponse

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// isForwarded reports whether a header is forwarded: neither a hop-by-hop header
// nor listed in the Connection header.
func isForwarded(name string, h http.Header) bool {
	if hopByHopHeaders[name] || strings.HasPrefix(name, relayHeaderPrefix) {
		return false
	}
	for _, value := range h["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return false
			}
		}
	}
	return true
}
