// Package burn counts good and bad responses per service and reports the burn rate of
// each service's error budget over several time windows (Google SRE Workbook,
// chapter 5).
package burn

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"
)

// BucketWidth is the resolution of the counters.
const BucketWidth = time.Minute

// Windows are the time windows of a report, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

const bucketCount = int(72*time.Hour/BucketWidth) + 1

// Recorder counts responses in bounded memory. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	now      func() time.Duration // since the recorder started
	services map[string]*ring
}

// ring is a ring buffer of one bucket per minute that covers the longest window.
type ring struct {
	counts [bucketCount]Count
	minute [bucketCount]int64 // minute of each bucket, counted from 1; 0 if unused
}

// Count holds the numbers of good and bad responses.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// NewRecorder returns a recorder. The function now returns the time since the
// recorder started.
func NewRecorder(now func() time.Duration) *Recorder {
	return &Recorder{now: now, services: make(map[string]*ring)}
}

// Add counts one response of a service.
func (r *Recorder) Add(service string, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[service]
	if !ok {
		s = &ring{}
		r.services[service] = s
	}
	minute := int64(r.now()/BucketWidth) + 1
	bucket := int(minute % int64(bucketCount))
	if s.minute[bucket] != minute {
		s.minute[bucket] = minute
		s.counts[bucket] = Count{}
	}
	if good {
		s.counts[bucket].Good++
	} else {
		s.counts[bucket].Bad++
	}
}

// Report holds the counts of one instance or, merged, of several. Covered is the time
// since counting started; an instance loses its counts when it restarts.
type Report struct {
	Covered  time.Duration            `json:"covered"`
	Services map[string]ServiceReport `json:"services"`
}

// ServiceReport holds a service's counts per window, in the order of Windows.
type ServiceReport struct {
	Objective float64 `json:"objective"`
	Counts    []Count `json:"counts"`
}

// Report returns the counts of each window up to now. The function objective returns
// a service's objective.
func (r *Recorder) Report(objective func(service string) float64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	out := Report{Covered: now, Services: make(map[string]ServiceReport)}
	for name, s := range r.services {
		out.Services[name] = ServiceReport{Objective: objective(name), Counts: s.sums(int64(now/BucketWidth) + 1)}
	}
	return out
}

// sums returns the counts of each window that ends with the given minute, counted
// from 1.
func (s *ring) sums(minute int64) []Count {
	out := make([]Count, len(Windows))
	for bucket, m := range s.minute {
		if m == 0 {
			continue
		}
		for i, w := range Windows {
			if minute-m < int64(w/BucketWidth) {
				out[i].Good += s.counts[bucket].Good
				out[i].Bad += s.counts[bucket].Bad
			}
		}
	}
	return out
}

// Merge adds up the reports of several instances. Its Covered is the shortest of
// theirs.
func Merge(reports []Report) Report {
	out := Report{Services: make(map[string]ServiceReport)}
	for i, r := range reports {
		if i == 0 || r.Covered < out.Covered {
			out.Covered = r.Covered
		}
		for name, s := range r.Services {
			out.Services[name] = addReports(out.Services[name], s)
		}
	}
	return out
}

func addReports(a, b ServiceReport) ServiceReport {
	out := ServiceReport{Objective: b.Objective, Counts: make([]Count, len(Windows))}
	copy(out.Counts, a.Counts)
	for i, c := range b.Counts {
		out.Counts[i].Good += c.Good
		out.Counts[i].Bad += c.Bad
	}
	return out
}

// Rate returns the burn rate of the error budget. A rate of 1 uses up the budget
// exactly within the objective's period.
func (c Count) Rate(objective float64) float64 {
	total := c.Good + c.Bad
	if total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - objective)
}

const (
	barWidth    = 20
	fullBarRate = 14.4 // uses up 2% of a 30-day budget in an hour
)

// WriteText writes the report as text with a bar for each burn rate.
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
		filled := min(int(rate/fullBarRate*barWidth), barWidth)
		bar := strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled)
		if _, err := fmt.Fprintf(w, "  %-8s %s burn %7.2f  good %d bad %d\n", Windows[i], bar, rate, c.Good, c.Bad); err != nil {
			return err
		}
	}
	return nil
}
