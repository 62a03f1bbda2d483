package instance

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDial(t *testing.T) {
	t.Run("counts the bytes received", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			if c, err := l.Accept(); err == nil {
				_, _ = c.Write([]byte("12345"))
				_ = c.Close()
			}
		}()
		var received atomic.Int64
		c, err := dial(t.Context(), l.Addr().String(), &received)
		assert.NilError(t, err)
		_, err = c.Read(make([]byte, 16))
		assert.NilError(t, err)
		assert.Equal(t, received.Load(), int64(5))
	})
	t.Run("a refused connection fails at once", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = dial(ctx, l.Addr().String(), new(atomic.Int64))
		assert.Assert(t, err != nil)
		assert.NilError(t, ctx.Err())
	})
}
