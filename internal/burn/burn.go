// Package burn counts good and bad answers per service and reports how fast
// each service uses up its error budget, over several windows (Google SRE
// workbook, chapter 5).
package burn

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bucket is the grain of the counters.
const Bucket = time.Minute

// Windows are the spans that a report covers.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

const buckets = int(72*time.Hour/Bucket) + 1

// Recorder counts answers in bounded memory. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	now      func() time.Duration // since the recorder began
	services map[string]*ring
}

type ring struct {
	counts [buckets]Count
	minute [buckets]int64 // minute that each slot counts, plus one
}

// Count is a number of answers.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// NewRecorder returns a recorder. Now returns the time since it began.
func NewRecorder(now func() time.Duration) *Recorder {
	return &Recorder{now: now, services: make(map[string]*ring)}
}

// Add counts one answer.
func (r *Recorder) Add(service string, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[service]
	if !ok {
		s = &ring{}
		r.services[service] = s
	}
	minute := int64(r.now()/Bucket) + 1
	slot := int(minute % int64(buckets))
	if s.minute[slot] != minute {
		s.minute[slot] = minute
		s.counts[slot] = Count{}
	}
	if good {
		s.counts[slot].Good++
	} else {
		s.counts[slot].Bad++
	}
}

// Report is one instance's counts. Covered is how long it has counted, at most
// the longest window: a restarted instance says nothing of the time before.
type Report struct {
	Covered  time.Duration            `json:"covered"`
	Services map[string]ServiceReport `json:"services"`
}

// ServiceReport is a service's counts per window, in the order of Windows.
type ServiceReport struct {
	Objective float64 `json:"objective"`
	Counts    []Count `json:"counts"`
}

// Report returns the counts so far. Objective returns a service's objective.
func (r *Recorder) Report(objective func(service string) float64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	out := Report{Covered: now, Services: make(map[string]ServiceReport)}
	for name, s := range r.services {
		out.Services[name] = ServiceReport{Objective: objective(name), Counts: s.windows(int64(now/Bucket) + 1)}
	}
	return out
}

func (s *ring) windows(minute int64) []Count {
	out := make([]Count, len(Windows))
	for slot, m := range s.minute {
		if m == 0 {
			continue
		}
		for i, w := range Windows {
			if minute-m < int64(w/Bucket) {
				out[i].Good += s.counts[slot].Good
				out[i].Bad += s.counts[slot].Bad
			}
		}
	}
	return out
}

// Merge adds up the reports of several instances. It covers what the shortest
// of them covers.
func Merge(reports []Report) Report {
	out := Report{Services: make(map[string]ServiceReport)}
	for i, r := range reports {
		if i == 0 || r.Covered < out.Covered {
			out.Covered = r.Covered
		}
		for name, s := range r.Services {
			out.Services[name] = add(out.Services[name], s)
		}
	}
	return out
}

func add(a, b ServiceReport) ServiceReport {
	out := ServiceReport{Objective: b.Objective, Counts: make([]Count, len(Windows))}
	copy(out.Counts, a.Counts)
	for i, c := range b.Counts {
		out.Counts[i].Good += c.Good
		out.Counts[i].Bad += c.Bad
	}
	return out
}

// Rate returns how many times faster than allowed the budget was used: 1 uses
// it up exactly over the objective's period.
func (c Count) Rate(objective float64) float64 {
	total := c.Good + c.Bad
	if total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - objective)
}

const (
	barWidth = 20
	barRate  = 14.4 // burn rate of a full bar: 2% of a 30-day budget in an hour
)

// WriteText writes the report as a table with a bar for each burn rate.
func (r Report) WriteText(w io.Writer) error {
	names := make([]string, 0, len(r.Services))
	for name := range r.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	if _, err := fmt.Fprintf(w, "counted for %s\n", r.Covered.Round(time.Second)); err != nil {
		return err
	}
	for _, name := range names {
		if err := r.Services[name].writeText(w, name); err != nil {
			return err
		}
	}
	return nil
}

func (s ServiceReport) writeText(w io.Writer, name string) error {
	if _, err := fmt.Fprintf(w, "\n%s (objective %.4g%%)\n", name, 100*s.Objective); err != nil {
		return err
	}
	for i, c := range s.Counts {
		rate := c.Rate(s.Objective)
		full := min(int(rate/barRate*barWidth), barWidth)
		bar := strings.Repeat("#", full) + strings.Repeat(".", barWidth-full)
		if _, err := fmt.Fprintf(w, "  %-8s %s burn %7.2f  good %d bad %d\n", Windows[i], bar, rate, c.Good, c.Bad); err != nil {
			return err
		}
	}
	return nil
}
