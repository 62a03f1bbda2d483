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
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	id, worker, method, uri string
	body                    string
	at                      time.Time
}

// worker is a stand-in of a server of the platform. It announces itself, holds keys that it is
// granted, and answers requests.
type worker struct {
	d        *deployment
	id       string
	service  string
	address  string
	zone     string
	born     int64
	listener net.Listener
	done     chan struct{}

	// serve answers a request in a way of the case's own; nil for the usual one.
	serve func(w *worker, c net.Conn, r *http.Request, body []byte) (keep bool)

	mu       sync.Mutex
	sequence uint64
	state    string
	runs     []run
	conns    map[net.Conn]bool
	holds    []held
}

// held is a range of keys that a worker was granted.
type held struct {
	from, to int
	fence    uint64
	until    time.Time
}

func workerID(n int) string { return fmt.Sprintf("i-%08x", 0x7f3a0000+n) }

// startWorker starts a worker and its heartbeats.
func (d *deployment) startWorker(n int, service string, serve func(*worker, net.Conn, *http.Request, []byte) bool) (*worker, error) {
	w := &worker{
		d: d, id: workerID(n), service: service, address: d.workerAddress(n), zone: zones[n%zoneCount],
		born: time.Now().UnixMilli(), done: make(chan struct{}), serve: serve, state: "ready", conns: make(map[net.Conn]bool),
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.listener = l
	d.workers = append(d.workers, w)
	go w.accept()
	go w.beat()
	return w, nil
}

func (w *worker) stop() {
	select {
	case <-w.done:
		return
	default:
	}
	close(w.done)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// beat sends heartbeats to the control instances in turn.
func (w *worker) beat() {
	for i := 0; ; i++ {
		if err := w.announce(w.d.control[i%len(w.d.control)]); err == nil {
			select {
			case <-w.done:
				return
			case <-time.After(heartbeatEvery):
			}
			continue
		}
		select {
		case <-w.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (w *worker) announce(p *process) error {
	w.mu.Lock()
	w.sequence++
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "capacity": 4, "state": w.state,
		"warmup_left_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	status, _, err := w.d.call(p, http.MethodPut, "/v1/instances/"+w.id, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("heartbeat: status %d", status)
	}
	return err
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.handle(c)
	}
}

func (w *worker) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.answer(c, r, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (w *worker) answer(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Request-Id")
	switch {
	case !validNames(r.Header):
		// A server must reject white space between a name and its colon (RFC 9112, 5.1).
		return respond(c, http.StatusBadRequest, id, "X-Not-Executed: 1\r\nConnection: close\r\n", nil) && false
	case r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != w.id:
		return respond(c, http.StatusMisdirectedRequest, id, "X-Not-Executed: 1\r\n", nil)
	case r.URL.Path == "/v1/grant":
		return w.grant(c, id, body)
	case r.URL.Path == "/v1/release":
		return w.release(c, id, body)
	case r.URL.Path == "/health":
		return respond(c, http.StatusOK, id, "X-Instance-Id: "+w.id+"\r\n", nil)
	case id == "":
		return respond(c, http.StatusBadRequest, id, "X-Not-Executed: 1\r\n", nil)
	}
	if key := r.Header.Get("X-Shard-Key"); key != "" && !w.holdsKey(key) {
		return respond(c, http.StatusMisdirectedRequest, id, "X-Not-Executed: 1\r\n", nil)
	}
	if w.serve != nil {
		return w.serve(w, c, r, body)
	}
	w.began(r, body)
	return respond(c, http.StatusOK, id, "X-Response-Signature: "+w.id+"."+id+"\r\nX-Instance-Load: 1,0,4\r\n", []byte("done "+id))
}

// validNames reports whether all header names are tokens.
func validNames(h http.Header) bool {
	for name := range h {
		for _, c := range name {
			if c <= ' ' || c >= 0x7f || c == ':' {
				return false
			}
		}
	}
	return true
}

// began records that the worker began to work on a request.
func (w *worker) began(r *http.Request, body []byte) {
	x := run{id: r.Header.Get("X-Request-Id"), worker: w.id, method: r.Method, uri: r.RequestURI, body: string(body), at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, x)
	w.mu.Unlock()
	w.d.rec.note(w.id, "runs %s (%s %s, %d bytes)", x.id, x.method, x.uri, len(body))
}

// allRuns returns what all workers ran.
func (d *deployment) allRuns() []run {
	var out []run
	for _, w := range d.workers {
		w.mu.Lock()
		out = append(out, w.runs...)
		w.mu.Unlock()
	}
	return out
}

// respond writes a whole response.
func respond(c net.Conn, status int, id, headers string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	_, err := c.Write(append([]byte(head+headers+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...))
	return err == nil
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	From   int    `json:"from"`
	To     int    `json:"to"`
	Fence  uint64 `json:"fence"`
	HoldMs int64  `json:"hold_ms"`
}

func (w *worker) grant(c net.Conn, id string, body []byte) bool {
	var call keyCall
	if err := json.Unmarshal(body, &call); err != nil {
		return respond(c, http.StatusBadRequest, id, "", nil)
	}
	w.mu.Lock()
	for _, h := range w.holds {
		if h.from <= call.To && call.From <= h.to && h.fence > call.Fence {
			w.mu.Unlock()
			return respond(c, http.StatusConflict, id, "", nil)
		}
	}
	w.holds = append(cut(w.holds, call.From, call.To), held{from: call.From, to: call.To, fence: call.Fence, until: time.Now().Add(time.Duration(call.HoldMs) * time.Millisecond)})
	w.mu.Unlock()
	w.d.rec.note(w.id, "is granted keys %d to %d, fence %d, for %d ms", call.From, call.To, call.Fence, call.HoldMs)
	return respond(c, http.StatusOK, id, "", nil)
}

func (w *worker) release(c net.Conn, id string, body []byte) bool {
	var call keyCall
	if err := json.Unmarshal(body, &call); err != nil {
		return respond(c, http.StatusBadRequest, id, "", nil)
	}
	w.mu.Lock()
	w.holds = append(cut(w.holds, call.From, call.To), held{from: call.From, to: call.To, fence: call.Fence})
	w.mu.Unlock()
	return respond(c, http.StatusOK, id, "X-Handover: "+strconv.FormatUint(call.Fence, 16)+"\r\n", nil)
}

// cut removes keys from ranges.
func cut(holds []held, from, to int) []held {
	var out []held
	for _, h := range holds {
		if h.from < from {
			left := h
			left.to = min(h.to, from-1)
			out = append(out, left)
		}
		if h.to > to {
			right := h
			right.from = max(h.from, to+1)
			out = append(out, right)
		}
	}
	return out
}

func (w *worker) holdsKey(text string) bool {
	key, err := strconv.Atoi(text)
	if err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.holds {
		if h.from <= key && key <= h.to && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}
