package test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/standin"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// response is the response to one request, or the error of that request.
type response struct {
	status  int
	outcome string
	body    string
	header  http.Header
	took    time.Duration
	err     error
}

var client = &http.Client{
	Timeout: 15 * time.Second,
	Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
	},
}

func call(method, url, body, key string) response {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, outcome: resp.Header.Get("Cranberrywind-Outcome"), body: string(data),
		header: resp.Header, took: time.Since(began), err: err,
	}
}

func lookup(address, key string) response {
	return call(http.MethodGet, "http://"+address+"/stock/"+key, "", "")
}

func book(address, key, idempotency string) response {
	return call(http.MethodPost, "http://"+address+"/orders/"+key, "qty=1", idempotency)
}

func derivePublicKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	private, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil {
		return "", err
	}
	public := ed25519.NewKeyFromSeed(private).Public().(ed25519.PublicKey)
	return base64.StdEncoding.EncodeToString(public), nil
}

// bookingResponses holds the responses that callers received for one booking.
type bookingResponses struct {
	outcomes  []string
	doneCount int // complete responses with outcome done
	bodies    []string
}

// load sends lookups and bookings through the entries until it is stopped.
type load struct {
	s               *system
	cancel          context.CancelFunc
	entries         []string // the entries' addresses for callers
	wg              sync.WaitGroup
	mu              sync.Mutex
	bookings        map[string]*bookingResponses
	lookups         []response
	slowest         time.Duration // longest time to a complete response
	transportErrors []string
}

// loadKeys is the number of keys that the load uses.
const loadKeys = 40

// requestDeadline is the deadline of lookups and bookings in testServices.
const requestDeadline = 3 * time.Second

// startLoad starts two loops per caller, one of lookups and one of bookings. They use
// all entries except the excluded ones.
func startLoad(s *system, callers int, excluded ...string) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{s: s, cancel: cancel, bookings: make(map[string]*bookingResponses)}
	for _, c := range s.configs {
		if !slices.Contains(excluded, c.name) {
			l.entries = append(l.entries, c.caller)
		}
	}
	for n := range callers {
		rng := rand.New(rand.NewPCG(uint64(n), 1))
		l.wg.Go(func() { l.lookupLoop(ctx, rng) })
		l.wg.Go(func() { l.bookLoop(ctx, rng, n) })
	}
	s.t.Cleanup(l.stop)
	return l
}

func (l *load) lookupCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lookups)
}

// waitForLookups waits until n more lookups have ended.
func (l *load) waitForLookups(n int) {
	l.s.t.Helper()
	want := l.lookupCount() + n
	l.s.eventually("more lookups", func() error {
		if got := l.lookupCount(); got < want {
			return fmt.Errorf("%d of %d", got, want)
		}
		return nil
	})
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) randomEntry(rng *rand.Rand) string {
	return l.entries[rng.IntN(len(l.entries))]
}

func (l *load) lookupLoop(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r := lookup(l.randomEntry(rng), fmt.Sprintf("k%d", rng.IntN(loadKeys)))
		l.mu.Lock()
		l.lookups = append(l.lookups, r)
		l.recordResponse("lookup", r)
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// recordResponse records the time or the error of a request. The caller must hold l.mu.
func (l *load) recordResponse(name string, r response) {
	switch {
	case r.err == nil:
		l.slowest = max(l.slowest, r.took)
	case r.err != nil:
		l.transportErrors = append(l.transportErrors, fmt.Sprintf("%s: %v", name, r.err))
	}
}

// bookLoop sends each booking until it is done, up to 8 times and each time through a
// random entry, as callers do.
func (l *load) bookLoop(ctx context.Context, rng *rand.Rand, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("b%d-%d", n, i)
		for range 8 {
			r := book(l.randomEntry(rng), fmt.Sprintf("k%d", i%loadKeys), id)
			l.recordBooking(id, r)
			if r.outcome == "done" || ctx.Err() != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *load) recordBooking(id string, r response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordResponse("booking "+id, r)
	b, ok := l.bookings[id]
	if !ok {
		b = &bookingResponses{}
		l.bookings[id] = b
	}
	outcome := r.outcome
	if r.err != nil {
		outcome = "no response"
	}
	b.outcomes = append(b.outcomes, outcome)
	if r.outcome == "done" && r.err == nil {
		b.doneCount++
		b.bodies = append(b.bodies, r.body)
	}
}

// assertBookings checks that no booking ran twice, that the last outcome of a booking
// that ran isn't not_run, that a booking with outcome done ran, and that all its
// responses with this outcome are equal.
func (l *load) assertBookings(t testing.TB) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int)
	for _, r := range l.s.records() {
		if r.BookingKey != "" {
			runs[r.BookingKey]++
		}
	}
	done := 0
	for id, b := range l.bookings {
		assert.Assert(t, runs[id] <= 1, "booking %s ran %d times; outcomes %v", id, runs[id], b.outcomes)
		last := b.outcomes[len(b.outcomes)-1]
		assert.Assert(t, last != "not_run" || runs[id] == 0, "booking %s ran, but its last outcome is not_run; outcomes %v", id, b.outcomes)
		if b.doneCount > 0 {
			done++
			assert.Equal(t, runs[id], 1, "booking %s has outcome done but did not run; outcomes %v", id, b.outcomes)
			assert.Equal(t, len(slices.Compact(b.bodies)), 1, "booking %s has different responses %v", id, b.bodies)
		}
	}
	assert.Assert(t, done > 0, "no booking has outcome done")
	notRun := 0
	for _, r := range l.lookups {
		if r.outcome == "not_run" {
			notRun++
		}
	}
	t.Logf("%d bookings, %d done, %d lookups, %d of them not run, %d requests failed, slowest response %s",
		len(l.bookings), done, len(l.lookups), notRun, len(l.transportErrors), l.slowest)
}

// assertOneOwner checks in the targets' records that each key had one owner at a time:
// an epoch has one owner, and after a request under an epoch no request is accepted
// under a lower one.
func assertOneOwner(t testing.TB, records []standin.Record) {
	t.Helper()
	type keyPoint struct {
		service string
		point   keyspace.Point
	}
	byPoint := make(map[keyPoint][]standin.Record)
	for _, r := range records {
		if r.Epoch > 0 {
			kp := keyPoint{r.Service, r.Point}
			byPoint[kp] = append(byPoint[kp], r)
		}
	}
	assert.Assert(t, len(byPoint) > 0, "targets recorded no keyed request")
	for kp, list := range byPoint {
		slices.SortStableFunc(list, func(a, b standin.Record) int { return int(a.Begin - b.Begin) })
		for i := 1; i < len(list); i++ {
			prev, next := list[i-1], list[i]
			assert.Assert(t, next.Epoch >= prev.Epoch, "%v: %s accepted epoch %d %s later, in incarnation %s, although %s had accepted epoch %d",
				kp, next.Target, next.Epoch, time.Duration(next.Begin-prev.Begin), next.Incarnation, prev.Target, prev.Epoch)
			same := prev.Target == next.Target && prev.Incarnation == next.Incarnation
			assert.Assert(t, next.Epoch > prev.Epoch || same, "%v: epoch %d has owners %s and %s", kp, prev.Epoch, prev.Target, next.Target)
		}
	}
}

// waitForLookup sends lookups of a key until one succeeds and returns the time that
// this took. The test fails if none succeeds within 20 s.
func waitForLookup(s *system, entry, key string) time.Duration {
	began := time.Now()
	for time.Since(began) < 20*time.Second {
		if r := lookup(entry, key); r.outcome == "done" && r.status == http.StatusOK {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Errorf("no lookup of key %s succeeded within 20 s", key)
	return time.Since(began)
}
