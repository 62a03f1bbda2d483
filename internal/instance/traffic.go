package instance

import (
	"context"
	"path"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
)

// Traffic counts the bytes of calls between instances on the wire: message and
// header frames, without the overhead of TCP and IP. Those of the calls that an instance
// answers it counts by call and by the caller's availability zone as well. So the sums
// over all instances count each byte once.
type Traffic struct {
	in, out atomic.Int64

	mu       sync.Mutex
	answered map[callOrigin]*callBytes
}

// callOrigin identifies the calls of one method from one availability zone.
type callOrigin struct{ call, zone string }

// callBytes counts the bytes of calls in both directions.
type callBytes struct{ in, out atomic.Int64 }

var _ stats.Handler = (*Traffic)(nil)

// frameBytes is the overhead of HTTP/2 and gRPC per message. headerBytes is the
// assumed length of a compressed header frame: gRPC does not report the length of
// those that it sends.
const (
	frameBytes  = 9 + 5
	headerBytes = 40
)

// zoneHeader is the metadata key with the caller's availability zone. Its value is
// compressed to a byte or two after the first call on a connection.
const zoneHeader = "zone"

// In returns the bytes received.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the bytes sent.
func (t *Traffic) Out() int64 { return t.out.Load() }

// CallBytes holds the bytes of the calls of one method that an instance answered.
type CallBytes struct {
	In  int64 `json:"in"`  // received from callers
	Out int64 `json:"out"` // sent to callers
}

// Answered returns the bytes of answered calls by method and by the callers' availability
// zone. The zone is empty for callers that don't tell it.
func (t *Traffic) Answered() map[string]map[string]CallBytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]map[string]CallBytes)
	for origin, n := range t.answered {
		if out[origin.call] == nil {
			out[origin.call] = make(map[string]CallBytes)
		}
		out[origin.call][origin.zone] = CallBytes{In: n.in.Load(), Out: n.out.Load()}
	}
	return out
}

func (t *Traffic) bytesOf(origin callOrigin) *callBytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answered == nil {
		t.answered = make(map[callOrigin]*callBytes)
	}
	n, ok := t.answered[origin]
	if !ok {
		n = &callBytes{}
		t.answered[origin] = n
	}
	return n
}

// answeredCall is the state of one call that this instance answers. gRPC reports the events
// of one call one after the other until its header was received.
type answeredCall struct {
	method string
	bytes  atomic.Pointer[callBytes]
}

// answeredCallKey is the context key of an answeredCall.
type answeredCallKey struct{}

// TagRPC adds the state of the call to its context.
func (t *Traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, answeredCallKey{}, &answeredCall{method: path.Base(info.FullMethodName)})
}

// TagConn returns the context unchanged.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC counts a message or header.
func (t *Traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch x := s.(type) {
	case *stats.InPayload:
		t.add(ctx, x.CompressedLength+frameBytes, 0)
	case *stats.InHeader:
		if call, ok := ctx.Value(answeredCallKey{}).(*answeredCall); ok && !x.Client {
			zone := ""
			if values := x.Header.Get(zoneHeader); len(values) > 0 {
				zone = values[0]
			}
			call.bytes.Store(t.bytesOf(callOrigin{call: call.method, zone: zone}))
		}
		t.add(ctx, headerBytes, 0)
	case *stats.InTrailer:
		t.add(ctx, headerBytes, 0)
	case *stats.OutPayload:
		t.add(ctx, 0, x.CompressedLength+frameBytes)
	case *stats.OutHeader:
		t.add(ctx, 0, headerBytes)
	case *stats.OutTrailer:
		t.add(ctx, 0, headerBytes)
	}
}

func (t *Traffic) add(ctx context.Context, in, out int) {
	t.in.Add(int64(in))
	t.out.Add(int64(out))
	call, ok := ctx.Value(answeredCallKey{}).(*answeredCall)
	if !ok {
		return
	}
	if n := call.bytes.Load(); n != nil {
		n.in.Add(int64(in))
		n.out.Add(int64(out))
	}
}

// tellZone returns the options of a client that tells its availability zone in each call.
func tellZone(zone string) []grpc.DialOption {
	if zone == "" {
		return nil
	}
	with := func(ctx context.Context) context.Context {
		return metadata.AppendToOutgoingContext(ctx, zoneHeader, zone)
	}
	return []grpc.DialOption{
		grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, res any, c *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
			return invoke(with(ctx), method, req, res, c, opts...)
		}),
		grpc.WithStreamInterceptor(func(ctx context.Context, desc *grpc.StreamDesc, c *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
			return open(with(ctx), desc, c, method, opts...)
		}),
	}
}
