package view

import (
	"sync"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// deltaCache keeps the last update between two states. All entries of a control instance
// are sent the same ones at about the same time, and working one out takes longer the more
// targets there are.
type deltaCache struct {
	mu   sync.Mutex
	key  packedKey
	last *instance.ViewUpdate
}

// delta returns a copy of the update from one state to another. The copy's slices are shared
// and must not be changed.
func (c *deltaCache) delta(key packedKey, old *deployment.State, state deployment.State) *instance.ViewUpdate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil || c.key != key {
		c.key, c.last = key, Delta(old, state)
	}
	out := *c.last
	return &out
}
