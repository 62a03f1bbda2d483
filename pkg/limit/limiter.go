package limit

// Limiter bounds how many requests a sender may have at one server. It is
// immutable: each With method returns the limiter after the event.
type Limiter interface {
	// Allowed returns how many requests may be at the server, at least one.
	Allowed() int
	// WithAnswer returns the limiter after the server answered a request.
	WithAnswer() Limiter
	// WithShed returns the limiter after the server turned a request down.
	WithShed() Limiter
}

// Fixed is a limit that never changes.
type Fixed int

// Allowed returns the limit.
func (f Fixed) Allowed() int { return max(int(f), 1) }

// WithAnswer returns the same limit.
func (f Fixed) WithAnswer() Limiter { return f }

// WithShed returns the same limit.
func (f Fixed) WithShed() Limiter { return f }

// Adaptive finds its limit between one and a highest value: it grows by one for
// each limit's worth of answers and shrinks by a third when the server turns a
// request down (additive increase, multiplicative decrease).
type Adaptive struct {
	value   float64
	highest float64
}

// adaptiveDecrease is what remains of an adaptive limit after a refusal.
const adaptiveDecrease = 2.0 / 3

// NewAdaptive returns a limiter that begins at its highest value.
func NewAdaptive(highest int) Adaptive {
	h := float64(max(highest, 1))
	return Adaptive{value: h, highest: h}
}

// Allowed returns the present limit.
func (a Adaptive) Allowed() int { return max(int(a.value), 1) }

// WithAnswer returns a slightly larger limit.
func (a Adaptive) WithAnswer() Limiter {
	a.value = min(a.value+1/a.value, a.highest)
	return a
}

// WithShed returns a smaller limit.
func (a Adaptive) WithShed() Limiter {
	a.value = max(a.value*adaptiveDecrease, 1)
	return a
}
