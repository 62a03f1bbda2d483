package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashingWorker is a stand-in for a worker that ends without notice and starts again under
// its ID, at its address. A path with the segment "download" is answered with a long body, and
// one with the segment "crash" ends the worker while it is run.
type crashingWorker struct {
	deployment *deployment
	id         string
	service    string
	address    string
	// crashAfter is the number of bytes of a body that are sent before a request ends the worker.
	crashAfter int
	down       time.Duration // until it starts again

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence int
	up       bool
	silent   bool // sends no heartbeats
	starts   int
	runs     []crashRun
}

// crashRun is a request that the worker began to work on.
type crashRun struct {
	id, path string
	at       time.Time
	cut      bool // it ended with the worker
}

const (
	downloadBytes = 90_000 // the mean of the site's downloads
	downloadWork  = 50 * time.Millisecond
	crashDelay    = 20 * time.Millisecond // after the last byte that is sent
)

func (d *deployment) newCrashingWorker(service string, crashAfter int, down time.Duration) (*crashingWorker, error) {
	return d.startCrashingWorker(service, crashAfter, down, false)
}

// startCrashingWorker starts a worker, which sends no heartbeats by itself if it is silent.
func (d *deployment) startCrashingWorker(service string, crashAfter int, down time.Duration, silent bool) (*crashingWorker, error) {
	l, err := net.Listen("tcp", d.nextIP()+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w := &crashingWorker{
		deployment: d, id: fmt.Sprintf("i-%s-%d", service, d.hosts), service: service, address: l.Addr().String(),
		crashAfter: crashAfter, down: down, silent: silent,
	}
	w.begin(l)
	go w.beat(d.hosts)
	return w, nil
}

// begin starts the worker's process.
func (w *crashingWorker) begin(l net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listener, w.conns, w.up = l, make(map[net.Conn]bool), true
	w.born, w.sequence = time.Now().UnixMilli(), 0
	w.starts++
	start := w.starts
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { w.serve(out, r, start) }), IdleTimeout: 10 * time.Second,
		ConnState: func(c net.Conn, s http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if s == http.StateClosed {
				delete(w.conns, c)
				return
			}
			w.conns[c] = true
		}}
	go func() { _ = server.Serve(l) }()
}

// end ends the worker's process: its port refuses connections, and those that are open are reset.
func (w *crashingWorker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	_ = w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// restart starts the worker again at its address.
func (w *crashingWorker) restart() {
	for range 100 {
		if l, err := net.Listen("tcp", w.address); err == nil {
			w.begin(l)
			w.deployment.record.printf("worker %s starts again under its ID, born %d", w.id, w.born)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.deployment.record.printf("worker %s can't listen at its address again", w.id)
}

func (w *crashingWorker) isUp(start int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.starts == start
}

// say sends a call of the worker to a control instance, and reports whether it was acknowledged.
func (w *crashingWorker) say(method, address, state string) bool {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{"born": w.born}
	if method == http.MethodPut {
		body = map[string]any{"service": w.service, "address": w.address, "zone": "zarqa", "version": "v1", "capacity": workerSlots,
			"state": state, "warmup_left_ms": 0, "sequence": w.sequence, "born": w.born}
	}
	w.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	status, _, err := call(method, "http://"+address+"/v1/instances/"+w.id, data)
	return err == nil && status == http.StatusOK
}

// beat sends heartbeats while the worker is up.
func (w *crashingWorker) beat(i int) {
	for ; ; time.Sleep(heartbeatPeriod) {
		for range 3 {
			w.mu.Lock()
			due := w.up && !w.silent
			w.mu.Unlock()
			if !due || w.say(http.MethodPut, w.deployment.seed(i), "ready") {
				break
			}
			i++
		}
	}
}

func (w *crashingWorker) serve(out http.ResponseWriter, r *http.Request, start int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out.Header().Set("X-Instance-Id", w.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	n := len(w.runs)
	w.runs = append(w.runs, crashRun{id: id, path: r.URL.Path, at: time.Now()})
	w.mu.Unlock()
	w.deployment.record.printf("worker %s runs %s: %s %s, %d bytes", w.id, id, r.Method, r.URL.Path, len(body))
	work, answer := 200*time.Millisecond, []byte(w.id+" ran "+id+"\n")
	crashes := strings.Contains(r.URL.Path, "/crash/")
	if strings.Contains(r.URL.Path, "/download/") {
		work, answer = downloadWork, bytes.Repeat([]byte("0123456789"), downloadBytes/10)
	}
	time.Sleep(work)
	if !w.isUp(start) {
		w.cut(n)
		return
	}
	if crashes && w.crashAfter == 0 {
		w.crash(id)
		w.cut(n)
		return
	}
	out.Header().Set("X-Response-Signature", "s-"+w.id+"-"+id)
	out.Header().Set("X-Instance-Load", fmt.Sprintf("1,0,%d", workerSlots))
	out.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	out.WriteHeader(http.StatusOK)
	if !crashes {
		_, _ = out.Write(answer)
		return
	}
	_, _ = out.Write(answer[:w.crashAfter])
	_ = http.NewResponseController(out).Flush()
	time.Sleep(crashDelay)
	w.crash(id)
	w.cut(n)
}

// crash ends the worker's process because of a request, and starts it again later.
func (w *crashingWorker) crash(id string) {
	w.deployment.record.printf("worker %s crashes while it runs %s", w.id, id)
	w.end()
	time.AfterFunc(w.down, w.restart)
}

// cut notes that a request ended with the worker.
func (w *crashingWorker) cut(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[n].cut = true
}

func (w *crashingWorker) listRuns() []crashRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]crashRun(nil), w.runs...)
}
