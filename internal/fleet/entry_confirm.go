package fleet

import (
	"context"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// entryConfirmCalls is the number of calls for a confirmation that an entry makes within the time
// for which one is valid. It bounds the calls in flight as well.
const entryConfirmCalls = 8

// confirmConfigs asks control instances for the newest configuration and the targets that have
// ended until ctx ends, while reports bring no confirmation in time. A report and its answer
// carry much more, have a shorter time limit, and wait for the leader.
func (i *Instance) confirmConfigs(ctx context.Context) {
	timer.Every(ctx, i.clock, i.cfg.ConfigApply/entryConfirmCalls, func() {
		if i.follower.ConfirmationDue() {
			go i.confirmConfig(ctx)
		}
	})
}

// confirmConfig asks one control instance for the newest configuration. After a failure, or a
// confirmation that is old, the next call goes to another one.
func (i *Instance) confirmConfig(ctx context.Context) {
	address := i.follower.Source()
	if control := i.follower.View().Control; len(control) > 0 {
		address = i.collectors.choose(i.cfg.Name, control)
	}
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, i.cfg.ConfigApply)
	defer cancel()
	sentAt := timer.BootTime()
	req := &instance.ConfirmConfigRequest{Relayed: true, TargetsKnown: i.follower.TargetsKnown()}
	a, err := instance.Call[instance.ConfirmConfigRequest, instance.ConfigConfirmation](ctx, i.pool, address, "ConfirmConfig", req)
	if err == nil {
		i.follower.ConfirmConfig(a, sentAt)
	}
	if err != nil || a.Age > i.cfg.ConfigApply/2 {
		i.collectors.nearby.Failed(address)
		i.collectors.failures.Add(1)
		i.log.Debug("configuration not confirmed", "address", address, "error", err)
	}
}
