// Package cleanup collects clean-up functions and runs them in reverse order.
package cleanup

import (
	"slices"
	"sync"
)

// Stack is a stack of clean-up functions. The zero value is empty. Its methods are
// safe for concurrent use.
type Stack struct {
	mu        sync.Mutex
	functions []func()
}

// Add pushes a function on the stack.
func (s *Stack) Add(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.functions = append(s.functions, f)
}

// Run removes all functions and runs them, the one added last first.
func (s *Stack) Run() {
	s.mu.Lock()
	functions := s.functions
	s.functions = nil
	s.mu.Unlock()
	for _, f := range slices.Backward(functions) {
		f()
	}
}
