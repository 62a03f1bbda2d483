package limit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

func ExampleLink() {
	link := limit.NewLink(6e6 / 8)
	body := make([]byte, 3*limit.ChunkBytes)
	for len(body) > 0 {
		if err := link.Wait(context.Background(), limit.ChunkBytes, len(body)); err != nil {
			return
		}
		body = body[limit.ChunkBytes:]
		fmt.Println("chunk sent")
	}
	// Output:
	// chunk sent
	// chunk sent
	// chunk sent
}

func TestLink(t *testing.T) {
	t.Run("small transfers make large ones wait", func(t *testing.T) {
		link := limit.NewLink(1000)
		link.Count(100)
		start := time.Now()
		assert.NilError(t, link.Wait(context.Background(), 1, 1))
		assert.Assert(t, time.Since(start) > 50*time.Millisecond)
	})
	t.Run("a large transfer is not faster than the link", func(t *testing.T) {
		link := limit.NewLink(10_000)
		start := time.Now()
		for range 4 {
			assert.NilError(t, link.Wait(context.Background(), 1000, 4000))
		}
		assert.Assert(t, time.Since(start) > 250*time.Millisecond)
	})
	t.Run("wait ends with the context", func(t *testing.T) {
		link := limit.NewLink(1)
		link.Count(1000)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		assert.Assert(t, errors.Is(link.Wait(ctx, 1, 1), context.DeadlineExceeded))
	})
	t.Run("a nil link never waits", func(t *testing.T) {
		var link *limit.Link
		link.Count(1 << 30)
		assert.NilError(t, link.Wait(context.Background(), 1<<30, 1<<30))
	})
}
