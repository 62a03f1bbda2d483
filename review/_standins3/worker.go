package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// workerConfig describes a server behind the deployment.
type workerConfig struct {
	id, service, zone string
	address           string // IP:PORT to listen on; port 0 for a free one
	slots, queue      int
	work              time.Duration
	idle              time.Duration // after which idle connections are closed
	keyed             bool
	beat              time.Duration
	body              string

	// onRequest may answer a client's request in another way; it reports whether it did.
	onRequest func(w *worker, c net.Conn, br *bufio.Reader, r *http.Request, body []byte) (handled, keep bool)
	onRun     func(w *worker, id string, key int)
	onOrder   func(w *worker, path string, o keyOrder) // before a grant or release is handled
}

type keyOrder struct {
	From     int    `json:"from"`
	To       int    `json:"to"`
	Fence    uint64 `json:"fence"`
	HoldMS   int64  `json:"hold_ms"`
	Handover string `json:"handover"`
}

type held struct {
	from, to int
	fence    uint64
	until    time.Time
}

// worker is one start of a server.
type worker struct {
	workerConfig
	c        *cluster
	born     int64
	listener net.Listener
	sem      chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	state    atomic.Value // "ready" or "draining"
	ended    chan struct{}
	endOnce  sync.Once
	beatAcks atomic.Int64

	mu       sync.Mutex
	sequence int
	conns    map[net.Conn]bool
	holds    []held
	seen     map[int]uint64 // highest fence by key, kept for the edges of ranges
	accepted int
}

// startWorker starts a server that announces itself until it ends.
func startWorker(c *cluster, cfg workerConfig) (*worker, error) {
	l, err := net.Listen("tcp", cfg.address)
	if err != nil {
		return nil, err
	}
	w := &worker{workerConfig: cfg, c: c, born: time.Now().UnixMilli(), listener: l, sem: make(chan struct{}, cfg.slots),
		ended: make(chan struct{}), conns: make(map[net.Conn]bool)}
	w.state.Store("ready")
	go w.accept()
	go w.announce()
	return w, nil
}

func (w *worker) addr() string { return w.listener.Addr().String() }

// end closes all sockets, as the end of the process does.
func (w *worker) end() {
	w.endOnce.Do(func() {
		close(w.ended)
		_ = w.listener.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		for c := range w.conns {
			_ = c.Close()
		}
	})
}

func (w *worker) hasEnded() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}

// beat sends one heartbeat, to one control process after the other until one acknowledges it.
func (w *worker) sendBeat() bool {
	w.mu.Lock()
	w.sequence++
	body := mustJSON(map[string]any{"service": w.service, "address": w.addr(), "zone": w.zone, "version": "v1", "capacity": w.slots,
		"state": w.state.Load(), "warmup_left_ms": 0, "sequence": w.sequence, "born": w.born})
	n := w.sequence
	w.mu.Unlock()
	for range w.c.controls {
		n++
		status, _, err := call(http.MethodPut, "http://"+w.c.controls[n%len(w.c.controls)].controlAddress()+"/v1/instances/"+w.id, body)
		if err == nil && status == http.StatusOK {
			w.beatAcks.Add(1)
			return true
		}
		if w.hasEnded() {
			return false
		}
	}
	return false
}

func (w *worker) announce() {
	for !w.hasEnded() {
		w.sendBeat()
		select {
		case <-w.ended:
		case <-time.After(w.beat):
		}
	}
}

// leave drains the server, withdraws it and ends it, as in planned work.
func (w *worker) leave(drain time.Duration) {
	w.state.Store("draining")
	for i := 0; i < 4 && !w.sendBeat(); i++ {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(drain)
	for i := range 6 {
		status, _, err := call(http.MethodDelete, "http://"+w.c.controls[i%len(w.c.controls)].controlAddress()+"/v1/instances/"+w.id, mustJSON(map[string]any{"born": w.born}))
		if err == nil && status == http.StatusOK {
			break
		}
	}
	w.end()
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.accepted++
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(w.idle))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.handle(c, br, r, body) {
			return
		}
	}
}

// reply writes a response and reports whether the connection can be kept.
func (w *worker) reply(c net.Conn, r *http.Request, status int, header map[string]string, body string) bool {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.Header.Get("X-Request-Id"); id != "" {
		out += "X-Request-Id: " + id + "\r\n"
	}
	for k, v := range header {
		out += k + ": " + v + "\r\n"
	}
	out += fmt.Sprintf("Keep-Alive: timeout=%d\r\nX-Instance-Load: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s", int(w.idle/time.Second), w.running.Load(), w.waiting.Load(), w.slots, len(body), body)
	_, err := c.Write([]byte(out))
	return err == nil
}

func (w *worker) handle(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != w.id {
		return w.reply(c, r, 421, map[string]string{"X-Instance-Id": w.id, "X-Not-Executed": "1"}, "")
	}
	switch r.URL.Path {
	case "/v1/grant", "/v1/release":
		var o keyOrder
		if json.Unmarshal(body, &o) != nil {
			return w.reply(c, r, 400, nil, "")
		}
		if w.onOrder != nil {
			w.onOrder(w, r.URL.Path, o)
		}
		if r.URL.Path == "/v1/grant" {
			if !w.grant(o) {
				return w.reply(c, r, 409, nil, "")
			}
			return w.reply(c, r, 200, nil, "")
		}
		w.release(o)
		return w.reply(c, r, 200, map[string]string{"X-Handover": fmt.Sprintf("%016x", o.Fence)}, "")
	case "/health":
		return w.reply(c, r, 200, map[string]string{"X-Instance-Id": w.id}, "")
	}
	if w.onRequest != nil {
		if handled, keep := w.onRequest(w, c, br, r, body); handled {
			return keep
		}
	}
	return w.run(c, r)
}

// run works on a request once a slot is free.
func (w *worker) run(c net.Conn, r *http.Request) bool {
	notRun := map[string]string{"X-Not-Executed": "1"}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return w.reply(c, r, 400, notRun, "")
	}
	if int(w.waiting.Load()) >= w.queue {
		return w.reply(c, r, 503, notRun, "")
	}
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	w.waiting.Add(1)
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	select {
	case w.sem <- struct{}{}:
		w.waiting.Add(-1)
	case <-timer.C:
		w.waiting.Add(-1)
		return w.reply(c, r, 503, notRun, "")
	}
	key := -1
	if w.keyed {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("X-Shard-Key")); err != nil || !w.holdsKey(key) {
			<-w.sem
			return w.reply(c, r, 421, notRun, "")
		}
	}
	w.running.Add(1)
	if w.onRun != nil {
		w.onRun(w, id, key)
	}
	time.Sleep(w.work)
	w.running.Add(-1)
	<-w.sem
	return w.reply(c, r, 200, map[string]string{"X-Response-Signature": "sig-" + id}, w.body+id)
}

func (w *worker) holdsKey(key int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.holds {
		if h.from <= key && key <= h.to && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

// grant takes keys over unless a higher fence was seen on one of them.
func (w *worker) grant(o keyOrder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.holds {
		if h.from <= o.To && o.From <= h.to && h.fence > o.Fence {
			return false
		}
	}
	w.holds = append(without(w.holds, o.From, o.To), held{o.From, o.To, o.Fence, time.Now().Add(time.Duration(o.HoldMS) * time.Millisecond)})
	return true
}

func (w *worker) release(o keyOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keep []held
	for _, h := range w.holds {
		if h.fence > o.Fence {
			keep = append(keep, h)
			continue
		}
		keep = append(keep, without([]held{h}, o.From, o.To)...)
	}
	w.holds = keep
}

// without returns the parts of the ranges outside of the given keys.
func without(list []held, from, to int) []held {
	var out []held
	for _, h := range list {
		if h.to < from || to < h.from {
			out = append(out, h)
			continue
		}
		if h.from < from {
			out = append(out, held{h.from, from - 1, h.fence, h.until})
		}
		if to < h.to {
			out = append(out, held{to + 1, h.to, h.fence, h.until})
		}
	}
	return out
}
