package instance

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// maxSilence is the time without a byte after which a connection is replaced on which
	// something is due. It may have gone silent without a reset, while new ones work, and gRPC
	// finds that only after its keepalive time of ten seconds. A full link delays packets for
	// less.
	maxSilence = 1500 * time.Millisecond
	// silencePoll is how often a stream of updates is checked for it.
	silencePoll = 500 * time.Millisecond
	// minReplaceInterval is the least time between two replacements of a connection: the
	// instance may be too busy to answer.
	minReplaceInterval = 3 * time.Second
)

// silence tells since when no byte has come from an address, at which calls time out. Times are
// those of the boot clock.
type silence struct {
	received   int64 // bytes received until then
	since      time.Duration
	replacedAt time.Duration // when the connection was last replaced; 0 for never
}

// noteSilence replaces the connection after a call has timed out if it has been silent for
// maxSilence, through this call and earlier ones. The call was sent at the time sent of the boot
// clock, when the number of bytes had been received.
func (p *Pool) noteSilence(address string, c *grpc.ClientConn, received int64, sent time.Duration) {
	now := timer.BootTime()
	total := p.BytesReceived(address)
	p.mu.Lock()
	s := p.silences[address]
	switch {
	case total != received:
		s.received, s.since = total, now
	case s.received != received || s.since == 0 || s.since > sent:
		s.received, s.since = received, sent
	}
	p.silences[address] = s
	p.mu.Unlock()
	if now-s.since >= maxSilence {
		p.replace(address, c)
	}
}

// watchSilence replaces the connection of a stream of updates whenever it has been silent for
// maxSilence, until ctx ends. Updates come several times a second.
func (p *Pool) watchSilence(ctx context.Context, address string, c *grpc.ClientConn) {
	received, at := p.BytesReceived(address), timer.BootTime()
	for timer.Sleep(ctx, silencePoll) {
		now := timer.BootTime()
		if n := p.BytesReceived(address); n != received {
			received, at = n, now
			continue
		}
		if now-at >= maxSilence {
			p.replace(address, c)
			return
		}
	}
}

// replace closes a connection, so that the next call opens another one. Calls and streams on it
// fail.
func (p *Pool) replace(address string, c *grpc.ClientConn) {
	p.mu.Lock()
	s, now := p.silences[address], timer.BootTime()
	if p.conns[address] != c || s.replacedAt > 0 && now-s.replacedAt < minReplaceInterval {
		p.mu.Unlock()
		return
	}
	p.silences[address] = silence{replacedAt: now}
	delete(p.conns, address)
	p.mu.Unlock()
	_ = c.Close()
}
