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

// reasonNoAnswer says that attempts failed and no more are made.
const reasonNoAnswer router.Reason = "no_answer"

// maxLookupAnswer is the largest answer to a lookup, which is kept whole before
// the caller gets its first byte.
const maxLookupAnswer = 8 << 20 // bytes

// lookup sends an idempotent request, again where an attempt failed and the
// service's retry budget allows it.
func (h *Handler) lookup(ctx context.Context, w http.ResponseWriter, c *call) {
	ran := false // an attempt may have run
	var last *answer
	for {
		ticket, refusal := h.cfg.Entry.Acquire(ctx, c.want)
		if refusal != nil {
			h.giveUp(w, c, last, ran, *refusal)
			return
		}
		a, err := h.tryLookup(c, ticket)
		ran = ran || !notRun(err)
		if err == nil && a.status < http.StatusInternalServerError {
			h.write(w, c, a)
			return
		}
		if err == nil {
			last = a
		}
		if !c.again(ctx, err, ticket.Route.Target.Name) {
			h.giveUp(w, c, last, ran, entry.Rejection{Reason: reasonNoAnswer, RetryAfter: spreadReturn()})
			return
		}
	}
}

// notRun reports whether the error proves that the attempt did not run.
func notRun(err error) bool {
	return errors.Is(err, target.ErrNotRun) || errors.Is(err, errShed)
}

func (h *Handler) tryLookup(c *call, t *entry.Permit) (*answer, error) {
	resp, err := h.send(c, t)
	if err != nil {
		return nil, err
	}
	return h.receive(c, t, resp, maxLookupAnswer)
}

// giveUp answers with the last answer of a target, if there is one.
func (h *Handler) giveUp(w http.ResponseWriter, c *call, last *answer, ran bool, r entry.Rejection) {
	switch {
	case last != nil:
		h.write(w, c, last)
	case ran:
		h.fail(w, c, unknown(http.StatusGatewayTimeout, string(r.Reason), r.RetryAfter))
	default:
		h.fail(w, c, refused(r))
	}
}

// setLength says how long the answer is, unless the target's answer has no body
// by its nature, whose length only the target knows.
func setLength(w http.ResponseWriter, c *call, a *answer) {
	bodiless := c.request.Method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified
	if !bodiless {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
}
