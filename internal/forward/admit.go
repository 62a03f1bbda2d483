package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// admit finds the route and service of a request and its deadline.
func (s *Server) admit(r *request) (*call, *response) {
	fail := func(out response) (*call, *response) { return nil, &out }
	v := s.cfg.View.View()
	if v.DocIndex == 0 {
		return fail(notRun("no configuration is known yet", comeBack))
	}
	route, ok := v.Routes.Find(r.host, r.path)
	if !ok {
		return fail(refuse(http.StatusNotFound, "no route for this host and path"))
	}
	id := r.header.Get(s.cfg.Dialect.RequestID)
	if id == "" {
		return fail(refuse(http.StatusBadRequest, s.cfg.Dialect.RequestID+" is missing"))
	}
	name, ok := s.split.next(route)
	if !ok {
		return fail(notRun("no service of this route has a weight", comeBack))
	}
	service, _ := v.Document.Service(name)
	c := &call{request: r, route: route, service: service, id: id, deadline: r.began.Add(route.Timeout)}
	if ms, err := strconv.ParseInt(r.header.Get(s.cfg.Dialect.Deadline), 10, 64); err == nil && ms >= 0 {
		if own := r.began.Add(time.Duration(ms) * time.Millisecond); own.Before(c.deadline) {
			c.deadline = own
		}
	}
	if service.Keyed {
		key, err := strconv.ParseUint(r.header.Get(s.cfg.Dialect.Key), 10, 16)
		if err != nil {
			return fail(refuse(http.StatusBadRequest, s.cfg.Dialect.Key+" must be a whole number from 0 to 65535"))
		}
		c.key = deployment.Key(key)
		s.keys.add(name, c.key)
	}
	c.kind = fingerprint(r)
	if _, blocked := v.Suspected(c.kind); blocked {
		return fail(notRun("targets died that ran such requests", suspectWait))
	}
	s.earn(name)
	return c, nil
}
