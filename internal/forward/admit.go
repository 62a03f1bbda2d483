package forward

import (
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// configRetryAfter is the time after which the newer configuration is expected.
const configRetryAfter = 300 * time.Millisecond

// errConfigReplaced reports that a newer configuration may have to be in force, and that this
// entry has not received it.
var errConfigReplaced = errors.New("the configuration may have been replaced and a newer one has not arrived yet")

// reasonNoWeight is the reason of a rejection.
const reasonNoWeight = "no service of this route has a weight above zero"

// admit finds the route, service, key and deadline of a request, or rejects it.
func (s *Server) admit(r *request) (*call, *response) { return s.admitTo(r, s.chooseService) }

// admitTo is admit for the service that choose returns. It changes no state itself.
func (s *Server) admitTo(r *request, choose func(*request, *deployment.Route) (string, bool)) (*call, *response) {
	reject := func(out response) (*call, *response) { return nil, &out }
	v := s.cfg.View.View()
	if v.ConfigIndex == 0 {
		return reject(unavailableHere("no configuration is known yet", defaultRetryAfter))
	}
	if r.relayed {
		if reason := s.admitRelayed(r, v.ConfigIndex); reason != "" {
			return reject(unavailableHere(reason, defaultRetryAfter))
		}
	}
	route, ok := v.Routes.Find(r.host, r.path)
	behind := s.behindPeers()
	changed := s.cfg.View.View().ConfigIndex != v.ConfigIndex // since v was read
	if !s.cfg.View.ConfigInForce() || !ok && (s.cfg.View.ConfigLag() > 0 || behind || changed) || r.relayed && behind {
		return reject(unavailableHere(errConfigReplaced.Error(), configRetryAfter))
	}
	if !ok {
		return reject(errorResponse(http.StatusNotFound, "no route for this host and path"))
	}
	// Of two values the target may take the other one.
	for _, name := range []string{s.cfg.Headers.RequestID, s.cfg.Headers.Key} {
		if len(r.header[name]) > 1 {
			return reject(errorResponse(http.StatusBadRequest, name+" header is given more than once"))
		}
	}
	id := r.header.Get(s.cfg.Headers.RequestID)
	if id == "" {
		return reject(errorResponse(http.StatusBadRequest, s.cfg.Headers.RequestID+" header is missing"))
	}
	name, ok := choose(r, route)
	if !ok {
		return reject(unavailableResponse(reasonNoWeight, defaultRetryAfter))
	}
	service, _ := v.Config.Service(name)
	c := &call{request: r, route: route, admittedConfig: v.Config.Version, configIndex: v.ConfigIndex, service: service, id: id, deadline: r.start.Add(route.Timeout)}
	// A duration in milliseconds may exceed what a time.Duration holds.
	if ms, err := strconv.ParseInt(r.header.Get(s.cfg.Headers.Deadline), 10, 64); err == nil && ms >= 0 && ms <= route.Timeout.Milliseconds() {
		if callerDeadline := r.start.Add(time.Duration(ms) * time.Millisecond); callerDeadline.Before(c.deadline) {
			c.deadline = callerDeadline
		}
	}
	if r.relayed {
		c.limitAttempts()
	}
	if s.mayOutlastShutdown(c.deadline) {
		return reject(unavailableHere(errOutlastsShutdown.Error(), defaultRetryAfter))
	}
	if reason := s.readKey(c); reason != "" {
		return reject(errorResponse(http.StatusBadRequest, reason))
	}
	c.fingerprint = fingerprintOf(r)
	if _, blocked := v.Suspected(c.fingerprint); blocked {
		return reject(unavailableResponse("targets crashed while running requests of this kind", suspectRetryAfter))
	}
	return c, nil
}

// readKey reads the key of a request to a keyed service. It returns why there is none, or an
// empty string.
func (s *Server) readKey(c *call) string {
	if !c.service.Keyed {
		return ""
	}
	key, err := strconv.ParseUint(c.header.Get(s.cfg.Headers.Key), 10, 16)
	if err != nil {
		return s.cfg.Headers.Key + " header must be a whole number from 0 to 65535"
	}
	c.key = deployment.Key(key)
	return ""
}

// chooseService returns the service that serves a request: the one that the entry which
// passed it on has chosen, if the route still has it, or else the next one.
func (s *Server) chooseService(r *request, route *deployment.Route) (string, bool) {
	if r.relayed {
		// A name that can't be read is that of no service.
		name, _ := url.PathUnescape(r.header.Get(relayServiceHeader))
		if slices.ContainsFunc(route.Split, func(w deployment.WeightedService) bool { return w.Service == name && w.Weight > 0 }) {
			return name, true
		}
	}
	return s.split.next(route)
}

// uncount takes a request out of the counts of keys that is passed on, or that its sender may
// pass on to another entry.
func (s *Server) uncount(c *call) {
	if c.counted && c.service.Keyed {
		s.keys.remove(c.service.Name, c.key)
	}
	c.counted = false
}

// count counts a request that this entry sends to targets itself, once.
func (s *Server) count(c *call) {
	if c.counted {
		return
	}
	c.counted = true
	if !c.credited {
		c.credited = true
		s.creditRetryBudget(c.service.Name)
	}
	if c.service.Keyed {
		s.keys.add(c.service.Name, c.key)
	}
}
