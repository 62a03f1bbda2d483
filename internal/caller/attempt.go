package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/target"
)

// answer is a complete answer of a target, received now or replayed from the booking
// log.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
	target  string
	epoch   uint64
}

// errShed reports that the target shed the request before it ran.
var errShed = errors.New("target shed the request")

// errUnreported reports that control did not accept the report of a broken
// connection in time. The request must not be sent again, since it may crash its
// targets.
var errUnreported = errors.New("broken connection not reported to control")

// maxFailedAttempts is the number of failed attempts after which a request is not sent
// again. Attempts that provably did not run do not count.
const maxFailedAttempts = 3

// send sends the request to the permit's target and returns the answer, whose body
// must be closed. On errors it ends the permit. The error is errShed if the target
// shed the request.
func (h *Handler) send(c *call, p *entry.Permit) (*http.Response, error) {
	resp, err := h.cfg.Client.Send(p.Context, c.request, p.Destination, uint64(c.permitReq.Point))
	if err != nil {
		return nil, h.endFailed(c, p, err)
	}
	if resp.Header.Get(target.HeaderOutcome) == target.OutcomeNotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxShedBodyBytes))
		_ = resp.Body.Close()
		p.End(router.ResultShed)
		return nil, errShed
	}
	return resp, nil
}

const maxShedBodyBytes = 64 << 10 // read from the answer to a shed request

// endFailed ends a permit whose attempt failed with err, and returns err. If the
// connection broke and the request may be sent again, it first reports the broken
// connection, so that a request that crashes its targets is blocked in time. If
// that fails, it joins errUnreported to err.
func (h *Handler) endFailed(c *call, p *entry.Permit, err error) error {
	switch {
	case p.Context.Err() != nil:
		p.End(router.ResultAbandoned)
	case errors.Is(err, target.ErrNotRun):
		p.End(router.ResultUnreached)
	case c.service.Kind == config.Booking:
		// The booking is not sent again, so its caller need not wait for the report.
		go h.cfg.Entry.ReportBroken(p.Destination.Target.Owner(), c.permitReq.Fingerprint)
		p.End(router.ResultBroken)
	default:
		mayRetry := h.cfg.Entry.ReportBroken(p.Destination.Target.Owner(), c.permitReq.Fingerprint)
		p.End(router.ResultBroken)
		if !mayRetry {
			return errors.Join(errUnreported, err)
		}
	}
	return err
}

// receive reads the complete answer, of at most limit bytes, and ends the permit.
func (h *Handler) receive(c *call, p *entry.Permit, resp *http.Response, limit int64) (*answer, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLarge
		p.End(router.ResultAnswered)
		return nil, errors.Join(target.ErrUncertain, err)
	}
	if err != nil {
		return nil, h.endFailed(c, p, errors.Join(target.ErrUncertain, err))
	}
	p.End(resultOf(resp.StatusCode))
	h.cfg.Entry.ReportAnswered(c.permitReq.Fingerprint)
	return &answer{
		status:  resp.StatusCode,
		header:  answerHeader(resp.Header),
		body:    body,
		trailer: resp.Trailer,
		target:  p.Destination.Target.Name,
		epoch:   p.Destination.Epoch,
	}, nil
}

var errTooLarge = errors.New("answer is larger than allowed")

func resultOf(status int) router.AttemptResult {
	if status >= http.StatusInternalServerError {
		return router.ResultFailed
	}
	return router.ResultAnswered
}

// answerHeader returns the headers of an answer that are passed to the caller.
func answerHeader(in http.Header) http.Header {
	out := forwardedHeaders(in)
	out.Del("Content-Length")
	return out
}

// writeAnswer writes a complete answer to the caller.
func (h *Handler) writeAnswer(w http.ResponseWriter, c *call, a *answer) {
	copyHeader(w.Header(), a.header)
	w.Header().Set(target.HeaderOutcome, string(Done))
	if len(a.trailer) == 0 {
		setContentLength(w, c, a)
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
	for name, values := range a.trailer {
		if !strings.HasPrefix(name, target.HeaderPrefix) {
			w.Header()[http.TrailerPrefix+name] = values
		}
	}
	h.observe(c, Done, a.status < http.StatusInternalServerError)
	h.cfg.Log.Debug("request answered", "request_id", c.id, "service", c.service.Name,
		"target", a.target, "epoch", a.epoch, "outcome", Done, "status", a.status)
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

// prepareRetry prepares another attempt after one that failed at the target, and
// reports whether it may be made. A nil err means that the target answered with a
// server error. Attempts that provably did not run are not counted.
func (c *call) prepareRetry(ctx context.Context, err error, targetName string) bool {
	c.permitReq.Retry = true
	c.permitReq.FailedTarget = targetName
	c.permitReq.NotRun = notRun(err)
	if !c.permitReq.NotRun {
		c.failedAttempts++
	}
	return c.failedAttempts < maxFailedAttempts && ctx.Err() == nil && !errors.Is(err, errUnreported)
}
