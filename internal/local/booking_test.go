package local_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
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
// outcome is unknown.
func TestConcurrentResendsRunOnce(t *testing.T) {
	d := startReady(t, local.WithTargets(2, 8))
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for i := range 30 {
		wg.Go(func() {
			r, err := trySend(http.MethodPost, callerURL(d, i%3)+"/orders/1?work_ms=100", "x", map[string]string{"Idempotency-Key": "same"})
			if err != nil {
				t.Error(err)
				return
			}
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

// TestRejectedBookingsDidNotRun overloads one target: no booking whose outcome is
// not_run may have run.
func TestRejectedBookingsDidNotRun(t *testing.T) {
	d := startReady(t, local.WithTargets(1, 2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	rejected := make(map[string]bool)
	for i := range 200 {
		wg.Go(func() {
			id := fmt.Sprintf("o%d", i)
			r, err := trySend(http.MethodPost, callerURL(d, i%3)+"/orders/1?work_ms=50", "x", map[string]string{"Idempotency-Key": id})
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			rejected[id] = r.outcome == "not_run"
			mu.Unlock()
		})
	}
	wg.Wait()
	count := 0
	ran := bookingRuns(d)
	for id, wasRejected := range rejected {
		assert.Assert(t, ran[id] <= 1, "booking %s ran %d times", id, ran[id])
		assert.Assert(t, !wasRejected || ran[id] == 0, "booking %s ran although its outcome was not_run", id)
		if wasRejected {
			count++
		}
	}
	assert.Assert(t, count > 0, "no booking was rejected")
}
