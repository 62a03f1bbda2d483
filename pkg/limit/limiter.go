package limit

// Limiter limits the number of requests that a sender has in flight to one server.
// It is immutable: each With method returns the limiter after the event.
type Limiter interface {
	// Limit returns the maximum number of requests in flight, at least one.
	Limit() int
	// WithAnswer returns the limiter after the server answered a request.
	WithAnswer() Limiter
	// WithShed returns the limiter after the server shed a request.
	WithShed() Limiter
}

// Fixed is a limiter whose limit never changes.
type Fixed int

// Limit returns the limit, at least one.
func (f Fixed) Limit() int { return max(int(f), 1) }

// WithAnswer returns f.
func (f Fixed) WithAnswer() Limiter { return f }

// WithShed returns f.
func (f Fixed) WithShed() Limiter { return f }

// Adaptive is a limiter with additive increase and multiplicative decrease. Each
// answer raises the limit by 1/limit, and each shed request lowers it by a third. The
// limit stays between one and a highest value.
type Adaptive struct {
	limit   float64
	highest float64
}

// adaptiveDecreaseFactor multiplies the limit when the server sheds a request.
const adaptiveDecreaseFactor = 2.0 / 3

// NewAdaptive returns a limiter that starts at its highest limit, at least one.
func NewAdaptive(highest int) Adaptive {
	h := float64(max(highest, 1))
	return Adaptive{limit: h, highest: h}
}

// Limit returns the current limit, rounded down.
func (a Adaptive) Limit() int { return max(int(a.limit), 1) }

// WithAnswer returns the limiter with a limit larger by 1/limit.
func (a Adaptive) WithAnswer() Limiter {
	a.limit = min(a.limit+1/a.limit, a.highest)
	return a
}

// WithShed returns the limiter with a limit smaller by a third.
func (a Adaptive) WithShed() Limiter {
	a.limit = max(a.limit*adaptiveDecreaseFactor, 1)
	return a
}
