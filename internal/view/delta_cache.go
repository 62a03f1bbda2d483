package view

import (
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// deltaCache keeps the last update between two states. All entries of a control instance
// are sent the same ones at about the same time, and working one out takes longer the more
// targets there are.
type deltaCache struct {
	mu   sync.Mutex
	key  packedKey
	last *instance.ViewUpdate
	load PublisherLoad
}

// PublisherLoad counts the updates of the view that were sent to entries with an earlier one.
type PublisherLoad struct {
	Sent    uint64        `json:"sent"`
	Made    uint64        `json:"made"` // the others were shared
	Making  time.Duration `json:"making_nanoseconds"`
	Longest time.Duration `json:"longest_nanoseconds"`
}

// delta returns a copy of the update from one state to another. The copy's slices are shared
// and must not be changed.
func (c *deltaCache) delta(key packedKey, old *deployment.State, state deployment.State) *instance.ViewUpdate {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load.Sent++
	if c.last == nil || c.key != key {
		start := timer.BootTime()
		c.key, c.last = key, Delta(old, state)
		took := timer.BootTime() - start
		c.load.Made++
		c.load.Making += took
		c.load.Longest = max(c.load.Longest, took)
	}
	out := *c.last
	return &out
}

func (c *deltaCache) read() PublisherLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load
}
