package forward

import (
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/http1"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
)

const (
	// defaultBodyBudget is the budget of an entry that does not know its memory.
	defaultBodyBudget = 16 << 20
	// firstBodyBytes is the size of the first buffer for a body of unknown length.
	firstBodyBytes = 4 << 10
	// earlyBodyBytes is the declared length above which a request is checked before its body
	// is read. Up to it the body has mostly arrived with the header.
	earlyBodyBytes = 16 << 10
)

var errBodyBudget = errors.New("too many bytes of request bodies are held in memory")

// bodyBudget counts the bytes of request bodies that an entry holds.
type bodyBudget struct {
	limit int

	mu   sync.Mutex
	held int
}

func newBodyBudget(limit int) *bodyBudget {
	if limit <= 0 {
		limit = defaultBodyBudget
	}
	return &bodyBudget{limit: limit}
}

// reserve counts n more bytes, and reports false if there would be too many.
func (b *bodyBudget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.limit-b.held {
		return false
	}
	b.held += n
	return true
}

func (b *bodyBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// Held returns the number of bytes that are counted.
func (b *bodyBudget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// HeldBodyBytes returns the bytes of request bodies that are held in memory.
func (s *Server) HeldBodyBytes() int { return s.bodies.Held() }

// reserveBody counts n more bytes for the request's body. It returns errBodyBudget if there
// is no room for them.
func (s *Server) reserveBody(r *request, n int) error {
	if !s.bodies.reserve(n) {
		return errBodyBudget
	}
	r.heldBytes += n
	return nil
}

// releaseBody ends counting the bytes of a request's body. It may be called again.
func (s *Server) releaseBody(r *request) {
	if r != nil && r.heldBytes > 0 {
		s.bodies.release(r.heldBytes)
		r.heldBytes = 0
	}
}

// readWithinBudget reads a request's body of at most limit bytes, or one byte more of a
// longer one. It returns errBodyBudget if the body does not fit the budget: at once if its
// length is declared.
func (s *Server) readWithinBudget(hr *http1.Request, r *request, limit int) ([]byte, error) {
	if n := int(hr.ContentLength); n >= 0 {
		if err := s.reserveBody(r, n); err != nil {
			return nil, err
		}
		body := make([]byte, n)
		_, err := io.ReadFull(hr.Body, body)
		return body, err
	}
	var body []byte
	for len(body) <= limit {
		if len(body) == cap(body) {
			grow := max(firstBodyBytes, len(body))
			if err := s.reserveBody(r, grow); err != nil {
				return nil, err
			}
			longer := make([]byte, len(body), len(body)+grow)
			copy(longer, body)
			body = longer
		}
		n, err := hr.Body.Read(body[len(body):min(cap(body), limit+1)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

// rejectBody returns the response to a request whose body is not read, after which the
// connection closes.
func (c *callerConn) rejectBody(r *request, out response) *response {
	out = c.server.finish(r, nil, out)
	out.closeConn = true
	return &out
}

// rejectForBudget returns the response to a request whose body does not fit the budget. It
// may return when the entry's link has carried that many bytes.
func (c *callerConn) rejectForBudget(r *request, bytes int) *response {
	out := c.rejectBody(r, unavailableResponse(errBodyBudget.Error(), max(defaultRetryAfter, c.server.cfg.Link.Delay(bytes))))
	if c.fromPeer {
		out.header[relayRejectedHeader] = []string{rejectedOne}
	}
	return out
}

// rejectEarly returns the rejection of a request whose body has not been read, if the request
// would be rejected whatever the body is. Nothing is counted, and no target is chosen: the
// request is admitted once its body is complete, by the configuration in force then. Requests
// with small bodies, those of other kinds of routes, and those without a route that don't
// declare a length are left to admit alone.
func (s *Server) rejectEarly(r *request, length int64) *response {
	if length >= 0 && length <= earlyBodyBytes {
		return nil
	}
	names := []string{""} // no service: admitTo rejects the request for another reason
	route, ok := s.cfg.View.View().Routes.Find(r.host, r.path)
	if ok && route.Kind != deployment.Upload || !ok && length < 0 {
		return nil
	}
	if ok {
		for _, w := range route.Split {
			if w.Weight > 0 {
				names = append(names, w.Service)
			}
		}
		if len(names) > 1 {
			names = names[1:]
		}
	}
	var rejection *response
	for _, name := range names {
		var c *call
		if c, rejection = s.admitTo(r, func(*request, *deployment.Route) (string, bool) { return name, name != "" }); rejection == nil {
			rejection = s.rejectUnsent(c, int(max(0, length)))
		}
		if rejection == nil {
			return nil
		}
	}
	return rejection
}

// rejectUnsent returns the rejection of an admitted upload for which no target has room or
// time. Whether a cold target takes it is left to its dispatcher.
func (s *Server) rejectUnsent(c *call, bytes int) *response {
	bodyTime := s.cfg.Link.Delay(bytes)
	var out response
	switch left := time.Until(c.deadline); {
	case left < minTimeLeft+bodyTime:
		out = unavailableResponse("too little time is left before the deadline", defaultRetryAfter)
	case c.service.Keyed || s.mustRelay(c):
		return nil
	default:
		retryAfter, blocked := s.targets.allBlocked(s.cfg.View.View().Usable(c.service.Name), s.maxExpected(c)-bodyTime)
		if !blocked {
			return nil
		}
		out = unavailableResponse("no target of the service takes requests now", retryAfter)
	}
	return &out
}

// allBlocked reports whether none of the targets would be sent a request now, apart from
// windows, which mostly open until the body of the request has come. The duration is the time
// after which the first one may be.
func (ts *targetStates) allBlocked(candidates []deployment.Target, maxExpected time.Duration) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	var first time.Duration
	for _, t := range candidates {
		s := ts.state(t)
		wait, ok := s.notice.MaySend(now)
		expected := time.Duration(s.expected(t, now) * float64(time.Second))
		switch {
		case !ok && s.notice.Leaving():
			continue
		case !ok:
		case s.circuitOpen(now):
			wait = s.openUntil.Sub(now)
		case !s.limit.Allows(now):
			_, wait = s.limit.WithRejection(now)
		case expected > maxExpected:
			wait = expected / 2
		default:
			return 0, false
		}
		if first == 0 || wait < first {
			first = wait
		}
	}
	return max(first, defaultRetryAfter), true
}

// bodyTime returns how long the body of an upload takes on this entry's own link. Bodies of
// other requests are small, and the time that they take is part of the service time.
func (s *Server) bodyTime(c *call) time.Duration {
	if c.route.Kind != deployment.Upload {
		return 0
	}
	return s.cfg.Link.Delay(len(c.body))
}

// countBody counts the body of an upload that is about to be sent as traffic of the link, and
// records the time that it takes there.
func (s *Server) countBody(c *call, pace *bodyPace) {
	c.bodyTime = s.bodyTime(c)
	switch {
	case c.route.Kind != deployment.Upload:
	case len(c.body) <= targethttp.LongBodyBytes:
		s.cfg.Link.Count(len(c.body))
	default:
		pace.expect(len(c.body))
	}
}

// bodyPace sends a long request body at the pace of a narrow link, so that small requests and
// responses don't wait behind it.
type bodyPace struct {
	ctx  context.Context
	link *limit.Link // nil for a wide one
	mu   sync.Mutex
	left int // bytes that the link expects
}

// function returns what waits before each chunk, or nil on a wide link.
func (p *bodyPace) function() func(chunk, remaining int) error {
	if p.link == nil {
		return nil
	}
	return p.wait
}

func (p *bodyPace) expect(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left += bytes
	p.link.Expect(bytes)
}

// wait waits until a chunk may be sent.
func (p *bodyPace) wait(chunk, remaining int) error {
	err := p.link.Wait(p.ctx, chunk, remaining)
	if err == nil {
		p.sent(chunk)
	}
	return err
}

// end takes back what will not be sent any more.
func (p *bodyPace) end() { p.sent(math.MaxInt) }

func (p *bodyPace) sent(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(bytes, p.left)
	p.left -= n
	p.link.Expect(-n)
}
