package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/target"
)

const (
	copyBytes    = 64 << 10        // read from a download at a time
	stallTimeout = 2 * time.Second // without a byte, after which a download counts as broken
)

// transfer is a download under way.
type transfer struct {
	handler *Handler
	call    *call
	w       http.ResponseWriter
	sent    int64  // bytes of the body that the caller has
	total   int64  // length of the whole body, or -1
	etag    string // strong validator, or ""
	started bool   // the caller has the header
}

// download passes an answer on as it comes. Where it breaks, the rest is
// fetched from another target of the service; where that can't be done, the
// caller's connection is broken, so that a part never looks whole.
func (h *Handler) download(ctx context.Context, w http.ResponseWriter, c *call) {
	t := &transfer{handler: h, call: c, w: w}
	ran := false
	for {
		ticket, refusal := h.cfg.Entry.Acquire(ctx, c.want)
		if refusal == nil {
			err := t.attempt(ticket)
			if err == nil {
				return
			}
			ran = ran || !notRun(err)
			refusal = &entry.Rejection{Reason: reasonNoAnswer, RetryAfter: spreadReturn()}
			if c.again(ctx, err, ticket.Route.Target.Name) && t.resumable(err) {
				continue
			}
		}
		t.giveUp(ran, *refusal)
		return
	}
}

// giveUp ends a download that can't be completed.
func (t *transfer) giveUp(ran bool, r entry.Rejection) {
	if !t.started {
		t.handler.giveUp(t.w, t.call, nil, ran, r)
		return
	}
	t.handler.observe(t.call, Unknown, false)
	t.handler.cfg.Log.Warn("download broken off", "request_id", t.call.id, "service", t.call.service.Name,
		"outcome", Unknown, "reason", r.Reason, "sent_bytes", t.sent, "total_bytes", t.total)
	panic(http.ErrAbortHandler)
}

// errNotSame reports that the rest of a download is not on offer.
var errNotSame = errors.New("the rest of the download can't be had")

// resumable reports whether the rest may be asked for elsewhere.
func (t *transfer) resumable(err error) bool {
	if errors.Is(err, errCaller) {
		return false
	}
	return !t.started || (t.etag != "" && t.total >= 0)
}

func (t *transfer) attempt(ticket *entry.Permit) error {
	if t.started {
		t.call.request.Header.Set("Range", fmt.Sprintf("bytes=%d-", t.sent))
		t.call.request.Header.Set("If-Range", t.etag)
	}
	resp, err := t.handler.send(t.call, ticket)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := t.begin(resp); err != nil {
		ticket.End(router.ResultFailed)
		return err
	}
	if err := t.copyBody(ticket, resp.Body); err != nil {
		return t.broken(ticket, err)
	}
	ticket.End(resultOf(resp.StatusCode))
	t.handler.cfg.Entry.ReportAnswered(t.call.want.Fingerprint)
	t.finish(ticket, resp)
	return nil
}

func (t *transfer) broken(ticket *entry.Permit, err error) error {
	err = errors.Join(target.ErrUncertain, err)
	if errors.Is(err, errCaller) {
		ticket.End(router.ResultAbandoned)
		return err
	}
	return t.handler.endFailed(t.call, ticket, err)
}

// begin passes the header on, or checks that a continuation fits.
func (t *transfer) begin(resp *http.Response) error {
	if t.started {
		return t.checkContinuation(resp)
	}
	t.started = true
	t.total = resp.ContentLength
	if etag := resp.Header.Get("ETag"); !strings.HasPrefix(etag, "W/") && resp.StatusCode == http.StatusOK {
		t.etag = etag
	}
	copyHeader(t.w.Header(), answerHeader(resp.Header))
	t.w.Header().Set(target.HeaderOutcome, string(Done))
	if t.total >= 0 {
		t.w.Header().Set("Content-Length", strconv.FormatInt(t.total, 10))
	}
	t.w.WriteHeader(resp.StatusCode)
	return nil
}

func (t *transfer) checkContinuation(resp *http.Response) error {
	want := fmt.Sprintf("bytes %d-%d/%d", t.sent, t.total-1, t.total)
	got := resp.Header.Get("Content-Range")
	if resp.StatusCode != http.StatusPartialContent || got != want || resp.Header.Get("ETag") != t.etag {
		return fmt.Errorf("%w: status %d, range %q instead of %q", errNotSame, resp.StatusCode, got, want)
	}
	return nil
}

// errCaller reports that the caller took no more of the answer.
var errCaller = errors.New("caller is gone")

// copyBody passes the body on and gives up on one that stalls.
func (t *transfer) copyBody(ticket *entry.Permit, body io.ReadCloser) error {
	stall := time.AfterFunc(stallTimeout, func() { _ = body.Close() })
	defer stall.Stop()
	buf := make([]byte, copyBytes)
	for {
		n, err := body.Read(buf)
		stall.Reset(stallTimeout)
		if n > 0 {
			if _, werr := t.w.Write(buf[:n]); werr != nil {
				return errors.Join(errCaller, werr)
			}
			t.sent += int64(n)
			_ = http.NewResponseController(t.w).Flush()
		}
		if errors.Is(err, io.EOF) {
			return t.checkLength(ticket)
		}
		if err != nil {
			return err
		}
	}
}

func (t *transfer) checkLength(ticket *entry.Permit) error {
	if t.total >= 0 && t.sent != t.total && t.call.request.Method != http.MethodHead {
		return fmt.Errorf("target %s sent %d of %d bytes: %w", ticket.Route.Target.Name, t.sent, t.total, io.ErrUnexpectedEOF)
	}
	return nil
}

func (t *transfer) finish(ticket *entry.Permit, resp *http.Response) {
	for name, values := range resp.Trailer {
		if !strings.HasPrefix(name, target.HeaderPrefix) {
			t.w.Header()[http.TrailerPrefix+name] = values
		}
	}
	t.handler.observe(t.call, Done, resp.StatusCode < http.StatusInternalServerError)
	t.handler.cfg.Log.Debug("download answered", "request_id", t.call.id, "service", t.call.service.Name,
		"target", ticket.Route.Target.Name, "outcome", Done, "bytes", t.sent)
}
