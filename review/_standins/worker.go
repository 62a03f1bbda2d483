package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a worker of the platform. The path of a request says what it
// does: a segment wN works N milliseconds, and a segment eN answers status N after that.
type worker struct {
	deployment *deployment
	id         string
	service    string
	address    string
	slots      chan struct{}
	server     *http.Server
	born       int64

	mu       sync.Mutex
	state    string
	sequence int
	runs     []event
	arrivals []event
}

// event is a request that the worker began to work on, or that arrived.
type event struct {
	id string
	at time.Time
}

const (
	workerSlots = 3
	workerQueue = 12
)

// startWorker starts a worker and its heartbeats.
func (d *deployment) startWorker(service string) (*worker, error) {
	l, err := net.Listen("tcp", d.nextIP()+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w := &worker{
		deployment: d, id: fmt.Sprintf("i-%s-%d", service, d.hosts), service: service, address: l.Addr().String(),
		slots: make(chan struct{}, workerSlots), born: time.Now().UnixMilli(), state: "ready",
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	d.workers = append(d.workers, w)
	go w.beat()
	return w, nil
}

// startWorkers starts a worker of each of the services.
func (d *deployment) startWorkers(services ...string) error {
	for _, service := range services {
		if _, err := d.startWorker(service); err != nil {
			return err
		}
	}
	return nil
}

// beat sends heartbeats until the process ends. One that is not acknowledged goes to the
// next control instance.
func (w *worker) beat() {
	for i := w.deployment.hosts; ; {
		if _, err := w.sendBeat(w.deployment.seed(i)); err != nil {
			i++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatPeriod)
	}
}

// sendBeat sends a heartbeat to a control instance and returns when it was acknowledged.
func (w *worker) sendBeat(address string) (time.Time, error) {
	w.mu.Lock()
	w.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zarqa","version":"v1","capacity":%d,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
		w.service, w.address, workerSlots, w.state, w.sequence, w.born)
	w.mu.Unlock()
	status, _, err := call(http.MethodPut, "http://"+address+"/v1/instances/"+w.id, []byte(body))
	if err != nil {
		return time.Time{}, err
	}
	if status != http.StatusOK {
		return time.Time{}, fmt.Errorf("status %d", status)
	}
	return time.Now(), nil
}

// drain reports that the worker is draining, and returns when that was acknowledged.
func (w *worker) drain(limit time.Duration) (time.Time, error) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	for begin, i := time.Now(), 0; time.Since(begin) < limit; i++ {
		address := w.deployment.seed(i)
		if at, err := w.sendBeat(address); err == nil {
			w.deployment.record.printf("control %s acknowledged that worker %s is draining", address, w.id)
			return at, nil
		}
	}
	return time.Time{}, fmt.Errorf("drain of %s was not acknowledged", w.id)
}

// ServeHTTP handles a health check or a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
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
	w.note(&w.arrivals, id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		w.refuse(out, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.refuse(out, http.StatusBadRequest)
		return
	}
	if len(w.slots) >= workerSlots+workerQueue {
		w.refuse(out, http.StatusServiceUnavailable)
		return
	}
	left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		left = 10_000
	}
	deadline := time.After(time.Duration(left) * time.Millisecond)
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-deadline:
		w.refuse(out, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	w.note(&w.runs, id)
	w.deployment.record.printf("worker %s runs %s: %s %s, %d bytes", w.id, id, r.Method, r.URL.RequestURI(), len(body))
	work, status := w.instructions(r.URL.Path)
	select {
	case <-time.After(work):
	case <-deadline:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		w.deployment.record.printf("worker %s: the connection of %s was closed while it ran", w.id, id)
		return
	}
	out.Header().Set("X-Response-Signature", "s-"+w.id+"-"+id)
	out.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", len(w.slots), workerSlots))
	out.WriteHeader(status)
	_, _ = fmt.Fprintf(out, "%s ran %s\n", w.id, id)
	w.deployment.record.printf("worker %s answered %s with %d", w.id, id, status)
}

// instructions returns how long a request works, and the status of its answer.
func (w *worker) instructions(path string) (time.Duration, int) {
	work, status := 5*time.Millisecond, http.StatusOK
	for segment := range strings.SplitSeq(path, "/") {
		if len(segment) < 2 {
			continue
		}
		n, err := strconv.Atoi(segment[1:])
		switch {
		case err != nil:
		case segment[0] == 'w':
			work = time.Duration(n) * time.Millisecond
		case segment[0] == 'e':
			status = n
		}
	}
	return work, status
}

func (w *worker) refuse(out http.ResponseWriter, status int) {
	out.Header().Set("X-Not-Executed", "1")
	out.WriteHeader(status)
}

func (w *worker) note(list *[]event, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, event{id: id, at: time.Now()})
}

// list returns a copy of the runs or arrivals.
func (w *worker) list(list *[]event) []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]event(nil), *list...)
}
