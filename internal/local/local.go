// Package local runs a whole deployment in one process on loopback addresses:
// instances, all with the entry role and some with the control role, stand-in targets
// for each service and an accepted configuration. The dev command and tests use it.
package local

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cranberrywind/cranberrywind/examples"
	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/daemon"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/settings"
	"github.com/cranberrywind/cranberrywind/internal/standin"
)

// ErrNotReady reports that a deployment did not become ready within the timeout, or
// that no instance is running.
var ErrNotReady = errors.New("deployment is not ready")

// Deployment is a running deployment. Instances, Targets and Config describe its
// instances, its started targets and the source of its accepted configuration.
type Deployment struct {
	opts      options
	ctx       context.Context
	memberKey ed25519.PrivateKey
	settings  []settings.Instance
	Instances []*Instance
	Targets   []*standin.Target
	Config    string
}

// Instance is one of the deployment's instances. Daemon is nil while it is stopped.
type Instance struct {
	Settings settings.Instance
	Daemon   *daemon.Daemon
	stop     func()
}

// memberName names the only member of a local deployment's configuration.
const memberName = "local"

// Start starts a deployment that stores its data under dir. It returns the deployment
// and a function that stops it.
func Start(ctx context.Context, dir string, opts ...Option) (*Deployment, func(), error) {
	d := &Deployment{opts: newOptions(opts)}
	ctx, cancel := context.WithCancel(ctx)
	d.ctx = ctx
	stop := func() {
		d.stopAll()
		cancel()
	}
	if err := d.start(dir); err != nil {
		stop()
		return nil, nil, err
	}
	return d, stop, nil
}

func (d *Deployment) start(dir string) error {
	if err := d.prepare(dir); err != nil {
		return err
	}
	for _, cfg := range d.settings {
		d.Instances = append(d.Instances, &Instance{Settings: cfg})
	}
	for i := range d.Instances {
		if err := d.StartInstance(i); err != nil {
			return err
		}
	}
	if err := d.AcceptConfig(d.Config); err != nil {
		return err
	}
	return d.startTargets()
}

// prepare generates the member's key, the instances' settings and the configuration.
func (d *Deployment) prepare(dir string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("generate member key: %w", err)
	}
	d.memberKey = private
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var peers []settings.Peer
	for i := range d.opts.instances {
		cfg, err := d.instanceSettings(i, zones[i%len(zones)], dir)
		if err != nil {
			return err
		}
		d.settings = append(d.settings, cfg)
		if cfg.Control {
			peers = append(peers, settings.Peer{Name: cfg.Name, Address: cfg.Address})
		}
	}
	for i := range d.settings {
		d.settings[i].Bootstrap = peers
	}
	source := d.opts.config
	if source == "" {
		if source, err = examples.Config(d.opts.deployment); err != nil {
			return err
		}
	}
	d.Config = d.buildConfig(source, public)
	return nil
}

func (d *Deployment) instanceSettings(i int, zone, dir string) (settings.Instance, error) {
	name := fmt.Sprintf("i%d", i+1)
	cfg := settings.Instance{
		Name:             name,
		AvailabilityZone: zone,
		Entry:            true,
		Control:          i < d.opts.controls,
		DataDir:          filepath.Join(dir, name),
		LogLevel:         "info",
		Capacity:         d.opts.capacity,
		Drain:            d.opts.drain,
		CallerAddress:    d.opts.caller,
		OperatorAddress:  d.opts.operator,
	}
	if i > 0 {
		cfg.CallerAddress, cfg.OperatorAddress = "", ""
	}
	for _, address := range []*string{&cfg.Address, &cfg.CallerAddress, &cfg.TargetAddress, &cfg.OperatorAddress} {
		if *address != "" {
			continue
		}
		freeAddress, err := FreeAddress()
		if err != nil {
			return cfg, err
		}
		*address = freeAddress
	}
	return cfg, nil
}

// buildConfig returns a configuration with this deployment's member and instances,
// followed by source from its [bookings] section on.
func (d *Deployment) buildConfig(source string, public ed25519.PublicKey) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[deployment]\nname = %s\n", d.opts.deployment)
	fmt.Fprintf(&b, "\n[member %s]\npublic_key = %s\n", memberName, base64.StdEncoding.EncodeToString(public))
	for _, cfg := range d.settings {
		roles := "entry"
		if cfg.Control {
			roles = "entry, control"
		}
		fmt.Fprintf(&b, "\n[instance %s]\naddress = %s\navailability_zone = %s\nroles = %s\n", cfg.Name, cfg.Address, cfg.AvailabilityZone, roles)
	}
	b.WriteString("\n" + source[strings.Index(source, "[bookings]"):])
	return b.String()
}

// StartInstance starts or restarts the instance with index i.
func (d *Deployment) StartInstance(i int) error {
	inst := d.Instances[i]
	running, stop, err := daemon.Start(d.ctx, inst.Settings, d.opts.timing, d.opts.log)
	if err != nil {
		return err
	}
	inst.Daemon, inst.stop = running, stop
	return nil
}

// StopInstance stops the instance with index i without draining it. It does nothing
// if the instance is stopped already.
func (d *Deployment) StopInstance(i int) {
	if inst := d.Instances[i]; inst.stop != nil {
		inst.stop()
		inst.stop, inst.Daemon = nil, nil
	}
}

func (d *Deployment) stopAll() {
	for i := range d.Instances {
		d.StopInstance(i)
	}
}

const (
	waitTimeout  = 30 * time.Second // of AcceptConfig, WaitReady and WaitTargets
	pollInterval = 20 * time.Millisecond
)

// AcceptConfig proposes a configuration and votes for it, and returns once it is
// accepted.
func (d *Deployment) AcceptConfig(source string) error {
	ctx, cancel := context.WithTimeout(d.ctx, waitTimeout)
	defer cancel()
	base := uint64(0)
	changeID := "local-" + control.Hash([]byte(source))[:12]
	if running := d.runningDaemon(); running == nil {
		return ErrNotReady
	}
	if state, err := d.State(ctx); err == nil {
		accepted, _ := state.Config()
		base = accepted.Version
	}
	propose := control.Propose{ChangeID: changeID, Base: base, Source: []byte(source)}
	res, err := retry(ctx, func() (*instance.ChangeResponse, error) {
		return d.runningDaemon().Propose(ctx, &instance.ProposeRequest{Propose: propose})
	})
	if err != nil {
		return err
	}
	if res.Result.Reason != "" {
		return fmt.Errorf("configuration rejected: %s", res.Result.Reason)
	}
	vote := control.Vote{ChangeID: changeID, Member: memberName, Yes: true}
	vote.Signature = ed25519.Sign(d.memberKey, control.Ballot(changeID, base, control.Hash(propose.Source), memberName, true))
	res, err = retry(ctx, func() (*instance.ChangeResponse, error) {
		return d.runningDaemon().Vote(ctx, &instance.VoteRequest{Vote: vote})
	})
	if err != nil {
		return err
	}
	if res.Result.Change.State != control.ChangeAccepted {
		return fmt.Errorf("configuration not accepted: state %q: %s", res.Result.Change.State, res.Result.Reason)
	}
	d.Config = source
	return nil
}

// retry repeats call until it succeeds or ctx ends.
func retry[T any](ctx context.Context, call func() (T, error)) (T, error) {
	for {
		out, err := call()
		if err == nil || ctx.Err() != nil {
			return out, err
		}
		time.Sleep(pollInterval)
	}
}

// runningDaemon returns the daemon of the first running instance, or nil if none is
// running.
func (d *Deployment) runningDaemon() *daemon.Daemon {
	i := slices.IndexFunc(d.Instances, func(inst *Instance) bool { return inst.Daemon != nil })
	if i < 0 {
		return nil
	}
	return d.Instances[i].Daemon
}

// State returns the control state, read through the control leader.
func (d *Deployment) State(ctx context.Context) (control.State, error) {
	res, err := d.runningDaemon().Status(ctx, &instance.StatusRequest{})
	if err != nil {
		return control.State{}, err
	}
	return control.Decode(res.State)
}

func (d *Deployment) startTargets() error {
	parsed, err := config.Parse("text", []byte(d.Config))
	if err != nil {
		return err
	}
	for _, s := range parsed.Services {
		for n := range d.opts.targets {
			if _, err := d.StartTarget(s, fmt.Sprintf("%s-%d", s.Name, n+1)); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartTarget starts a stand-in target of a service, after applying changes to the
// target's configuration.
func (d *Deployment) StartTarget(s config.Service, name string, changes ...func(*standin.Config)) (*standin.Target, error) {
	var announce []string
	for _, inst := range d.Instances {
		announce = append(announce, inst.Settings.TargetAddress)
	}
	cfg := standin.Config{
		Name:             name,
		Service:          s.Name,
		Kind:             string(s.Kind),
		Address:          "127.0.0.1:0",
		AvailabilityZone: "zone-a",
		Slots:            d.opts.slots,
		Connections:      d.opts.connections,
		ChecksFence:      d.opts.checksFence,
		Announce:         announce,
		Work:             d.opts.work,
		DownloadBytes:    d.opts.downloadBytes,
	}
	for _, change := range changes {
		change(&cfg)
	}
	t, _, err := standin.Start(d.ctx, cfg)
	if err != nil {
		return nil, err
	}
	d.Targets = append(d.Targets, t)
	return t, nil
}

// newLogger returns a logger that discards its output.
func newLogger() *log.Logger { return log.New(discard{}) }

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
