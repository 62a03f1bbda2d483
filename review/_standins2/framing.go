package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// simpleRoutes returns one route of each kind of request to the service.
func simpleRoutes(service string) map[string]any {
	route := func(prefix, kind string, timeoutMs int) map[string]any {
		return map[string]any{
			"host": "jepu9.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs, "target_latency_ms": 300,
			"priority": 1, "service": service, "max_attempts": 2,
		}
	}
	return map[string]any{"r-look": route("/look/", "safe", 1000), "r-book": route("/book/", "unsafe", 1000)}
}

func simpleService() map[string]any {
	return map[string]any{"health_path": "/health", "max_conns": 120, "protocol": "h1", "tls": false}
}

// startSimple starts a deployment with workers of one service, and waits until it serves.
func startSimple(rec *recorder, entries, workers int, serve func(*worker, net.Conn, *http.Request, []byte) bool) (*deployment, func(), error) {
	d, stop, err := newDeployment(rec, entries)
	if err != nil {
		return nil, nil, err
	}
	err = d.configure(simpleRoutes("wuno96b"), map[string]any{"wuno96b": simpleService()})
	for n := 0; n < workers && err == nil; n++ {
		_, err = d.startWorker(n, "wuno96b", serve)
	}
	if err == nil {
		err = d.awaitReady(20 * time.Second)
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	time.Sleep(2 * time.Second)
	return d, stop, nil
}

// playFraming sends requests whose body holds the text of another request. With trouble, white
// space stands before the colon of the field that tells the length of the body.
func playFraming(rec *recorder, trouble bool) error {
	d, stop, err := startSimple(rec, 2, 3, nil)
	if err != nil {
		return err
	}
	defer stop()
	sent := make(map[string]string) // bodies by ID
	for n := range 20 {
		id := fmt.Sprintf("9c41d07b%08x", n)
		inner := fmt.Sprintf("POST /book/inner HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: 1111d07b%08x\r\nContent-Length: 0\r\n\r\n", n)
		field := "Content-Length"
		if trouble {
			field = "Content-Length "
		}
		sent[id] = inner
		rec.note("client", "sends %s with a body of %d bytes", id, len(inner))
		text := fmt.Sprintf("POST /book/outer HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\n%s: %d\r\n\r\n%s", id, field, len(inner), inner)
		answers, err := exchange(d.entries[n%len(d.entries)].caller(), text)
		rec.note("client", "gets %v (%v)", answers, err)
	}
	broken := 0
	for _, r := range d.allRuns() {
		body, known := sent[r.id]
		if !known || body != r.body {
			broken++
			rec.note("check", "%s ran %s %s with id %s, which no client sent as a request, or with another body", r.worker, r.method, r.uri, r.id)
		}
	}
	if len(d.allRuns()) == 0 && !trouble {
		return errNotStarted
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d runs that nobody asked for", errBroken, broken)
	}
	return nil
}

// exchange sends text on a new connection and returns the status codes of the answers.
func exchange(address, text string) ([]int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Now().Add(700 * time.Millisecond))
	var out []int
	for reader := bufio.NewReader(c); ; {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return out, nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return out, err
		}
		out = append(out, res.StatusCode)
	}
}
