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

// answer is a target's whole answer.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
	target  string
	epoch   uint64
}

// errShed reports that the target said that the request did not run.
var errShed = errors.New("target turned the request down")

// errUnreported reports a broken connection that control does not know of: the
// request may be one that kills its targets and must not be sent again.
var errUnreported = errors.New("broken connection could not be reported")

// maxAttempts bounds how often one request goes to targets.
const maxAttempts = 3

// send sends the request along the ticket's route and returns the response,
// whose body is open. It ends the ticket on errors.
func (h *Handler) send(c *call, t *entry.Permit) (*http.Response, error) {
	resp, err := h.cfg.Client.Send(t.Context, c.request, t.Route, uint64(c.want.Point))
	if err != nil {
		return nil, h.endFailed(c, t, err)
	}
	if resp.Header.Get(target.HeaderOutcome) == target.OutcomeNotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxShedBody))
		_ = resp.Body.Close()
		t.End(router.ResultShed)
		return nil, errShed
	}
	return resp, nil
}

const maxShedBody = 64 << 10 // bytes of a refusal that are read

// endFailed gives a ticket back after an error. The broken connection of a
// request that may be sent again is reported first, so that one that kills its
// targets is found out in time.
func (h *Handler) endFailed(c *call, t *entry.Permit, err error) error {
	switch {
	case t.Context.Err() != nil:
		t.End(router.ResultAbandoned)
	case errors.Is(err, target.ErrNotRun):
		t.End(router.ResultUnreached)
	case c.service.Kind == config.Booking:
		// It is never sent again, so that its caller need not wait.
		go h.cfg.Entry.ReportBroken(t.Route.Target.Owner(), c.want.Fingerprint)
		t.End(router.ResultBroken)
	default:
		known := h.cfg.Entry.ReportBroken(t.Route.Target.Owner(), c.want.Fingerprint)
		t.End(router.ResultBroken)
		if !known {
			return errors.Join(errUnreported, err)
		}
	}
	return err
}

// receive reads a whole answer and ends the ticket.
func (h *Handler) receive(c *call, t *entry.Permit, resp *http.Response, limit int64) (*answer, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLarge
		t.End(router.ResultAnswered)
		return nil, errors.Join(target.ErrUncertain, err)
	}
	if err != nil {
		return nil, h.endFailed(c, t, errors.Join(target.ErrUncertain, err))
	}
	t.End(resultOf(resp.StatusCode))
	h.cfg.Entry.ReportAnswered(c.want.Fingerprint)
	return &answer{
		status:  resp.StatusCode,
		header:  answerHeader(resp.Header),
		body:    body,
		trailer: resp.Trailer,
		target:  t.Route.Target.Name,
		epoch:   t.Route.Epoch,
	}, nil
}

var errTooLarge = errors.New("answer is larger than allowed")

func resultOf(status int) router.Result {
	if status >= http.StatusInternalServerError {
		return router.ResultFailed
	}
	return router.ResultAnswered
}

// answerHeader returns the headers of an answer that go on to the caller.
func answerHeader(in http.Header) http.Header {
	out := forwarded(in)
	out.Del("Content-Length")
	return out
}

// write gives the caller a whole answer.
func (h *Handler) write(w http.ResponseWriter, c *call, a *answer) {
	copyHeader(w.Header(), a.header)
	w.Header().Set(target.HeaderOutcome, string(Done))
	if len(a.trailer) == 0 {
		setLength(w, c, a)
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

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// again reports whether another attempt may be asked for after one that failed
// at the target, and prepares it. A request that is proved not to have run waits
// for a target again; other failures are counted.
func (c *call) again(ctx context.Context, err error, target string) bool {
	c.want.Retry = true
	c.want.FailedTarget = target
	c.want.NotRun = notRun(err)
	if !c.want.NotRun {
		c.failed++
	}
	return c.failed < maxAttempts && ctx.Err() == nil && !errors.Is(err, errUnreported)
}
