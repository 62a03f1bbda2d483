package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = playCrashingRequest }

const (
	poisonPath  = "/a/poison"
	workerCount = 16
	// backAfter is the time after which a crashed server runs again.
	backAfter = 3 * time.Second
	// comesAgain is the time between two requests of the caller whose request crashes servers.
	comesAgain = 2 * time.Second
	// repeats is how often the caller repeats a request that failed, at once.
	repeats = 3
	// maxRetries is how many retries may reach servers later than the stability window after the
	// third crash.
	maxRetries = 3
)

// crashPlay is the state of a service whose servers crash when they run one certain request.
type crashPlay struct {
	*play
	c  *cluster
	wg sync.WaitGroup

	mu       sync.Mutex
	workers  map[string]*worker // by address
	next     int
	crashes  []time.Time
	late     map[string]int // arrivals later than the stability window after the third crash, by request
	lost     int            // other requests at work on servers that crashed
	stopping bool
}

// startAt starts a server at the address.
func (s *crashPlay) startAt(address string) error {
	s.mu.Lock()
	s.next++
	id := fmt.Sprintf("i-%d", s.next)
	s.mu.Unlock()
	w, err := startWorker(s.c, workerConfig{id: id, service: "stock", zone: zoneNames[s.next%3], address: address, slots: 4, queue: 16,
		work: 60 * time.Millisecond, idle: 10 * time.Second, beat: 1500 * time.Millisecond, body: "x", onRequest: s.crash})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[w.addr()] = w
	return nil
}

// crash ends a server that begins to run the request, and starts it again later.
func (s *crashPlay) crash(w *worker, _ net.Conn, _ *bufio.Reader, r *http.Request, _ []byte) (handled, keep bool) {
	if !strings.HasSuffix(r.URL.Path, "poison") {
		return false, true
	}
	s.mu.Lock()
	now := time.Now()
	if len(s.crashes) >= 3 && now.Sub(s.crashes[2]) > stabilityWindow {
		s.late[r.Header.Get("X-Request-Id")]++
	}
	if s.trouble {
		s.crashes = append(s.crashes, now)
		s.lost += int(w.running.Load())
	}
	s.mu.Unlock()
	s.logf("request %s begins to run at %s (%s); it runs %d others", r.Header.Get("X-Request-Id"), w.id, w.addr(), w.running.Load())
	if !s.trouble {
		return false, true
	}
	w.end()
	s.wg.Go(func() {
		time.Sleep(backAfter)
		s.mu.Lock()
		stopping := s.stopping
		s.mu.Unlock()
		if stopping {
			return
		}
		if err := s.startAt(w.addr()); err != nil {
			s.logf("server not started again at %s: %v", w.addr(), err)
		}
	})
	return true, false
}

// playCrashingRequest sends a request that crashes each server that runs it, again and again.
func playCrashingRequest(p *play) (bool, error) {
	c, err := newCluster(p.root, p.dir, 3, 3)
	if err != nil {
		return false, err
	}
	stop, err := c.startAll()
	defer stop()
	if err != nil {
		return false, err
	}
	status, text, err := c.order("PUT", config(1, 0, map[string]route{
		"r-a": {Host: exampleHost, Prefix: "/a/", Type: "safe", Timeout: 800, Objective: 300, Priority: 2, Service: "stock", Attempts: 2},
	}, map[string]any{"stock": service(52, false)}), 10*time.Second)
	if err != nil || status != 200 {
		return false, fmt.Errorf("configuration not accepted: %d %s %v", status, text, err)
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	s := &crashPlay{play: p, c: c, workers: make(map[string]*worker), late: make(map[string]int)}
	for range workerCount {
		if err := s.startAt(c.ip(100) + ":0"); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	for n := range 24 {
		s.wg.Go(func() {
			cl := client{address: c.fronts[n%len(c.fronts)].frontAddress()}
			defer cl.close()
			for ctx.Err() == nil {
				cl.send("GET", exampleHost, fmt.Sprintf("/a/%d", n), newID(), -1, "", 800*time.Millisecond)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Since(p.start) < 100*time.Second; n++ {
		deadline := time.Now().Add(800 * time.Millisecond)
		// Each repetition goes over a new connection to another process.
		for attempt := range 1 + repeats {
			cl := client{address: c.fronts[(n+attempt)%len(c.fronts)].frontAddress()}
			id := newID()
			a := cl.send("GET", exampleHost, poisonPath, id, -1, "", time.Until(deadline))
			cl.close()
			p.logf("caller sent %s to %s: status %d, Retry-After %q, %v", id, c.fronts[(n+attempt)%len(c.fronts)].name, a.status, a.header.Get("Retry-After"), a.err)
			if a.status == 200 || time.Until(deadline) <= 0 {
				break
			}
		}
		time.Sleep(comesAgain)
	}
	cancel()
	s.mu.Lock()
	s.stopping = true
	late, arrivals, crashes, lost := len(s.late), 0, len(s.crashes), s.lost
	for _, n := range s.late {
		arrivals += n
	}
	s.mu.Unlock()
	s.wg.Wait()
	for _, w := range s.workers {
		w.end()
	}
	p.logf("crashes %d; other requests at work on the servers that crashed %d; later than %v after the third crash %d of the caller's requests reached servers %d times, retries allowed %d", crashes, lost, stabilityWindow, late, arrivals, maxRetries)
	return arrivals > maxRetries, nil
}
