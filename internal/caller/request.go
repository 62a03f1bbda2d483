package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/target"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// HeaderIdempotencyKey carries a booking's key, as in the IETF draft "The
// Idempotency-Key HTTP Header Field".
const HeaderIdempotencyKey = "Idempotency-Key"

const (
	maxHeaderBytes         = 32 << 10
	maxKeyBytes            = 512
	maxIdempotencyKeyBytes = 128
	fingerprintBytes       = 16
)

// hopByHop lists the headers that apply to one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

func sizeRule(limit int) string { return fmt.Sprintf("must have at most %d bytes", limit) }

// headerBytes returns the length of a request's URI and headers in bytes.
func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// checkRequest checks the size of the headers, the method and, for a booking, the
// idempotency key. It returns nil if they are valid.
func checkRequest(r *http.Request, service config.Service) *errorResponse {
	if n := headerBytes(r); n > maxHeaderBytes {
		e := invalidRequest(http.StatusRequestHeaderFieldsTooLarge, "headers", fmt.Sprintf("%d bytes", n), sizeRule(maxHeaderBytes))
		return &e
	}
	if !slices.Contains(service.Methods, r.Method) {
		e := invalidRequest(http.StatusMethodNotAllowed, "method", r.Method, "must be one of "+strings.Join(service.Methods, ", "))
		e.allow = strings.Join(service.Methods, ", ")
		return &e
	}
	if service.Kind != config.Booking {
		return nil
	}
	return checkIdempotencyKey(r.Header.Values(HeaderIdempotencyKey))
}

func checkIdempotencyKey(values []string) *errorResponse {
	var e errorResponse
	switch {
	case len(values) == 0:
		e = invalidRequest(http.StatusBadRequest, HeaderIdempotencyKey, "", "must be given for a booking")
	case len(values) > 1:
		e = invalidRequest(http.StatusBadRequest, HeaderIdempotencyKey, strings.Join(values, ", "), "must be given once")
	case !validIdempotencyKey(values[0]):
		e = invalidRequest(http.StatusBadRequest, HeaderIdempotencyKey, values[0], fmt.Sprintf("must have 1 to %d visible ASCII characters", maxIdempotencyKeyBytes))
	default:
		return nil
	}
	return &e
}

func validIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return false
	}
	return !strings.ContainsFunc(key, func(c rune) bool { return c <= ' ' || c > '~' })
}

// fill sets the call's request and permitReq. It returns an error response if the key
// is invalid.
func (c *call) fill(r *http.Request, body []byte) *errorResponse {
	key, errResp := keyOf(r, c.service)
	if errResp != nil {
		return errResp
	}
	uri := r.URL.RequestURI()
	c.request = target.Request{ID: c.id, Method: r.Method, URI: uri, Header: forwardedHeaders(r.Header), Body: body}
	if c.service.Kind == config.Booking {
		c.request.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	}
	c.permitReq = entry.PermitRequest{
		Service:       c.service.Name,
		Path:          r.URL.Path,
		ConfigVersion: c.configVersion,
		Fingerprint:   fingerprint(r.Method, uri, body),
		Deadline:      c.deadline,
	}
	if c.service.Keyed() {
		c.permitReq.Point = keyspace.PointOf(c.service.Name + "/" + key)
	}
	return nil
}

// keyOf returns the request's key from the part of the request that the service's
// configuration names, or "" for a service without keys. It returns an error response
// if the key is missing or too long.
func keyOf(r *http.Request, service config.Service) (string, *errorResponse) {
	var key string
	switch service.Key.From {
	case config.KeyNone:
		return "", nil
	case config.KeyPath:
		key = pathPart(strings.TrimPrefix(r.URL.Path, service.Prefix), service.Key.Segment)
	case config.KeyQuery:
		key = queryValue(r.URL, service.Key.Name)
	case config.KeyHeader:
		key = r.Header.Get(service.Key.Name)
	}
	if key == "" || len(key) > maxKeyBytes {
		e := invalidRequest(http.StatusBadRequest, "key", key, fmt.Sprintf("must be given as %s and have 1 to %d bytes", describeKeySource(service.Key), maxKeyBytes))
		return "", &e
	}
	return key, nil
}

func queryValue(u *url.URL, name string) string { return u.Query().Get(name) }

// pathPart returns the given part of the path, counted from 1, or "" if there are
// fewer parts.
func pathPart(rest string, part int) string {
	parts := strings.Split(rest, "/")
	if part > len(parts) {
		return ""
	}
	return parts[part-1]
}

func describeKeySource(k config.KeySource) string {
	if k.From == config.KeyPath {
		return fmt.Sprintf("part %d of the path after the prefix", k.Segment)
	}
	return fmt.Sprintf("%s field %q", k.From, k.Name)
}

// fingerprint returns the identifier of a kind of request. Requests with the same
// method, URI and body are of one kind.
func fingerprint(method, uri string, body []byte) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%s\n", method, uri)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// forwardedHeaders returns the headers to forward: without those that apply to the
// connection and without those that only this system may set.
func forwardedHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	out.Del(HeaderIdempotencyKey)
	out.Del("X-" + HeaderIdempotencyKey)
	for name := range out {
		if strings.HasPrefix(name, target.HeaderPrefix) {
			out.Del(name)
		}
	}
	return out
}
