package dispatcher

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// recorder is an entry that records its answers.
type recorder struct{ answers []instance.SlotAnswer }

func (r *recorder) answer(a instance.SlotAnswer) { r.answers = append(r.answers, a) }

// count returns the number of answers of the kind.
func (r *recorder) count(kind int) (n int) {
	for _, a := range r.answers {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// ask sends n requests of an entry, numbered from first.
func ask(p *pools, entry string, from asker, first, n uint) {
	m := &instance.DispatchMessage{}
	for i := range n {
		m.Requests = append(m.Requests, instance.SlotRequest{Number: first + i, Pool: testPool, Objective: 1000, Timeout: 2000, Left: 2000})
	}
	p.handle(entry, from, m)
}

// slotsInPool is the number of slots of a pool with one target.
const slotsInPool = 4

func startPools() (*timer.Manual, *pools) {
	clock := timer.NewManual()
	clock.Advance(time.Second)
	return clock, newTestPools(clock, 1, slotsInPool)
}

func TestPools(t *testing.T) {
	t.Run("a request without a slot is told to wait, until one is free", func(t *testing.T) {
		_, p := startPools()
		var e recorder
		ask(p, "e", &e, 1, slotsInPool+1)
		assert.Equal(t, e.count(instance.SlotGranted), slotsInPool)
		assert.Equal(t, e.count(instance.SlotWaiting), 1)
		p.handle("e", &e, &instance.DispatchMessage{Ends: []instance.SlotEnd{{Number: 1, Pool: testPool, Target: e.answers[0].Target, Took: 60}}})
		assert.Equal(t, e.count(instance.SlotGranted), slotsInPool+1)
		assert.Equal(t, p.waiting(), 0)
	})
	t.Run("a request that waits on is announced before its time is up", func(t *testing.T) {
		clock, p := startPools()
		var e recorder
		ask(p, "e", &e, 1, slotsInPool+1)
		for e.count(instance.SlotRejected) == 0 {
			last := e.answers[len(e.answers)-1]
			announced := millis(last.After)
			for waited := time.Duration(0); waited < announced && e.answers[len(e.answers)-1] == last; waited += tickInterval {
				clock.Advance(tickInterval)
				p.tick()
			}
			assert.Assert(t, e.answers[len(e.answers)-1] != last, "no answer within %v", announced)
		}
		assert.Assert(t, e.count(instance.SlotWaiting) < 10, "%d announcements", e.count(instance.SlotWaiting))
	})
}

// TestPoolsMove guards against pools of two dispatchers, and entries of two starts, that harm
// each other.
func TestPoolsMove(t *testing.T) {
	t.Run("a pool that it does not run", func(t *testing.T) {
		_, p := startPools()
		var e recorder
		p.handle("e", &e, &instance.DispatchMessage{Requests: []instance.SlotRequest{{Number: 1, Pool: "other"}}})
		assert.Equal(t, e.count(instance.SlotNotMine), 1)
	})
	t.Run("a pool that it has lost serves entries with an older list, for a while", func(t *testing.T) {
		clock, p := startPools()
		p.assign(nil)
		var e recorder
		ask(p, "e", &e, 1, 1)
		assert.Equal(t, e.count(instance.SlotGranted), 1)
		clock.Advance(lostPoolTime + tickInterval)
		p.tick()
		ask(p, "e", &e, 2, 1)
		assert.Equal(t, e.count(instance.SlotNotMine), 1)
		assert.Equal(t, p.running(), 0)
	})
	t.Run("two dispatchers of one target grant twice its slots at most", func(t *testing.T) {
		_, p := startPools()
		_, next := startPools()
		p.assign(nil)
		var old, current recorder
		for n := uint(0); n < 5*slotsInPool; n += slotsInPool {
			ask(p, "e", &old, n, slotsInPool)
			ask(next, "e", &current, n, slotsInPool)
		}
		assert.Equal(t, old.count(instance.SlotGranted)+current.count(instance.SlotGranted), 2*slotsInPool)
	})
	t.Run("an entry that restarts keeps its requests when its old stream ends", func(t *testing.T) {
		_, p := startPools()
		var before, after recorder
		p.entryOpened("e/1")
		ask(p, "e/1", &before, 1, slotsInPool+1)
		p.entryOpened("e/2")
		ask(p, "e/2", &after, 1, 1)
		p.entryClosed("e/1", &before)
		assert.Equal(t, p.waiting(), 1, "only the request of the old stream is dropped")
		p.handle("e/2", &after, &instance.DispatchMessage{Ends: []instance.SlotEnd{{Number: 1, Pool: testPool, Target: before.answers[0].Target}}})
		assert.Equal(t, after.count(instance.SlotGranted), 0, "a granted request of the old stream may still run")
	})
	t.Run("a cancelled request gets no slot", func(t *testing.T) {
		_, p := startPools()
		var e recorder
		ask(p, "e", &e, 1, slotsInPool+1)
		p.handle("e", &e, &instance.DispatchMessage{Cancels: []instance.SlotCancel{{Number: slotsInPool + 1, Pool: testPool}, {Number: 1, Pool: testPool}}})
		assert.Equal(t, e.count(instance.SlotGranted), slotsInPool)
		ask(p, "e", &e, 10, 1)
		assert.Equal(t, e.count(instance.SlotGranted), slotsInPool+1, "the slot of the cancelled grant is free")
		p.handle("e", &e, &instance.DispatchMessage{
			Requests: []instance.SlotRequest{{Number: 11, Pool: testPool, Objective: 1000, Timeout: 2000, Left: 2000}}, Cancels: []instance.SlotCancel{{Number: 11, Pool: testPool}},
		})
		assert.Equal(t, p.waiting(), 0, "a request that was withdrawn before it was sent")
	})
}

// listen serves streams with the handler and returns the address and a function that stops.
func listen(t *testing.T, h handlerFunc) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stop := instance.ServeDispatch(l, h, instance.Security{}, &instance.Traffic{})
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func poolAt(address string) dispatch.PoolInfo {
	return dispatch.PoolInfo{ID: testPool, Dispatcher: dispatch.Entry{Address: address}}
}

func testRequest() dispatch.Requested {
	return dispatch.Requested{Objective: time.Second, Timeout: 2 * time.Second, Left: 2 * time.Second}
}

func TestClient(t *testing.T) {
	ctx := context.Background()
	frozen := func(s instance.DispatchStream) error {
		<-s.Context().Done()
		return nil
	}
	t.Run("a frozen dispatcher is lost for a second", func(t *testing.T) {
		var streams atomic.Int32
		address, _ := listen(t, func(s instance.DispatchStream) error {
			streams.Add(1)
			return frozen(s)
		})
		c := newTestClient(t, "", nil)
		began := time.Now()
		_, err := c.ask(poolAt(address), testRequest()).Await(ctx, nil)
		assert.Assert(t, errors.Is(err, ErrLost))
		took := time.Since(began)
		assert.Assert(t, took >= answerTime && took < 2*answerTime, "after %v", took)
		for time.Since(began) < fallbackTime {
			_, err = c.ask(poolAt(address), testRequest()).Await(ctx, nil)
			assert.Assert(t, errors.Is(err, ErrLost))
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, c.counts[noAnswer], uint64(1))
		for streams.Load() < 2 {
			assert.Assert(t, time.Since(began) < 4*fallbackTime, "its stream, which may have lost the messages, is not replaced")
			_, err = c.ask(poolAt(address), testRequest()).Await(ctx, nil)
			assert.Assert(t, errors.Is(err, ErrLost))
			time.Sleep(50 * time.Millisecond)
		}
	})
	t.Run("a waiting request is lost when its dispatcher freezes", func(t *testing.T) {
		const announced = 50 * time.Millisecond
		address, _ := listen(t, func(s instance.DispatchStream) error {
			m, err := s.Receive()
			if err != nil {
				return err
			}
			a := instance.SlotAnswer{Number: m.Requests[0].Number, Kind: instance.SlotWaiting, After: ceilMillis(announced)}
			if err := s.Send(&instance.DispatchMessage{Answers: []instance.SlotAnswer{a}}); err != nil {
				return err
			}
			return frozen(s)
		})
		began := time.Now()
		_, err := newTestClient(t, "", nil).ask(poolAt(address), testRequest()).Await(ctx, nil)
		assert.Assert(t, errors.Is(err, ErrLost))
		took := time.Since(began)
		assert.Assert(t, took >= announced+answerTime && took < announced+2*answerTime, "after %v", took)
	})
	t.Run("waiting requests are lost at once when the stream breaks", func(t *testing.T) {
		p := newTestPools(timer.NewSystem(ctx), 1, slotsInPool)
		address, stop := listen(t, p.serve)
		c := newTestClient(t, "", nil)
		var granted []*Pending
		for range slotsInPool {
			granted = append(granted, c.ask(poolAt(address), testRequest()))
			d, err := granted[len(granted)-1].Await(ctx, nil)
			assert.Assert(t, err == nil && d.Granted)
		}
		waiting := c.ask(poolAt(address), testRequest())
		for p.waiting() == 0 {
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		stop()
		_, err := waiting.Await(ctx, nil)
		assert.Assert(t, errors.Is(err, ErrLost))
		assert.Assert(t, time.Since(began) < answerTime, "after %v", time.Since(began))
		for _, g := range granted {
			g.End(dispatch.Ended{}) // it has nowhere to go
		}
		assert.Equal(t, c.counts[brokenStream], uint64(1))
	})
}

func TestPending(t *testing.T) {
	ctx := context.Background()
	t.Run("a request is withdrawn when its context ends", func(t *testing.T) {
		p := newTestPools(timer.NewSystem(ctx), 1, 1)
		address, _ := listen(t, p.serve)
		c := newTestClient(t, "", nil)
		first := c.ask(poolAt(address), testRequest())
		_, err := first.Await(ctx, nil)
		assert.NilError(t, err)
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err = c.ask(poolAt(address), testRequest()).Await(short, nil)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		for p.waiting() > 0 {
			time.Sleep(time.Millisecond)
		}
		first.End(dispatch.Ended{Outcome: dispatch.Succeeded, Took: time.Millisecond})
		d, err := c.ask(poolAt(address), testRequest()).Await(ctx, nil)
		assert.Assert(t, err == nil && d.Granted, "the slot is free again")
	})
	t.Run("an interrupted request still waits", func(t *testing.T) {
		p := newTestPools(timer.NewSystem(ctx), 1, 1)
		address, _ := listen(t, p.serve)
		c := newTestClient(t, "", nil)
		first := c.ask(poolAt(address), testRequest())
		_, err := first.Await(ctx, nil)
		assert.NilError(t, err)
		second := c.ask(poolAt(address), testRequest())
		interrupt := make(chan struct{})
		close(interrupt)
		_, err = second.Await(ctx, interrupt)
		assert.Assert(t, errors.Is(err, ErrInterrupted))
		first.End(dispatch.Ended{Outcome: dispatch.Succeeded, Took: time.Millisecond})
		d, err := second.Await(ctx, nil)
		assert.Assert(t, err == nil && d.Granted)
	})
}
