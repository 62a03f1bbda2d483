package view

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// largeUpdate returns an update with n routes and targets.
func largeUpdate(n int) *instance.ViewUpdate {
	change := &deployment.ConfigChange{Version: 3}
	u := &instance.ViewUpdate{Version: 9, ConfigIndex: 8, ConfigChange: change}
	for i := range n {
		change.Routes = append(change.Routes, deployment.Route{Name: fmt.Sprint("r", i), Host: fmt.Sprint(i*i, ".example"), Timeout: time.Second})
		u.Targets = append(u.Targets, deployment.Target{ID: fmt.Sprint("t", i), Address: fmt.Sprint(i * i)})
	}
	return u
}

func TestParts(t *testing.T) {
	u := largeUpdate(5000)
	assert.Assert(t, isLarge(u))
	p := newPacker()
	data, err := p.pack(packedKey{to: 9}, u)
	assert.NilError(t, err)
	u.Current = true

	t.Run("the assembled update equals the one that was split", func(t *testing.T) {
		var a assembler
		var got *instance.ViewUpdate
		count := 0
		assert.NilError(t, sendParts(u, data, func(part *instance.ViewUpdate) error {
			assert.Assert(t, got == nil)
			assert.Equal(t, part.ConfigIndex, u.ConfigIndex)
			count++
			got, err = a.add(part)
			return err
		}))
		assert.DeepEqual(t, got, u)
		assert.Assert(t, count > 1)
	})
	t.Run("the same update is packed once", func(t *testing.T) {
		again, err := p.pack(packedKey{to: 9}, nil)
		assert.NilError(t, err)
		assert.Equal(t, &again[0], &data[0])
	})
	t.Run("only the last updates are kept", func(t *testing.T) {
		for i := range uint64(3 * maxPacked) {
			_, err := p.pack(packedKey{to: 10 + i}, largeUpdate(1))
			assert.NilError(t, err)
		}
		assert.Equal(t, len(p.packed), maxPacked)
		assert.Equal(t, len(p.keys), maxPacked)
	})
	t.Run("bytes that are no update are an error", func(t *testing.T) {
		var a assembler
		_, err := a.add(&instance.ViewUpdate{Part: []byte("not compressed")})
		assert.Assert(t, err != nil)
	})
	t.Run("a small update is not split", func(t *testing.T) {
		assert.Assert(t, !isLarge(largeUpdate(20)))
	})
}
