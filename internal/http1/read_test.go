package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testHeadBytes = 4 << 10

// invalidLines are lines of fields, each with the line end before it, that no sound sender
// writes.
var invalidLines = map[string]string{
	"blank within a name":           "\r\nX Y: 1",
	"blank before the colon":        "\r\nContent-Length : 5",
	"tab before the colon":          "\r\nContent-Length\t: 5",
	"control byte in a name":        "\r\nX\x01Y: 1",
	"byte above ASCII in a name":    "\r\nX\xe9: 1",
	"separator in a name":           "\r\nX(Y): 1",
	"no name":                       "\r\n: 1",
	"no colon":                      "\r\nX",
	"folded field":                  "\r\nX: 1\r\n 2",
	"folded with a tab":             "\r\nX: 1\r\n\t2",
	"line feed alone":               "\nX: 1",
	"line feed before a name":       "\r\n\nX: 1",
	"carriage return in a value":    "\r\nX: 1\rContent-Length: 5",
	"carriage return before an end": "\r\nX: 1\r",
	"null byte in a value":          "\r\nX: 1\x002",
	"escape byte in a value":        "\r\nX: \x1b[1m",
	"delete byte in a value":        "\r\nX: \x7f",
	"two lengths":                   "\r\nContent-Length: 5\r\nContent-Length: 6",
	"a length twice":                "\r\nContent-Length: 5\r\nContent-Length: 5",
	"list of lengths":               "\r\nContent-Length: 5, 5",
	"length with a sign":            "\r\nContent-Length: +5",
	"negative length":               "\r\nContent-Length: -5",
	"hexadecimal length":            "\r\nContent-Length: 0x5",
	"empty length":                  "\r\nContent-Length:",
	"blank in a length":             "\r\nContent-Length: 1 2",
	"length and chunks":             "\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
	"chunks and length":             "\r\nTransfer-Encoding: chunked\r\nContent-Length: 5",
	"unknown encoding":              "\r\nTransfer-Encoding: gzip",
	"encoding before chunks":        "\r\nTransfer-Encoding: gzip, chunked",
	"chunks twice":                  "\r\nTransfer-Encoding: chunked, chunked",
	"chunks in two fields":          "\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	"chunks before identity":        "\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity",
	"odd name of chunks":            "\r\nTransfer-Encoding: xchunked",
	"control byte behind chunks":    "\r\nTransfer-Encoding: chunked\x0b",
}

// validLines are unusual and follow the grammar.
var validLines = map[string]string{
	"no blank behind the colon": "\r\nX:1",
	"blanks around a value":     "\r\nX: \t 1 \t",
	"empty value":               "\r\nX:",
	"tab in a value":            "\r\nX: 1\t2",
	"bytes above ASCII":         "\r\nX: \xe9\xff",
	"all characters of a token": "\r\n!#$%&'*+-.^_`|~09azAZ: 1",
	"a field twice":             "\r\nX: 1\r\nX: 2",
	"length with zeros":         "\r\nContent-Length: 005",
	"chunks in capitals":        "\r\nTransfer-Encoding: CHUNKED",
}

var invalidRequestLines = map[string]string{
	"no version":                   "GET /",
	"two blanks":                   "GET  / HTTP/1.1",
	"blank before the end":         "GET / HTTP/1.1 ",
	"tab instead of a blank":       "GET\t/ HTTP/1.1",
	"blank in the target":          "GET /a b HTTP/1.1",
	"control byte in the target":   "GET /\x01 HTTP/1.1",
	"byte above ASCII":             "GET /\xe9 HTTP/1.1",
	"fragment":                     "GET /a#b HTTP/1.1",
	"broken escape":                "GET /%zz HTTP/1.1",
	"cut escape":                   "GET /%4 HTTP/1.1",
	"target without a slash":       "GET a HTTP/1.1",
	"asterisk for GET":             "GET * HTTP/1.1",
	"connect":                      "CONNECT h:80 HTTP/1.1",
	"name of a user in the target": "GET http://u@h/ HTTP/1.1",
	"separator in the method":      "GE(T / HTTP/1.1",
	"empty method":                 " / HTTP/1.1",
	"version in small letters":     "GET / http/1.1",
	"version 2":                    "GET / HTTP/2.0",
	"version 1.2":                  "GET / HTTP/1.2",
	"version 1":                    "GET / HTTP/1",
	"long version":                 "GET / HTTP/1.10",
	"carriage return":              "GET / HTTP/1.1\r",
	"empty line":                   "\r\nGET / HTTP/1.1",
	"nothing":                      "",
}

var invalidStatusLines = map[string]string{
	"status 000":             "HTTP/1.1 000 OK",
	"status 099":             "HTTP/1.1 099 OK",
	"status 600":             "HTTP/1.1 600 OK",
	"status 999":             "HTTP/1.1 999 OK",
	"two digits":             "HTTP/1.1 20 OK",
	"four digits":            "HTTP/1.1 2000 OK",
	"sign":                   "HTTP/1.1 +20 OK",
	"letters":                "HTTP/1.1 abc OK",
	"unasked switch":         "HTTP/1.1 101 Switching Protocols",
	"no blank":               "HTTP/1.1 200",
	"two blanks":             "HTTP/1.1  200 OK",
	"blank before":           " HTTP/1.1 200 OK",
	"version 2":              "HTTP/2.0 200 OK",
	"version 1.2":            "HTTP/1.2 200 OK",
	"small letters":          "http/1.1 200 OK",
	"control byte":           "HTTP/1.1 200 O\x01K",
	"carriage return":        "HTTP/1.1 200 OK\r",
	"another one's line":     "HTTP/1.1 503 BuHTTP/1.1 200 OK",
	"empty line before":      "\r\nHTTP/1.1 200 OK",
	"bytes before":           "xHTTP/1.1 200 OK",
	"no version":             "200 OK",
	"nothing":                "",
	"interim without fields": "HTTP/1.1 100 Continue",
}

func reader(text string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(text), 64) }

func readRequest(text string) (*Request, []byte, error) {
	req, err := ReadRequest(reader(text), testHeadBytes)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(req.Body)
	return req, body, err
}

func readResponse(text, method string) (*Response, []byte, error) {
	resp, err := ReadResponse(reader(text), method, testHeadBytes)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func assertMalformed(t *testing.T, err error) {
	t.Helper()
	assert.Assert(t, errors.Is(err, ErrMalformed), "%v", err)
}

// Guards against requests that this reader and a target understand in different ways.
func TestInvalidRequests(t *testing.T) {
	const end = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for name, line := range invalidLines {
		t.Run(name, func(t *testing.T) {
			text := "POST / HTTP/1.1\r\nHost: h" + line + end
			_, known := grammarRequest([]byte(text))
			assert.Assert(t, !known)
			_, _, err := readRequest(text)
			assertMalformed(t, err)
		})
	}
	for name, line := range invalidRequestLines {
		t.Run(name, func(t *testing.T) {
			_, _, err := readRequest(line + "\r\nHost: h\r\n\r\n")
			assertMalformed(t, err)
		})
	}
	for name, fields := range map[string]string{
		"no host":         "",
		"two hosts":       "Host: a\r\nHost: b\r\n",
		"a host twice":    "Host: a\r\nHost: a\r\n",
		"blank in a host": "Host: a b\r\n",
		"slash in a host": "Host: a\"b\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := readRequest("GET / HTTP/1.1\r\n" + fields + "\r\n")
			assertMalformed(t, err)
		})
	}
	t.Run("chunks of version 1.0", func(t *testing.T) {
		_, _, err := readRequest("POST / HTTP/1.0\r\nTransfer-Encoding: chunked" + end)
		assertMalformed(t, err)
	})
	t.Run("too large", func(t *testing.T) {
		_, _, err := readRequest("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", testHeadBytes) + "\r\n\r\n")
		assert.Assert(t, errors.Is(err, ErrHeadTooLarge), "%v", err)
	})
	t.Run("cut off", func(t *testing.T) {
		whole := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
		for n := 1; n < len(whole); n++ {
			_, _, err := readRequest(whole[:n])
			assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%d: %v", n, err)
		}
		_, _, err := readRequest("")
		assert.Equal(t, err, io.EOF)
	})
}

func TestValidRequests(t *testing.T) {
	for name, line := range validLines {
		t.Run(name, func(t *testing.T) {
			body := ""
			switch name {
			case "length with zeros":
				body = "hello"
			case "chunks in capitals":
				body = "5;a=\"b\\\"\" ; c\r\nhello\r\n00\r\nX: 1\r\n\r\n"
			}
			req, got, err := readRequest("POST /a?b=[c]|d HTTP/1.1\r\nHost: h" + line + "\r\n\r\n" + body)
			assert.NilError(t, err)
			assert.Equal(t, req.Target, "/a?b=[c]|d")
			assert.Equal(t, string(got), map[bool]string{true: "hello"}[body != ""])
		})
	}
	for line, want := range map[string]Request{
		"GET http://a:80/b?c HTTP/1.1":    {Host: "a:80", Target: "/b?c"},
		"GET HTTP://a HTTP/1.1":           {Host: "a", Target: "/"},
		"GET http://a?b HTTP/1.1":         {Host: "a", Target: "/?b"},
		"OPTIONS * HTTP/1.1":              {Host: "h", Target: "*"},
		"GET / HTTP/1.0":                  {Host: "h", Target: "/", Close: true},
		"GET /%41%2f HTTP/1.1":            {Host: "h", Target: "/%41%2f"},
		"M-SEARCH /a//../b;c=d@ HTTP/1.1": {Host: "h", Target: "/a//../b;c=d@"},
	} {
		t.Run(line, func(t *testing.T) {
			req, _, err := readRequest(line + "\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			assert.Equal(t, req.Host, want.Host)
			assert.Equal(t, req.Target, want.Target)
			assert.Equal(t, req.Close, want.Close)
		})
	}
}

// Guards against bytes of a target in trouble that a caller gets as an answer.
func TestInvalidResponses(t *testing.T) {
	for name, line := range invalidLines {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nServer: s" + line + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
			_, known := grammarResponse([]byte(text), "GET")
			assert.Assert(t, !known)
			_, _, err := readResponse(text, "GET")
			assertMalformed(t, err)
		})
	}
	for name, line := range invalidStatusLines {
		t.Run(name, func(t *testing.T) {
			_, _, err := readResponse(line+"\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "GET")
			assertMalformed(t, err)
		})
	}
	for name, text := range map[string]string{
		"status line within a value": "HTTP/1.1 503 Busy\r\nServer: HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"behind a part of a value":   "HTTP/1.1 503 Busy\r\nServer: abcHTTP/1.0 404 \r\nContent-Length: 0\r\n\r\n",
		"chunks of version 1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"body without content":       "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello",
		"chunks without content":     "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"body of an interim one":     "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := readResponse(text, "GET")
			assertMalformed(t, err)
		})
	}
}

func TestValidResponses(t *testing.T) {
	for name, x := range map[string]struct {
		text, method, body string
		close              bool
	}{
		"length":               {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", body: "hello"},
		"chunks":               {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", body: "hello"},
		"until the close":      {text: "HTTP/1.1 200 OK\r\n\r\nhello", body: "hello", close: true},
		"no reason":            {text: "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n"},
		"interim ones":         {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", body: "x"},
		"to HEAD":              {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", method: "HEAD"},
		"no content":           {text: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
		"not modified":         {text: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		"version 1.0":          {text: "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", body: "x", close: true},
		"close":                {text: "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 1\r\n\r\nx", body: "x", close: true},
		"a proxy's name":       {text: "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gateway\r\nContent-Length: 0\r\n\r\n"},
		"an address in a page": {text: "HTTP/1.1 404 Not Found\r\nContent-Length: 15\r\n\r\nHTTP/1.1 200 OK", body: "HTTP/1.1 200 OK"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body, err := readResponse(x.text, x.method)
			assert.NilError(t, err)
			assert.Equal(t, string(body), x.body)
			assert.Equal(t, resp.Close, x.close)
		})
	}
}

// Guards against chunks of which two readers see different ends.
func TestInvalidChunks(t *testing.T) {
	for name, body := range map[string]string{
		"line feed alone":                "5\nhello\r\n0\r\n\r\n",
		"line feed behind the data":      "5\r\nhello\n0\r\n\r\n",
		"no line end behind the data":    "5\r\nhello0\r\n\r\n",
		"more data":                      "5\r\nhello!\r\n0\r\n\r\n",
		"sign":                           "+5\r\nhello\r\n0\r\n\r\n",
		"prefix":                         "0x5\r\nhello\r\n0\r\n\r\n",
		"blank before":                   " 5\r\nhello\r\n0\r\n\r\n",
		"blank behind":                   "5 \r\nhello\r\n0\r\n\r\n",
		"no size":                        "\r\nhello\r\n0\r\n\r\n",
		"extension without a name":       "5;\r\nhello\r\n0\r\n\r\n",
		"extension without a value":      "5;a=\r\nhello\r\n0\r\n\r\n",
		"open quote":                     "5;a=\"b\r\nhello\r\n0\r\n\r\n",
		"control byte in an extension":   "5;a=\"\x01\"\r\nhello\r\n0\r\n\r\n",
		"carriage return in a line":      "5;a\r=b\r\nhello\r\n0\r\n\r\n",
		"size beyond 64 bits":            "10000000000000005\r\nhello\r\n0\r\n\r\n",
		"blank in a trailer's name":      "0\r\nX Y: 1\r\n\r\n",
		"blank before a trailer's colon": "0\r\nX : 1\r\n\r\n",
		"folded trailer":                 "0\r\nX: 1\r\n 2\r\n\r\n",
		"line feed in a trailer":         "0\r\nX: 1\n\r\n",
		"no colon in a trailer":          "0\r\nX\r\n\r\n",
		"long extension":                 "5;a=" + strings.Repeat("b", maxChunkLine) + "\r\nhello\r\n0\r\n\r\n",
		"many extensions":                strings.Repeat("1;a="+strings.Repeat("b", 1000)+"\r\nx\r\n", 40) + "0\r\n\r\n",
		"long trailer":                   "0\r\n" + strings.Repeat("X: "+strings.Repeat("b", 1000)+"\r\n", 40) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := readRequest("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body)
			assertMalformed(t, err)
			_, _, err = readResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+body, "GET")
			assertMalformed(t, err)
		})
	}
	t.Run("cut off", func(t *testing.T) {
		whole := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a\r\nhello\r\n0\r\nX: 1\r\n\r\n"
		for n := 1; n < len(whole); n++ {
			_, _, err := readResponse(whole[:n], "GET")
			assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%d: %v", n, err)
		}
	})
}

// Guards against a body that takes more bytes on the connection than its limit allows.
func TestLimitBody(t *testing.T) {
	for _, chunk := range []string{"1\r\nx\r\n", "100\r\n" + strings.Repeat("x", 256) + "\r\n"} {
		req, err := ReadRequest(reader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunk, 100)+"0\r\n\r\n"), testHeadBytes)
		assert.NilError(t, err)
		req.LimitBody(int64(50 * len(chunk)))
		body, err := io.ReadAll(req.Body)
		assert.Assert(t, errors.Is(err, ErrBodyTooLarge), "%v", err)
		assert.Assert(t, len(body) <= 50*len(chunk))
	}
}

// assertMessage checks what a reader made of data against the grammar.
func assertMessage(t *testing.T, want message, known bool, header http.Header, body []byte, rest *bufio.Reader, headErr, bodyErr error) {
	t.Helper()
	if !known {
		assert.Assert(t, headErr != nil, "accepted")
		return
	}
	if errors.Is(headErr, ErrHeadTooLarge) {
		return
	}
	assert.NilError(t, headErr)
	for _, name := range []string{"Host", "Transfer-Encoding"} {
		want.header.Del(name)
		header.Del(name)
	}
	assert.DeepEqual(t, header, want.header)
	if !want.whole {
		assert.Assert(t, bodyErr != nil, "accepted body %q", body)
		return
	}
	assert.NilError(t, bodyErr)
	assert.Assert(t, bytes.Equal(body, want.body), "%q instead of %q", body, want.body)
	left, err := io.ReadAll(rest)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(left, want.rest), "left %q instead of %q", left, want.rest)
}

func addRequestSeeds(f *testing.F) {
	for _, line := range invalidLines {
		f.Add([]byte("POST / HTTP/1.1\r\nHost: h" + line + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	}
	for _, line := range validLines {
		f.Add([]byte("POST /%41?b HTTP/1.1\r\nHost: h" + line + "\r\n\r\n5;a=\"b\"\r\nhello\r\n0\r\nX: 1\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	for _, line := range invalidRequestLines {
		f.Add([]byte(line + "\r\nHost: h\r\n\r\n"))
	}
}

func FuzzReadRequest(f *testing.F) {
	addRequestSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 64)
		want, known := grammarRequest(data)
		req, err := ReadRequest(r, testHeadBytes)
		if err != nil {
			assertMessage(t, want, known, nil, nil, nil, err, nil)
			return
		}
		body, bodyErr := io.ReadAll(req.Body)
		assertMessage(t, want, known, req.Header, body, r, nil, bodyErr)
		assert.Equal(t, req.Method, want.first)
		assert.Equal(t, req.Target, want.target)
		assert.Equal(t, req.Host, want.host)
	})
}

func addResponseSeeds(f *testing.F) {
	for _, line := range invalidLines {
		f.Add([]byte("HTTP/1.1 200 OK\r\nServer: s"+line+"\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), false)
	}
	for _, line := range validLines {
		f.Add([]byte("HTTP/1.1 200 OK\r\nServer: s"+line+"\r\n\r\n5\r\nhello\r\n0\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n"), false)
	}
	for _, line := range invalidStatusLines {
		f.Add([]byte(line+"\r\nContent-Length: 1\r\n\r\nx"), true)
	}
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nx"), false)
	f.Add([]byte("HTTP/1.0 304 \r\nContent-Length: 5\r\n\r\nx"), false)
}

func FuzzReadResponse(f *testing.F) {
	addResponseSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte, isHead bool) {
		method := map[bool]string{true: http.MethodHead, false: http.MethodGet}[isHead]
		r := bufio.NewReaderSize(bytes.NewReader(data), 64)
		want, known := grammarResponse(data, method)
		resp, err := ReadResponse(r, method, testHeadBytes)
		if err != nil {
			assertMessage(t, want, known, nil, nil, nil, err, nil)
			return
		}
		body, bodyErr := io.ReadAll(resp.Body)
		assertMessage(t, want, known, resp.Header, body, r, nil, bodyErr)
		assert.Equal(t, strconv.Itoa(resp.Status), want.first)
	})
}
