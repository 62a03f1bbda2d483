package instance

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the bytes of calls between instances on the wire: message and
// header frames, without the overhead of TCP and IP.
type Traffic struct {
	in, out atomic.Int64
}

var _ stats.Handler = (*Traffic)(nil)

// frameBytes is the overhead of HTTP/2 and gRPC per message. headerBytes is the
// assumed length of a compressed header frame: gRPC does not report the length of
// those that it sends.
const (
	frameBytes  = 9 + 5
	headerBytes = 40
)

// In returns the bytes received.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the bytes sent.
func (t *Traffic) Out() int64 { return t.out.Load() }

// TagRPC returns the context unchanged.
func (t *Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn returns the context unchanged.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC counts a message or header.
func (t *Traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch x := s.(type) {
	case *stats.InPayload:
		t.in.Add(int64(x.CompressedLength + frameBytes))
	case *stats.InHeader:
		t.in.Add(headerBytes)
	case *stats.InTrailer:
		t.in.Add(headerBytes)
	case *stats.OutPayload:
		t.out.Add(int64(x.CompressedLength + frameBytes))
	case *stats.OutHeader:
		t.out.Add(headerBytes)
	case *stats.OutTrailer:
		t.out.Add(headerBytes)
	}
}
