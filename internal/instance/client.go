package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// ErrUnreachable reports that no instance could be reached or that the connection
// broke during the call. In the latter case the request may have had an effect.
var ErrUnreachable = errors.New("no instance reachable")

const (
	sendQueueSize     = 4096     // messages queued for one peer
	sendQueueBytes    = 16 << 20 // payload of the messages queued for one peer
	reconnectDelay    = 50 * time.Millisecond
	maxReconnectDelay = 200 * time.Millisecond
	// connectTimeout covers the round trips of a new connection over a link with a long
	// queue.
	connectTimeout   = 1500 * time.Millisecond
	leaderRetryDelay = 20 * time.Millisecond // after all addresses were tried
	pingPeriod       = 100 * time.Millisecond
	pongTimeout      = 400 * time.Millisecond // longest time without a pong
)

// Pool keeps one gRPC connection to each instance that this one calls. Its methods
// are safe for concurrent use.
type Pool struct {
	ctx        context.Context
	security   Security
	traffic    *Traffic
	zone       string // availability zone of this instance; empty to tell none
	mu         sync.Mutex
	conns      map[string]*grpc.ClientConn
	received   map[string]*atomic.Int64 // bytes received, by address
	silences   map[string]silence       // by address
	sendQueues map[string]*sendQueue
}

// NewPool returns a pool that counts its bytes in traffic, and a function that
// closes its connections.
func NewPool(ctx context.Context, security Security, traffic *Traffic) (*Pool, func()) {
	ctx, cancel := context.WithCancel(ctx)
	p := &Pool{
		ctx:        ctx,
		security:   security,
		traffic:    traffic,
		conns:      make(map[string]*grpc.ClientConn),
		received:   make(map[string]*atomic.Int64),
		silences:   make(map[string]silence),
		sendQueues: make(map[string]*sendQueue),
	}
	return p, func() {
		cancel()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.Close()
		}
	}
}

// SetZone sets the availability zone that later connections tell in each call, so that the
// instance called can count bytes by zone.
func (p *Pool) SetZone(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone = zone
}

// conn returns the connection to an address, and creates it on the first call. The
// host of the address must be an IP literal, since names are not resolved. The given
// options override the usual ones.
func (p *Pool) conn(address string, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	received := p.received[address]
	if received == nil {
		received = new(atomic.Int64)
	}
	reconnect := backoff.Config{BaseDelay: reconnectDelay, Multiplier: 2, MaxDelay: maxReconnectDelay}
	usual := append(tellZone(p.zone),
		grpc.WithTransportCredentials(p.security.clientCredentials()),
		grpc.WithStatsHandler(p.traffic),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, address, received)
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(wire.Name),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
	)
	c, err := grpc.NewClient("passthrough:///"+address, append(usual, opts...)...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.conns[address], p.received[address] = c, received
	return c, nil
}

// BytesReceived returns the bytes received from an address so far, including those of
// messages that are not complete.
func (p *Pool) BytesReceived(address string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n, ok := p.received[address]; ok {
		return n.Load()
	}
	return 0
}

// Call calls a method of the instance at the address once, without retries.
func Call[Req, Res any](ctx context.Context, p *Pool, address, method string, req *Req) (*Res, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	res, sent, before := new(Res), timer.BootTime(), p.BytesReceived(address)
	if err := c.Invoke(ctx, "/"+serviceName+"/"+method, req, res); err != nil {
		if status.Code(err) == codes.DeadlineExceeded {
			p.noteSilence(address, c, before, sent)
		}
		return nil, fromStatus(err)
	}
	return res, nil
}

// Watch receives the updates of an entry's view from one control instance and passes
// each to receive, until the stream or ctx ends or receive returns an error. It
// returns the error.
func (p *Pool) Watch(ctx context.Context, address string, req *WatchRequest, receive func(*ViewUpdate) error) error {
	c, err := p.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.watchSilence(ctx, address, c)
	s, err := c.NewStream(ctx, &grpc.StreamDesc{StreamName: "Watch", ServerStreams: true}, "/"+serviceName+"/Watch")
	if err != nil {
		return fromStatus(err)
	}
	if err := errors.Join(s.SendMsg(req), s.CloseSend()); err != nil {
		return fromStatus(err)
	}
	for {
		u := new(ViewUpdate)
		if err := s.RecvMsg(u); err != nil {
			return fromStatus(err)
		}
		if err := receive(u); err != nil {
			return err
		}
	}
}
