package group

import (
	"context"
	"fmt"
	"slices"

	"github.com/cranberrywind/cranberrywind/internal/wire"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// run carries out a batch of effects. Everything durable goes to disk with one
// sync before any message leaves or any command is applied.
func (g *Group[S]) run(_ context.Context, effects []replica.Effect) error {
	if err := g.persist(effects); err != nil {
		return err
	}
	changed := false
	for _, effect := range effects {
		visible, err := g.runOne(effect)
		if err != nil {
			return err
		}
		changed = changed || visible
	}
	g.answerReads()
	if changed {
		g.watch.wake()
	}
	return nil
}

// runOne carries out one effect and reports whether watchers should look.
func (g *Group[S]) runOne(effect replica.Effect) (bool, error) {
	switch e := effect.(type) {
	case replica.Send:
		g.send(e.Message)
	case replica.Apply:
		g.apply(e.Entries)
		return true, nil
	case replica.Restore:
		return true, g.restore(e.Snapshot)
	case replica.Appended:
		g.placed[e.Index] = placement{token: e.Token, term: e.Term}
	case replica.Rejected:
		g.waiters.finish(e.Token, answer{err: e.Err})
	case replica.ReadReady:
		g.reads = append(g.reads, e)
	case replica.StatusReported:
		g.waiters.finish(e.Token, answer{status: e.Status})
	case replica.MembersChanged:
		g.setMembers(e.Members)
		return true, nil
	case replica.RoleChanged:
		g.setRole(e)
		return true, nil
	}
	return false, nil
}

// persist writes the batch's durable effects as one record.
func (g *Group[S]) persist(effects []replica.Effect) error {
	var batch []replica.Persist
	fresh := false
	for _, effect := range effects {
		p, ok := effect.(replica.Persist)
		if !ok {
			continue
		}
		batch = append(batch, p)
		g.stored = g.stored.WithPersist(p)
		fresh = fresh || p.Snapshot != nil
	}
	if len(batch) == 0 {
		return nil
	}
	if fresh {
		return g.store.Replace(wire.Encode(g.whole()))
	}
	return g.store.Append(wire.Encode(record{Persist: batch}))
}

// whole is the one record that a new log file begins with.
func (g *Group[S]) whole() record {
	all := replica.Persist{Hard: g.stored.Hard, Entries: g.stored.Entries, Snapshot: &g.stored.Snapshot}
	return record{ID: g.self.ID, Persist: []replica.Persist{all}}
}

func (g *Group[S]) send(m replica.Message) {
	g.mu.Lock()
	address := g.addressOf(m.To)
	g.mu.Unlock()
	if address == "" {
		return
	}
	g.cfg.Transport.Send(address, Envelope{Group: g.cfg.Name, FromAddress: g.cfg.Address, Message: m})
}

func (g *Group[S]) apply(entries []replica.Entry) {
	state := g.State().State
	for _, e := range entries {
		var value []byte
		if e.Kind == replica.EntryCommand {
			state, value = state.Apply(e.Index, e.Data)
		}
		g.applied.Store(&Applied[S]{Index: e.Index, State: state})
		g.answerProposal(e, value)
	}
	g.compactIfLong()
}

func (g *Group[S]) answerProposal(e replica.Entry, value []byte) {
	p, ok := g.placed[e.Index]
	if !ok {
		return
	}
	delete(g.placed, e.Index)
	if p.term != e.Term {
		g.waiters.finish(p.token, answer{err: ErrLost})
		return
	}
	g.waiters.finish(p.token, answer{result: Result{Index: e.Index, Value: value}})
}

func (g *Group[S]) restore(s replica.Snapshot) error {
	state, err := g.decode(s)
	if err != nil {
		return fmt.Errorf("restore snapshot at %d: %w", s.Index, err)
	}
	g.applied.Store(&Applied[S]{Index: s.Index, State: state})
	for index, p := range g.placed {
		if index <= s.Index {
			delete(g.placed, index)
			g.waiters.finish(p.token, answer{err: ErrUnknown})
		}
	}
	return nil
}

// answerReads answers the barriers whose index is applied.
func (g *Group[S]) answerReads() {
	applied := g.State().Index
	g.reads = slices.DeleteFunc(g.reads, func(r replica.ReadReady) bool {
		if r.Index > applied {
			return false
		}
		g.waiters.finish(r.Token, answer{})
		return true
	})
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

// compactIfLong encodes the state away from the loop once the log has grown.
func (g *Group[S]) compactIfLong() {
	applied := g.State()
	if applied.Index-g.stored.Snapshot.Index < compactEntries || !g.compacting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.compacting.Store(false)
		_ = g.loop.Send(replica.Compacted{Index: applied.Index, Data: applied.State.Encode()})
	}()
}
