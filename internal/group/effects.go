package group

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// runEffects carries out a batch of effects. All Persist effects are written to
// disk with one sync before any command is passed to the applier, and before any message is
// sent but those that confirm a leadership.
func (g *Group[S]) runEffects(_ context.Context, effects []replica.Effect) error {
	if err := g.applier.failure(); err != nil {
		return err
	}
	if err := g.raiseFileLevel(); err != nil {
		return err
	}
	effects, err := g.runConfirmations(effects)
	if err != nil {
		return err
	}
	if err := g.persist(effects); err != nil {
		return err
	}
	anyChange := false
	for _, effect := range effects {
		changed, err := g.runEffect(effect)
		if err != nil {
			return err
		}
		anyChange = anyChange || changed
	}
	g.resolveReads()
	g.compactIfLong()
	if anyChange {
		g.notifier.notify()
	}
	return nil
}

// runConfirmations carries out the effects that confirm a leadership and returns the others.
// A leader that waits for disks to confirm its leadership can't act while they are busy.
func (g *Group[S]) runConfirmations(effects []replica.Effect) ([]replica.Effect, error) {
	termStored := !slices.ContainsFunc(effects, func(effect replica.Effect) bool {
		p, ok := effect.(replica.Persist)
		return ok && p.Hard != g.stored.Hard
	})
	var others []replica.Effect
	for _, effect := range effects {
		if !termStored || !confirms(effect) {
			others = append(others, effect)
			continue
		}
		if _, err := g.runEffect(effect); err != nil {
			return nil, err
		}
	}
	g.resolveReads()
	return others, nil
}

// confirms reports whether an effect is a part of confirming a leadership that needs nothing on
// disk but the term.
func confirms(effect replica.Effect) bool {
	switch e := effect.(type) {
	case replica.Send:
		return e.Message.Kind == replica.MsgHeartbeat || e.Message.Kind == replica.MsgHeartbeatResponse
	case replica.ReadReady:
		return true
	default:
		return false
	}
}

// runEffect carries out one effect and reports whether it changed what Watch
// reports.
func (g *Group[S]) runEffect(effect replica.Effect) (bool, error) {
	switch e := effect.(type) {
	case replica.Send:
		g.send(e.Message)
	case replica.Apply, replica.Restore, replica.Recovered:
		g.applier.add(e)
	case replica.Appended:
		g.proposals.add(e)
	case replica.Rejected:
		g.waiters.resolve(e.Token, outcome{err: e.Err})
	case replica.ReadReady:
		c := Confirmation{Sent: g.roundsSentAt[e.Round], Answered: timer.BootTime()}
		maps.DeleteFunc(g.roundsSentAt, func(round uint64, _ time.Duration) bool { return round < e.Round })
		g.reads.add(confirmedRead{ReadReady: e, confirmation: c})
	case replica.StatusReported:
		g.waiters.resolve(e.Token, outcome{status: e.Status})
	case replica.MembersChanged:
		g.setMembers(e.Members)
		return true, nil
	case replica.RoleChanged:
		g.setRole(e)
		return true, nil
	}
	return false, nil
}

// persist writes the batch's Persist effects to disk as one record. A snapshot
// starts a new log file.
func (g *Group[S]) persist(effects []replica.Effect) error {
	var batch []replica.Persist
	newSnapshot := false
	for _, effect := range effects {
		p, ok := effect.(replica.Persist)
		if !ok {
			continue
		}
		batch = append(batch, p)
		g.stored = g.stored.WithPersist(p)
		newSnapshot = newSnapshot || p.Snapshot != nil
	}
	if len(batch) == 0 {
		return nil
	}
	defer g.syncs.start()()
	if newSnapshot {
		if err := g.store.Replace(g.frame(g.fullRecord())); err != nil {
			return err
		}
		g.snapshotStored()
		return nil
	}
	return g.store.Append(g.frame(record{Persist: batch}))
}

// fullRecord returns the first record of a new log file, with everything stored.
func (g *Group[S]) fullRecord() record {
	all := replica.Persist{Hard: g.stored.Hard, Entries: g.stored.Entries, Snapshot: &g.stored.Snapshot}
	return record{ID: g.self.ID, Persist: []replica.Persist{all}}
}

func (g *Group[S]) send(m replica.Message) {
	if _, known := g.roundsSentAt[m.Round]; m.Kind == replica.MsgHeartbeat && !known {
		g.roundsSentAt[m.Round] = timer.BootTime()
	}
	g.mu.Lock()
	address := g.addressOf(m.To)
	g.mu.Unlock()
	if address == "" {
		return
	}
	g.cfg.Transport.Send(address, Envelope{Group: g.wireName(), FromAddress: g.cfg.Address, Message: m, Level: g.cfg.Level})
}

func (g *Group[S]) setMembers(m replica.Members) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = m
}

func (g *Group[S]) setRole(e replica.RoleChanged) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.role = e
}
