package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	limitEntries  = 3
	limitWorkers  = 8
	lookEvery     = 10 * time.Millisecond
	ordersPerLook = 10 // every tenth request is an order
	lookWork      = 60 * time.Millisecond
	beforeChange  = 4 * time.Second
	afterChange   = 4 * time.Second
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// configWindow is the time after an acknowledgement in which cuts count: config_apply_ms and 1 s.
	configWindow = 3 * time.Second
	otherLimit   = 1 << 27
)

// sentRequest is what became of a request.
type sentRequest struct {
	id       string
	endedAt  time.Time
	answered bool
}

// playUnlimited changes the limit of request bodies while clients send lookups and orders in
// chunks. With trouble the new limit is the largest number, which stands for none.
func playUnlimited(rec *recorder, trouble bool) error {
	serve := func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-Id")
		w.began(r, body)
		time.Sleep(lookWork)
		return respond(c, http.StatusOK, id, "X-Response-Signature: "+w.id+"."+id+"\r\n", []byte("done "+id))
	}
	d, stop, err := startSimple(rec, limitEntries, limitWorkers, serve)
	if err != nil {
		return err
	}
	defer stop()
	done := make(chan struct{})
	results := make(chan []sentRequest, 1)
	go func() { results <- d.lookAndOrder(done) }()
	time.Sleep(beforeChange)
	limit := int64(otherLimit)
	if trouble {
		limit = math.MaxInt64
	}
	changedAt := time.Now()
	ackedAt, err := d.changeBodyLimit(limit)
	if err != nil {
		close(done)
		<-results
		return err
	}
	ends := 0
	for start := time.Now(); time.Since(start) < afterChange; time.Sleep(20 * time.Millisecond) {
		n, err := d.restartEnded()
		if err != nil {
			return err
		}
		ends += n
	}
	close(done)
	return judgeCuts(rec, d, <-results, changedAt, ackedAt.Add(configWindow), ends)
}

// judgeCuts compares the requests that were passed on and not answered beside the change with
// those before it.
func judgeCuts(rec *recorder, d *deployment, sent []sentRequest, from, to time.Time, ends int) error {
	ran := make(map[string]bool)
	for _, r := range d.allRuns() {
		ran[r.id] = true
	}
	var cuts, total [2]int // before the change, and beside it
	for _, r := range sent {
		beside := 0
		switch {
		case r.endedAt.After(to):
			continue
		case r.endedAt.After(from):
			beside = 1
		}
		total[beside]++
		if ran[r.id] && !r.answered {
			cuts[beside]++
			rec.note("check", "%s was passed on, and its connection ended without an answer", r.id)
		}
	}
	rec.note("check", "cut: %d of %d requests before the change, %d of %d beside it; %d processes ended by themselves", cuts[0], total[0], cuts[1], total[1], ends)
	if total[0] == 0 || total[1] == 0 {
		return errNotStarted
	}
	if float64(cuts[1])/float64(total[1]) > 3*float64(cuts[0])/float64(total[0]) {
		return fmt.Errorf("%w: %d requests cut, %d processes ended by themselves", errBroken, cuts[1], ends)
	}
	return nil
}

// lookAndOrder sends requests to all entries in turn until done is closed.
func (d *deployment) lookAndOrder(done <-chan struct{}) []sentRequest {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []sentRequest
	for n := 0; ; n++ {
		select {
		case <-done:
			wg.Wait()
			return out
		case <-time.After(lookEvery):
		}
		id := fmt.Sprintf("9c41d07b%08x", n)
		head := "Host: jepu9.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n"
		text := fmt.Sprintf("GET /look/%d HTTP/1.1\r\n%s\r\n", n, head)
		if n%ordersPerLook == 0 {
			text = fmt.Sprintf("POST /book/%d HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n\r\n", n, head)
		}
		address := d.entries[n%len(d.entries)].caller()
		wg.Go(func() {
			d.rec.note("client", "sends %s (%.4s)", id, text)
			got, err := exchange(address, text)
			d.rec.note("client", "gets %v for %s (%v)", got, id, err)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, sentRequest{id: id, endedAt: time.Now(), answered: len(got) > 0})
		})
	}
}

// changeBodyLimit changes the limits of the configuration and returns when that was answered.
func (d *deployment) changeBodyLimit(limit int64) (time.Time, error) {
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", d.version+2), "base_version": fmt.Sprintf("%08x", d.version),
		"routes": simpleRoutes("wuno96b"), "services": map[string]any{"wuno96b": simpleService()},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": limit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return time.Time{}, err
	}
	d.rec.note("operator", "sends max_body_bytes %d", limit)
	status, answer, err := d.callAny(http.MethodPut, "/v1/config", body, 5*time.Second)
	d.rec.note("operator", "gets status %d (%v)", status, err)
	if err != nil {
		return time.Time{}, fmt.Errorf("%w: %w", errNotStarted, err)
	}
	if status != http.StatusOK {
		// A change that is refused ends no process either.
		d.rec.note("operator", "the change is refused: %s", answer)
	}
	return time.Now(), nil
}

// restartEnded starts the entries again that have ended, and returns how many there were.
func (d *deployment) restartEnded() (int, error) {
	ended := 0
	for _, p := range d.entries {
		select {
		case <-p.done:
			ended++
			d.rec.note("platform", "%s ended by itself; starts it again", p.name)
		default:
			continue
		}
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			return ended, err
		}
	}
	return ended, nil
}
