package instance

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// DispatchMessage is a message between an entry and a dispatcher. It holds everything that
// was ready when it was sent.
type DispatchMessage struct {
	// Entry names the asking entry and its start. It is set in the first message of a stream.
	Entry    string        `msgpack:"entry,omitempty"`
	Requests []SlotRequest `msgpack:"ask,omitempty"`
	Cancels  []SlotCancel  `msgpack:"cancel,omitempty"`
	Ends     []SlotEnd     `msgpack:"end,omitempty"`
	Answers  []SlotAnswer  `msgpack:"answer,omitempty"` // of the dispatcher
}

// SlotRequest asks for a slot of a target. Times are in milliseconds; the types of integers
// are those that are encoded compactly.
type SlotRequest struct {
	Number    uint     `msgpack:"n"`
	Pool      string   `msgpack:"pool"`
	Priority  int      `msgpack:"prio,omitempty"`
	Age       int      `msgpack:"age,omitempty"`
	Objective int      `msgpack:"obj,omitempty"`
	Timeout   int      `msgpack:"max,omitempty"`
	Left      int      `msgpack:"left,omitempty"`
	BodyBytes int      `msgpack:"body,omitempty"`
	BodyTime  int      `msgpack:"body_time,omitempty"`
	Connect   int      `msgpack:"dial,omitempty"` // time to open a connection
	Excluded  []string `msgpack:"not,omitempty"`
	// Connected holds short hashes of the IDs of targets to which the entry has an open
	// connection. Two targets with the same hash are rare, and then one of them is only
	// thought to be connected.
	Connected []int `msgpack:"conn,omitempty"`
	Returning bool  `msgpack:"ret,omitempty"`
}

// SlotCancel withdraws a request.
type SlotCancel struct {
	Number uint   `msgpack:"n"`
	Pool   string `msgpack:"pool"`
}

// SlotEnd reports how a granted request ended. Took is in milliseconds.
type SlotEnd struct {
	Number  uint   `msgpack:"n"`
	Pool    string `msgpack:"pool"`
	Target  string `msgpack:"to"`
	Outcome int    `msgpack:"out,omitempty"`
	Took    int    `msgpack:"took,omitempty"`
	// Load holds the running and waiting requests and the slowdown in percent, as the target
	// reported them; nil if it did not.
	Load []int `msgpack:"load,omitempty"`
}

// Kinds of answers to a SlotRequest.
const (
	SlotGranted  = iota
	SlotRejected // the request gets no slot
	SlotWaiting  // it waits for a slot; another answer follows
	SlotNotMine  // the instance does not dispatch for the pool
)

// SlotAnswer answers a request for a slot, with how much room the pool has. Times are in
// milliseconds.
type SlotAnswer struct {
	Number uint   `msgpack:"n"`
	Kind   int    `msgpack:"k,omitempty"`
	Target string `msgpack:"to,omitempty"`
	Reason string `msgpack:"why,omitempty"`
	// After is when the caller of a rejected request may return, and for a waiting one the
	// time within which the next answer comes.
	After   int `msgpack:"after,omitempty"`
	Free    int `msgpack:"free,omitempty"`
	Waiting int `msgpack:"wait,omitempty"`
	Wait    int `msgpack:"eta,omitempty"`
}

// DispatchStream carries messages between an entry and a dispatcher. One goroutine may send
// while another one receives.
type DispatchStream interface {
	Send(m *DispatchMessage) error
	Receive() (*DispatchMessage, error)
	// Context ends with the stream.
	Context() context.Context
}

// DispatchHandler serves the streams of entries.
type DispatchHandler interface {
	// Dispatch serves one stream until it ends.
	Dispatch(s DispatchStream) error
}

const (
	dispatchServiceName = "cranberrywind.Dispatch"
	dispatchMethod      = "/" + dispatchServiceName + "/Dispatch"
	// dispatchBufferBytes is the size of the buffers of a connection. Each entry has one to
	// most others, and the messages are small.
	dispatchBufferBytes = 4 << 10
	// dispatchKeepaliveTime is the time without a message after which the peer is pinged.
	// Lost messages show sooner by missing answers.
	dispatchKeepaliveTime   = 30 * time.Second
	maxDispatchMessageBytes = 1 << 20
)

type messageStream interface {
	SendMsg(m any) error
	RecvMsg(m any) error
	Context() context.Context
}

type dispatchStream struct{ messageStream }

func (s dispatchStream) Send(m *DispatchMessage) error { return fromStatus(s.SendMsg(m)) }

func (s dispatchStream) Receive() (*DispatchMessage, error) {
	m := new(DispatchMessage)
	if err := s.RecvMsg(m); err != nil {
		return nil, fromStatus(err)
	}
	return m, nil
}

// ServeDispatch serves other entries' requests for slots on the listener. The returned
// function stops it.
func ServeDispatch(l net.Listener, h DispatchHandler, security Security, traffic *Traffic) func() {
	s := grpc.NewServer(
		grpc.Creds(security.serverCredentials()),
		grpc.StatsHandler(traffic),
		grpc.MaxRecvMsgSize(maxDispatchMessageBytes),
		grpc.ReadBufferSize(dispatchBufferBytes),
		grpc.WriteBufferSize(dispatchBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: dispatchKeepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	s.RegisterService(&grpc.ServiceDesc{
		ServiceName: dispatchServiceName,
		HandlerType: (*DispatchHandler)(nil),
		Streams: []grpc.StreamDesc{{StreamName: "Dispatch", ClientStreams: true, ServerStreams: true, Handler: func(srv any, stream grpc.ServerStream) error {
			return toStatus(srv.(DispatchHandler).Dispatch(dispatchStream{stream}))
		}}},
	}, h)
	go func() { _ = s.Serve(l) }()
	return s.Stop
}

// OpenDispatch opens a stream to the dispatcher at the address. It ends with ctx.
func (p *Pool) OpenDispatch(ctx context.Context, address string) (DispatchStream, error) {
	c, err := p.conn(address,
		grpc.WithReadBufferSize(dispatchBufferBytes),
		grpc.WithWriteBufferSize(dispatchBufferBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: dispatchKeepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(wire.Name), grpc.MaxCallRecvMsgSize(maxDispatchMessageBytes)),
	)
	if err != nil {
		return nil, err
	}
	s, err := c.NewStream(ctx, &grpc.StreamDesc{StreamName: "Dispatch", ClientStreams: true, ServerStreams: true}, dispatchMethod)
	if err != nil {
		return nil, fromStatus(err)
	}
	return dispatchStream{s}, nil
}
