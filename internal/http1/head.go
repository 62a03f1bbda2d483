// Package http1 reads HTTP/1.1 messages (RFC 9110, RFC 9112) from connections on which anything may
// arrive. net/http takes much that is no valid message: names of fields with blanks, lines that
// end with a line feed alone, folded fields, a status 000. Where such bytes are passed on, the next
// reader may see another message than this one did. This package reads a message only if it
// follows the grammar, and reports ErrMalformed otherwise.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Errors of the readers; check for them with errors.Is.
var (
	// ErrMalformed reports bytes that are not a valid message. What follows them on the
	// connection can't be read either.
	ErrMalformed = errors.New("not a valid HTTP/1.1 message")
	// ErrHeadTooLarge reports a start line and fields with more bytes than allowed.
	ErrHeadTooLarge = errors.New("head of the message is too large")
	// ErrBodyTooLarge reports a body with more bytes than LimitBody allows.
	ErrBodyTooLarge = errors.New("body of the message is too large")
	// ErrVersion is an ErrMalformed: the message is of another version of HTTP.
	ErrVersion = fmt.Errorf("version is not supported: %w", ErrMalformed)
)

const (
	lineEnd = "\r\n"
	// usualHeadBytes is the size of a head that takes one buffer.
	usualHeadBytes = 512
)

// head collects the lines of a message's start line and fields. A read that ends early, with a
// timeout, can be continued.
type head struct {
	data     []byte
	lineFrom int // where the last line begins, which may be incomplete
}

// read reads up to and including the empty line, and returns the lines before it, each with its
// line end. If the connection ends before the first byte it returns io.EOF.
func (h *head) read(r *bufio.Reader, maxBytes int) (string, error) {
	if h.data == nil {
		h.data = make([]byte, 0, usualHeadBytes)
	}
	for {
		part, err := r.ReadSlice('\n')
		if len(h.data)+len(part) > maxBytes {
			return "", ErrHeadTooLarge
		}
		h.data = append(h.data, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(h.data) > 0:
			return "", io.ErrUnexpectedEOF
		case err != nil:
			return "", err
		}
		line := h.data[h.lineFrom:]
		if len(line) < len(lineEnd) || line[len(line)-len(lineEnd)] != '\r' {
			return "", malformed("line ends with a line feed alone")
		}
		if len(line) == len(lineEnd) {
			if h.lineFrom == 0 {
				return "", malformed("message begins with an empty line")
			}
			out := string(h.data[:h.lineFrom])
			h.data, h.lineFrom = h.data[:0], 0
			return out, nil
		}
		h.lineFrom = len(h.data)
	}
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// parseFields parses lines of fields, each with its line end.
func parseFields(lines string) (http.Header, error) {
	n := strings.Count(lines, lineEnd)
	h := make(http.Header, n)
	all := make([]string, 0, n) // holds the values of all fields, in one allocation
	for lines != "" {
		var line string
		line, lines, _ = strings.Cut(lines, lineEnd)
		// A name takes no blank, so that this also rejects folded fields and blanks before the colon.
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) {
			return nil, malformed("name of field %.40q", line)
		}
		value = strings.Trim(value, " \t")
		if !httpguts.ValidHeaderFieldValue(value) {
			return nil, malformed("value of field %.40q", name)
		}
		name = http.CanonicalHeaderKey(name)
		if earlier, given := h[name]; given {
			h[name] = append(earlier, value)
			continue
		}
		all = append(all, value)
		h[name] = all[len(all)-1 : len(all) : len(all)]
	}
	return h, nil
}

// protocol is the version of HTTP of a message.
type protocol int

const (
	http10 protocol = iota
	http11
)

func parseProtocol(text string) (protocol, error) {
	switch text {
	case "HTTP/1.1":
		return http11, nil
	case "HTTP/1.0":
		return http10, nil
	}
	if len(text) == len("HTTP/1.1") && strings.HasPrefix(text, "HTTP/") && isDigit(text[5]) && text[6] == '.' && isDigit(text[7]) {
		return 0, fmt.Errorf("%q: %w", text, ErrVersion)
	}
	return 0, malformed("version %.40q", text)
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// closes reports whether the connection ends after a message with these fields.
func closes(p protocol, h http.Header) bool {
	tokens := h["Connection"]
	return httpguts.HeaderValuesContainsToken(tokens, "close") || p == http10 && !httpguts.HeaderValuesContainsToken(tokens, "keep-alive")
}

// Lengths of bodies that a message does not say.
const (
	chunkedLength int64 = -1
	// untilClose is the length of a body that ends with the connection, without a reset.
	untilClose int64 = -2
)

// maxLengthDigits bounds the digits of a length, which then fits an int64.
const maxLengthDigits = 18

// bodyLength returns the length that the fields of a message declare, or none if they don't.
func bodyLength(p protocol, h http.Header, none int64) (int64, error) {
	lengths, encodings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case len(encodings) > 0 && len(lengths) > 0:
		return 0, malformed("both a Content-Length and a Transfer-Encoding")
	case len(encodings) > 0:
		if p == http10 || len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked") {
			return 0, malformed("transfer encoding %.40q", encodings)
		}
		return chunkedLength, nil
	case len(lengths) == 0:
		return none, nil
	case len(lengths) > 1:
		return 0, malformed("%d Content-Lengths", len(lengths))
	}
	text := lengths[0]
	if text == "" {
		return 0, malformed("Content-Length without a number")
	}
	n := int64(0)
	for i := range len(text) {
		if !isDigit(text[i]) {
			return 0, malformed("Content-Length %.40q", text)
		}
		if i >= maxLengthDigits {
			n = maxLength // the digits that follow are still checked
			continue
		}
		n = 10*n + int64(text[i]-'0')
	}
	return n, nil
}

// maxLength stands for lengths beyond what any body has.
const maxLength = 1 << 62
