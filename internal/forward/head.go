package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

func passedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if passes(name, h) {
			out[name] = values
		}
	}
	return out
}

// head returns the request line and headers as the target gets them.
func (s *Server) head(c *call, t deployment.Target, now time.Time) []byte {
	d := s.cfg.Dialect
	out := make([]byte, 0, 512)
	out = append(out, c.method...)
	out = append(out, ' ')
	out = append(out, c.uri...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = header(out, "Host", c.host)
	for name, values := range c.header {
		if name == d.Deadline || name == d.Target || name == "Expect" || !passes(name, c.header) {
			continue
		}
		for _, v := range values {
			out = header(out, name, v)
		}
	}
	left := max(c.deadline.Sub(now)-answerMargin, time.Millisecond)
	out = header(out, d.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	out = header(out, d.Target, t.ID)
	if len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut || c.method == http.MethodPatch {
		out = header(out, "Content-Length", strconv.Itoa(len(c.body)))
	}
	return append(out, "\r\n"...)
}

func header(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
