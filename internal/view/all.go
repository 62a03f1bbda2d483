package view

import (
	"iter"
	"maps"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
)

// All returns all known targets, also those that may get no requests, in no certain order.
func (v *View) All() iter.Seq[deployment.Target] { return maps.Values(v.targets) }
