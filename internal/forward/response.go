package forward

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

// response is the final response to a caller.
type response struct {
	status    int
	header    http.Header
	body      []byte
	stream    *targethttp.BodyStream // body that is still arriving; body is empty then
	onWritten func(error)            // called after the response was written, or failed to be
	answer    *targethttp.Response   // that holds the body; nil if the entry made the response
	closeConn bool                   // the connection closes after it
	isHead    bool                   // answers a HEAD request
	// otherMayServe is set in the rejection of a request that this entry can't serve for a
	// reason of its own.
	otherMayServe bool
}

// size returns the length of the body.
func (r response) size() int {
	if r.stream != nil {
		return r.stream.Size()
	}
	return len(r.body)
}

// written calls onWritten, if set, with the result of writing the response, and frees the body.
func (r response) written(err error) {
	if r.onWritten != nil {
		r.onWritten(err)
	}
	r.free()
}

// free ends the use of the body.
func (r response) free() {
	if r.answer != nil {
		r.answer.Close()
	}
}

// errConnectionClosed reports a response that came after the caller's connection was
// closed.
var errConnectionClosed = errors.New("caller's connection was closed after an earlier response")

// writeResponses writes the responses in the order of their requests.
func (c *callerConn) writeResponses() {
	closed := false
	var writeErr error // of the last response that was written
	for respCh := range c.queue {
		r := <-respCh
		if closed {
			c.removePending()
			c.logNotWritten(r, cmp.Or(writeErr, errConnectionClosed))
			r.written(errConnectionClosed)
			continue
		}
		if r.stream != nil && !c.startStreaming() {
			r = c.readStream(r)
		}
		isLast := c.chooseLast(r.closeConn)
		writeErr = c.write(r, isLast)
		c.removePending()
		if writeErr != nil {
			c.logNotWritten(r, writeErr)
		}
		r.written(writeErr)
		if writeErr != nil || isLast {
			closed = true
			c.closeWrite()
			c.halfClosed = writeErr == nil
		}
	}
}

// readStream returns a response with its whole body, or one that tells that the body broke
// off.
func (c *callerConn) readStream(r response) response {
	body, err := r.stream.ReadAll(c.ctx)
	if err != nil {
		r.written(err)
		failed := errorResponse(http.StatusBadGateway, "the target broke its answer off")
		failed.closeConn, failed.isHead = r.closeConn, r.isHead
		if id, ok := r.header[c.server.cfg.Headers.RequestID]; ok {
			failed.header[c.server.cfg.Headers.RequestID] = id
		}
		return failed
	}
	r.body, r.stream = body, nil
	return r
}

// logNotWritten counts a response that its caller did not get completely. It logs the
// response, unless the caller has left or the response is a stream, which is logged at
// its end.
func (c *callerConn) logNotWritten(r response, err error) {
	c.server.notWritten.Add(1)
	if r.stream != nil || c.ctx.Err() != nil && !errors.Is(err, errConnectionClosed) {
		return
	}
	c.server.log.Warn("response not written", "request_id", r.header.Get(c.server.cfg.Headers.RequestID), "status", r.status,
		"caller", c.conn.RemoteAddr().String(), "stopping", c.server.isStopping(), "error", err)
}

// write writes one response. The connection closes after it if closeAfter is set.
func (c *callerConn) write(r response, closeAfter bool) error {
	link, size := c.server.cfg.Link, r.size()
	small := r.stream == nil && size <= targethttp.StreamThresholdBytes
	out := c.responseHead(r, closeAfter)
	if small && !r.isHead {
		out = append(out, r.body...)
	}
	link.Count(len(out))
	if err := c.send(out); err != nil || small || r.isHead {
		return err
	}
	return c.writeLarge(r)
}

// writeLarge writes a body in chunks, as it arrives and as the link permits.
func (c *callerConn) writeLarge(r response) error {
	size := r.size()
	for sent := 0; sent < size; {
		part := r.body[min(sent, len(r.body)):]
		if r.stream != nil {
			var err error
			if part, err = r.stream.Next(c.ctx, sent); err != nil {
				return err
			}
		}
		chunk := maxWriteBytes
		if c.server.cfg.Link != nil {
			chunk = limit.ChunkBytes
		}
		part = part[:min(len(part), chunk)]
		if err := c.server.cfg.Link.Wait(c.ctx, len(part), size-sent); err != nil {
			return err
		}
		if err := c.send(part); err != nil {
			return err
		}
		sent += len(part)
	}
	return nil
}

// maxWriteBytes bounds the bytes that have writeTimeout to be taken by a slow caller.
const maxWriteBytes = 256 << 10

func (c *callerConn) send(data []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(data)
	return err
}

// responseHead returns the status line and headers of a response.
func (c *callerConn) responseHead(r response, closeAfter bool) []byte {
	out := make([]byte, 0, 512+len(r.body))
	out = fmt.Appendf(out, "HTTP/1.1 %03d %s\r\n", r.status, http.StatusText(r.status))
	for name, values := range r.header {
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, v...)
			out = append(out, "\r\n"...)
		}
	}
	if r.status != http.StatusNoContent && r.status != http.StatusNotModified && (!r.isHead || r.header.Get("Content-Length") == "") {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(r.size()), 10)
		out = append(out, "\r\n"...)
	}
	if closeAfter {
		out = append(out, "Connection: close\r\n"...)
	}
	return append(out, "\r\n"...)
}

// closeWrite stops reading requests and closes the write side. The connection is closed
// later: closing it at once might reset it and lose the last response.
func (c *callerConn) closeWrite() {
	c.mu.Lock()
	c.stopping, c.lastChosen = true, true
	c.changed.Broadcast()
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	c.mu.Unlock()
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.cancel()
}
