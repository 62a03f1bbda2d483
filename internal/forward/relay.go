package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/targethttp"
)

// Entries pass requests on to each other over HTTP at an address of their own. These
// headers stand only in their messages; they are removed from what callers and targets
// send and receive.
const (
	relayHeaderPrefix = "Cranberrywind-Relay-"
	// relayConfigHeader holds the log index of the configuration by which the sender
	// routes. The receiver rejects a request if its own is older, and answers with its own.
	relayConfigHeader = relayHeaderPrefix + "Config"
	// relayZonesHeader holds the version of the view in which the sender learned which
	// availability zones are evacuated. The receiver rejects a request if its view is older.
	relayZonesHeader = relayHeaderPrefix + "Zones"
	// relayAttemptsHeader holds the number of targets to which the request may still be
	// sent.
	relayAttemptsHeader = relayHeaderPrefix + "Attempts"
	// relayServiceHeader holds the name of the service that the sender chose, with escapes as in
	// a path: operators choose names freely.
	relayServiceHeader = relayHeaderPrefix + "Service"
	// relayRejectedHeader is set in a response to a request that has not run and that
	// another entry may serve.
	relayRejectedHeader = relayHeaderPrefix + "Rejected"
	rejectedAll         = "all" // the entry serves no request now
	rejectedOne         = "one" // it serves others
)

const (
	// maxRelayFailures is the number of peers that can't be connected to, or don't
	// respond, after which a request is passed on no more.
	maxRelayFailures = 3
	// maxRelayRejections is the number of peers that may reject a request because they
	// serve none.
	maxRelayRejections = 8
	// maxRelayDeclines is the number of peers that may reject it because they don't reach
	// the owner of its key either. Mostly the owner has ended then.
	maxRelayDeclines = 3
	// maxPeerConns bounds the connections to one peer.
	maxPeerConns = 256
)

// relayOutcome is what became of a request that was passed on to another entry.
type relayOutcome int

const (
	relayServed      relayOutcome = iota // a response came, or the caller or its deadline ended the request
	relayDeclined                        // the entry rejected this request, which another one may serve
	relayUnable                          // the entry serves no requests now
	relayUnreachable                     // no connection opened, or no response came
)

// relayCounts counts requests between entries.
type relayCounts struct {
	sent, taken, rejected atomic.Uint64
}

// ServePeers takes requests that other entries pass on, until the server's clean-up
// function is called.
func (s *Server) ServePeers(listener net.Listener) { s.acceptFrom(listener, true) }

// RelayedRequests returns the numbers of requests that this entry passed on to others,
// served for others, and rejected for a reason of its own.
func (s *Server) RelayedRequests() (sent, taken, rejected uint64) {
	return s.relays.sent.Load(), s.relays.taken.Load(), s.relays.rejected.Load()
}

// mustRelay reports whether a request has to be passed on to another entry: this one reaches
// no target, or not the owner of the key, or a peer has served requests by a newer
// configuration. One that came from another entry is not passed on again.
func (s *Server) mustRelay(c *call) bool {
	return !c.relayed && !c.relayTried && (c.ownerUnreached || s.path.Lost() || s.behindPeers())
}

// relay passes a request on to other entries until one serves it. It returns nil if no
// other entry can take it; a target may have run it only if c.mayHaveRun is set.
func (s *Server) relay(ctx context.Context, c *call) *response {
	var tried []string
	var counts [relayUnreachable + 1]int
	for ctx.Err() == nil && time.Until(c.deadline) >= minTimeLeft {
		if counts[relayUnreachable] >= maxRelayFailures || counts[relayUnable] >= maxRelayRejections || counts[relayDeclined] >= maxRelayDeclines {
			break
		}
		address, ok := s.peers.Take(tried)
		if !ok {
			break
		}
		if c.sent > 0 && !s.chargeRetryBudget(c.service.Name) {
			s.peers.Done(address, relayDeclined)
			c.reason += "; retry budget exhausted"
			out := s.finalResponse(ctx, c)
			return &out
		}
		tried = append(tried, address)
		out, outcome := s.relayTo(ctx, c, address)
		s.peers.Done(address, outcome)
		counts[outcome]++
		if out != nil {
			return out
		}
	}
	if counts[relayDeclined] > 0 {
		s.targets.othersDeclined(c.target)
	}
	return nil
}

// relayTo passes a request on to one peer. The response is nil if another peer may serve it.
func (s *Server) relayTo(ctx context.Context, c *call, address string) (*response, relayOutcome) {
	s.relays.sent.Add(1)
	c.relayedTo = address
	a, err := s.cfg.Pool.Do(ctx, address, maxPeerConns, s.cfg.Headers.RequestID, targethttp.Request{
		Method:         c.method,
		Head:           func() []byte { return s.relayHead(c, time.Now()) },
		Body:           c.body,
		ID:             c.id,
		NonIdempotent:  !c.route.Kind.Idempotent(),
		ConnectTimeout: connectTimeout(c.route.Objective),
		Pace:           (&bodyPace{ctx: ctx, link: s.cfg.Link}).function(),
		BodyContext:    c.bodyCtx,
	})
	if err == nil && a.Stream != nil && a.Status >= http.StatusMultipleChoices {
		if a.Body, err = a.Stream.ReadAll(ctx); err != nil {
			a.Close()
		}
		a.Stream = nil
	}
	if err != nil {
		return s.handleRelayFailure(ctx, c, err)
	}
	if rejected := a.Header.Get(relayRejectedHeader); rejected != "" {
		a.Close()
		c.reason = fmt.Sprintf("instance %s rejected the request: status %d", address, a.Status)
		s.logRelay(c)
		if rejected == rejectedAll {
			return nil, relayUnable
		}
		return nil, relayDeclined
	}
	if invalid := s.invalidReason(a); invalid != "" {
		a.Close()
		return s.handleRelayFailure(ctx, c, fmt.Errorf("%s: %w", invalid, targethttp.ErrIncompleteResponse))
	}
	return s.handleRelayResponse(ctx, c, a), relayServed
}

// handleRelayResponse returns the final response to a request that a peer served or
// rejected.
func (s *Server) handleRelayResponse(ctx context.Context, c *call, a *targethttp.Response) *response {
	s.raisePeerConfig(a.Header.Get(relayConfigHeader))
	c.reason = fmt.Sprintf("instance %s responded with status %d", c.relayedTo, a.Status)
	c.target, c.result = deployment.Target{}, attemptResult{} // of an earlier attempt
	signed := a.Header.Get(s.cfg.Headers.Signature) != ""
	c.mayHaveRun = c.mayHaveRun || signed || !isRejection(a.Status)
	if c.mayHaveRun && isRejection(a.Status) {
		// An earlier attempt may have run, or the target signed this answer and an instance of an
		// earlier build passed it on.
		a.Close()
		out := s.finalResponse(ctx, c)
		return &out
	}
	return answerResponse(c, a)
}

// handleRelayFailure handles a request that brought no complete response of a peer.
func (s *Server) handleRelayFailure(ctx context.Context, c *call, err error) (*response, relayOutcome) {
	c.reason = fmt.Sprintf("instance %s: %v", c.relayedTo, err)
	s.logRelay(c)
	notSent := errors.Is(err, targethttp.ErrNotSent)
	if !notSent {
		c.sent++
		c.mayHaveRun = true
	}
	outcome := relayUnreachable
	switch {
	case c.ctx.Err() != nil || ctx.Err() != nil:
		outcome = relayServed
	case errors.Is(err, targethttp.ErrConnLimit):
		return nil, relayDeclined
	case notSent || s.mayRetry(c):
		return nil, outcome
	}
	out := s.finalResponse(ctx, c)
	return &out, outcome
}

// isRejection reports whether a status says that the request has not run.
func isRejection(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (s *Server) logRelay(c *call) {
	s.log.Info("request not passed on", "request_id", c.id, "to", c.relayedTo, "left_ms", time.Until(c.deadline).Milliseconds(), "reason", c.reason)
}

// relayHead returns the request line and headers as sent to a peer.
func (s *Server) relayHead(c *call, now time.Time) []byte {
	out := s.callerHead(c, now)
	out = appendHeader(out, relayConfigHeader, strconv.FormatUint(max(s.cfg.View.View().ConfigIndex, s.peerConfig.Load()), 10))
	out = appendHeader(out, relayZonesHeader, strconv.FormatUint(s.cfg.View.View().EvacuatedVersion, 10))
	out = appendHeader(out, relayAttemptsHeader, strconv.Itoa(max(c.route.Attempts-c.sent, 1)))
	out = appendHeader(out, relayServiceHeader, url.PathEscape(c.service.Name))
	return append(out, "\r\n"...)
}

// behindPeers reports whether a peer has served a request by a newer configuration than this
// entry has.
func (s *Server) behindPeers() bool { return s.peerConfig.Load() > s.cfg.View.View().ConfigIndex }

// raisePeerConfig records the configuration by which a peer has served a request. No later
// request is passed on to a peer with an older one.
func (s *Server) raisePeerConfig(value string) {
	index, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return
	}
	for {
		known := s.peerConfig.Load()
		if index <= known || s.peerConfig.CompareAndSwap(known, index) {
			return
		}
	}
}

// admitRelayed checks whether this entry can serve a request that another one passed on, and
// returns why not, or an empty string.
func (s *Server) admitRelayed(r *request, configIndex uint64) string {
	if s.isDraining() {
		return "this instance is stopping"
	}
	if s.path.Lost() {
		return "this instance can reach no target either"
	}
	if index, err := strconv.ParseUint(r.header.Get(relayConfigHeader), 10, 64); err != nil || index > configIndex {
		return "the sender's configuration has not arrived yet"
	}
	if version, err := strconv.ParseUint(r.header.Get(relayZonesHeader), 10, 64); err == nil && version > s.cfg.View.View().Version {
		return "the sender's evacuated zones have not arrived yet"
	}
	return ""
}

// limitAttempts limits the attempts of a request that another entry passed on to those
// that it has left.
func (c *call) limitAttempts() {
	if attempts, err := strconv.Atoi(c.header.Get(relayAttemptsHeader)); err == nil && attempts > 0 {
		route := *c.route
		route.Attempts = min(route.Attempts, attempts)
		c.route = &route
	}
}

// finishRelayed adds to a response what it tells the entry that passed the request on.
func (s *Server) finishRelayed(c *call, out response) response {
	if out.header == nil {
		return out
	}
	rejected := ""
	switch {
	case out.otherMayServe:
		rejected = rejectedAll
	case c == nil || c.mayHaveRun || out.status != http.StatusServiceUnavailable:
	case s.path.Lost():
		rejected = rejectedAll
	case c.ownerUnreached || c.result.noConnection:
		rejected = rejectedOne
	}
	if rejected != "" {
		s.relays.rejected.Add(1)
		out.header[relayRejectedHeader] = []string{rejected}
	} else {
		s.relays.taken.Add(1)
		out.header[relayConfigHeader] = []string{strconv.FormatUint(s.cfg.View.View().ConfigIndex, 10)}
	}
	out.closeConn = out.closeConn || s.isDraining()
	return out
}
