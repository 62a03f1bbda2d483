package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["fds"] = playReleases }

const (
	stabilityWindow = 3 * time.Second
	// frontFiles is max_fds of the smallest front machines.
	frontFiles = 3075
	// releaseTime is how long releases go on, with one server a second.
	releaseTime = 76 * time.Second
	// observeTime is how long the case goes on after the last release.
	observeTime = 14 * time.Second
	// freshClients open a new connection for each request.
	freshClients = 10

	routeTimeout   = time.Second
	callerDeadline = 3 * time.Second
	// answerSlack is the time after the route's timeout by which an answer is due, minUnanswered
	// and maxUnansweredShare the bounds for those without one.
	answerSlack        = 500 * time.Millisecond
	minUnanswered      = 8
	maxUnansweredShare = 0.5
)

// frontWatch holds what clients saw of one front process.
type frontWatch struct {
	process *process

	keptOK, kept  atomic.Int64
	freshOK, news atomic.Int64

	mu         sync.Mutex
	calm       time.Time // requests sent later are judged; zero before
	late, none int       // without an answer at the route's timeout, and answerSlack later
}

// noteFresh counts a request on a new connection.
func (f *frontWatch) noteFresh(sent time.Time, a answer) {
	f.news.Add(1)
	if a.status != 0 {
		f.freshOK.Add(1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calm.IsZero() || sent.Before(f.calm) || a.took < routeTimeout {
		return
	}
	f.late++
	if a.status == 0 || a.took > routeTimeout+answerSlack {
		f.none++
	}
}

// playReleases replaces the servers of a service one after the other, as releases in a row do.
func playReleases(p *play) (bool, error) {
	c, err := newCluster(p.root, p.dir, 3, 2)
	if err != nil {
		return false, err
	}
	c.fds = frontFiles
	stop, err := c.startAll()
	defer stop()
	if err != nil {
		return false, err
	}
	status, text, err := c.order("PUT", config(1, 0, map[string]route{
		"r-a": {Host: exampleHost, Prefix: "/a/", Type: "safe", Timeout: 1000, Objective: 300, Priority: 1, Service: "stock", Attempts: 2},
		"r-b": {Host: exampleHost, Prefix: "/b/", Type: "unsafe", Timeout: 1000, Objective: 300, Priority: 1, Service: "stock", Attempts: 2},
	}, map[string]any{"stock": service(120, false)}), 10*time.Second)
	if err != nil || status != 200 {
		return false, fmt.Errorf("configuration not accepted: %d %s %v", status, text, err)
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	var workers []*worker
	next := 0
	add := func() error {
		next++
		w, err := startWorker(c, workerConfig{id: fmt.Sprintf("i-%d", next), service: "stock", zone: zoneNames[next%3], address: c.ip(100) + ":0",
			slots: 60, queue: 60, work: 60 * time.Millisecond, idle: 10 * time.Second, beat: 1500 * time.Millisecond, body: "x"})
		if err == nil {
			workers = append(workers, w)
		}
		return err
	}
	for range 4 {
		if err := add(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var fronts []*frontWatch
	for _, f := range c.fronts {
		w := &frontWatch{process: f}
		fronts = append(fronts, w)
		for range 120 {
			wg.Go(func() { w.sendKept(ctx) })
		}
		for range freshClients {
			wg.Go(func() { w.sendFresh(ctx) })
		}
	}
	report := func(replaced int) {
		for _, f := range fronts {
			p.logf("%s: servers replaced %d; kept connections: %d of %d requests served; new connections: %d of %d answered; descriptors %d",
				f.process.name, replaced, f.keptOK.Swap(0), f.kept.Swap(0), f.freshOK.Swap(0), f.news.Swap(0), f.process.openFiles())
		}
	}
	begun := time.Now()
	replaced := 0
	for time.Since(begun) < releaseTime {
		time.Sleep(time.Second)
		if p.trouble {
			if err := add(); err != nil {
				return false, err
			}
			old := workers[0]
			workers = workers[1:]
			wg.Go(func() { old.leave(2500 * time.Millisecond) })
			replaced++
		}
		if int(time.Since(begun).Seconds())%10 == 0 {
			report(replaced)
		}
	}
	p.logf("no disruption from here on")
	for _, f := range fronts {
		f.mu.Lock()
		f.calm = time.Now().Add(stabilityWindow)
		f.mu.Unlock()
	}
	time.Sleep(observeTime)
	report(replaced)
	late, none := 0, 0
	for _, f := range fronts {
		if !f.process.running() {
			return false, errors.New(f.process.name + " has ended")
		}
		f.mu.Lock()
		p.logf("%s: of %d requests without an answer at the route's timeout, %d had none %v later; ready: %v", f.process.name, f.late, f.none, answerSlack, f.process.ready())
		late, none = late+f.late, none+f.none
		f.mu.Unlock()
	}
	broken := none >= minUnanswered && float64(none) > maxUnansweredShare*float64(late)
	for _, w := range workers {
		defer w.end()
	}
	return broken, nil
}

// sendKept sends requests on a kept connection.
func (f *frontWatch) sendKept(ctx context.Context) {
	cl := client{address: f.process.frontAddress()}
	defer cl.close()
	for ctx.Err() == nil {
		a := cl.send("GET", exampleHost, "/a/x", newID(), -1, "", time.Second)
		f.kept.Add(1)
		if a.status == http.StatusOK {
			f.keptOK.Add(1)
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendFresh sends each request on a new connection, and waits for its answer until its deadline.
func (f *frontWatch) sendFresh(ctx context.Context) {
	for ctx.Err() == nil {
		cl := client{address: f.process.frontAddress()}
		sent := time.Now()
		a := cl.send("POST", exampleHost, "/b/x", newID(), -1, "order", callerDeadline)
		cl.close()
		f.noteFresh(sent, a)
		time.Sleep(200 * time.Millisecond)
	}
}
