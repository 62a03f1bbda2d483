package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

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
	// relayAttemptsHeader holds the number of targets to which the request may still be
	// sent.
	relayAttemptsHeader = relayHeaderPrefix + "Attempts"
	// relayRejectedHeader is set in a response by which an entry tells that it did not run
	// the request for a reason of its own, so that another entry may serve it.
	relayRejectedHeader = relayHeaderPrefix + "Rejected"
)

const (
	// maxRelays is the number of peers to which a request is passed on at most.
	maxRelays = 3
	// maxPeerConns bounds the connections to one peer.
	maxPeerConns = 256
)

// relayCounts counts requests between entries.
type relayCounts struct {
	sent, taken, rejected atomic.Uint64
}

// ServePeers takes requests that other entries pass on, until the server's clean-up
// function is called.
func (s *Server) ServePeers(listener net.Listener) {
	context.AfterFunc(s.ctx, func() { _ = listener.Close() })
	go s.accept(listener, true)
}

// RelayedRequests returns the numbers of requests that this entry passed on to others,
// served for others, and rejected for a reason of its own.
func (s *Server) RelayedRequests() (sent, taken, rejected uint64) {
	return s.relays.sent.Load(), s.relays.taken.Load(), s.relays.rejected.Load()
}

// mustRelay reports whether a request has to be passed on to another entry: this one reaches
// no target, or not the owner of the key. One that came from another entry is not passed on
// again.
func (s *Server) mustRelay(c *call) bool {
	return !c.relayed && !c.relayTried && (c.ownerUnreached || s.path.Lost())
}

// relay passes a request on to other entries until one serves it. It returns false if no
// other entry can take it; a target may have run it only if c.mayHaveRun is set.
func (s *Server) relay(ctx context.Context, c *call) (*response, bool) {
	var tried []string
	for len(tried) < maxRelays && ctx.Err() == nil && time.Until(c.deadline) >= minTimeLeft {
		address, ok := s.peers.Take(tried)
		if !ok {
			break
		}
		tried = append(tried, address)
		if c.sent > 0 && !s.chargeRetryBudget(c.service.Name) {
			s.peers.Done(address, true)
			c.reason += "; retry budget exhausted"
			out := s.finalResponse(ctx, c)
			return &out, true
		}
		out, again := s.relayTo(ctx, c, address)
		s.peers.Done(address, out != nil)
		if out != nil {
			return out, true
		}
		if !again {
			out := s.finalResponse(ctx, c)
			return &out, true
		}
	}
	return nil, false
}

// relayTo passes a request on to one peer. It returns the peer's response, or nil and
// whether another peer may be tried.
func (s *Server) relayTo(ctx context.Context, c *call, address string) (*response, bool) {
	s.relays.sent.Add(1)
	c.relayedTo = address
	a, err := s.cfg.Pool.Do(ctx, address, maxPeerConns, s.cfg.Headers.RequestID, targethttp.Request{
		Method:         c.method,
		Head:           func() []byte { return s.relayHead(c, time.Now()) },
		Body:           c.body,
		ID:             c.id,
		NonIdempotent:  !c.route.Kind.Idempotent(),
		ConnectTimeout: minConnectTimeout,
		BodyContext:    c.bodyCtx,
	})
	if err != nil {
		return nil, s.handleRelayFailure(ctx, c, address, err)
	}
	if a.Stream != nil && a.Status >= http.StatusMultipleChoices {
		a.Body, err = a.Stream.ReadAll(ctx)
		a.Stream.Close()
		if err != nil {
			return nil, s.handleRelayFailure(ctx, c, address, err)
		}
		a.Stream = nil
	}
	if a.Header.Get(relayRejectedHeader) != "" {
		c.reason = fmt.Sprintf("instance %s rejected the request: status %d", address, a.Status)
		s.logRelay(c, address, c.reason)
		return nil, true
	}
	s.raisePeerConfig(a.Header.Get(relayConfigHeader))
	c.mayHaveRun = a.Header.Get(s.cfg.Headers.Signature) != "" || !isRejection(a.Status)
	if invalid := s.invalidReason(a); invalid != "" {
		if a.Stream != nil {
			a.Stream.Close()
		}
		return nil, s.handleRelayFailure(ctx, c, address, fmt.Errorf("%s: %w", invalid, targethttp.ErrIncompleteResponse))
	}
	c.reason = fmt.Sprintf("instance %s responded with status %d", address, a.Status)
	out := &response{status: a.Status, header: forwardedHeaders(a.Header), body: a.Body, stream: a.Stream}
	if length := a.Header.Get("Content-Length"); c.method == http.MethodHead && length != "" {
		out.header["Content-Length"] = []string{length}
	}
	return out, false
}

// handleRelayFailure handles a request that brought no complete response of a peer. It
// returns whether another peer may be tried.
func (s *Server) handleRelayFailure(ctx context.Context, c *call, address string, err error) bool {
	c.reason = fmt.Sprintf("instance %s: %v", address, err)
	s.logRelay(c, address, c.reason)
	if errors.Is(err, targethttp.ErrNotSent) {
		return c.ctx.Err() == nil
	}
	c.sent++
	c.mayHaveRun = true
	return c.ctx.Err() == nil && ctx.Err() == nil && s.mayRetry(c)
}

// isRejection reports whether a status says that the request has not run.
func isRejection(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (s *Server) logRelay(c *call, address, reason string) {
	s.log.Info("request not passed on", "request_id", c.id, "to", address, "left_ms", time.Until(c.deadline).Milliseconds(), "reason", reason)
}

// relayHead returns the request line and headers as sent to a peer.
func (s *Server) relayHead(c *call, now time.Time) []byte {
	out := s.callerHead(c, now)
	out = appendHeader(out, relayConfigHeader, strconv.FormatUint(max(s.cfg.View.View().ConfigIndex, s.peerConfig.Load()), 10))
	out = appendHeader(out, relayAttemptsHeader, strconv.Itoa(max(c.route.Attempts-c.sent, 1)))
	return append(out, "\r\n"...)
}

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

// admitRelayed checks a request that another entry passed on, and returns why this one
// can't serve it, or an empty string.
func (s *Server) admitRelayed(c *call) string {
	if s.path.Lost() {
		return "this instance can reach no target either"
	}
	if index, err := strconv.ParseUint(c.header.Get(relayConfigHeader), 10, 64); err != nil || index > s.cfg.View.View().ConfigIndex {
		return "the sender's configuration has not arrived yet"
	}
	if attempts, err := strconv.Atoi(c.header.Get(relayAttemptsHeader)); err == nil && attempts > 0 {
		route := *c.route
		route.Attempts = min(route.Attempts, attempts)
		c.route = &route
	}
	return ""
}

// finishRelayed adds to a response what it tells the entry that passed the request on.
func (s *Server) finishRelayed(c *call, out response) response {
	if out.header == nil {
		return out
	}
	unreached := c != nil && c.ownerUnreached && !c.mayHaveRun && out.status == http.StatusServiceUnavailable
	if out.local || unreached {
		s.relays.rejected.Add(1)
		out.header[relayRejectedHeader] = []string{"1"}
	} else {
		s.relays.taken.Add(1)
		out.header[relayConfigHeader] = []string{strconv.FormatUint(s.cfg.View.View().ConfigIndex, 10)}
	}
	out.closeConn = out.closeConn || s.isDraining()
	return out
}
