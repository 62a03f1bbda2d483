package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
)

const (
	// answerMargin is taken off the time that a target gets, for the way back.
	answerMargin = 10 * time.Millisecond
	// leastTime is the shortest time that is worth sending a request for.
	leastTime = 15 * time.Millisecond
	// holderWait is the share of the time left for which a request waits for
	// keys that are on the move.
	holderWait = 0.5
	// handoverWait is for how long keys on the move are waited for before their
	// old holder is asked: about two requests' work.
	handoverWait = 150 * time.Millisecond
	// comeBack is when a caller may come back after a refusal without a better
	// estimate.
	comeBack = 150 * time.Millisecond
	// connectionShare is the share of a target's connections that all entries
	// together may open: they don't see each other's.
	connectionShare = 0.8
	leastConns      = 2
	// suspectWait is when a caller may come back with a request that crashed
	// targets.
	suspectWait = time.Minute
	// overloadWait is when a caller may come back to a key that exceeds its
	// holder.
	overloadWait = 300 * time.Millisecond
)

// refuse returns an answer of the router's own.
func refuse(status int, reason string) response {
	body := []byte(fmt.Sprintf("{\"error\":%q}\n", reason))
	return response{status: status, header: http.Header{"Content-Type": {"application/json"}}, body: body}
}

// notRun refuses a request that has not run and tells when to come back.
func notRun(reason string, after time.Duration) response {
	r := refuse(http.StatusServiceUnavailable, reason)
	// Callers that were refused together come back spread out.
	after += time.Duration(rand.Float64() * 0.5 * float64(after))
	r.header["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	return r
}

// call is one request on its way to a target.
type call struct {
	*request
	route    *deployment.Route
	service  deployment.Service
	id       string
	deadline time.Time
	key      deployment.Key
	tried    []string
	sent     int           // times that a target got the request
	mayRun   bool          // a target may have run it
	last     string        // why there is no answer yet
	expected time.Duration // at the target that was chosen last
	target   deployment.Target
	ending   ending // of the last attempt
	fence    uint64 // under which it holds the key
	kind     string // fingerprint
	piece    string // keys and fence under which the target was asked
}

// handle returns the final answer to one request.
func (s *Server) handle(r *request) response {
	c, refusal := s.admit(r)
	if refusal != nil {
		return s.finish(r, c, *refusal)
	}
	ctx, cancel := context.WithDeadline(s.ctx, c.deadline)
	defer cancel()
	if c.route.Kind.Idempotent() {
		// A caller that leaves ends the work for it.
		defer context.AfterFunc(r.ctx, cancel)()
	}
	return s.finish(r, c, s.attempts(ctx, c))
}

func (s *Server) finish(r *request, c *call, out response) response {
	if _, ok := out.header[s.cfg.Dialect.RequestID]; !ok && out.header != nil {
		if id := r.header.Get(s.cfg.Dialect.RequestID); id != "" {
			out.header[s.cfg.Dialect.RequestID] = []string{id}
		}
	}
	out.head = r.method == http.MethodHead
	out.closing = out.closing || r.closing
	took := time.Since(r.began)
	service := ""
	if c != nil {
		service = c.service.Name
	}
	s.cfg.Observer.Answered(service, outcomeOf(out, c), out.status, took)
	s.logAnswer(r, c, out, took)
	return out
}

func outcomeOf(out response, c *call) string {
	switch {
	case out.status < http.StatusBadRequest:
		return "done"
	case c != nil && c.mayRun:
		return "unknown"
	default:
		return "not_run"
	}
}

// logAnswer writes the final decision on a request.
func (s *Server) logAnswer(r *request, c *call, out response, took time.Duration) {
	v := s.cfg.View.View()
	fields := []any{
		"request_id", r.header.Get(s.cfg.Dialect.RequestID), "status", out.status, "outcome", outcomeOf(out, c),
		"took_ms", millis(took), "view_version", v.Version, "view_age_ms", s.cfg.View.Age().Milliseconds(),
	}
	if c == nil {
		s.log.Info("request refused", append(fields, "host", r.host, "path", r.path, "reason", strings.TrimSpace(string(out.body)))...)
		return
	}
	fields = append(fields, "route", c.route.Name, "service", c.service.Name, "config_version", v.Document.Version,
		"caller_left", r.ctx.Err() != nil)
	if c.service.Keyed {
		fields = append(fields, "key", c.key)
	}
	if out.status < http.StatusBadRequest {
		s.cfg.Routine.Info("request answered", append(fields, c.attemptFields()...)...)
		return
	}
	if after := out.header.Get("Retry-After"); after != "" {
		fields = append(fields, "retry_after_s", after)
	}
	fields = append(fields, "may_have_run", c.mayRun, "patience_ms", millis(c.patience()), "reason", c.last)
	s.log.Info("request failed", append(fields, c.attemptFields()...)...)
}

// logAttempt writes why a target was chosen and why the attempt failed. What
// went well stands in the line of the answer.
func (s *Server) logAttempt(c *call, t deployment.Target, e ending, because string) {
	c.target, c.ending = t, e
	if because != "" {
		s.log.Info("attempt failed", append(c.attemptFields(), "request_id", c.id, "reason", because)...)
	}
}

// attemptFields describes the last attempt with what decided it.
func (c *call) attemptFields() []any {
	fields := []any{
		"target", c.target.ID, "address", c.target.Address, "target_status", c.target.Status, "attempts", c.sent,
		"expected_ms", millis(c.expected), "target_ms", millis(c.ending.took), "left_ms", time.Until(c.deadline).Milliseconds(),
	}
	if c.ending.loadKnown {
		fields = append(fields, "target_running", c.ending.load.Running, "target_waiting", c.ending.load.Waiting)
	}
	if c.fence != 0 {
		fields = append(fields, "fence", c.fence)
	}
	return fields
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// admit finds the route and service of a request and its deadline.
func (s *Server) admit(r *request) (*call, *response) {
	fail := func(out response) (*call, *response) { return nil, &out }
	v := s.cfg.View.View()
	if v.DocIndex == 0 {
		return fail(notRun("no configuration is known yet", comeBack))
	}
	route, ok := v.Routes.Find(r.host, r.path)
	if !ok {
		return fail(refuse(http.StatusNotFound, "no route for this host and path"))
	}
	id := r.header.Get(s.cfg.Dialect.RequestID)
	if id == "" {
		return fail(refuse(http.StatusBadRequest, s.cfg.Dialect.RequestID+" is missing"))
	}
	name, ok := s.split.next(route)
	if !ok {
		return fail(notRun("no service of this route has a weight", comeBack))
	}
	service, _ := v.Document.Service(name)
	c := &call{request: r, route: route, service: service, id: id, deadline: r.began.Add(route.Timeout)}
	if ms, err := strconv.ParseInt(r.header.Get(s.cfg.Dialect.Deadline), 10, 64); err == nil && ms >= 0 {
		if own := r.began.Add(time.Duration(ms) * time.Millisecond); own.Before(c.deadline) {
			c.deadline = own
		}
	}
	if service.Keyed {
		key, err := strconv.ParseUint(r.header.Get(s.cfg.Dialect.Key), 10, 16)
		if err != nil {
			return fail(refuse(http.StatusBadRequest, s.cfg.Dialect.Key+" must be a whole number from 0 to 65535"))
		}
		c.key = deployment.Key(key)
		s.keys.add(name, c.key)
	}
	c.kind = fingerprint(r)
	if _, held := v.Suspected(c.kind); held {
		return fail(notRun("targets died that ran such requests", suspectWait))
	}
	s.earn(name)
	return c, nil
}

// attempts sends the request to one target after another until there is an
// answer, or none can be expected any more.
func (s *Server) attempts(ctx context.Context, c *call) response {
	for {
		t, refusal := s.target(ctx, c)
		if refusal != nil {
			return *refusal
		}
		if c.sent > 0 && !s.spend(c.service.Name) {
			c.last += "; the retry budget is used up"
			return s.give(ctx, c)
		}
		out, again := s.attempt(ctx, c, t)
		if out != nil {
			return *out
		}
		if !again {
			return s.give(ctx, c)
		}
	}
}

// give returns the final answer to a request that got none from a target.
func (s *Server) give(ctx context.Context, c *call) response {
	switch {
	case !c.mayRun:
		return notRun(c.last, comeBack)
	case ctx.Err() != nil:
		return refuse(http.StatusGatewayTimeout, c.last)
	default:
		return refuse(http.StatusBadGateway, c.last)
	}
}

// lateShare is the share of the time between a route's objective and its timeout
// that a request may be expected to be late. A longer queue serves nobody more:
// it makes everyone late.
const lateShare = 0.25

// patience returns the longest time that a target may be expected to take.
func (c *call) patience() time.Duration {
	longest := c.route.Objective
	if late := c.route.Timeout - c.route.Objective; late > 0 {
		longest += time.Duration(lateShare * float64(late))
	}
	return min(longest, time.Until(c.deadline))
}

// target chooses whom to send a request to, or refuses it.
func (s *Server) target(ctx context.Context, c *call) (deployment.Target, *response) {
	fail := func(reason string, after time.Duration) (deployment.Target, *response) {
		if c.last != "" {
			reason = c.last + "; " + reason
		}
		c.last = reason
		out := s.give(ctx, c)
		if !c.mayRun {
			out = notRun(reason, after)
		}
		return deployment.Target{}, &out
	}
	left := time.Until(c.deadline)
	if left < leastTime || ctx.Err() != nil {
		return fail("no time is left", comeBack)
	}
	if c.service.Keyed {
		t, after, reason := s.holder(ctx, c)
		if reason != "" {
			return fail(reason, after)
		}
		return t, nil
	}
	t, ok := s.targets.choose(s.cfg.View.View().Usable(c.service.Name), c.tried, s.cfg.AvailabilityZone, c.route.Kind)
	if !ok {
		return fail("no target takes requests", comeBack)
	}
	expected, _ := s.targets.expected(t)
	c.target, c.expected = t, expected
	if expected > c.patience() {
		return fail("all targets are busy for too long", expected/2)
	}
	return t, nil
}

// holder returns the target that holds the request's key. It waits a while for
// keys that are on the move, and after a target said that it does not hold the
// key.
func (s *Server) holder(ctx context.Context, c *call) (deployment.Target, time.Duration, string) {
	wait, cancel := context.WithTimeout(ctx, time.Duration(holderWait*float64(time.Until(c.deadline))))
	defer cancel()
	handover := time.After(min(handoverWait, time.Until(c.deadline)/2))
	late := false
	for {
		changed := s.cfg.View.Changed()
		v := s.cfg.View.View()
		p, _ := v.Holder(c.service.Name, c.key)
		t, known := v.Target(p.Target)
		switch {
		case p.Phase == deployment.Free || !known || t.Born != p.Born:
			return t, comeBack, "nobody holds the key"
		case (p.Phase == deployment.Held || late && t.Usable()) && !c.triedPiece(p):
			after, reason := s.heldBy(c, t, p)
			if !errors.Is(reason, errWindow) || !s.awaitRoom(wait, c, t) {
				return t, after, describe(reason)
			}
			continue
		}
		select {
		case <-handover:
			// The holder may not have heard that it is to release the keys.
			late = true
		case <-wait.Done():
			return t, comeBack, "the key is on its way to another target"
		case <-changed:
		}
	}
}

// Reasons why a key's holder gets no request.
var (
	errLeaving    = errors.New("the key's holder is leaving")
	errNoAnswers  = errors.New("the key's holder does not answer")
	errTurnedAway = errors.New("the key is asked for more often than its holder can serve")
	errBusy       = errors.New("the key's holder is busy for too long")
	errWindow     = errors.New("this entry has as many requests at the key's holder as it may")
)

func describe(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// heldBy checks whether a key's holder can answer in time, or tells when to come
// back and why.
func (s *Server) heldBy(c *call, t deployment.Target, p deployment.Piece) (time.Duration, error) {
	c.piece = pieceName(p)
	if !t.Usable() {
		return comeBack, errLeaving
	}
	if after, ok := s.targets.available(t); !ok {
		return after, errNoAnswers
	}
	expected, room := s.targets.expected(t)
	c.target, c.expected, c.fence = t, expected, p.Fence
	switch {
	case s.turnedAway(c.service.Name, c.key):
		return overloadWait, errTurnedAway
	case expected > c.patience():
		return expected / 2, errBusy
	case !room:
		return expected / 2, errWindow
	}
	return 0, nil
}

// burstShare is the part of a route's objective for which a request waits for
// room. A longer wait would keep callers of an overloaded key from an answer that
// is known already.
const burstShare = 0.125

// awaitRoom waits until one of this entry's requests at the target has ended. It
// returns false where a request that began then would be expected too late. It
// answers short bursts for one holder.
func (s *Server) awaitRoom(ctx context.Context, c *call, t deployment.Target) bool {
	longest := min(c.patience()-c.expected, time.Duration(burstShare*float64(c.route.Objective)))
	longest -= time.Since(c.began)
	if longest <= 0 {
		return false
	}
	limit := time.NewTimer(longest)
	defer limit.Stop()
	select {
	case <-s.targets.room(t):
		return true
	case <-ctx.Done():
		return false
	case <-limit.C:
		return false
	}
}

func pieceName(p deployment.Piece) string { return p.Target + "/" + strconv.FormatUint(p.Fence, 10) }

func (c *call) triedPiece(p deployment.Piece) bool { return slices.Contains(c.tried, pieceName(p)) }

// attempt sends the request to one target. It returns the final answer, or
// whether another attempt may help.
func (s *Server) attempt(ctx context.Context, c *call, t deployment.Target) (*response, bool) {
	if !c.service.Keyed {
		c.tried = append(c.tried, t.ID)
	}
	most := max(leastConns, int(connectionShare*float64(c.service.Connections)/float64(s.entries())))
	began := time.Now()
	s.targets.began(t)
	a, err := s.cfg.Pool.Do(ctx, t.Address, most, s.cfg.Dialect.RequestID, targethttp.Request{
		Method:  c.method,
		Head:    s.head(c, t, began),
		Body:    c.body,
		ID:      c.id,
		Careful: !c.route.Kind.Idempotent(),
	})
	took := time.Since(began)
	if err != nil {
		return s.failed(ctx, c, t, err, took)
	}
	e := ending{took: took}
	if s.cfg.Dialect.ParseLoad != nil {
		e.load, e.loadKnown = s.cfg.Dialect.ParseLoad(a.Header.Get(s.cfg.Dialect.Load))
	}
	if s.isNotRun(a) {
		c.sent++
		c.last = fmt.Sprintf("target %s did not run it: status %d", t.ID, a.Status)
		s.targets.ended(t, e)
		s.logAttempt(c, t, e, c.last)
		if c.service.Keyed {
			// Under this fence the target will not run it; others may.
			c.tried = append(c.tried, c.piece)
		}
		return nil, !c.mayRun && c.sent < max(c.route.Attempts, 2)
	}
	c.sent++
	c.mayRun = true
	if fault := s.fault(a); fault != "" {
		e.failed, e.broken = true, true
		s.targets.ended(t, e)
		c.last = fmt.Sprintf("target %s: %s", t.ID, fault)
		s.logAttempt(c, t, e, c.last)
		return nil, s.mayRepeat(c)
	}
	e.ran, e.good = true, a.Status < http.StatusMultipleChoices
	if suspected, _ := s.cfg.View.View().Suspected(c.kind); suspected && e.good {
		s.deaths.answered(c.kind)
	}
	s.targets.ended(t, e)
	if a.Status >= http.StatusInternalServerError {
		c.last = fmt.Sprintf("target %s answered with status %d", t.ID, a.Status)
		s.logAttempt(c, t, e, c.last)
	} else {
		s.logAttempt(c, t, e, "")
	}
	out := response{status: a.Status, header: passedHeaders(a.Header), body: a.Body}
	return &out, false
}

// mayRepeat reports whether a request that may have run can be sent again.
func (s *Server) mayRepeat(c *call) bool {
	return c.route.Kind.Idempotent() && c.sent < c.route.Attempts
}

// failed takes an exchange without a whole answer.
func (s *Server) failed(ctx context.Context, c *call, t deployment.Target, err error, took time.Duration) (*response, bool) {
	left := c.ctx.Err() != nil
	e := ending{
		failed: !left && !errors.Is(err, targethttp.ErrFull),
		broken: errors.Is(err, targethttp.ErrBroken) && !errors.Is(err, targethttp.ErrTimeout),
		took:   took,
	}
	s.targets.ended(t, e)
	c.last = fmt.Sprintf("target %s: %v", t.ID, err)
	if left {
		c.last = "caller left; " + c.last
	}
	s.logAttempt(c, t, e, c.last)
	if errors.Is(err, targethttp.ErrNotSent) {
		return nil, !left && len(c.tried) < max(c.route.Attempts, 3) && !c.service.Keyed
	}
	c.sent++
	c.mayRun = true
	if !left && !errors.Is(err, targethttp.ErrTimeout) {
		go s.deaths.broke(s.ctx, t, c.kind)
	}
	return nil, !left && ctx.Err() == nil && s.mayRepeat(c)
}

// isNotRun reports whether the target says that it did not run the request.
func (s *Server) isNotRun(a *targethttp.Answer) bool {
	return a.Header.Get(s.cfg.Dialect.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
}

// fault tells why an answer can't be the target's whole answer.
func (s *Server) fault(a *targethttp.Answer) string {
	switch {
	case a.Header.Get("Content-Encoding") != "":
		return "answer is encoded although nobody asked for it"
	case a.Status < http.StatusMultipleChoices && a.Header.Get(s.cfg.Dialect.Signature) == "":
		return "answer is not signed"
	}
	return ""
}

func passedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if passes(name, h) {
			out[name] = values
		}
	}
	return out
}

// head returns the request line and headers as the target gets them.
func (s *Server) head(c *call, t deployment.Target, now time.Time) []byte {
	d := s.cfg.Dialect
	out := make([]byte, 0, 512)
	out = append(out, c.method...)
	out = append(out, ' ')
	out = append(out, c.uri...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = header(out, "Host", c.host)
	for name, values := range c.header {
		if name == d.Deadline || name == d.Target || name == "Expect" || !passes(name, c.header) {
			continue
		}
		for _, v := range values {
			out = header(out, name, v)
		}
	}
	left := max(c.deadline.Sub(now)-answerMargin, time.Millisecond)
	out = header(out, d.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	out = header(out, d.Target, t.ID)
	if len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut || c.method == http.MethodPatch {
		out = header(out, "Content-Length", strconv.Itoa(len(c.body)))
	}
	return append(out, "\r\n"...)
}

func header(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
