package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/dispatch"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// responseMargin is subtracted from the time that a target gets, so that the
	// response reaches the caller in time.
	responseMargin = 10 * time.Millisecond
	// bodyGrace is how long an answer's body that has begun to arrive may continue
	// after its request's deadline.
	bodyGrace = 250 * time.Millisecond
	// minConnectTimeout and maxConnectTimeout bound the time for connecting to a
	// target: several round trips within a region, and half of a caller's own
	// connect timeout.
	minConnectTimeout = 250 * time.Millisecond
	maxConnectTimeout = 500 * time.Millisecond
	// maxConnectAttempts is how often the owner of a request's key is dialled. A
	// retry is safe, since a request is sent only on an open connection.
	maxConnectAttempts = 2
	// minTimeLeft is the least remaining time for which a request is still sent to
	// a target.
	minTimeLeft = 15 * time.Millisecond
	// ownerWaitShare is the share of the remaining time for which a request waits
	// for a key that is moving to another target.
	ownerWaitShare = 0.5
	// oldOwnerDelay is how long a request waits for a moving key before it goes to
	// the old owner: about the service time of two requests.
	oldOwnerDelay = 150 * time.Millisecond
	// ownerRetryDelay is the time after which an owner that does not hold the key yet
	// is asked again, if it learns of its keys at its heartbeats. It was sent the key at
	// the same time as this entry learned of its owner.
	ownerRetryDelay = 60 * time.Millisecond
	// defaultRetryAfter is the time after which a caller may try again, without a
	// better estimate.
	defaultRetryAfter = 150 * time.Millisecond
	// connectionShare is the share of a target's connections that all entries
	// together may open. The rest is a reserve, since entries don't see each other's
	// connections.
	connectionShare = 0.8
	minConns        = 2
	// suspectRetryAfter is the time after which a caller may send a request of a
	// blocked kind again.
	suspectRetryAfter = time.Minute
	// overloadRetryAfter is the time after which a caller may retry a request for
	// an overloaded key.
	overloadRetryAfter = 300 * time.Millisecond
)

// errorResponse returns a response with a JSON body that gives the reason.
func errorResponse(status int, reason string) response {
	body := []byte(fmt.Sprintf("{\"error\":%q}\n", reason))
	return response{status: status, header: http.Header{"Content-Type": {"application/json"}}, body: body}
}

// unavailableResponse returns status 503 for a request that has not run, with the
// time after which the caller may try again.
func unavailableResponse(reason string, retryAfter time.Duration) response {
	r := errorResponse(http.StatusServiceUnavailable, reason)
	// The random part spreads out the retries of callers rejected together.
	retryAfter += time.Duration(rand.Float64() * 0.5 * float64(retryAfter))
	r.header["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	return r
}

// unavailableHere returns unavailableResponse for a request that another entry may serve.
func unavailableHere(reason string, retryAfter time.Duration) response {
	r := unavailableResponse(reason, retryAfter)
	r.otherMayServe = true
	return r
}

// call is the state of one request while it is forwarded.
type call struct {
	*request
	route          *deployment.Route
	configIndex    uint64 // log index that accepted the configuration by which it is routed
	admittedConfig uint64 // version of the configuration that admitted it
	sentConfig     uint64 // version of the configuration in the view at the last attempt
	service        deployment.Service
	id             string
	deadline       time.Time
	key            deployment.Key
	excluded       []string      // IDs of targets, or range IDs for a keyed service, that it is not sent to again
	sent           int           // number of times the request was sent
	relayedTo      string        // address of the entry to which it was passed on last
	relayTried     bool          // no other entry could take it
	ownerUnreached bool          // only other entries reach the key's owner
	counted        bool          // it counts as a request that this entry sends to targets
	credited       bool          // it has earned its part of the retry budget
	notCharged     bool          // the next attempt replaces one that was charged to the retry budget and not sent
	failedConnects int           // failed connections to the key's owner
	errorAnswer    *response     // a target's error answer, returned if no retry brings a better one
	mayHaveRun     bool          // a target may have run it
	reason         string        // why there is no answer yet
	expected       time.Duration // expected time until the answer of the target that was chosen last
	target         deployment.Target
	granted        bool            // the dispatcher of the target granted the next attempt
	admittedBy     string          // ID of the target whose rate limit counts the next attempt already
	result         attemptResult   // of the last attempt
	sentAt         timer.Instant   // of the last attempt
	fence          uint64          // under which target owns the key
	fingerprint    string          // of the kind of request
	rangeID        string          // target and fence of the key's range
	ownerRetryAt   time.Time       // earliest next attempt at the owner under rangeID
	bodyTime       time.Duration   // of the last attempt, that its body takes on this entry's link
	sentAfter      time.Duration   // from the request's first byte until the last attempt was sent
	sentViewAge    time.Duration   // of the view, when the last attempt was sent
	sentAdviceAge  time.Duration   // of the leader's advice, when the last attempt was sent
	bodyCtx        context.Context // ends when the caller disconnects, and bodyGrace after the deadline

	dispatchState
}

// handle returns the final response to a request.
func (s *Server) handle(r *request) response {
	c, rejection := s.admit(r)
	if rejection != nil {
		return s.finish(r, c, *rejection)
	}
	s.countDemand(c)
	ctx, cancel := context.WithDeadline(s.ctx, c.deadline)
	defer cancel()
	if c.route.Kind.Idempotent() {
		// When the caller disconnects, cancel the request. One that isn't idempotent
		// runs to its end.
		defer context.AfterFunc(r.ctx, cancel)()
	}
	var cancelBody context.CancelFunc
	c.bodyCtx, cancelBody = context.WithDeadline(r.ctx, c.deadline.Add(bodyGrace))
	out := s.sendWithRetries(ctx, c)
	if c.errorAnswer != nil && c.errorAnswer.answer != out.answer {
		c.errorAnswer.free()
	}
	if out.stream == nil {
		cancelBody()
	} else {
		out.onWritten = func(err error) {
			cancelBody()
			s.logStreamEnd(c, err)
		}
	}
	return s.finish(r, c, out)
}

// logStreamEnd logs a response that broke off while its body was streamed to the caller.
func (s *Server) logStreamEnd(c *call, err error) {
	if err != nil {
		s.log.Info("response broke off while streamed to the caller", append(c.attemptFields(), "request_id", c.id, "caller_left", c.ctx.Err() != nil && s.ctx.Err() == nil,
			"error", err)...)
	}
}

func (s *Server) finish(r *request, c *call, out response) response {
	if _, ok := out.header[s.cfg.Headers.RequestID]; !ok && out.header != nil {
		if id := r.header.Get(s.cfg.Headers.RequestID); id != "" {
			out.header[s.cfg.Headers.RequestID] = []string{id}
		}
	}
	out.isHead = r.method == http.MethodHead
	out.closeConn = out.closeConn || r.closeConn
	s.countAnswered(c, out)
	if r.relayed {
		out = s.finishRelayed(c, out)
	}
	took := time.Since(r.start)
	service := ""
	if c != nil {
		service = c.service.Name
	}
	s.cfg.Observer.Responded(service, outcomeOf(out, c), out.status, took)
	s.logResponse(r, c, out, took)
	return out
}

// sendWithRetries sends the request to targets until one answers, or no further
// attempt is allowed or likely to help.
func (s *Server) sendWithRetries(ctx context.Context, c *call) response {
	// Gives back a slot that was not used, for example because the retry budget is exhausted.
	defer func() { s.releaseSlot(c, dispatch.NotSent, attemptResult{}) }()
	for {
		if out := s.reroute(ctx, c); out != nil {
			return *out
		}
		if s.mustRelay(c) {
			if out := s.relay(ctx, c); out != nil {
				return *out
			}
			c.relayTried = true
			if !c.mayHaveRun && s.behindPeers() {
				return unavailableHere("the newer configuration has not arrived yet", configRetryAfter)
			}
		}
		t, rejection := s.chooseTarget(ctx, c)
		if rejection != nil {
			if s.mustRelay(c) {
				continue // only once, because of relayTried
			}
			if !c.relayed || !c.ownerUnreached {
				s.count(c)
			}
			return *rejection
		}
		if c.relayTried || !s.targets.onlyOthersReach(t) {
			s.count(c)
		}
		if c.sent > 0 && !c.notCharged && !s.chargeRetryBudget(c.service.Name) {
			c.reason += "; retry budget exhausted"
			return s.finalResponse(ctx, c)
		}
		c.notCharged = false
		out, retry := s.attempt(ctx, c, t)
		if out != nil {
			return *out
		}
		if !retry {
			return s.finalResponse(ctx, c)
		}
	}
}

// finalResponse returns the final response after the last attempt failed.
func (s *Server) finalResponse(ctx context.Context, c *call) response {
	switch {
	case c.errorAnswer != nil:
		return *c.errorAnswer
	case !c.mayHaveRun:
		return unavailableResponse(c.reason, defaultRetryAfter)
	case ctx.Err() != nil:
		return errorResponse(http.StatusGatewayTimeout, c.reason)
	default:
		return errorResponse(http.StatusBadGateway, c.reason)
	}
}

// maxLateShare is how late an answer may be expected, as a share of the time between
// the route's objective and its timeout. A longer queue would not get more requests
// served: it would make all of them late.
const maxLateShare = 0.25

// shortageShare is the part of the objective that a request may be expected to take while its
// service is short of slots. Work takes up to several times its mean, so that most of the
// requests that are expected to take longer would be late, and delay all others.
const shortageShare = 0.5

// maxExpected returns the longest time that a target may be expected to take. Above
// it the request is rejected.
func (s *Server) maxExpected(c *call) time.Duration {
	return min(maxExpected(*c.route, s.targets.short(c.service.Name), c.service.Keyed), time.Until(c.deadline))
}

// maxExpected returns the longest expected time of a request whose caller has just sent it.
func maxExpected(r deployment.Route, short, keyed bool) time.Duration {
	switch {
	case short && keyed:
		// The average says little about a key's owner: others may be short, and not this one.
		return r.Objective
	case short:
		return time.Duration(shortageShare * float64(r.Objective))
	}
	longest := max(r.Objective, 0)
	if late := r.Timeout - longest; late > 0 {
		longest += time.Duration(maxLateShare * float64(late))
	}
	return longest
}

// chooseTarget returns the target to send the request to, or a rejection.
func (s *Server) chooseTarget(ctx context.Context, c *call) (deployment.Target, *response) {
	reject := func(reason string, retryAfter time.Duration) (deployment.Target, *response) {
		s.rejections.add(c.service.Name, reason)
		if c.reason != "" {
			reason = c.reason + "; " + reason
		}
		c.reason = reason
		out := s.finalResponse(ctx, c)
		if !c.mayHaveRun {
			out = unavailableResponse(reason, retryAfter)
			if c.exactRetryAfter {
				out = rejectedResponse(reason, retryAfter)
			}
		}
		return deployment.Target{}, &out
	}
	remaining := time.Until(c.deadline)
	if remaining < minTimeLeft || ctx.Err() != nil {
		return reject("too little time is left before the deadline", defaultRetryAfter)
	}
	if !s.targetsInForce() {
		_, out := reject(errTargetsUnknown.Error(), targetsRetryAfter)
		out.otherMayServe = !c.mayHaveRun
		return deployment.Target{}, out
	}
	find := s.findUnkeyed
	if c.service.Keyed {
		find = s.findOwner
	}
	t, retryAfter, reason := find(ctx, c)
	switch {
	case reason != "":
		return reject(reason, retryAfter)
	case s.outlastsShutdown(c, t):
		_, out := reject(errOutlastsShutdown.Error(), defaultRetryAfter)
		out.closeConn, out.otherMayServe = true, !c.mayHaveRun
		return t, out
	}
	return t, nil
}

// findUnkeyed returns a target of a service without keys, from its dispatcher where the
// configuration calls for that. If there is none, it returns why, and when the caller may try
// again.
func (s *Server) findUnkeyed(ctx context.Context, c *call) (deployment.Target, time.Duration, string) {
	if s.dispatching() {
		return s.acquireUnkeyed(ctx, c)
	}
	return s.chooseUnkeyed(c, s.cfg.View.View().Usable(c.service.Name))
}

// chooseUnkeyed chooses one of the candidates for a request to a service without keys. If
// there is none, it returns why, and when the caller may try again.
func (s *Server) chooseUnkeyed(c *call, candidates []deployment.Target) (deployment.Target, time.Duration, string) {
	candidates = s.serving(candidates)
	t, ok := s.targets.choose(choice{
		candidates: candidates,
		excluded:   c.excluded,
		zone:       s.cfg.AvailabilityZone,
		route:      c.route,
		sampled:    s.entryCount() > maxEntriesWithinQueue,

		connectTime: s.cfg.Pool.ExpectedConnectTime,
	})
	if !ok {
		if retryAfter, limited := s.targets.rejectLimited(candidates, c.excluded); limited {
			return t, retryAfter, errRateLimit.Error()
		}
		if retryAfter, cold := s.targets.untilWarm(candidates, c.excluded); cold {
			return t, retryAfter, errTargetsCold.Error()
		}
		return t, defaultRetryAfter, "no target of the service is available"
	}
	expected, _ := s.targets.expected(t)
	expected += s.bodyTime(c)
	c.target, c.expected = t, expected
	if expected > s.maxExpected(c) {
		return t, expected / 2, "the chosen target would take too long"
	}
	if retryAfter, ok := s.targets.admit(t); !ok {
		return t, retryAfter, errRateLimit.Error()
	}
	return t, 0, ""
}
