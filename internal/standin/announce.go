package standin

import (
	"context"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/target"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// wakeAnnouncer makes announceLoop send the next heartbeat at once.
func (t *Target) wakeAnnouncer() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// announceLoop sends heartbeats until ctx ends, and none while the target is frozen.
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
		<-t.thawedChan()
		pause.Reset(t.announce(ctx))
	}
}

// announce sends one heartbeat to the first address that answers and returns the time
// to wait before the next. An address that fails moves to the end of the list.
func (t *Target) announce(ctx context.Context) time.Duration {
	for range t.addresses {
		sentAt := t.clock.Now()
		ack, err := t.announceTo(ctx, t.addresses[0])
		if err != nil {
			t.addresses = append(t.addresses[1:], t.addresses[0])
			continue
		}
		t.applyAcknowledgement(sentAt, ack)
		if ack.HeartbeatMS > 0 {
			return time.Duration(ack.HeartbeatMS) * time.Millisecond
		}
		break
	}
	return defaultHeartbeatInterval
}

// announcement returns the heartbeat for the target's present state.
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

// applyAcknowledgement applies the grants in the acknowledgement of a heartbeat and
// renews the lease, which runs from sentAt, when the heartbeat was sent.
func (t *Target) applyAcknowledgement(sentAt timer.Instant, ack target.Acknowledgement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ack.Accepted {
		return
	}
	if ack.Grants != nil {
		t.applyGrants(*ack.Grants)
	}
	t.lease = t.lease.WithRenewal(sentAt, time.Duration(ack.LeaseMS)*time.Millisecond, t.grants.Fence)
}

// applyGrants replaces the target's grants and reports whether it accepted the new
// ones. It rejects grants for another incarnation and, if the target checks fences,
// grants with an older fence. The caller must hold t.mu.
func (t *Target) applyGrants(grants instance.GrantSet) bool {
	if grants.Incarnation != t.incarnation || (t.cfg.ChecksFence && grants.Fence < t.grants.Fence) {
		return false
	}
	if grants.Fence > t.grants.Fence {
		t.wakeAnnouncer()
	}
	t.grants = grants
	return true
}
