package cleanup_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/cleanup"
)

func TestRun(t *testing.T) {
	var s cleanup.Stack
	var order []int
	for n := range 3 {
		s.Add(func() { order = append(order, n) })
	}
	s.Run()
	s.Run()
	assert.DeepEqual(t, order, []int{2, 1, 0})
}
