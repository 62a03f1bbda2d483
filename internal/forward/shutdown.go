package forward

import (
	"errors"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// errOutlastsShutdown reports that a request is not passed on because the end of a graceful
// shutdown might cut it off.
var errOutlastsShutdown = errors.New("the instance is stopping and might cut the request off")

// workMargin is the number of times its expected time that a request is given before the end
// of a graceful shutdown, since work takes up to several times its mean.
const workMargin = 2

// mayOutlastShutdown reports whether a request with the deadline may still be running
// when a graceful shutdown ends.
func (s *Server) mayOutlastShutdown(deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping && !s.stopBy.IsZero() && deadline.After(s.stopBy)
}

// outlastsShutdown reports whether the answer of the target to a request that is passed on now
// is expected only after the end of a graceful shutdown.
func (s *Server) outlastsShutdown(c *call, t deployment.Target) bool {
	s.mu.Lock()
	stopBy := s.stopBy
	s.mu.Unlock()
	if stopBy.IsZero() || !c.deadline.After(stopBy) {
		return false
	}
	expected := c.expected
	if c.granted {
		expected = s.targets.workTime(t) + s.bodyTime(c) // a slot is free
	}
	return time.Now().Add(workMargin * expected).After(stopBy)
}
