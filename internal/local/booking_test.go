package local_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrywind/cranberrywind/internal/local"
	"github.com/cranberrywind/cranberrywind/internal/standin"
)

// bookingRuns returns how many times targets ran each booking, by idempotency key.
func bookingRuns(d *local.Deployment) map[string]int {
	out := make(map[string]int)
	for _, target := range d.Targets {
		for _, r := range target.Records() {
			if r.BookingKey != "" {
				out[r.BookingKey]++
			}
		}
	}
	return out
}

// ownerOf returns the target that owns a key.
func ownerOf(t *testing.T, d *local.Deployment, service, key string) *standin.Target {
	t.Helper()
	owner, err := d.Owner(context.Background(), service, key)
	assert.NilError(t, err)
	for _, target := range d.Targets {
		if target.Incarnation() == owner.Incarnation {
			return target
		}
	}
	t.Fatalf("owner %v is not a running target", owner)
	return nil
}

// TestConcurrentResendsRunOnce sends one booking many times at once, through all
// entries: it must run once, and each response must be its answer or report that the
// outcome is unknown. Only an entry that has lost its lease may reject a copy, which is
// sent again.
func TestConcurrentResendsRunOnce(t *testing.T) {
	d := startReady(t, local.WithTargets(2, 8))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var answered atomic.Bool
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for i := range 30 {
		wg.Go(func() {
			r, err := sendUntilTaken(ctx, callerURL(d, i%3)+"/orders/1?work_ms=100", "same", &answered)
			assert.Check(t, err)
			mu.Lock()
			outcomes[fmt.Sprintf("%d %s", r.status, r.outcome)]++
			mu.Unlock()
		})
	}
	wg.Wait()
	assert.Equal(t, bookingRuns(d)["same"], 1, "%v", outcomes)
	assert.Assert(t, outcomes["200 done"] >= 1, "%v", outcomes)
	assert.Equal(t, outcomes["200 done"]+outcomes["409 unknown"], 30, "%v", outcomes)
}

// errFalseRejection reports a booking that was rejected without need, or as not run after a
// copy of it had been answered.
var errFalseRejection = errors.New("booking was falsely rejected")

// sendUntilTaken sends a booking, and again while the entry has no lease, until ctx ends.
// It sets answered once the booking's answer has come.
func sendUntilTaken(ctx context.Context, url, key string, answered *atomic.Bool) (response, error) {
	for {
		late := answered.Load()
		r, err := trySend(http.MethodPost, url, "x", map[string]string{"Idempotency-Key": key})
		switch {
		case err != nil:
			return r, err
		case r.outcome == "done":
			answered.Store(true)
			return r, nil
		case r.outcome != "not_run":
			return r, nil
		case late || !strings.Contains(r.body, `"reason":"no_lease"`):
			return r, fmt.Errorf("%w: %s", errFalseRejection, r.body)
		}
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestBookingWhoseTargetCrashes crashes a target that runs a booking: the outcome stays
// unknown, and resending the booking does not run it again.
func TestBookingWhoseTargetCrashes(t *testing.T) {
	d := startReady(t, local.WithTargets(2, 8))
	owner := ownerOf(t, d, "orders", "1")
	time.AfterFunc(200*time.Millisecond, owner.Kill)
	r := book(t, callerURL(d, 0), "/orders/1?work_ms=1500", "dies")
	assertResponse(t, r, http.StatusGatewayTimeout, "unknown")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		again := book(t, callerURL(d, 1), "/orders/1?work_ms=1500", "dies")
		if again.status != http.StatusConflict || again.outcome != "unknown" {
			return poll.Error(fmt.Errorf("%+v", again))
		}
		if again.header.Get("Retry-After") != "" {
			return poll.Continue("still in progress")
		}
		return poll.Success()
	})
	assert.Equal(t, bookingRuns(d)["dies"], 1)
}

// TestLateAnswerCompletesBookingRecord checks that an answer that arrives after the
// caller's deadline is still stored and replayed when the booking is resent.
func TestLateAnswerCompletesBookingRecord(t *testing.T) {
	d := startReady(t)
	r := book(t, callerURL(d, 0), "/orders/1?work_ms=3000", "late")
	assertResponse(t, r, http.StatusGatewayTimeout, "unknown")
	// The target still runs the booking after the caller's deadline.
	assertResponse(t, book(t, callerURL(d, 1), "/orders/1?work_ms=3000", "late"), http.StatusConflict, "unknown")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		again := book(t, callerURL(d, 2), "/orders/1?work_ms=3000", "late")
		if again.status != http.StatusOK {
			return poll.Continue("%+v", again)
		}
		assert.Equal(t, again.header.Get("Idempotency-Replayed"), "true")
		return poll.Success()
	}, poll.WithDelay(100*time.Millisecond))
	assert.Equal(t, bookingRuns(d)["late"], 1)
}

// holdSlots uses slots of a target with requests that entries don't know of. It returns
// the function that frees the slots.
func holdSlots(t *testing.T, target *standin.Target, slots int) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	url := "http://" + target.Address() + "/hold?work_ms=" + strconv.FormatInt(time.Hour.Milliseconds(), 10)
	for range slots {
		go func() {
			for ctx.Err() == nil {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
				if err != nil {
					t.Error(err)
					return
				}
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		held := 0
		for _, r := range target.Records() {
			if r.BookingKey == "" {
				held++
			}
		}
		if held < slots {
			return poll.Continue("%d of %d slots are held", held, slots)
		}
		return poll.Success()
	})
	return cancel
}

// bookMany sends n bookings at once, through all entries, and returns their outcomes by
// idempotency key. It sends a booking again until final returns true for its response.
func bookMany(t *testing.T, d *local.Deployment, prefix string, n int, final func(response) bool) map[string]string {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]string)
	giveUpAt := time.Now().Add(resendTimeout)
	for i := range n {
		wg.Go(func() {
			id := fmt.Sprintf("%s%d", prefix, i)
			for {
				r, err := trySend(http.MethodPost, callerURL(d, i%3)+"/orders/1?work_ms=50", "x", map[string]string{"Idempotency-Key": id})
				if err != nil {
					t.Error(err)
					return
				}
				if final(r) || time.Now().After(giveUpAt) {
					mu.Lock()
					outcomes[id] = r.outcome
					mu.Unlock()
					return
				}
				time.Sleep(resendInterval)
			}
		})
	}
	wg.Wait()
	return outcomes
}

const (
	resendTimeout  = 30 * time.Second // of bookMany
	resendInterval = 100 * time.Millisecond
)

// TestRejectedBookingsDidNotRun overloads one target, and then sends bookings while none
// of its slots is free, so that all of them are rejected: no booking whose outcome is
// not_run may have run.
func TestRejectedBookingsDidNotRun(t *testing.T) {
	d := startReady(t, local.WithTargets(1, 2))
	overload := bookMany(t, d, "overload", 200, func(response) bool { return true })
	release := holdSlots(t, ownerOf(t, d, "orders", "1"), 2)
	held := bookMany(t, d, "held", 100, func(r response) bool { return r.outcome != "unknown" })
	release()
	ran := bookingRuns(d)
	for id, outcome := range overload {
		assert.Assert(t, ran[id] <= 1, "booking %s ran %d times", id, ran[id])
		assert.Assert(t, outcome != "not_run" || ran[id] == 0, "booking %s ran although its outcome was not_run", id)
	}
	for id, outcome := range held {
		assert.Equal(t, ran[id], 0, "booking %s ran although no slot was free", id)
		assert.Equal(t, outcome, "not_run", "booking %s", id)
	}
}
