package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// configRetryAfter is the time after which the newer configuration is expected.
const configRetryAfter = 300 * time.Millisecond

// admit finds the route, service, key and deadline of a request, or rejects it.
func (s *Server) admit(r *request) (*call, *response) {
	reject := func(out response) (*call, *response) { return nil, &out }
	v := s.cfg.View.View()
	if v.ConfigIndex == 0 {
		return reject(locallyUnavailable("no configuration is known yet", defaultRetryAfter))
	}
	route, ok := v.Routes.Find(r.host, r.path)
	if lag := s.cfg.View.ConfigLag(); lag > s.cfg.MaxConfigLag || lag > 0 && !ok {
		return reject(locallyUnavailable("the configuration was replaced and the newer one has not arrived yet", configRetryAfter))
	}
	if !ok {
		return reject(errorResponse(http.StatusNotFound, "no route for this host and path"))
	}
	id := r.header.Get(s.cfg.Headers.RequestID)
	if id == "" {
		return reject(errorResponse(http.StatusBadRequest, s.cfg.Headers.RequestID+" header is missing"))
	}
	name, ok := s.split.next(route)
	if !ok {
		return reject(unavailableResponse("no service of this route has a weight above zero", defaultRetryAfter))
	}
	service, _ := v.Config.Service(name)
	c := &call{request: r, route: route, service: service, id: id, deadline: r.start.Add(route.Timeout)}
	if ms, err := strconv.ParseInt(r.header.Get(s.cfg.Headers.Deadline), 10, 64); err == nil && ms >= 0 {
		if callerDeadline := r.start.Add(time.Duration(ms) * time.Millisecond); callerDeadline.Before(c.deadline) {
			c.deadline = callerDeadline
		}
	}
	if r.relayed {
		if reason := s.admitRelayed(c); reason != "" {
			return reject(locallyUnavailable(reason, defaultRetryAfter))
		}
	}
	if s.mayOutlastShutdown(c.deadline) {
		return reject(locallyUnavailable("the instance is stopping and might cut the request off", defaultRetryAfter))
	}
	if service.Keyed {
		key, err := strconv.ParseUint(r.header.Get(s.cfg.Headers.Key), 10, 16)
		if err != nil {
			return reject(errorResponse(http.StatusBadRequest, s.cfg.Headers.Key+" header must be a whole number from 0 to 65535"))
		}
		c.key = deployment.Key(key)
	}
	c.fingerprint = fingerprintOf(r)
	if _, blocked := v.Suspected(c.fingerprint); blocked {
		return reject(unavailableResponse("targets crashed while running requests of this kind", suspectRetryAfter))
	}
	return c, nil
}

// count counts a request that this entry sends to targets itself, once.
func (s *Server) count(c *call) {
	if c.counted {
		return
	}
	c.counted = true
	s.creditRetryBudget(c.service.Name)
	if c.service.Keyed {
		s.keys.add(c.service.Name, c.key)
	}
}
