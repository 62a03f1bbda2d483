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
	copyBufferBytes = 64 << 10
	stallTimeout    = 2 * time.Second // longest time for one read of the target's answer
)

// transfer is a download in progress.
type transfer struct {
	handler    *Handler
	call       *call
	w          http.ResponseWriter
	sent       int64  // bytes of the body that were written to the caller
	total      int64  // length of the whole body, or -1
	etag       string // strong validator, or ""
	headerSent bool   // the header was written to the caller
}

// download streams an answer to the caller. If the target fails, download requests
// the rest, preferably from another target of the service. If that is impossible, it
// aborts the caller's connection, so that an incomplete download does not look complete.
func (h *Handler) download(ctx context.Context, w http.ResponseWriter, c *call) {
	t := &transfer{handler: h, call: c, w: w}
	mayHaveRun := false
	for {
		permit, rejection := h.cfg.Entry.Acquire(ctx, c.permitReq)
		if rejection == nil {
			err := t.attempt(permit)
			if err == nil {
				return
			}
			mayHaveRun = mayHaveRun || !notRun(err)
			rejection = &entry.Rejection{Reason: reasonNoAnswer, RetryAfter: randomRetryAfter()}
			if c.prepareRetry(ctx, err, permit.Destination.Target.Name) && t.resumable(err) {
				continue
			}
		}
		t.giveUp(mayHaveRun, *rejection)
		return
	}
}

// giveUp ends a download that can't be completed.
func (t *transfer) giveUp(mayHaveRun bool, rejection entry.Rejection) {
	if !t.headerSent {
		t.handler.giveUp(t.w, t.call, nil, mayHaveRun, rejection)
		return
	}
	t.handler.observe(t.call, Unknown, false)
	t.handler.cfg.Log.Warn("download aborted", "request_id", t.call.id, "service", t.call.service.Name,
		"outcome", Unknown, "reason", rejection.Reason, "sent_bytes", t.sent, "total_bytes", t.total)
	panic(http.ErrAbortHandler)
}

// errRangeMismatch reports that a target's answer is not the requested rest of the
// download.
var errRangeMismatch = errors.New("target did not send the rest of the download")

// resumable reports whether the download, or the rest of it once it has started, may
// be requested again after err.
func (t *transfer) resumable(err error) bool {
	if errors.Is(err, errCallerDisconnected) {
		return false
	}
	return !t.headerSent || (t.etag != "" && t.total >= 0)
}

// attempt requests the download, or the rest of it, from the permit's target and
// copies it to the caller.
func (t *transfer) attempt(permit *entry.Permit) error {
	if t.headerSent {
		t.call.request.Header.Set("Range", fmt.Sprintf("bytes=%d-", t.sent))
		t.call.request.Header.Set("If-Range", t.etag)
	}
	resp, err := t.handler.send(t.call, permit)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := t.handleHeader(resp); err != nil {
		permit.End(router.ResultFailed)
		return err
	}
	if err := t.copyBody(permit, resp.Body); err != nil {
		return t.endBroken(permit, err)
	}
	permit.End(resultOf(resp.StatusCode))
	t.handler.cfg.Entry.ReportAnswered(t.call.permitReq.Fingerprint)
	t.finish(permit, resp)
	return nil
}

// endBroken ends the permit after the body was not copied completely.
func (t *transfer) endBroken(permit *entry.Permit, err error) error {
	err = errors.Join(target.ErrUncertain, err)
	if errors.Is(err, errCallerDisconnected) {
		permit.End(router.ResultAbandoned)
		return err
	}
	return t.handler.endFailed(t.call, permit, err)
}

// handleHeader writes the header of the first answer to the caller, and checks that
// a later answer is the rest of the same download.
func (t *transfer) handleHeader(resp *http.Response) error {
	if t.headerSent {
		return t.checkContinuation(resp)
	}
	t.headerSent = true
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
		return fmt.Errorf("%w: status %d, range %q instead of %q", errRangeMismatch, resp.StatusCode, got, want)
	}
	return nil
}

// errCallerDisconnected reports that writing to the caller failed.
var errCallerDisconnected = errors.New("caller disconnected")

// copyBody copies the body to the caller. It closes the body, and so fails, if a read
// takes longer than stallTimeout.
func (t *transfer) copyBody(permit *entry.Permit, body io.ReadCloser) error {
	stall := time.AfterFunc(stallTimeout, func() { _ = body.Close() })
	defer stall.Stop()
	buf := make([]byte, copyBufferBytes)
	for {
		stall.Reset(stallTimeout)
		n, err := body.Read(buf)
		stall.Stop() // a slow caller is not the target's fault
		if n > 0 {
			if _, writeErr := t.w.Write(buf[:n]); writeErr != nil {
				return errors.Join(errCallerDisconnected, writeErr)
			}
			t.sent += int64(n)
			_ = http.NewResponseController(t.w).Flush()
		}
		if errors.Is(err, io.EOF) {
			return t.checkLength(permit)
		}
		if err != nil {
			return err
		}
	}
}

func (t *transfer) checkLength(permit *entry.Permit) error {
	if t.total >= 0 && t.sent != t.total && t.call.request.Method != http.MethodHead {
		return fmt.Errorf("target %s sent %d of %d bytes: %w", permit.Destination.Target.Name, t.sent, t.total, io.ErrUnexpectedEOF)
	}
	return nil
}

func (t *transfer) finish(permit *entry.Permit, resp *http.Response) {
	for name, values := range resp.Trailer {
		if !strings.HasPrefix(name, target.HeaderPrefix) {
			t.w.Header()[http.TrailerPrefix+name] = values
		}
	}
	t.handler.observe(t.call, Done, resp.StatusCode < http.StatusInternalServerError)
	t.handler.cfg.Log.Debug("download completed", "request_id", t.call.id, "service", t.call.service.Name,
		"target", permit.Destination.Target.Name, "outcome", Done, "bytes", t.sent)
}
