// Package limit bounds what a sender does to the servers behind it: retry
// budgets and concurrency limits. Its values are immutable.
package limit

// Budget allows retries up to a share of the requests seen. The zero value
// allows none.
type Budget struct {
	ratio float64 // retries earned by each request
	burst float64 // most retries saved up
	saved float64
}

// NewBudget returns a budget that earns ratio retries for each request and
// saves up at most burst of them. It begins full.
func NewBudget(ratio, burst float64) Budget {
	if ratio == 0 {
		burst = 0
	}
	return Budget{ratio: ratio, burst: burst, saved: burst}
}

// Saved returns how many retries the budget allows at once.
func (b Budget) Saved() float64 { return b.saved }

// WithRequest returns the budget after a first attempt.
func (b Budget) WithRequest() Budget {
	b.saved = min(b.saved+b.ratio, b.burst)
	return b
}

// WithRetry returns the budget after a retry and whether it allows one.
func (b Budget) WithRetry() (Budget, bool) {
	if b.saved < 1 {
		return b, false
	}
	b.saved--
	return b, true
}
