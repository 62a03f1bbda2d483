package targethttp

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

// LongBodyBytes is the length above which a body is written while the response is awaited,
// and paced. Shorter ones fit into the connection's send buffer.
const LongBodyBytes = 16 << 10

// restTime is how long the rest of a body may take after its response was read. The target
// may have answered without reading it, and may not read on.
const restTime = 20 * time.Millisecond

// sending is a request that is being written. Its other fields may be read once done is
// closed.
type sending struct {
	done chan struct{}
	n    int // bytes written
	err  error
}

// Ended reports whether the request is no longer being written.
func (s *sending) Ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// notSent returns an ErrNotSent if no byte of a request that is no longer being written was
// sent.
func (s *sending) notSent() error {
	if s.err == nil || s.n > 0 || errors.Is(s.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrNotSent, s.err)
}

// write sends the request: at once, or, with a long body, while its caller goes on.
func (c *conn) write(r Request) *sending {
	out := &sending{done: make(chan struct{})}
	head := r.Head()
	if len(r.Body) <= LongBodyBytes {
		buf := make([]byte, 0, len(head)+len(r.Body))
		out.n, out.err = c.Write(append(append(buf, head...), r.Body...))
		close(out.done)
		return out
	}
	go func() {
		defer close(out.done)
		out.n, out.err = c.writePaced(head, r)
	}()
	return out
}

// writePaced writes the head and a long body, and returns the number of bytes written. The body
// is not copied into one buffer with the head, which would double the memory.
func (c *conn) writePaced(head []byte, r Request) (int, error) {
	if r.Pace == nil {
		buffers := net.Buffers{head, r.Body}
		n, err := buffers.WriteTo(c.Conn)
		return int(n), err
	}
	n, err := c.Write(head)
	for rest := r.Body; len(rest) > 0 && err == nil; {
		chunk := rest[:min(len(rest), limit.ChunkBytes)]
		if err = r.Pace(len(chunk), len(rest)); err != nil {
			return n, err
		}
		var written int
		written, err = c.Write(chunk)
		n += written
		rest = rest[len(chunk):]
	}
	return n, err
}

// recycle makes a connection whose response has been read available to later requests, or
// closes it. While the target has not got the whole body of the request, nothing else may be
// sent on the connection: it would be taken for the rest of the body.
func (p *Pool) recycle(c *conn, reusable bool) {
	if !reusable || c.reader.Buffered() > 0 {
		p.discard(c)
		return
	}
	if c.sending.Ended() {
		p.putIfSent(c)
		return
	}
	go func() {
		_ = c.SetWriteDeadline(time.Now().Add(restTime))
		<-c.sending.done
		_ = c.SetWriteDeadline(time.Time{})
		p.putIfSent(c)
	}()
}

// putIfSent puts a connection back whose last request was written completely, and closes any
// other.
func (p *Pool) putIfSent(c *conn) {
	if c.sending.err != nil {
		p.discard(c)
		return
	}
	p.put(c)
}
