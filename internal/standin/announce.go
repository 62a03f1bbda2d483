package standin

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/target"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

func (t *Target) announceSoon() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Target) announceLoop(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		case <-t.wake:
		}
		<-t.gate()
		pause.Reset(t.announce(ctx))
	}
}

// announce sends one heartbeat to the first address that answers and returns
// the pause until the next. An address that does not answer is tried last from
// then on.
func (t *Target) announce(ctx context.Context) time.Duration {
	for range t.addresses {
		asked := t.clock.Now()
		ack, err := t.announceTo(ctx, t.addresses[0])
		if err != nil {
			t.addresses = append(t.addresses[1:], t.addresses[0])
			continue
		}
		t.take(asked, ack)
		if ack.HeartbeatMS > 0 {
			return time.Duration(ack.HeartbeatMS) * time.Millisecond
		}
		break
	}
	return defaultHeartbeat
}

func (t *Target) announcement() target.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return target.Announcement{
		Name:             t.cfg.Name,
		Incarnation:      t.incarnation,
		Service:          t.cfg.Service,
		Address:          t.Address(),
		AvailabilityZone: t.cfg.AvailabilityZone,
		Slots:            t.cfg.Slots,
		Connections:      t.cfg.Connections,
		ChecksFence:      t.cfg.ChecksFence,
		Draining:         t.draining,
		Fence:            t.grants.Fence,
	}
}

func (t *Target) announceTo(ctx context.Context, address string) (target.Acknowledgement, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var ack target.Acknowledgement
	err := postJSON(ctx, "http://"+address+target.AnnouncePath, t.announcement(), &ack)
	return ack, err
}

func (t *Target) take(asked timer.Instant, ack target.Acknowledgement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ack.Accepted {
		return
	}
	if ack.Grants != nil {
		t.applyGrants(*ack.Grants)
	}
	t.lease = t.lease.WithRenewal(asked, time.Duration(ack.LeaseMS)*time.Millisecond, t.grants.Fence)
}

// applyGrants reports whether it accepted the grants. The caller must hold t.mu.
func (t *Target) applyGrants(grants instance.GrantSet) bool {
	if grants.Incarnation != t.incarnation || (t.cfg.ChecksFence && grants.Fence < t.grants.Fence) {
		return false
	}
	if grants.Fence > t.grants.Fence {
		t.announceSoon()
	}
	t.grants = grants
	return true
}
