package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// ErrUnreachable reports that no instance took the request.
var ErrUnreachable = errors.New("no instance reachable")

const (
	sendQueue    = 4096 // messages that wait for one peer
	redialPause  = 50 * time.Millisecond
	maxReconnect = 200 * time.Millisecond
	// connectTimeout is several round trips between regions; what takes longer
	// goes to an instance without power.
	connectTimeout = 300 * time.Millisecond
	callPause      = 20 * time.Millisecond // between two tries to find a leader
	pingPeriod     = 100 * time.Millisecond
	silenceLimit   = 400 * time.Millisecond // without an answer to a ping
)

// Pool keeps one connection to each instance that this one speaks to.
type Pool struct {
	ctx      context.Context
	security Security
	traffic  *Traffic
	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn
	sends    map[string]chan group.Envelope
}

// NewPool returns a pool that counts its traffic, and its clean-up function.
func NewPool(ctx context.Context, security Security, traffic *Traffic) (*Pool, func()) {
	ctx, cancel := context.WithCancel(ctx)
	p := &Pool{
		ctx:      ctx,
		security: security,
		traffic:  traffic,
		conns:    make(map[string]*grpc.ClientConn),
		sends:    make(map[string]chan group.Envelope),
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

// conn returns the connection to an address, which must be an IP literal.
func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	wait := backoff.Config{BaseDelay: redialPause, Multiplier: 2, MaxDelay: maxReconnect}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.security.clientCredentials()),
		grpc.WithStatsHandler(p.traffic),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: wait, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveWait, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(wire.Name),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
	)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.conns[address] = c
	return c, nil
}

// Call makes one call to one address.
func Call[Req, Res any](ctx context.Context, p *Pool, address, method string, req *Req) (*Res, error) {
	c, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	res := new(Res)
	if err := c.Invoke(ctx, "/"+serviceName+"/"+method, req, res); err != nil {
		return nil, fromStatus(err)
	}
	return res, nil
}

// Watch reads an entry's view from one control instance and hands each update
// to receive until the stream or ctx ends, or receive returns an error.
func (p *Pool) Watch(ctx context.Context, address string, req *WatchRequest, receive func(*ViewUpdate) error) error {
	c, err := p.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
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
