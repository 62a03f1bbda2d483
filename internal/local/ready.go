package local

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
)

// WaitReady waits until all targets are live, every range has an owner that serves it,
// and every running instance routes by that state.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if d.ready(ctx) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ErrNotReady
}

// WaitTargets waits until all targets are live and every running instance routes by
// that state. Unlike WaitReady it does not wait for owners to serve their ranges.
func (d *Deployment) WaitTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if state, err := d.State(ctx); err == nil && liveTargets(state) >= len(d.Targets) && d.RoutesVersion(state) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ErrNotReady
}

// Owner returns the target that owns a key.
func (d *Deployment) Owner(ctx context.Context, service, key string) (keyspace.Owner, error) {
	state, err := d.State(ctx)
	if err != nil {
		return keyspace.Owner{}, err
	}
	table, ok := state.Table(service)
	if !ok {
		return keyspace.Owner{}, fmt.Errorf("service %q has no keys", service)
	}
	return table.Lookup(keyspace.PointOf(service + "/" + key)).Owner, nil
}

func (d *Deployment) ready(ctx context.Context) bool {
	state, err := d.State(ctx)
	if err != nil {
		return false
	}
	return liveTargets(state) >= len(d.Targets) && allActive(state) && d.RoutesVersion(state)
}

func liveTargets(state control.State) int {
	live := 0
	for _, t := range state.Targets() {
		if t.Status == control.TargetLive {
			live++
		}
	}
	return live
}

// RoutesVersion reports whether every running instance routes by the version of state
// or a later one.
func (d *Deployment) RoutesVersion(state control.State) bool {
	for _, inst := range d.Instances {
		if inst.Daemon != nil && !inst.Daemon.RoutesVersion(state.Version()) {
			return false
		}
	}
	return true
}

// allActive reports whether every range of every keyed service is active.
func allActive(state control.State) bool {
	_, parsed := state.Config()
	for _, s := range parsed.Services {
		table, ok := state.Table(s.Name)
		if !ok {
			continue
		}
		for _, r := range table.Ranges() {
			if r.Phase != keyspace.Active {
				return false
			}
		}
	}
	return true
}
