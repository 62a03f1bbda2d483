package forward

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

// entryMemory is the memory of the smallest entries less what a process needs without traffic.
const entryMemory = 110 << 20

// peakHeapWhile returns the largest size of the heap while f runs.
func peakHeapWhile(f func()) uint64 {
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
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Guards against an entry that runs out of memory by answers that their callers do not read: what
// is held of answers has to be bounded until it is written.
func TestUnreadAnswersAreBounded(t *testing.T) {
	const callers, bytes = 60, 3900 << 10
	block := strings.Repeat("0123456789abcdef", 4<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	// As the program does on an instance with 144 MB.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(100 << 20))
	chunks := func(w io.Writer, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/look/small") {
			respondOK("small")(w, r)
			return
		}
		writeResponse(w, r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n")
		for range bytes / len(block) {
			_, _ = io.WriteString(w, chunk)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
	whole := func(w io.Writer, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/look/small") {
			respondOK("small")(w, r)
			return
		}
		writeResponse(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n", bytes/len(block)*len(block))
		for range bytes / len(block) {
			_, _ = io.WriteString(w, block)
		}
	}
	for name, h := range map[string]targetHandler{"chunks": chunks, "with a length": whole} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, (*limit.Link)(nil), h, h, h)
			served := 0
			peak := peakHeapWhile(func() {
				for i := range callers {
					c := dial(t, e.address)
					for j := range 4 {
						c.send(fmt.Sprintf("GET /fetch/%d HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d-%d\r\n\r\n", j, i, j))
					}
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(1500 * time.Millisecond)
				for i := range 20 {
					c := e.request("GET", fmt.Sprintf("/look/small%d", i))
					if resp, err := http.ReadResponse(c.reader, nil); err == nil && resp.StatusCode == http.StatusOK {
						served++
					}
				}
			})
			t.Logf("%d MB at most", peak>>20)
			assert.Assert(t, peak < entryMemory, "%d MB", peak>>20)
			assert.Equal(t, served, 20)
		})
	}
}
