package instance

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/cranberrywind/cranberrywind/internal/group"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Send queues a message for another instance's replica. It drops the message if the
// queue is full.
func (p *Pool) Send(address string, e group.Envelope) { p.queue(address).add(e) }

// sendQueue holds the messages for one peer. Messages with entries or a snapshot vary in size,
// so that both their number and their bytes are bounded.
type sendQueue struct {
	messages chan group.Envelope
	bytes    atomic.Int64
}

func newSendQueue() *sendQueue { return &sendQueue{messages: make(chan group.Envelope, sendQueueSize)} }

// add queues a message unless the queue is full. A message of any size has room in an empty
// queue.
func (q *sendQueue) add(e group.Envelope) {
	size := payloadBytes(e)
	if total := q.bytes.Add(size); total > sendQueueBytes && total > size {
		q.bytes.Add(-size)
		return
	}
	select {
	case q.messages <- e:
	default:
		q.bytes.Add(-size)
	}
}

// taken records that a message left the queue.
func (q *sendQueue) taken(e group.Envelope) { q.bytes.Add(-payloadBytes(e)) }

// discard empties the queue.
func (q *sendQueue) discard() {
	for {
		select {
		case e := <-q.messages:
			q.taken(e)
		default:
			return
		}
	}
}

// payloadBytes returns the bytes of the commands and of the snapshot in a message.
func payloadBytes(e group.Envelope) int64 {
	total := int64(0)
	for _, x := range e.Message.Entries {
		total += int64(len(x.Data))
	}
	if e.Message.Snapshot != nil {
		total += int64(len(e.Message.Snapshot.Data))
	}
	return total
}

func (p *Pool) queue(address string) *sendQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.sendQueues[address]
	if !ok {
		q = newSendQueue()
		p.sendQueues[address] = q
		go p.sendLoop(address, q)
	}
	return q
}

// sendLoop keeps a stream to the address open and sends the queued messages. After
// an error it reconnects with an empty queue.
func (p *Pool) sendLoop(address string, q *sendQueue) {
	for p.ctx.Err() == nil {
		if err := p.sendOverStream(address, q); err != nil {
			q.discard() // what was queued for a broken connection is stale
			timer.Sleep(p.ctx, reconnectDelay)
		}
	}
}

// errPongTimeout reports a peer that answered no ping for pongTimeout.
var errPongTimeout = errors.New("peer does not answer pings")

// sendOverStream sends messages while the peer answers pings. A connection that loses
// messages in one direction is treated as broken in both: otherwise a leader whose
// messages are lost would still receive its followers' messages and remain leader.
func (p *Pool) sendOverStream(address string, q *sendQueue) error {
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
func sendMessages(s grpc.ClientStream, q *sendQueue, pongs <-chan struct{}) error {
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
		case e = <-q.messages:
			q.taken(e)
		}
		if err := s.SendMsg(&e); err != nil {
			return err
		}
	}
}
