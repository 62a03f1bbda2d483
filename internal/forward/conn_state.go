package forward

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// awaitSent waits until the caller's machine has received all that was written, maxLinger at
// most. A request that crosses the close of an idle connection stays unread, so that its
// caller may repeat it, and resets the connection.
func (c *callerConn) awaitSent() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	for waited := time.Duration(0); waited < maxLinger && unsentBytes(raw) > 0; waited += sentPollInterval {
		time.Sleep(sentPollInterval)
	}
}

// sentPollInterval is the time between two looks at a connection's send queue.
const sentPollInterval = 5 * time.Millisecond

// unsentBytes returns the number of bytes that the peer has not acknowledged, or 0 if that
// is not known.
func unsentBytes(raw syscall.RawConn) int {
	n := 0
	err := raw.Control(func(fd uintptr) {
		var err error
		if n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err != nil {
			n = 0
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// maxLinger bounds the time for which a connection is kept open after its last response.
const maxLinger = 2 * time.Second

// discardUnread waits until the caller has closed the connection, and reads what it had sent
// behind its last request: closing a connection with bytes unread resets it, and drops
// the part of the last response that has not arrived.
func (c *callerConn) discardUnread() {
	_ = c.conn.SetReadDeadline(time.Now().Add(maxLinger))
	// It ends with the caller's close, a reset or the deadline; the connection is closed
	// after each of them.
	_, _ = io.Copy(io.Discard, c.conn)
}

// cancelIfDisconnected cancels the requests in flight of a caller that disconnected.
// After an idle timeout or in a graceful shutdown they continue.
func (c *callerConn) cancelIfDisconnected(err error) {
	if errors.Is(err, errNoMoreRequests) {
		return
	}
	c.cancel()
}

// awaitClose cancels the requests in flight if the caller disconnects after its last
// request.
func (c *callerConn) awaitClose() {
	c.mu.Lock()
	if c.lastChosen {
		c.mu.Unlock()
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if _, err := c.reader.Peek(1); err != nil && c.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		c.cancel()
	}
}

// firstRequestTime is how long a new connection may wait for its first request during a
// graceful shutdown: a few round trips to a caller. A caller sends it as soon as the
// connection is open.
const firstRequestTime = 300 * time.Millisecond

// closeWhenIdle closes the connection for a graceful shutdown: at once if it is idle,
// else after the responses that are due. A new connection is left open for its first
// request.
func (c *callerConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastChosen || !c.used && !c.reading && time.Since(c.opened) < firstRequestTime {
		return
	}
	c.stopping = true
	if c.pending == 0 && !c.reading {
		// With mu held, the deadline can't replace that of a request that begins now.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *callerConn) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// startReading begins a request whose header has to arrive within the timeout, once no
// response is streamed. It returns false if the last response was chosen already.
func (c *callerConn) startReading(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.streaming && !c.lastChosen {
		c.changed.Wait()
	}
	if c.lastChosen {
		return false
	}
	c.reading = true
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	return true
}

// awaitAnswers waits until no response is due. It returns false if the last response was
// chosen.
func (c *callerConn) awaitAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending > 0 && !c.lastChosen {
		c.changed.Wait()
	}
	return !c.lastChosen
}

// addPending counts a request that was read and is due a response. During a graceful
// shutdown it is the connection's last one. It returns false if the last response was
// chosen while the request was read.
func (c *callerConn) addPending() bool {
	stopping := c.server.isStopping()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastChosen {
		c.reading = false
		return false
	}
	c.reading, c.used, c.stopping = false, true, c.stopping || stopping
	c.pending++
	c.lastRead = time.Now()
	return true
}

// logUnanswered logs that the connection is closed while responses are due, if they are.
func (c *callerConn) logUnanswered() {
	c.mu.Lock()
	pending, age := c.pending, time.Since(c.lastRead)
	c.mu.Unlock()
	if pending > 0 {
		c.server.log.Warn("connection closed before its requests were answered", "caller", c.conn.RemoteAddr().String(),
			"requests", pending, "last_read_ms", millis(age), "open_ms", millis(time.Since(c.opened)))
	}
}

// chooseLast reports whether a response that is about to be written is the last one: the only one
// due on a connection that is stopping. A response that closes the connection stops it: requests
// behind it that were read already are still answered, and no further one is begun. No request is
// read behind the last response, which could not be answered.
func (c *callerConn) chooseLast(closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = c.stopping || closes
	if c.stopping && c.pending == 1 && !c.reading {
		c.lastChosen = true
		c.changed.Broadcast()
	}
	return c.lastChosen
}

// startStreaming reports whether a response may be streamed: no other request has been
// begun, which could not be answered if the body breaks off.
func (c *callerConn) startStreaming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = c.pending == 1 && !c.reading
	return c.streaming
}

// removePending counts a response that was written, or given up.
func (c *callerConn) removePending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.streaming, c.answeredAt = false, time.Now()
	c.changed.Broadcast()
}

// idleLeft returns for how long the connection may stay idle, which counts from its last
// response.
func (c *callerConn) idleLeft(timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.pending > 0:
		return timeout
	case c.used:
		return timeout - time.Since(c.answeredAt)
	}
	return timeout - time.Since(c.opened)
}

func (c *callerConn) pendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}
