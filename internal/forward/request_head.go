package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if isForwarded(name, h) {
			out[name] = values
		}
	}
	return out
}

// requestHead returns the request line and headers as sent to the target.
func (s *Server) requestHead(c *call, t deployment.Target, now time.Time) []byte {
	out := s.callerHead(c, now)
	out = appendHeader(out, s.cfg.Headers.Target, t.ID)
	return append(out, "\r\n"...)
}

// callerHead returns the request line and the headers that come from the caller, with what
// is left of its deadline.
func (s *Server) callerHead(c *call, now time.Time) []byte {
	names := s.cfg.Headers
	out := make([]byte, 0, 512)
	out = append(out, c.method...)
	out = append(out, ' ')
	out = append(out, c.uri...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", c.host)
	for name, values := range c.header {
		if name == names.Deadline || name == names.Target || name == "Expect" || !isForwarded(name, c.header) {
			continue
		}
		for _, v := range values {
			out = appendHeader(out, name, v)
		}
	}
	remaining := max(c.deadline.Sub(now)-responseMargin, time.Millisecond)
	out = appendHeader(out, names.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	if len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut || c.method == http.MethodPatch {
		out = appendHeader(out, "Content-Length", strconv.Itoa(len(c.body)))
	}
	return out
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
