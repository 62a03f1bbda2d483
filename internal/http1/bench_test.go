package http1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	benchRequest  = "POST /lepu270/2f?x=1 HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 800\r\nShard-Key: 4711\r\nUser-Agent: shop/1.2\r\nAccept: */*\r\nContent-Length: 0\r\n\r\n"
	benchResponse = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nInstance-Load: 2,0,3\r\nKeep-Alive: timeout=15\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n"
)

// benchmarkReader measures read beside the reader of net/http for the same message.
func benchmarkReader(b *testing.B, message string, read, netHTTP func(r *bufio.Reader) error) {
	for name, f := range map[string]func(r *bufio.Reader) error{"strict": read, "net_http": netHTTP} {
		b.Run(name, func(b *testing.B) {
			text := strings.NewReader(message)
			r := bufio.NewReader(text)
			b.ReportAllocs()
			for b.Loop() {
				text.Reset(message)
				r.Reset(text)
				assert.NilError(b, f(r))
			}
		})
	}
}

func BenchmarkReadRequest(b *testing.B) {
	benchmarkReader(b, benchRequest, func(r *bufio.Reader) error {
		_, err := ReadRequest(r, testHeadBytes)
		return err
	}, func(r *bufio.Reader) error {
		_, err := http.ReadRequest(r)
		return err
	})
}

func BenchmarkReadResponse(b *testing.B) {
	req := &http.Request{Method: http.MethodGet}
	benchmarkReader(b, benchResponse, func(r *bufio.Reader) error {
		_, err := ReadResponse(r, http.MethodGet, testHeadBytes)
		return err
	}, func(r *bufio.Reader) error {
		_, err := http.ReadResponse(r, req)
		return err
	})
}
