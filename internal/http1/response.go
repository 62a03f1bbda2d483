package http1

import (
	"bufio"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Response is a final response whose body has not been read.
type Response struct {
	Status int
	// Header holds the fields with the keys of net/http, without Transfer-Encoding.
	Header http.Header
	// ContentLength is the length of the body, or below 0 if the response does not say it.
	ContentLength int64
	Close         bool // the connection ends after the body
	// Body ends with io.EOF once it is complete. One without a length ends with the connection,
	// which has to be a Conn: others may report a reset as an end.
	Body io.Reader
}

// Statuses have three digits, of which the first one is their class.
const (
	minStatus    = 100
	maxStatus    = 599
	statusDigits = 3
)

// ReadResponse reads the final response to a request with the method. It skips interim
// responses, which are counted in maxHeadBytes.
func ReadResponse(r *bufio.Reader, method string, maxHeadBytes int) (*Response, error) {
	for {
		var h head
		text, err := h.read(r, maxHeadBytes)
		if err != nil {
			return nil, err
		}
		maxHeadBytes -= len(text)
		resp, err := parseResponse(text, method)
		if err != nil {
			return nil, err
		}
		if resp.Status >= http.StatusOK {
			resp.Body = newBody(r, resp.ContentLength)
			return resp, nil
		}
	}
}

func parseResponse(text, method string) (*Response, error) {
	line, fields, _ := strings.Cut(text, lineEnd)
	version, rest, _ := strings.Cut(line, " ")
	code, reason, ok := strings.Cut(rest, " ")
	p, err := parseProtocol(version)
	if err != nil {
		return nil, err
	}
	resp := &Response{}
	if resp.Status = parseStatus(code); !ok || resp.Status < minStatus || resp.Status > maxStatus || !httpguts.ValidHeaderFieldValue(reason) {
		return nil, malformed("status line %.40q", line)
	}
	if resp.Status == http.StatusSwitchingProtocols {
		return nil, malformed("status 101, for which no request has asked")
	}
	if resp.Header, err = parseFields(fields); err != nil {
		return nil, err
	}
	// A sender whose response broke off within a line, and which went on with the next one, makes
	// one head of both: it follows the grammar, and its fields are those of two responses.
	if containsStatusLine(text[len(version):]) {
		return nil, malformed("status line within another line")
	}
	if resp.ContentLength, err = responseLength(p, resp, method); err != nil {
		return nil, err
	}
	resp.Close = closes(p, resp.Header) || resp.ContentLength == untilClose
	delete(resp.Header, "Transfer-Encoding")
	return resp, nil
}

// responseLength returns the length of the body that follows the head.
func responseLength(p protocol, resp *Response, method string) (int64, error) {
	n, err := bodyLength(p, resp.Header, untilClose)
	switch {
	case err != nil:
		return 0, err
	case resp.Status == http.StatusNoContent || resp.Status < http.StatusOK:
		if n > 0 || n == chunkedLength {
			return 0, malformed("body of a response with status %d", resp.Status)
		}
		return 0, nil
	case resp.Status == http.StatusNotModified || method == http.MethodHead:
		return 0, nil
	}
	return n, nil
}

// parseStatus returns the status code, or 0 if it is none.
func parseStatus(code string) int {
	if len(code) != statusDigits {
		return 0
	}
	n := 0
	for i := range len(code) {
		if !isDigit(code[i]) {
			return 0
		}
		n = 10*n + int(code[i]-'0')
	}
	return n
}

// containsStatusLine reports whether a version of HTTP and a status stand in the text.
func containsStatusLine(text string) bool {
	for {
		_, after, found := strings.Cut(text, "HTTP/")
		if !found {
			return false
		}
		if len(after) >= len("1.1 200") && isDigit(after[0]) && after[1] == '.' && isDigit(after[2]) && after[3] == ' ' && parseStatus(after[4:7]) > 0 {
			return true
		}
		text = after
	}
}
