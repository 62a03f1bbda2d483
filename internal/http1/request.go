package http1

import (
	"bufio"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Request is a request whose body has not been read.
type Request struct {
	Method string
	Target string // path and query as they were sent, or "*"
	Host   string
	// Header holds the fields with the keys of net/http, without Host and Transfer-Encoding.
	Header http.Header
	// ContentLength is the length of the body, or -1 if it comes in chunks.
	ContentLength int64
	Close         bool // the connection ends after the response
	// Body ends with io.EOF once it is complete.
	Body io.Reader
}

// ReadRequest reads a request whose head has at most maxHeadBytes. If the connection ends
// before the first byte it returns io.EOF.
func ReadRequest(r *bufio.Reader, maxHeadBytes int) (*Request, error) {
	var h head
	text, err := h.read(r, maxHeadBytes)
	if err != nil {
		return nil, err
	}
	req, err := parseRequest(text)
	if err != nil {
		return nil, err
	}
	req.Body = newBody(r, req.ContentLength)
	return req, nil
}

// LimitBody bounds the bytes of a body in chunks, with the lines between them. It is called before
// the body is read; a sender may spend a line on each byte.
func (req *Request) LimitBody(bytes int64) {
	if b, ok := req.Body.(*chunkedBody); ok {
		b.allowed = bytes
	}
}

func parseRequest(text string) (*Request, error) {
	line, fields, _ := strings.Cut(text, lineEnd)
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !httpguts.ValidHeaderFieldName(method) {
		return nil, malformed("request line %.40q", line)
	}
	p, err := parseProtocol(version)
	if err != nil {
		return nil, err
	}
	req := &Request{Method: method}
	if req.Header, err = parseFields(fields); err != nil {
		return nil, err
	}
	hosts := req.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && p == http11 {
		return nil, malformed("%d Host fields", len(hosts))
	}
	if len(hosts) == 1 {
		req.Host = hosts[0]
	}
	if err := req.setTarget(target); err != nil {
		return nil, err
	}
	if !httpguts.ValidHostHeader(req.Host) {
		return nil, malformed("Host %.40q", req.Host)
	}
	if req.ContentLength, err = bodyLength(p, req.Header, 0); err != nil {
		return nil, err
	}
	req.Close = closes(p, req.Header)
	delete(req.Header, "Host")
	delete(req.Header, "Transfer-Encoding")
	return req, nil
}

// absolutePrefix begins a target that names its host, which then goes before the field Host.
const absolutePrefix = "http://"

// setTarget sets the target, and the host if the target names it. A query may hold any visible
// character, since browsers leave some unescaped. CONNECT, whose target is a host, is not supported.
func (req *Request) setTarget(target string) error {
	req.Target = target
	if len(target) > len(absolutePrefix) && strings.EqualFold(target[:len(absolutePrefix)], absolutePrefix) {
		rest := target[len(absolutePrefix):]
		end := strings.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		req.Host, req.Target = rest[:end], rest[end:]
		if !strings.HasPrefix(req.Target, "/") {
			req.Target = "/" + req.Target
		}
		if req.Host == "" || strings.Contains(req.Host, "@") {
			return malformed("target %.40q", target)
		}
	}
	path, _, _ := strings.Cut(req.Target, "?")
	if !strings.HasPrefix(path, "/") && (req.Target != "*" || req.Method != http.MethodOptions) || req.Method == http.MethodConnect {
		return malformed("target %.40q", target)
	}
	for i := range len(req.Target) {
		if c := req.Target[i]; c <= ' ' || c >= 0x7f || c == '#' {
			return malformed("target %.40q", target)
		}
	}
	for i := range len(path) {
		if path[i] == '%' && (i+2 >= len(path) || !isHex(path[i+1]) || !isHex(path[i+2])) {
			return malformed("escape in target %.40q", target)
		}
	}
	return nil
}

func isHex(c byte) bool { return isDigit(c) || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F' }
