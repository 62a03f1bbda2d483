package limit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

func ExampleTurns() {
	turns := limit.NewTurns(1, time.Second)
	giveBack := turns.Take(context.Background())
	fmt.Println("transfer")
	giveBack()
	// Output: transfer
}

func TestTurns(t *testing.T) {
	t.Run("a second transfer waits for the first", func(t *testing.T) {
		turns := limit.NewTurns(1, time.Hour)
		first := turns.Take(context.Background())
		taken := make(chan struct{})
		go func() {
			turns.Take(context.Background())()
			close(taken)
		}()
		select {
		case <-taken:
			t.Fatal("two transfers at a time")
		default:
		}
		first()
		<-taken
	})
	t.Run("one that stalls holds nobody up for good", func(*testing.T) {
		turns := limit.NewTurns(1, time.Millisecond)
		turns.Take(context.Background())
		turns.Take(context.Background())()
	})
	t.Run("waiting ends with the context", func(*testing.T) {
		turns := limit.NewTurns(1, time.Hour)
		turns.Take(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		turns.Take(ctx)()
	})
	t.Run("no turns, no waiting", func(t *testing.T) {
		var turns *limit.Turns
		turns.Take(context.Background())()
		assert.Assert(t, turns == nil)
	})
}
