package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/cranberrywind/cranberrywind/internal/entry"
	"github.com/cranberrywind/cranberrywind/internal/router"
	"github.com/cranberrywind/cranberrywind/internal/target"
)

// reasonNoAnswer says that all attempts failed.
const reasonNoAnswer router.Reason = "no_answer"

// maxLookupAnswerBytes is the size of the largest answer to a lookup. Answers to
// lookups are read completely before the caller gets the first byte.
const maxLookupAnswerBytes = 8 << 20

// lookup serves an idempotent request. It retries failed attempts while the service's
// retry budget allows it, up to maxFailedAttempts.
func (h *Handler) lookup(ctx context.Context, w http.ResponseWriter, c *call) {
	mayHaveRun := false // some attempt may have run
	var last *answer
	for {
		permit, rejection := h.cfg.Entry.Acquire(ctx, c.permitReq)
		if rejection != nil {
			h.giveUp(w, c, last, mayHaveRun, *rejection)
			return
		}
		a, err := h.tryLookup(c, permit)
		mayHaveRun = mayHaveRun || !notRun(err)
		if err == nil && a.status < http.StatusInternalServerError {
			h.writeAnswer(w, c, a)
			return
		}
		if err == nil {
			last = a
		}
		if !c.prepareRetry(ctx, err, permit.Destination.Target.Name) {
			h.giveUp(w, c, last, mayHaveRun, entry.Rejection{Reason: reasonNoAnswer, RetryAfter: randomRetryAfter()})
			return
		}
	}
}

// notRun reports whether the error proves that the attempt did not run.
func notRun(err error) bool {
	return errors.Is(err, target.ErrNotRun) || errors.Is(err, errShed)
}

func (h *Handler) tryLookup(c *call, p *entry.Permit) (*answer, error) {
	resp, err := h.send(c, p)
	if err != nil {
		return nil, err
	}
	return h.receive(c, p, resp, maxLookupAnswerBytes)
}

// giveUp writes the last answer of a target, or an error response if there is none.
func (h *Handler) giveUp(w http.ResponseWriter, c *call, last *answer, mayHaveRun bool, rejection entry.Rejection) {
	switch {
	case last != nil:
		h.writeAnswer(w, c, last)
	case mayHaveRun:
		h.writeError(w, c, unknownOutcome(http.StatusGatewayTimeout, string(rejection.Reason), rejection.RetryAfter))
	default:
		h.writeError(w, c, rejected(rejection))
	}
}

// setContentLength sets the Content-Length header, except for answers that have no
// body by definition. There it would state the length of the body that was left out,
// which only the target knows.
func setContentLength(w http.ResponseWriter, c *call, a *answer) {
	noBody := c.request.Method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified
	if !noBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
}
