package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// requestLog records which requests targets have received.
type requestLog struct {
	mu       sync.Mutex
	received map[string]bool
}

func (l *requestLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received == nil {
		l.received = make(map[string]bool)
	}
	l.received[id] = true
}

func (l *requestLog) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received[id]
}

func getLine(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", path, id)
}

// shutDown starts a graceful shutdown with the time limit and returns a channel that
// receives its result.
func (e *testEntry) shutDown(limit time.Duration) <-chan error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	e.t.Cleanup(cancel)
	result := make(chan error, 1)
	go func() { result <- e.server.Shutdown(ctx) }()
	for !e.server.isStopping() {
		time.Sleep(time.Millisecond)
	}
	return result
}

// TestNoRequestIsTakenAfterShutdown sends one before the process has ended.
func TestNoRequestIsTakenAfterShutdown(t *testing.T) {
	var log requestLog
	proceed := make(chan struct{})
	e := startEntry(t, nil, func(w io.Writer, r *http.Request) {
		log.add(r.Header.Get("Request-Id"))
		<-proceed
		respondOK("x")(w, r)
	})
	defer close(proceed)
	assert.NilError(t, <-e.shutDown(10*time.Second))
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		return // a refused connection is what callers can repeat at once
	}
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)))
	_, _ = io.WriteString(conn, getLine("/look/x", "late"))
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.Assert(t, err != nil)
	assert.Assert(t, !log.has("late"), "a request was passed on after the shutdown had ended")
}
