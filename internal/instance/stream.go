package instance

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Send queues a message for another instance's replica. It drops the message if the
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
	q, ok := p.sendQueues[address]
	if !ok {
		q = make(chan group.Envelope, sendQueueSize)
		p.sendQueues[address] = q
		go p.sendLoop(address, q)
	}
	return q
}

// sendLoop keeps a stream to the address open and sends the queued messages. After
// an error it reconnects with an empty queue.
func (p *Pool) sendLoop(address string, q <-chan group.Envelope) {
	for p.ctx.Err() == nil {
		if err := p.sendOverStream(address, q); err != nil {
			discardQueued(q)
			timer.Sleep(p.ctx, reconnectDelay)
		}
	}
}

// discardQueued empties the queue. Messages queued for a broken connection are stale.
func discardQueued(q <-chan group.Envelope) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// errPongTimeout reports a peer that answered no ping for pongTimeout.
var errPongTimeout = errors.New("peer does not answer pings")

// sendOverStream sends messages while the peer answers pings. A connection that loses
// messages in one direction is treated as broken in both: otherwise a leader whose
// messages are lost would still receive its followers' messages and remain leader.
func (p *Pool) sendOverStream(address string, q <-chan group.Envelope) error {
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
	return sendMessages(s, q, pongs)
}

// readPongs signals each of the peer's pongs until the stream ends.
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

// awaitPong sends a first ping and waits for the pong.
func awaitPong(ctx context.Context, s grpc.ClientStream, pongs <-chan struct{}) error {
	if err := s.SendMsg(&group.Envelope{}); err != nil {
		return err
	}
	timeout := time.NewTimer(pongTimeout)
	defer timeout.Stop()
	select {
	case <-pongs:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		return errPongTimeout
	}
}

// sendMessages sends messages and pings until the stream ends or the peer answers no
// ping for pongTimeout. A ping is an empty message.
func sendMessages(s grpc.ClientStream, q <-chan group.Envelope, pongs <-chan struct{}) error {
	ping := time.NewTicker(pingPeriod)
	defer ping.Stop()
	timeout := time.NewTimer(pongTimeout)
	defer timeout.Stop()
	for {
		var e group.Envelope
		select {
		case <-s.Context().Done():
			return s.Context().Err()
		case <-timeout.C:
			return errPongTimeout
		case <-pongs:
			timeout.Reset(pongTimeout)
			continue
		case <-ping.C:
		case e = <-q:
		}
		if err := s.SendMsg(&e); err != nil {
			return err
		}
	}
}
