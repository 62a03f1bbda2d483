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

// reply is one answer to a caller.
type reply struct {
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

func call(method, url, body, key string) reply {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, outcome: resp.Header.Get("Cranberrywind-Outcome"), body: string(data),
		header: resp.Header, took: time.Since(began), err: err,
	}
}

func lookup(address, key string) reply {
	return call(http.MethodGet, "http://"+address+"/stock/"+key, "", "")
}

func book(address, key, idempotency string) reply {
	return call(http.MethodPost, "http://"+address+"/orders/"+key, "qty=1", idempotency)
}

func derivePublic(path string) (string, error) {
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

// sent is what the callers know of one booking.
type sent struct {
	outcomes []string
	whole    int // answers with outcome done
	bodies   []string
}

// load sends lookups and bookings through all entries until it is stopped.
type load struct {
	s        *system
	cancel   context.CancelFunc
	entries  []string // callers' addresses
	wg       sync.WaitGroup
	mu       sync.Mutex
	bookings map[string]*sent
	lookups  []reply
	slowest  time.Duration // answer
	broken   []string
}

// loadKeys is how many keys the load asks for.
const loadKeys = 40

// deadline of the test configuration's lookups and bookings.
const deadline = 3 * time.Second

// startLoad sends through all entries but those left out.
func startLoad(s *system, callers int, leftOut ...string) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{s: s, cancel: cancel, bookings: make(map[string]*sent)}
	for _, c := range s.configs {
		if !slices.Contains(leftOut, c.name) {
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

func (l *load) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lookups)
}

// goOn waits until n more lookups have their answers.
func (l *load) goOn(n int) {
	l.s.t.Helper()
	want := l.answered() + n
	l.s.eventually("more answers", func() error {
		if got := l.answered(); got < want {
			return fmt.Errorf("%d of %d", got, want)
		}
		return nil
	})
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) entry(rng *rand.Rand) string {
	return l.entries[rng.IntN(len(l.entries))]
}

func (l *load) lookupLoop(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r := lookup(l.entry(rng), fmt.Sprintf("k%d", rng.IntN(loadKeys)))
		l.mu.Lock()
		l.lookups = append(l.lookups, r)
		l.note("lookup", r)
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// note is called with the lock held.
func (l *load) note(what string, r reply) {
	switch {
	case r.err == nil:
		l.slowest = max(l.slowest, r.took)
	case r.err != nil:
		l.broken = append(l.broken, fmt.Sprintf("%s: %v", what, r.err))
	}
}

// bookLoop sends each booking until it is done, up to a number of times and
// through any entry, as callers do.
func (l *load) bookLoop(ctx context.Context, rng *rand.Rand, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("b%d-%d", n, i)
		for range 8 {
			r := book(l.entry(rng), fmt.Sprintf("k%d", i%loadKeys), id)
			l.keep(id, r)
			if r.outcome == "done" || ctx.Err() != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *load) keep(id string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note("booking "+id, r)
	b, ok := l.bookings[id]
	if !ok {
		b = &sent{}
		l.bookings[id] = b
	}
	outcome := r.outcome
	if r.err != nil {
		outcome = "no answer"
	}
	b.outcomes = append(b.outcomes, outcome)
	if r.outcome == "done" && r.err == nil {
		b.whole++
		b.bodies = append(b.bodies, r.body)
	}
}

// assertBookings checks that no booking ran twice, that one that ran was never
// said not to have run afterwards, and that all its answers are the same.
func (l *load) assertBookings(t testing.TB) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := make(map[string]int)
	for _, r := range l.s.records() {
		if r.BookingKey != "" {
			ran[r.BookingKey]++
		}
	}
	done := 0
	for id, b := range l.bookings {
		assert.Assert(t, ran[id] <= 1, "booking %s ran %d times; outcomes %v", id, ran[id], b.outcomes)
		last := b.outcomes[len(b.outcomes)-1]
		assert.Assert(t, last != "not_run" || ran[id] == 0, "booking %s ran and its caller was told %v", id, b.outcomes)
		if b.whole > 0 {
			done++
			assert.Equal(t, ran[id], 1, "booking %s was answered and did not run; outcomes %v", id, b.outcomes)
			assert.Equal(t, len(slices.Compact(b.bodies)), 1, "booking %s has answers %v", id, b.bodies)
		}
	}
	assert.Assert(t, done > 0, "no booking was done")
	refused := 0
	for _, r := range l.lookups {
		if r.outcome == "not_run" {
			refused++
		}
	}
	t.Logf("%d bookings, %d done, %d lookups, %d of them refused, %d broken connections, slowest answer %s",
		len(l.bookings), done, len(l.lookups), refused, len(l.broken), l.slowest)
}

// assertOneOwner checks, from the targets' records, that each key had one owner
// at a time: an epoch has one owner, and no request is accepted under an epoch
// after one was accepted under a higher one.
func assertOneOwner(t testing.TB, records []standin.Record) {
	t.Helper()
	type place struct {
		service string
		point   keyspace.Point
	}
	byPlace := make(map[place][]standin.Record)
	for _, r := range records {
		if r.Epoch > 0 {
			p := place{r.Service, r.Point}
			byPlace[p] = append(byPlace[p], r)
		}
	}
	assert.Assert(t, len(byPlace) > 0, "no keyed request was recorded")
	for p, list := range byPlace {
		slices.SortStableFunc(list, func(a, b standin.Record) int { return int(a.Begin - b.Begin) })
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			assert.Assert(t, b.Epoch >= a.Epoch, "%v: %s accepted epoch %d, %s of %s after %s accepted epoch %d",
				p, b.Target, b.Epoch, time.Duration(b.Begin-a.Begin), b.Incarnation, a.Target, a.Epoch)
			same := a.Target == b.Target && a.Incarnation == b.Incarnation
			assert.Assert(t, b.Epoch > a.Epoch || same, "%v: epoch %d has owners %s and %s", p, a.Epoch, a.Target, b.Target)
		}
	}
}

// outage returns the longest time without a whole answer to lookups of a key
// that started at a moment.
func outage(s *system, entry, key string) time.Duration {
	began := time.Now()
	for time.Since(began) < 20*time.Second {
		if r := lookup(entry, key); r.outcome == "done" && r.status == http.StatusOK {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Errorf("key %s was not served again", key)
	return time.Since(began)
}
