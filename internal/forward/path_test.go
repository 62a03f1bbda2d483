package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/internal/view"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// testDialect has header names in the form in which net/http stores them.
func testDialect() Dialect {
	return Dialect{
		RequestID: "Request-Id", Deadline: "Deadline", Target: "Target", Signature: "Signature", NotRun: "Not-Run", Load: "Load", Key: "Key",
		ParseLoad: func(value string) (Load, bool) {
			var l Load
			n, err := fmt.Sscanf(value, "%d,%d,%d", &l.Running, &l.Waiting, &l.Slots)
			return l, n == 3 && err == nil
		},
	}
}

// publisher is a control instance that streams one view.
type publisher struct {
	instance.DeploymentHandler
	update instance.ViewUpdate
}

func (p *publisher) Watch(ctx context.Context, _ *instance.WatchRequest, send func(*instance.ViewUpdate) error) error {
	for ctx.Err() == nil {
		if err := send(&p.update); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// handler is what a target does with a request.
type handler func(w io.Writer, r *http.Request)

// reply writes the status line, the headers that every answer has, and the rest.
func reply(w io.Writer, r *http.Request, code int, format string, args ...any) {
	rest := fmt.Sprintf(format, args...)
	// A caller that is gone shows in what the test asserts.
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nSignature: s\r\nRequest-Id: %s\r\n%s", code, r.Header.Get("Request-Id"), rest)
}

func answer(body string) handler {
	return func(w io.Writer, r *http.Request) {
		reply(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// fails answers with a status and header instead of a body.
func fails(code int, header string) handler {
	return func(w io.Writer, r *http.Request) { reply(w, r, code, "%sContent-Length: 0\r\n\r\n", header) }
}

// inTurn handles one request after the other; the last handler goes on for good.
func inTurn(list ...handler) handler {
	var mu sync.Mutex
	return func(w io.Writer, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		list[0](w, r)
		if len(list) > 1 {
			list = list[1:]
		}
	}
}

// path is an entry with a view of some targets of one service.
type path struct {
	t           *testing.T
	address     string
	server      *Server
	stopControl func()

	mu   sync.Mutex
	runs []string // targets that got a request, in order
}

// startPath starts an entry and targets. The routes of all of them are /look/,
// /fetch/ and /book/; the first one owns all keys of the route /keyed/.
func startPath(t *testing.T, link *limit.Link, handlers ...handler) *path {
	p := &path{t: t}
	change := deployment.ConfigChange{Version: 1, Whole: true, Services: []deployment.Service{{Name: "catalog", Connections: 100}}}
	for kind, name := range map[deployment.Kind]string{deployment.Lookup: "look", deployment.Download: "fetch", deployment.Booking: "book"} {
		change.Routes = append(change.Routes, deployment.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second, Objective: 500 * time.Millisecond, Attempts: 2,
			Split: []deployment.Share{{Service: "catalog", Weight: 1}},
		})
	}
	change.Services = append(change.Services, deployment.Service{Name: "shelf", Connections: 100, Keyed: true})
	keyed := change.Routes[0]
	keyed.Name, keyed.Prefix, keyed.Kind = "keyed", "/keyed/", deployment.Lookup
	keyed.Split = []deployment.Share{{Service: "shelf", Weight: 1}}
	change.Routes = append(change.Routes, keyed)
	limits := defaultLimits()
	change.Limits = &limits
	update := instance.ViewUpdate{Whole: true, Version: 1, DocIndex: 1, Document: &change, Current: true}
	for n, h := range handlers {
		id := fmt.Sprintf("t%d", n)
		update.Targets = append(update.Targets, deployment.Target{
			ID: id, StartMillis: 1, Service: "catalog", Slots: 4, Status: deployment.Live, Address: p.startTarget(id, h), AvailabilityZone: "a",
		})
	}
	update.Tables = []deployment.KeyTable{{Service: "shelf", Changed: 1, Ranges: []deployment.Range{
		{To: deployment.MaxKey, Phase: deployment.Owned, Target: "t0", StartMillis: 1, Fence: 1},
	}}}
	control := listenLocal(t)
	p.stopControl = instance.ServeDeployment(control, &publisher{update: update}, instance.Security{}, &instance.Traffic{})
	t.Cleanup(p.stopControl)
	p.startEntry(control.Addr().String(), link)
	return p
}

func listenLocal(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (p *path) startEntry(control string, link *limit.Link) {
	ctx, cancel := context.WithCancel(context.Background())
	p.t.Cleanup(cancel)
	clock := timer.NewSystem(ctx)
	pool, closePool := instance.NewPool(ctx, instance.Security{}, &instance.Traffic{})
	p.t.Cleanup(closePool)
	targets, closeTargets := targethttp.NewPool(clock)
	p.t.Cleanup(closeTargets)
	quiet := log.New(io.Discard)
	l := listenLocal(p.t)
	follower := view.Follow(ctx, view.FollowerConfig{Name: "entry", Seeds: []string{control}, Pool: pool, Log: quiet})
	server, stop := Serve(ctx, l, Config{
		Name: "entry", AvailabilityZone: "a", Dialect: testDialect(), View: follower, Pool: targets, Clock: clock, Log: quiet, Routine: quiet,
		Observer: noObserver{}, Report: func(instance.ReportRequest) *instance.ReportResponse { return nil },
		RetryRatio: 1, RetryBurst: 10, RetryMargin: 1, Link: link,
	})
	p.t.Cleanup(stop)
	p.server, p.address = server, l.Addr().String()
	for limit := time.Now().Add(10 * time.Second); follower.View().DocIndex == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(p.t, time.Now().Before(limit), "no view")
	}
}

// startTarget serves each connection with the handler and closes it where the
// handler leaves its answer open.
func (p *path) startTarget(id string, h handler) string {
	l := listenLocal(p.t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					p.mu.Lock()
					p.runs = append(p.runs, id)
					p.mu.Unlock()
					h(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends a request on a connection of its own.
func (p *path) ask(method, uri string) *caller {
	c := dial(p.t, p.address)
	c.send(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nKey: 7\r\nRequest-Id: %s\r\n\r\n", method, uri, strings.ReplaceAll(uri, "/", "-")))
	return c
}

// body reads an answer and its body up to its end or break.
func (c *caller) body() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

var large = strings.Repeat("0123456789abcdef", 4<<10) // 64 KB

func TestLargeAnswers(t *testing.T) {
	t.Run("passed on before they are whole", func(t *testing.T) {
		goOn := make(chan struct{})
		p := startPath(t, nil, func(w io.Writer, r *http.Request) {
			reply(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(large), large)
			<-goOn
			_, _ = io.WriteString(w, large)
		})
		c := p.ask("GET", "/fetch/x")
		resp, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadFull(resp.Body, make([]byte, len(large)))
		assert.NilError(t, err)
		close(goOn)
		rest, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), large)
	})
	t.Run("one that breaks is seen to be broken", func(t *testing.T) {
		p := startPath(t, nil, func(w io.Writer, r *http.Request) {
			reply(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(large), large)
			_ = w.(net.Conn).Close()
		})
		_, got, err := p.ask("GET", "/fetch/x").body()
		assert.Assert(t, err != nil && len(got) <= len(large), "%d bytes, %v", len(got), err)
	})
	t.Run("one that is no success is taken whole first", func(t *testing.T) {
		p := startPath(t, nil, func(w io.Writer, r *http.Request) {
			reply(w, r, http.StatusServiceUnavailable, "Not-Run: yes\r\nContent-Length: %d\r\n\r\n%s", len(large), large)
		}, answer(large))
		for n := range 8 {
			resp, got, err := p.ask("GET", fmt.Sprintf("/fetch/%d", n)).body()
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, got, large)
		}
	})
	t.Run("a caller that leaves ends the transfer", func(t *testing.T) {
		ended := make(chan struct{})
		p := startPath(t, nil, func(w io.Writer, r *http.Request) {
			reply(w, r, http.StatusOK, "Content-Length: %d\r\n\r\n%s", 2*len(large), large)
			for {
				if _, err := w.Write([]byte("x")); err != nil {
					close(ended)
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
		c := p.ask("GET", "/fetch/x")
		_, err := c.reader.ReadByte()
		assert.NilError(t, err)
		assert.NilError(t, c.net.Close())
		<-ended
	})
	t.Run("small ones overtake large ones on a narrow link", func(t *testing.T) {
		p := startPath(t, limit.NewLink(64<<10), func(w io.Writer, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/fetch/") {
				answer(large)(w, r)
				return
			}
			answer("small")(w, r)
		})
		began := time.Now()
		fetch := p.ask("GET", "/fetch/x")
		_, err := fetch.reader.ReadByte()
		assert.NilError(t, err)
		assert.NilError(t, fetch.reader.UnreadByte())
		_, got, err := p.ask("GET", "/look/x").body()
		assert.NilError(t, err)
		assert.Equal(t, got, "small")
		looked := time.Since(began)
		_, got, err = fetch.body()
		assert.NilError(t, err)
		assert.Equal(t, got, large)
		assert.Assert(t, looked < time.Since(began)/2, "lookup took %v of %v", looked, time.Since(began))
	})
}

func TestHead(t *testing.T) {
	p := startPath(t, nil, func(w io.Writer, r *http.Request) {
		reply(w, r, http.StatusOK, "Content-Length: 5\r\n\r\n") // of the body that GET would bring
	})
	c := p.ask("HEAD", "/look/x")
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.ContentLength, int64(5))
}

// TestRejectedByOwner asks for a key whose owner turns the request away.
func TestRejectedByOwner(t *testing.T) {
	notRun := "Not-Run: yes\r\n"
	t.Run("once: it is asked again", func(t *testing.T) {
		p := startPath(t, nil, inTurn(fails(http.StatusServiceUnavailable, notRun), answer("hello")))
		resp, got, err := p.ask("GET", "/keyed/x").body()
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, got, "hello")
	})
	t.Run("always: the caller hears of it at once", func(t *testing.T) {
		p := startPath(t, nil, fails(http.StatusServiceUnavailable, notRun))
		p.assertRefusedAtOnce(2)
	})
	t.Run("it is full: it is not asked again", func(t *testing.T) {
		p := startPath(t, nil, fails(http.StatusServiceUnavailable, notRun+"Load: 4,9,4\r\n"))
		p.assertRefusedAtOnce(1)
	})
}

// assertRefusedAtOnce checks that a keyed request is refused long before its
// deadline of a second, with a time to come back, after some runs.
func (p *path) assertRefusedAtOnce(runs int) {
	p.t.Helper()
	began := time.Now()
	resp, _, err := p.ask("GET", "/keyed/x").body()
	assert.NilError(p.t, err)
	assert.Equal(p.t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(p.t, resp.Header.Get("Retry-After") != "")
	assert.Assert(p.t, time.Since(began) < 300*time.Millisecond, "after %v", time.Since(began))
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(p.t, len(p.runs), runs)
}

// TestFailedByTarget sends requests to a target that runs them and fails.
func TestFailedByTarget(t *testing.T) {
	cases := []struct {
		name, path string
		handlers   []handler
		status     int
	}{
		{name: "a lookup is sent again", path: "/keyed/x", handlers: []handler{fails(500, ""), answer("hello")}, status: 200},
		{name: "a lookup fails as its target failed it", path: "/keyed/x", handlers: []handler{fails(500, "")}, status: 500},
		{name: "a booking is not sent again", path: "/book/x", handlers: []handler{fails(500, ""), answer("hello")}, status: 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, _, err := startPath(t, nil, inTurn(c.handlers...)).ask("GET", c.path).body()
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, resp.Header.Get("Signature") != "")
		})
	}
}

// TestWithoutControl stops control: an entry serves on from the view it has.
func TestWithoutControl(t *testing.T) {
	p := startPath(t, nil, answer("hello"))
	p.stopControl()
	time.Sleep(1200 * time.Millisecond) // longer than a silent stream is kept
	_, got, err := p.ask("GET", "/look/x").body()
	assert.NilError(t, err)
	assert.Equal(t, got, "hello")
}
