package replica_test

import (
	"fmt"
	"slices"

	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// node is one replica with what its disk holds and what it applied.
type node struct {
	replica replica.Replica
	stored  replica.Stored
	applied map[uint64]string
	up      bool
}

// cluster runs replicas on a network that the test controls.
type cluster struct {
	nodes    map[replica.ID]*node
	network  []replica.Message
	cut      map[replica.ID]bool // replicas whose messages are lost
	oneWay   map[replica.ID]bool // replicas that send but receive nothing
	applied  map[uint64]string   // what any replica applied, by index
	leaders  map[uint64]replica.ID
	acked    map[string]bool // proposals whose proposer saw them applied
	placed   map[replica.ID]map[uint64]uint64
	reads    map[uint64]uint64 // commit known to the test when a read was asked
	faults   []string
	seed     uint64
	nextRead uint64
}

func ids(n int) []replica.ID {
	out := make([]replica.ID, n)
	for i := range out {
		out[i] = replica.ID(fmt.Sprintf("r%d", i+1))
	}
	return out
}

func membersOf(names ...replica.ID) replica.Members {
	var m replica.Members
	for _, id := range names {
		m.Voters = append(m.Voters, replica.Member{ID: id, Instance: string(id)})
	}
	return m
}

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{
		nodes:   make(map[replica.ID]*node),
		cut:     make(map[replica.ID]bool),
		oneWay:  make(map[replica.ID]bool),
		applied: make(map[uint64]string),
		leaders: make(map[uint64]replica.ID),
		acked:   make(map[string]bool),
		placed:  make(map[replica.ID]map[uint64]uint64),
		reads:   make(map[uint64]uint64),
		seed:    seed,
	}
	members := membersOf(ids(n)...)
	for _, id := range ids(n) {
		c.add(id)
		c.step(id, replica.Formed{Members: members})
	}
	return c
}

func (c *cluster) config(id replica.ID) replica.Config {
	return replica.Config{ID: id, ElectionTicks: 8, HeartbeatTicks: 2, MaxAppendBytes: 64, Seed: c.seed + uint64(len(id))*7 + uint64(id[len(id)-1])}
}

// add starts a replica with an empty disk.
func (c *cluster) add(id replica.ID) {
	c.nodes[id] = &node{replica: replica.New(c.config(id), replica.Stored{}), applied: make(map[uint64]string), up: true}
	c.placed[id] = make(map[uint64]uint64)
}

func (c *cluster) sorted() []replica.ID {
	var out []replica.ID
	for id := range c.nodes {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// step feeds one event and carries out its effects.
func (c *cluster) step(id replica.ID, e replica.Event) { c.stepUntil(id, e, -1) }

// stepUntil carries out only the first n effects and crashes then; all where n
// is negative.
func (c *cluster) stepUntil(id replica.ID, e replica.Event, n int) {
	x := c.nodes[id]
	if !x.up {
		return
	}
	next, effects := x.replica.Update(e)
	x.replica = next
	for i, effect := range effects {
		if i == n {
			c.crash(id)
			return
		}
		c.run(id, x, effect)
	}
	c.checkLeader(id, x)
}

func (c *cluster) run(id replica.ID, x *node, effect replica.Effect) {
	switch e := effect.(type) {
	case replica.Persist:
		x.stored = x.stored.WithPersist(e)
	case replica.Send:
		c.send(e.Message)
	case replica.Apply:
		for _, entry := range e.Entries {
			c.apply(id, x, entry)
		}
	case replica.Restore:
		x.applied = decode(e.Snapshot.Data)
	case replica.Appended:
		c.placed[id][e.Index] = e.Term
	case replica.ReadReady:
		if e.Index < c.reads[e.Token] {
			c.fault("read %d at %s saw index %d, but %d was committed before", e.Token, id, e.Index, c.reads[e.Token])
		}
	}
}

func (c *cluster) send(m replica.Message) {
	if c.cut[m.From] || c.cut[m.To] || c.oneWay[m.To] {
		return
	}
	c.network = append(c.network, m)
}

func (c *cluster) apply(id replica.ID, x *node, e replica.Entry) {
	value := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
	if known, ok := c.applied[e.Index]; ok && known != value {
		c.fault("index %d: %s applied %q, another applied %q", e.Index, id, value, known)
	}
	c.applied[e.Index] = value
	x.applied[e.Index] = value
	if c.placed[id][e.Index] == e.Term && e.Kind == replica.EntryCommand {
		c.acked[string(e.Data)] = true
	}
}

func (c *cluster) checkLeader(id replica.ID, x *node) {
	if !x.up || x.replica.Role() != replica.Leader {
		return
	}
	term := x.replica.Term()
	if other, ok := c.leaders[term]; ok && other != id {
		c.fault("term %d has leaders %s and %s", term, other, id)
	}
	c.leaders[term] = id
}

func (c *cluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *cluster) crash(id replica.ID) { c.nodes[id].up = false }

// restart starts a replica with what its disk holds.
func (c *cluster) restart(id replica.ID) {
	x := c.nodes[id]
	if x.up {
		return
	}
	x.up = true
	x.replica = replica.New(c.config(id), x.stored)
	x.applied = decode(x.stored.Snapshot.Data)
	c.placed[id] = make(map[uint64]uint64)
}

// deliver takes a message out of the network.
func (c *cluster) deliver(i int, keep bool) {
	m := c.network[i]
	if !keep {
		c.network = slices.Delete(c.network, i, i+1)
	}
	if _, ok := c.nodes[m.To]; !ok || c.cut[m.To] || c.cut[m.From] || c.oneWay[m.To] {
		return
	}
	c.step(m.To, replica.Received{Message: m})
}

// settle lets time pass without faults.
func (c *cluster) settle(ticks int) {
	for range ticks {
		for _, id := range c.sorted() {
			c.step(id, replica.Ticked{})
		}
		for len(c.network) > 0 {
			c.deliver(0, false)
		}
	}
}

func (c *cluster) leader() (replica.ID, bool) {
	var best replica.ID
	var term uint64
	for _, id := range c.sorted() {
		x := c.nodes[id]
		if x.up && x.replica.Role() == replica.Leader && x.replica.Term() > term {
			best, term = id, x.replica.Term()
		}
	}
	return best, best != ""
}

func (c *cluster) propose(id replica.ID, data string) {
	c.step(id, replica.Proposed{Data: []byte(data)})
}

func (c *cluster) read(id replica.ID) {
	c.nextRead++
	var highest uint64
	for index := range c.applied {
		highest = max(highest, index)
	}
	c.reads[c.nextRead] = highest
	c.step(id, replica.ReadRequested{Token: c.nextRead})
}

// compact makes a snapshot of what the replica applied.
func (c *cluster) compact(id replica.ID) {
	x := c.nodes[id]
	if !x.up {
		return
	}
	index := x.replica.Commit()
	c.step(id, replica.Compacted{Index: index, Data: encode(x.applied)})
}

func encode(applied map[uint64]string) []byte {
	var out []byte
	for index, value := range applied {
		out = fmt.Appendf(out, "%d=%s\n", index, value)
	}
	return out
}

func decode(data []byte) map[uint64]string {
	out := make(map[uint64]string)
	for line := range slices.Values(splitLines(data)) {
		var index uint64
		var value string
		if _, err := fmt.Sscanf(line, "%d=%s", &index, &value); err == nil {
			out[index] = value
		}
	}
	return out
}

func splitLines(data []byte) []string {
	var out []string
	start := 0
	for i, b := range data {
		if b == '\n' {
			out = append(out, string(data[start:i]))
			start = i + 1
		}
	}
	return out
}

// checkLogs compares the logs of all replicas: two entries with the same index
// and term are the same, and so are all before them.
func (c *cluster) checkLogs() {
	type position struct{ index, term uint64 }
	seen := make(map[position]string)
	for _, id := range c.sorted() {
		for _, e := range c.nodes[id].stored.Entries {
			p := position{e.Index, e.Term}
			value := fmt.Sprintf("%d/%s", e.Kind, e.Data)
			if known, ok := seen[p]; ok && known != value {
				c.fault("entry %d of term %d is %q at %s, %q elsewhere", e.Index, e.Term, value, id, known)
			}
			seen[p] = value
		}
	}
}
