package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// configAllows reports whether the request may be sent by the configuration by which it was
// routed.
func (s *Server) configAllows(c *call) bool {
	return c.configIndex == s.cfg.View.View().ConfigIndex && s.cfg.View.ConfigInForce()
}

// reroute routes a request anew if the configuration has changed since it was routed. It
// returns the final response if the newer configuration does not allow the request, or if
// a newer one may have to be in force that has not arrived.
func (s *Server) reroute(ctx context.Context, c *call) *response {
	end := func(reason string, out response) *response {
		c.reason = reason
		if c.mayHaveRun {
			out = s.finalResponse(ctx, c)
		}
		return &out
	}
	v := s.cfg.View.View()
	if !s.cfg.View.ConfigInForce() {
		return end(errConfigReplaced.Error(), unavailableHere(errConfigReplaced.Error(), configRetryAfter))
	}
	if v.ConfigIndex == c.configIndex {
		return nil
	}
	route, ok := v.Routes.Find(c.host, c.path)
	if !ok {
		return end("the route was dropped", errorResponse(http.StatusNotFound, "no route for this host and path"))
	}
	name := c.service.Name
	if !slices.ContainsFunc(route.Split, func(w deployment.WeightedService) bool { return w.Service == name && w.Weight > 0 }) {
		if name, ok = s.chooseService(c.request, route); !ok {
			return end(reasonNoWeight, unavailableResponse(reasonNoWeight, defaultRetryAfter))
		}
		c.excluded, c.rangeID, c.ownerRetryAt = nil, "", time.Time{}
	}
	c.route, c.configIndex = route, v.ConfigIndex
	c.service, _ = v.Config.Service(name)
	if c.relayed {
		c.limitAttempts()
	}
	if deadline := c.start.Add(route.Timeout); deadline.Before(c.deadline) {
		c.deadline = deadline
	}
	if reason := s.readKey(c); reason != "" {
		return end(reason, errorResponse(http.StatusBadRequest, reason))
	}
	return nil
}
