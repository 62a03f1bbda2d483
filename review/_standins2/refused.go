package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// One of greyWorkers workers fails greyShare percent of its requests.
	greyWorkers = 8
	greyShare   = 45
	orders      = 500
	orderEvery  = 10 * time.Millisecond
	orderWork   = 60 * time.Millisecond
)

// playRefused sends orders to workers of which one fails a part of them after it has begun to work
// on them: with status 503, and without the header that says that the order has not run.
func playRefused(rec *recorder, trouble bool) error {
	var count atomic.Int64
	greyID := workerID(0)
	serve := func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-Id")
		w.began(r, body)
		time.Sleep(orderWork)
		if trouble && w.id == greyID && count.Add(1)*greyShare%100 < greyShare {
			rec.note(w.id, "fails %s with status 503", id)
			return respond(c, http.StatusServiceUnavailable, id, "", []byte("no connection to the database"))
		}
		return respond(c, http.StatusOK, id, "X-Response-Signature: "+w.id+"."+id+"\r\n", []byte("done "+id))
	}
	d, stop, err := startSimple(rec, 3, greyWorkers, serve)
	if err != nil {
		return err
	}
	defer stop()
	answers := d.order(orders, orderEvery)
	broken := 0
	for _, r := range d.allRuns() {
		switch answers[r.id] {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			broken++
			rec.note("check", "%s ran at %s, and its client was told with status %d that it has not run", r.id, r.worker, answers[r.id])
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d orders ran and were refused", errBroken, broken)
	}
	if len(answers) < orders/2 {
		return fmt.Errorf("%d of %d orders answered: %w", len(answers), orders, errNotStarted)
	}
	return nil
}

// order sends orders at the given pace, each on a connection of its own, and returns the status of
// each answer by the order's ID.
func (d *deployment) order(n int, every time.Duration) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := make(map[string]int)
	for i := range n {
		time.Sleep(every)
		id := fmt.Sprintf("9c41d07b%08x", i)
		d.rec.note("client", "orders %s", id)
		text := fmt.Sprintf("POST /book/%d HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbook", i, id)
		wg.Go(func() {
			got, err := exchange(d.entries[i%len(d.entries)].caller(), text)
			d.rec.note("client", "gets %v for %s (%v)", got, id, err)
			mu.Lock()
			defer mu.Unlock()
			if len(got) == 1 {
				answers[id] = got[0]
			}
		})
	}
	wg.Wait()
	return answers
}
