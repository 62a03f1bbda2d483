package router

import (
	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/topk"
)

const (
	trackedRanges  = 256 // per service
	trackedKeys    = 64  // per service
	reportedRanges = 64
	reportedKeys   = 8
)

// LoadRequested asks for a report of the requests counted since the last one.
type LoadRequested struct{}

// LoadReport carries the counts of requests by range and key at this entry.
type LoadReport struct{ Services []control.ServiceLoad }

func (LoadRequested) isEvent() {}
func (LoadReport) isEffect()   {}

// requestCounts counts callers' requests for one service by range and by key, whatever
// their results.
type requestCounts struct {
	ranges *topk.Counter[keyspace.Point]
	keys   *topk.Counter[keyspace.Point]
}

// countRequest counts a request with a key, but not its retries.
func (r *Router) countRequest(service config.Service, e Arrived) {
	if e.Retry || !service.Keyed() {
		return
	}
	table, ok := r.view.Tables[service.Name]
	if !ok {
		return
	}
	c, ok := r.requestCounts[service.Name]
	if !ok {
		c = &requestCounts{ranges: topk.New[keyspace.Point](trackedRanges), keys: topk.New[keyspace.Point](trackedKeys)}
		r.requestCounts[service.Name] = c
	}
	c.ranges.Add(table.Lookup(e.Point).Start)
	c.keys.Add(e.Point)
}

// reportLoad returns the counts and resets them.
func (r *Router) reportLoad() []Effect {
	var out LoadReport
	for name, c := range r.requestCounts {
		out.Services = append(out.Services, control.ServiceLoad{
			Service: name,
			Ranges:  counts(c.ranges.Top(reportedRanges)),
			Keys:    counts(c.keys.Top(reportedKeys)),
		})
	}
	clear(r.requestCounts)
	return []Effect{out}
}

func counts(items []topk.Item[keyspace.Point]) []control.PointCount {
	out := make([]control.PointCount, 0, len(items))
	for _, x := range items {
		out = append(out, control.PointCount{Point: x.Key, Count: x.Count})
	}
	return out
}
