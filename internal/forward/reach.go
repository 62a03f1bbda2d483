package forward

import (
	"errors"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// errTargetsUnknown reports that a target may have ended of which this entry has not been told.
var errTargetsUnknown = errors.New("targets may have ended, and the confirmation of those that have not is late")

// targetsRetryAfter is the time after which the next confirmation of targets is expected.
const targetsRetryAfter = reportInterval

// targetsInForce reports whether requests may be sent by what this entry knows of targets.
func (s *Server) targetsInForce() bool {
	return s.cfg.TargetDrain <= 0 || s.cfg.View.TargetsInForce()
}

// mayReach reports whether the call may be sent to the target by what control instances told of
// targets.
func (s *Server) mayReach(c *call, t deployment.Target) bool {
	return s.cfg.TargetDrain <= 0 || s.targetsInForce() && s.stillServes(t, c.service.Keyed)
}

// stillServes reports whether the target takes requests, by its newest record and by what is known
// of targets that ended since. The owner of a key does for a part of its drain: its next owner is
// not known at once.
func (s *Server) stillServes(t deployment.Target, owner bool) bool {
	if s.cfg.TargetDrain <= 0 {
		return true
	}
	since, ended := s.cfg.View.TargetEnded(t)
	newest, ok := s.cfg.View.View().Target(t.ID)
	switch {
	case !ok || newest.StartMillis != t.StartMillis || !newest.Usable():
		return false
	case ended:
		return owner && since >= 0 && since < time.Duration(leavingShare*float64(s.cfg.TargetDrain))
	}
	return true
}

// serving returns those of the targets, which are usable by the view, that have not ended since.
func (s *Server) serving(targets []deployment.Target) []deployment.Target {
	ended := func(t deployment.Target) bool {
		_, ended := s.cfg.View.TargetEnded(t)
		return s.cfg.TargetDrain > 0 && ended
	}
	if !slices.ContainsFunc(targets, ended) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), ended)
}
