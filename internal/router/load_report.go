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

// LoadRequested asks for the load since the last report.
type LoadRequested struct{}

// LoadReport carries the demand for ranges and keys at this entry, by service.
type LoadReport struct{ Services []control.ServiceLoad }

func (LoadRequested) isEvent() {}
func (LoadReport) isEffect()   {}

// demand counts the requests of callers for one service, whatever their results.
type demand struct {
	ranges *topk.Counter[keyspace.Point]
	keys   *topk.Counter[keyspace.Point]
}

// countDemand counts a request with a key, but not its retries.
func (r *Router) countDemand(service config.Service, e Arrived) {
	if e.Retry || !service.Keyed() {
		return
	}
	table, ok := r.view.Tables[service.Name]
	if !ok {
		return
	}
	d, ok := r.demands[service.Name]
	if !ok {
		d = &demand{ranges: topk.New[keyspace.Point](trackedRanges), keys: topk.New[keyspace.Point](trackedKeys)}
		r.demands[service.Name] = d
	}
	d.ranges.Add(table.Lookup(e.Point).Start)
	d.keys.Add(e.Point)
}

// reportLoad returns the counts and resets them.
func (r *Router) reportLoad() []Effect {
	var out LoadReport
	for name, d := range r.demands {
		out.Services = append(out.Services, control.ServiceLoad{
			Service: name,
			Ranges:  counts(d.ranges.Top(reportedRanges)),
			Keys:    counts(d.keys.Top(reportedKeys)),
		})
	}
	clear(r.demands)
	return []Effect{out}
}

func counts(items []topk.Item[keyspace.Point]) []control.PointCount {
	out := make([]control.PointCount, 0, len(items))
	for _, x := range items {
		out = append(out, control.PointCount{Point: x.Key, Count: x.Count})
	}
	return out
}
