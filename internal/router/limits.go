package router

import "github.com/cranberrywind/cranberrywind/internal/control"

// FixedLimit lets each entry use all slots of a target on its own. It is the
// baseline that other policies are measured against.
func FixedLimit(t control.Target, _ int) int { return max(t.Slots, 1) }
