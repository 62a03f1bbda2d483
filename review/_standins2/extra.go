package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	extraWorkers = 10
	extraFaulty  = 6 // of the workers
	extraShare   = 3 // percent of the answers of a faulty worker
	extraOrders  = 6000
	extraEvery   = 4 * time.Millisecond
	// The workers are faulty for extraSpell in each extraPeriod.
	extraSpell  = 5 * time.Second
	extraPeriod = 8 * time.Second
	extraWork   = 78 * time.Millisecond
	// extraDelay is how much later than a whole answer the additional bytes come.
	extraDelay = 100 * time.Millisecond
)

// refusalHead is the head of an answer that says that a request has not run.
func refusalHead(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Type: application/json; charset=utf-8\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// playExtra sends orders to workers that sometimes send additional bytes after a whole answer: the
// beginning of a refusal, broken off at any point. They stand between whole answers.
func playExtra(rec *recorder, trouble bool) error {
	var begin atomic.Int64 // Unix milliseconds at which the traffic begins
	inSpell := func() bool {
		return trouble && time.Since(time.UnixMilli(begin.Load()))%extraPeriod < extraSpell
	}
	var locks sync.Map // by connection; held while an answer or the additional bytes are written
	serve := func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-Id")
		w.began(r, body)
		time.Sleep(extraWork)
		entry, _ := locks.LoadOrStore(c, &sync.Mutex{})
		lock := entry.(*sync.Mutex)
		lock.Lock()
		defer lock.Unlock()
		if inSpell() && w.isFaulty() && rand.IntN(100) < extraShare {
			head := refusalHead(id)
			head = head[:1+rand.IntN(len(head)-1)]
			time.AfterFunc(extraDelay, func() {
				lock.Lock()
				defer lock.Unlock()
				if _, err := c.Write([]byte(head)); err == nil {
					rec.note(w.id, "sends %d additional bytes after its answer to %s", len(head), id)
				}
			})
		}
		return respond(c, http.StatusOK, id, "X-Response-Signature: "+w.id+"."+id+"\r\n", []byte("done "+id))
	}
	d, stop, err := startSimple(rec, 3, extraWorkers, serve)
	if err != nil {
		return err
	}
	defer stop()
	begin.Store(time.Now().UnixMilli())
	answers := d.order(extraOrders, extraEvery)
	runs := make(map[string]int)
	for _, r := range d.allRuns() {
		runs[r.id]++
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			rec.note("check", "order %s ran %d times", id, n)
		}
	}
	rec.note("check", "%d orders answered, %d ran, %d of them more than once", len(answers), len(runs), twice)
	if twice > 0 {
		return fmt.Errorf("%w: %d orders ran more than once", errBroken, twice)
	}
	if len(answers) < extraOrders/2 {
		return fmt.Errorf("%d of %d orders answered: %w", len(answers), extraOrders, errNotStarted)
	}
	return nil
}

// isFaulty reports whether the worker is one of the first extraFaulty.
func (w *worker) isFaulty() bool {
	for n := range extraFaulty {
		if w.id == workerID(n) {
			return true
		}
	}
	return false
}
