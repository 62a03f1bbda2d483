package http1

import (
	"bytes"
	"net/http"
	"regexp"
	"strconv"
	"strings"
)

// The grammar of RFC 9110 and RFC 9112, by which the tests judge the readers. Bytes from 0x80 on
// (obs-text) match as characters that are not excluded.
const (
	tokenRule   = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	textRule    = `[^\x00-\x08\x0a-\x1f\x7f]*`
	fieldRule   = tokenRule + `:` + textRule
	fieldsRule  = `((?:` + fieldRule + `\r\n)*)\r\n`
	versionRule = `(HTTP/1\.[01])`
	// Visible characters without "#", and escapes in the path. A query may be any of them.
	pathRule   = `/(?:[!-"$&->@-~]|%[0-9A-Fa-f]{2})*`
	queryRule  = `(?:\?[!-"$-~]*)?`
	hostRule   = "[!$%&'()*+,\\-.0-9:;=A-Z\\[\\]_a-z~]"
	targetRule = `(` + pathRule + queryRule + `|(?i:http)://` + hostRule + `+(?:` + pathRule + `)?` + queryRule + `|\*)`

	quotedRule    = `"(?:[\t !#-\[\]-~\x{80}-\x{10ffff}]|\\[\t -~\x{80}-\x{10ffff}])*"`
	extensionRule = `(?:[ \t]*;[ \t]*` + tokenRule + `(?:[ \t]*=[ \t]*(?:` + tokenRule + `|` + quotedRule + `))?)*`
)

var (
	requestPattern  = regexp.MustCompile(`\A(` + tokenRule + `) ` + targetRule + ` ` + versionRule + `\r\n` + fieldsRule)
	responsePattern = regexp.MustCompile(`\A` + versionRule + ` ([1-5][0-9]{2}) (` + textRule + `)\r\n` + fieldsRule)
	chunkPattern    = regexp.MustCompile(`\A([0-9A-Fa-f]+)` + extensionRule + `\r\n`)
	trailerPattern  = regexp.MustCompile(`\A` + fieldsRule)
	hostPattern     = regexp.MustCompile(`\A` + hostRule + `*\z`)
	lengthPattern   = regexp.MustCompile(`\A[0-9]+\z`)
	// splicedPattern finds a status line, which no sender writes within a line.
	splicedPattern = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{2}[1-9]|HTTP/[0-9]\.[0-9] (?:[0-9][1-9][0-9]|[1-9][0-9]{2})`)
)

// grammarFields returns the fields of lines that match the grammar.
func grammarFields(lines []byte) http.Header {
	h := make(http.Header)
	for line := range strings.Lines(string(lines)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), ":")
		h.Add(name, strings.Trim(value, " \t"))
	}
	return h
}

// grammarLength returns the length that fields declare: 0 or more, "chunked" as -1, none as -2. It
// returns false if they are invalid.
func grammarLength(version string, h http.Header) (int64, bool) {
	lengths, encodings := h.Values("Content-Length"), h.Values("Transfer-Encoding")
	switch {
	case len(encodings) > 0:
		return -1, len(lengths) == 0 && len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked") && version == "HTTP/1.1"
	case len(lengths) == 0:
		return -2, true
	case len(lengths) > 1 || !lengthPattern.MatchString(lengths[0]):
		return 0, false
	}
	n, err := strconv.ParseInt(lengths[0], 10, 64)
	if err != nil {
		n = 1 << 60 // more than any test sends
	}
	return n, true
}

// grammarBody returns the body of the declared length at the beginning of the data, and what
// follows it. It returns false if the body is invalid or ends early.
func grammarBody(data []byte, length int64) (body, rest []byte, ok bool) {
	if length >= 0 {
		if int64(len(data)) < length {
			return nil, nil, false
		}
		return data[:length], data[length:], true
	}
	if length == -2 {
		return data, nil, true
	}
	for {
		m := chunkPattern.FindSubmatch(data)
		if m == nil {
			return nil, nil, false
		}
		data = data[len(m[0]):]
		size, err := strconv.ParseUint(strings.TrimLeft(string(m[1]), "0")+"0", 16, 64)
		if err != nil || size>>4 > uint64(len(data)) {
			return nil, nil, false
		}
		n := int(size >> 4)
		if n == 0 {
			m := trailerPattern.Find(data)
			return body, data[len(m):], m != nil
		}
		body = append(body, data[:n]...)
		if data = data[n:]; !bytes.HasPrefix(data, []byte("\r\n")) {
			return nil, nil, false
		}
		data = data[2:]
	}
}

// message is what the grammar says of the beginning of some bytes.
type message struct {
	first  string // method or status
	target string
	host   string
	header http.Header
	body   []byte
	whole  bool   // the body is valid and complete
	length int64  // declared
	rest   []byte // behind the message
}

// grammarRequest returns the request at the beginning of the data, or false if there is none.
func grammarRequest(data []byte) (message, bool) {
	m := requestPattern.FindSubmatch(data)
	if m == nil {
		return message{}, false
	}
	out := message{first: string(m[1]), target: string(m[2]), header: grammarFields(m[4])}
	hosts := out.header.Values("Host")
	if len(hosts) > 1 || len(hosts) == 0 && string(m[3]) == "HTTP/1.1" || out.first == "CONNECT" || out.target == "*" && out.first != "OPTIONS" {
		return message{}, false
	}
	out.host = out.header.Get("Host")
	if len(out.target) > 7 && strings.EqualFold(out.target[:7], "http://") {
		rest := out.target[7:]
		end := strings.IndexAny(rest+"/", "/?")
		out.host, out.target = rest[:end], rest[end:]
		if !strings.HasPrefix(out.target, "/") {
			out.target = "/" + out.target
		}
	}
	length, ok := grammarLength(string(m[3]), out.header)
	if !ok || !hostPattern.MatchString(out.host) {
		return message{}, false
	}
	out.length = max(length, -1)
	if length == -2 {
		out.length = 0
	}
	out.body, out.rest, out.whole = grammarBody(data[len(m[0]):], out.length)
	return out, true
}

// grammarResponse returns the final response at the beginning of the data, or false if there is none.
func grammarResponse(data []byte, method string) (message, bool) {
	for {
		m := responsePattern.FindSubmatch(data)
		if m == nil {
			return message{}, false
		}
		data = data[len(m[0]):]
		out := message{first: string(m[2]), header: grammarFields(m[4])}
		length, ok := grammarLength(string(m[1]), out.header)
		if !ok || out.first == "101" || splicedPattern.Match(m[3]) || splicedIn(out.header) {
			return message{}, false
		}
		interim := out.first[0] == '1'
		if interim || out.first == "204" {
			if length > 0 || length == -1 {
				return message{}, false
			}
			length = 0
		}
		if out.first == "304" || method == "HEAD" {
			length = 0
		}
		if interim {
			continue
		}
		out.length = length
		out.body, out.rest, out.whole = grammarBody(data, length)
		return out, true
	}
}

func splicedIn(h http.Header) bool {
	for _, values := range h {
		for _, v := range values {
			if splicedPattern.MatchString(v) {
				return true
			}
		}
	}
	return false
}
