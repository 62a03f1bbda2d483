package instance

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// ErrUnreachable reports that no instance took the request.
var ErrUnreachable = errors.New("no instance reachable")

const (
	sendQueue    = 4096 // messages that wait for one peer
	redialPause  = 50 * time.Millisecond
	maxReconnect = 200 * time.Millisecond
	callPause    = 20 * time.Millisecond // between two tries to find a leader
	pingPeriod   = 100 * time.Millisecond
	silenceLimit = 400 * time.Millisecond // without an answer to a ping
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
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: wait, MinConnectTimeout: time.Second}),
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

// Send queues a message for another instance's replica and drops it where the
// queue is full.
func (p *Pool) Send(address string, e group.Envelope) {
	select {
	case p.queue(address) <- e:
	default:
	}
}

func (p *Pool) queue(address string) chan group.Envelope {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.sends[address]
	if !ok {
		q = make(chan group.Envelope, sendQueue)
		p.sends[address] = q
		go p.deliver(address, q)
	}
	return q
}

// deliver keeps a stream to the address and sends what is queued.
func (p *Pool) deliver(address string, q <-chan group.Envelope) {
	for p.ctx.Err() == nil {
		if err := p.stream(address, q); err != nil {
			drop(q)
			sleep(p.ctx, redialPause)
		}
	}
}

// drop empties the queue: old messages of a broken connection are stale.
func drop(q <-chan group.Envelope) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// errSilent reports a peer that does not answer pings.
var errSilent = errors.New("peer does not answer pings")

// stream sends messages while the peer answers pings. A connection that loses
// what flows one way counts as cut both ways: otherwise a leader whose answers
// are lost would keep hearing its followers and stay in office.
func (p *Pool) stream(address string, q <-chan group.Envelope) error {
	c, err := p.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	desc := &grpc.StreamDesc{StreamName: "Deliver", ClientStreams: true, ServerStreams: true}
	s, err := c.NewStream(ctx, desc, "/"+serviceName+"/Deliver")
	if err != nil {
		return err
	}
	pongs := make(chan struct{}, 1)
	go readPongs(s, pongs, cancel)
	if err := awaitPong(ctx, s, pongs); err != nil {
		return err
	}
	return pump(s, q, pongs)
}

// readPongs notes the peer's answers until the stream ends.
func readPongs(s grpc.ClientStream, pongs chan<- struct{}, cancel context.CancelFunc) {
	defer cancel()
	for {
		if err := s.RecvMsg(&Empty{}); err != nil {
			return
		}
		select {
		case pongs <- struct{}{}:
		default:
		}
	}
}

// awaitPong sends a first ping and waits for its answer.
func awaitPong(ctx context.Context, s grpc.ClientStream, pongs <-chan struct{}) error {
	if err := s.SendMsg(&group.Envelope{}); err != nil {
		return err
	}
	wait := time.NewTimer(silenceLimit)
	defer wait.Stop()
	select {
	case <-pongs:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
		return errSilent
	}
}

// pump sends messages and pings until the peer falls silent.
func pump(s grpc.ClientStream, q <-chan group.Envelope, pongs <-chan struct{}) error {
	ping := time.NewTicker(pingPeriod)
	defer ping.Stop()
	silence := time.NewTimer(silenceLimit)
	defer silence.Stop()
	for {
		var e group.Envelope
		select {
		case <-s.Context().Done():
			return s.Context().Err()
		case <-silence.C:
			return errSilent
		case <-pongs:
			silence.Reset(silenceLimit)
			continue
		case <-ping.C:
		case e = <-q:
		}
		if err := s.SendMsg(&e); err != nil {
			return err
		}
	}
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

// Leader remembers where a group's leader was last found.
type Leader struct {
	pool    *Pool
	timeout time.Duration // of one try

	mu        sync.Mutex
	addresses []string // in the order in which they are tried
}

// NewLeader returns a finder that tries the given addresses, each for at most
// the timeout.
func NewLeader(p *Pool, addresses []string, timeout time.Duration) *Leader {
	return &Leader{pool: p, addresses: slices.Clone(addresses), timeout: timeout}
}

// SetAddresses replaces the addresses that are tried. Those that stay keep
// their order.
func (l *Leader) SetAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := slices.DeleteFunc(l.addresses, func(a string) bool { return !slices.Contains(addresses, a) })
	for _, a := range addresses {
		if !slices.Contains(kept, a) {
			kept = append(kept, a)
		}
	}
	l.addresses = kept
}

func (l *Leader) candidates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

// prefer tries the address first from now on.
func (l *Leader) prefer(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = slices.DeleteFunc(l.addresses, func(a string) bool { return a == address })
	l.addresses = slices.Insert(l.addresses, 0, address)
}

// demote tries the address last from now on: it did not answer.
func (l *Leader) demote(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.addresses, address)
	if i < 0 {
		return
	}
	l.addresses = append(slices.Delete(l.addresses, i, i+1), address)
}

// CallLeader calls the group's leader, following hints, until it answers or ctx
// ends. Requests must be idempotent. ErrRefused is final.
func CallLeader[Req, Res any](ctx context.Context, l *Leader, method string, req *Req) (*Res, error) {
	last := ErrUnreachable
	for {
		for _, address := range l.candidates() {
			res, err := tryLeader[Req, Res](ctx, l, address, method, req)
			if err == nil || errors.Is(err, ErrRefused) {
				return res, err
			}
			last = err
			if ctx.Err() != nil {
				return nil, fmt.Errorf("%s: %w", method, errors.Join(ctx.Err(), last))
			}
		}
		if !sleep(ctx, callPause) {
			return nil, fmt.Errorf("%s: %w", method, errors.Join(ctx.Err(), last))
		}
	}
}

// tryLeader calls one address and, where it names another leader, that one.
func tryLeader[Req, Res any](ctx context.Context, l *Leader, address, method string, req *Req) (*Res, error) {
	res, err := tryOne[Req, Res](ctx, l, address, method, req)
	var hint *NotLeaderError
	if errors.As(err, &hint) && hint.Leader != "" && hint.Leader != address {
		return tryOne[Req, Res](ctx, l, hint.Leader, method, req)
	}
	return res, err
}

// tryOne calls one address and remembers whether it answered.
func tryOne[Req, Res any](ctx context.Context, l *Leader, address, method string, req *Req) (*Res, error) {
	res, err := callOnce[Req, Res](ctx, l, address, method, req)
	switch {
	case err == nil:
		l.prefer(address)
	case errors.Is(err, replica.ErrNotLeader):
	default:
		l.demote(address)
	}
	return res, err
}

func callOnce[Req, Res any](ctx context.Context, l *Leader, address, method string, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return Call[Req, Res](ctx, l.pool, address, method, req)
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
