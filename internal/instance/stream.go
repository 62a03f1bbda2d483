package instance

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

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
			timer.Sleep(p.ctx, redialPause)
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
