package targethttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// memoryLimit is the memory of the smallest entries, 144 MB, less what a process
	// needs without traffic.
	memoryLimit = 110 << 20
	// endlessRequests is the number of requests that such a target gets at once.
	endlessRequests = 24
)

// endless writes the first part, and then the other one until the connection is closed.
func endless(first, further string) handler {
	return func(_ int, c net.Conn, _ *http.Request) bool {
		if !write(c, first) {
			return false
		}
		for write(c, further) {
		}
		return false
	}
}

// peakHeap returns the largest size of the heap while f runs.
func peakHeap(f func()) uint64 {
	runtime.GC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestEndlessResponses sends requests to a target that sends bytes without end. Memory
// must stay bounded, and each request must end with ErrIncompleteResponse.
func TestEndlessResponses(t *testing.T) {
	block := strings.Repeat("0123456789abcdef", 4<<10)
	for name, h := range map[string]handler{
		"status line":           endless("HTTP/1.1 200 ", block),
		"header":                endless("HTTP/1.1 200 OK\r\n", "X-Filler: "+strings.Repeat("x", 1000)+"\r\n"),
		"one header line":       endless("HTTP/1.1 200 OK\r\nX-Filler: ", block),
		"interim responses":     endless("", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)),
		"body without a length": endless("HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n", block),
		"body in chunks":        endless("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(block), block)),
		"body of another ID":    endless("HTTP/1.1 200 OK\r\nRequest-Id: b\r\n\r\n", block),
		"body of 60 MB":         endless("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 62914560\r\n\r\n", strings.Repeat("x", 100)),
		"no response":           endless("", block),
	} {
		t.Run(name, func(t *testing.T) {
			p, address := newTestPool(t), listen(t, h)
			var mu sync.Mutex
			var unclear []error
			peak := peakHeap(func() {
				var wg sync.WaitGroup
				for range endlessRequests {
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						defer cancel()
						_, err := p.Do(ctx, address, endlessRequests, idHeader, Request{
							Method:         http.MethodGet,
							Head:           func() []byte { return []byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n") },
							ID:             "a",
							ConnectTimeout: 4 * time.Second,
						})
						if !errors.Is(err, ErrIncompleteResponse) {
							mu.Lock()
							defer mu.Unlock()
							unclear = append(unclear, err)
						}
					})
				}
				wg.Wait()
			})
			assert.Equal(t, len(unclear), 0, "%v", unclear)
			assert.Assert(t, peak < memoryLimit, "%d MB", peak>>20)
		})
	}
}
