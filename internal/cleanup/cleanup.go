// Package cleanup collects clean-up functions.
package cleanup

import (
	"slices"
	"sync"
)

// Stack runs clean-up functions in the opposite order of their coming. The zero
// value is empty. Its methods are safe for concurrent use.
type Stack struct {
	mu        sync.Mutex
	functions []func()
}

// Add puts a function on the stack.
func (s *Stack) Add(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.functions = append(s.functions, f)
}

// Run runs and forgets all functions, the last one first.
func (s *Stack) Run() {
	s.mu.Lock()
	functions := s.functions
	s.functions = nil
	s.mu.Unlock()
	for _, f := range slices.Backward(functions) {
		f()
	}
}
