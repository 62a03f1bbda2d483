package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// answerMargin is taken off the time that a target gets, for the way back.
	answerMargin = 10 * time.Millisecond
	// bodyGrace is for how long a body that began to come in may go on after its
	// request's deadline.
	bodyGrace = 250 * time.Millisecond
	// leastConnect and mostConnect bound the wait for a connection: several round
	// trips within a region, and half of what a caller waits before it gives up a
	// connection of its own.
	leastConnect = 250 * time.Millisecond
	mostConnect  = 500 * time.Millisecond
	// connectTries is how often a keyed request's owner is dialled. Nothing was
	// sent to it meanwhile.
	connectTries = 2
	// leastTime is the shortest time that is worth sending a request for.
	leastTime = 15 * time.Millisecond
	// ownerWait is the share of the time left for which a request waits for
	// keys that are on the move.
	ownerWait = 0.5
	// handoverWait is for how long keys on the move are waited for before their
	// old owner is asked: about two requests' work.
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
	// owner.
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
	misses   int           // connections to the key's owner that did not come about
	failure  *response     // a target's own, if no other answer comes
	mayRun   bool          // a target may have run it
	last     string        // why there is no answer yet
	expected time.Duration // at the target that was chosen last
	target   deployment.Target
	ending   ending          // of the last attempt
	sentAt   timer.Instant   // of the last attempt
	fence    uint64          // under which it owns the key
	kind     string          // fingerprint
	rangeID  string          // keys and fence under which the target was asked
	bodyCtx  context.Context // ends when the caller leaves, or a body is too late
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
	var release context.CancelFunc
	c.bodyCtx, release = context.WithDeadline(r.ctx, c.deadline.Add(bodyGrace))
	out := s.attempts(ctx, c)
	if out.rest == nil {
		release()
	} else {
		out.ended = func(err error) {
			release()
			s.passedOn(c, err)
		}
	}
	return s.finish(r, c, out)
}

// passedOn takes how an answer ended that was passed on as it came in.
func (s *Server) passedOn(c *call, err error) {
	if err == nil {
		return
	}
	s.log.Info("answer broke off while it was passed on", append(c.attemptFields(), "request_id", c.id, "caller_left", c.ctx.Err() != nil,
		"error", err)...)
	if errors.Is(err, targethttp.ErrIncompleteResponse) && c.ctx.Err() == nil {
		s.targets.brokeOff(c.target)
	}
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
	case c.failure != nil:
		return *c.failure
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
		t, after, reason := s.owner(ctx, c)
		if reason != "" {
			return fail(reason, after)
		}
		return t, nil
	}
	t, ok := s.targets.choose(choice{
		list:   s.cfg.View.View().Usable(c.service.Name),
		tried:  c.tried,
		zone:   s.cfg.AvailabilityZone,
		route:  c.route,
		spread: s.entries() > fewEntries,

		connecting: s.cfg.Pool.ExpectedConnectTime,
	})
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
