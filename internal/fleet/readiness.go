package fleet

import "errors"

// errStopping is the reason reported to the balancer during a graceful shutdown.
var errStopping = errors.New("instance is stopping")

// errNoConfiguration is the reason reported to the balancer until a configuration is
// known.
var errNoConfiguration = errors.New("no configuration is known yet")

// errNoTargets is the reason reported to the balancer while neither a target nor another
// entry can be reached.
var errNoTargets = errors.New("no target can be reached")

// errNotConfirmed is the reason reported to the balancer until a control instance that has a
// leader has confirmed the view.
var errNotConfirmed = errors.New("no control instance with a leader has confirmed the view yet")

// ready returns nil if the balancer should send new connections to this entry, or the
// reason why not. It logs each change.
func (i *Instance) ready() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	err := i.readiness()
	if i.asked && errors.Is(err, i.lastReadiness) {
		return err
	}
	i.asked, i.lastReadiness = true, err
	v := i.follower.View()
	if err != nil {
		i.log.Warn("entry is not ready", "reason", err, "config_version", v.Config.Version, "view_version", v.Version)
	} else {
		i.log.Info("entry is ready", "config_version", v.Config.Version, "config_index", v.ConfigIndex, "view_version", v.Version)
	}
	return err
}

// readiness returns what ready reports. The caller holds i.mu.
func (i *Instance) readiness() error {
	switch {
	case i.stopping:
		return errStopping
	case i.follower.View().ConfigIndex == 0:
		return errNoConfiguration
	case !i.follower.Confirmed():
		return errNotConfirmed
	case !i.entry.CanServe():
		return errNoTargets
	}
	return nil
}
