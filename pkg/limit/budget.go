// Package limit limits the load that a sender puts on servers and links: retry
// budgets, concurrency limits and shared links. Budgets and limiters are immutable.
package limit

// Budget is a token bucket that limits retries to a share of the requests. The zero
// value allows no retries.
type Budget struct {
	ratio     float64 // retries added by each request
	burst     float64 // maximum of available retries
	available float64
}

// NewBudget returns a full budget that gains ratio retries for each request, up to
// burst. A budget with ratio 0 allows no retries.
func NewBudget(ratio, burst float64) Budget {
	if ratio == 0 {
		burst = 0
	}
	return Budget{ratio: ratio, burst: burst, available: burst}
}

// Available returns the number of retries that the budget allows now.
func (b Budget) Available() float64 { return b.available }

// WithBurst returns the budget with another maximum of available retries. A higher one
// is filled by requests only.
func (b Budget) WithBurst(burst float64) Budget {
	if b.ratio > 0 {
		b.burst, b.available = burst, min(b.available, burst)
	}
	return b
}

// WithRequest returns the budget after the first attempt of a request.
func (b Budget) WithRequest() Budget {
	b.available = min(b.available+b.ratio, b.burst)
	return b
}

// WithRetry returns the budget after a retry and true, or the same budget and false
// if it allows none.
func (b Budget) WithRetry() (Budget, bool) {
	if b.available < 1 {
		return b, false
	}
	b.available--
	return b, true
}
