package fleet

import (
	"context"
	"sync"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// maxAnnouncing bounds the announcements that are being committed at a time. Further ones
// wait, so that many targets that start together don't fill the log faster than it is
// applied.
const maxAnnouncing = 64

// announcing lets one announcement of each target be committed at a time. A target whose
// announcement takes long sends it again, to any control instance, and would otherwise add
// to the work that it waits for.
type announcing struct {
	mu    sync.Mutex
	busy  map[deployment.Incarnation]chan struct{} // closed when the commit has ended
	slots chan struct{}
}

func newAnnouncing() *announcing {
	return &announcing{busy: make(map[deployment.Incarnation]chan struct{}), slots: make(chan struct{}, maxAnnouncing)}
}

// begin waits until no announcement of the incarnation is being committed and there is room
// for one more. It returns a function that ends the commit, or nil if it waited for another
// commit of the incarnation, which may have made this one unnecessary. It returns the error
// of ctx if that ends first.
func (a *announcing) begin(ctx context.Context, incarnation deployment.Incarnation) (end func(), err error) {
	a.mu.Lock()
	done, ok := a.busy[incarnation]
	if !ok {
		done = make(chan struct{})
		a.busy[incarnation] = done
	}
	a.mu.Unlock()
	if ok {
		select {
		case <-done:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	release := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.busy, incarnation)
		close(done)
	}
	select {
	case a.slots <- struct{}{}:
	case <-ctx.Done():
		release()
		return nil, ctx.Err()
	}
	return func() {
		<-a.slots
		release()
	}, nil
}
