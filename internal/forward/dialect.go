// Package forward is an entry of a routed deployment: it reads callers'
// requests, chooses a target for each, and returns the target's whole answer or
// one clear refusal.
package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// Dialect names the headers by which callers, entries and targets tell each
// other what routing needs.
type Dialect struct {
	RequestID string // names one request of a caller; answers repeat it
	Deadline  string // milliseconds that are left for the answer
	Target    string // ID of the target that a request is meant for
	Signature string // the target's proof of its answer
	NotRun    string // the target did not run the request
	Load      string // the target's own count of its work
	Key       string // of a request to a keyed service
	// ParseLoad reads the Load header.
	ParseLoad func(value string) (Load, bool)
}

// Load is a target's own count of its work.
type Load struct {
	Running, Waiting, Slots int
}

// Observer learns what an entry measures.
type Observer interface {
	// Answered counts a final answer to a caller.
	Answered(service, outcome string, status int, took time.Duration)
}

// Reporter takes an entry's measurements to the control leader and returns its
// answer, or nil where it could not be reached.
type Reporter func(instance.ReportRequest) *instance.ReportResponse

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
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

// passes reports whether a header goes on to the next connection.
func passes(name string, h http.Header) bool {
	if hopHeaders[name] {
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
