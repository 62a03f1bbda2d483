package capacity

import (
	"fmt"
	"io"
	"math"
)

// Size describes the expected size and load of a deployment.
type Size struct {
	Nodes       float64 // instances and targets together
	Keys        float64
	Requests    float64 // a second
	Bookings    float64 // share of the requests
	Changes     float64 // accepted configurations a day
	Losses      float64 // instances and targets lost a day
	Restarts    float64 // planned, a day
	Zones       float64 // availability zones
	Cores       float64 // of one entry
	Utilization float64 // share of an entry's cores that requests may use
	Retention   float64 // hours that booking records are kept
	Control     float64 // instances reserved for control
}

// ExpectedSize returns the size that the users expect within two years. Shares, cores
// and retention are assumptions.
func ExpectedSize() Size {
	return Size{
		Nodes: 2300, Keys: 2.2e9, Requests: 25e6, Bookings: 0.02, Changes: 1600, Losses: 7, Restarts: 180,
		Zones: 11, Cores: 16, Utilization: 0.6, Retention: 72, Control: 9,
	}
}

// Row is the estimate of one quantity. A budget of 0 means that none is stated.
type Row struct {
	Role      string  `json:"role"`
	Quantity  string  `json:"quantity"`
	Unit      string  `json:"unit"`
	Budget    float64 `json:"budget"`
	Estimate  float64 `json:"estimate"`
	Mechanism string  `json:"mechanism"`
	Basis     string  `json:"basis"`
}

// Margin returns the budget divided by the estimate, or 0 if either is 0.
func (r Row) Margin() float64 {
	if r.Budget == 0 || r.Estimate == 0 {
		return 0
	}
	return r.Budget / r.Estimate
}

// Budgets per node that the users state for control.
const (
	budgetCorePercent    = 3.0 // of one core
	budgetBytesPerSecond = 12 * 1024
	budgetHeapBytes      = 32 << 20
	budgetInForceMillis  = 11_000.0 // until a configuration is in force everywhere
)

const (
	secondsPerDay      = 86_400.0
	commandsPerLoss    = 4    // loss, assignment, activation, and the move back
	commandsPerBooking = 2    // start and finish
	configBytesPerNode = 90.0 // an instance's section in the configuration
	configBaseBytes    = 8_192.0
	coresPerControl    = 8.0 // of an instance reserved for control
)

// Layout is the division of the nodes into roles.
type Layout struct {
	Entries float64 `json:"entries"`
	Targets float64 `json:"targets"`
}

// NewLayout returns how many entries the requests need, from the measured processor
// time of one request, and how many nodes remain as targets.
func NewLayout(f Fits, s Size) Layout {
	microsPerRequest := f.must("entry_us").Slope // processor time
	entries := math.Ceil(s.Requests * microsPerRequest / (1e6 * s.Cores * s.Utilization))
	return Layout{Entries: entries, Targets: max(s.Nodes-s.Control-entries, 0)}
}

// Estimate returns the layout and the estimates for a size.
func Estimate(f Fits, s Size) (Layout, []Row) {
	l := NewLayout(f, s)
	rows := entryRows(f, s, l)
	rows = append(rows, leaderRows(f, s, l)...)
	rows = append(rows, bookingRows(f, s)...)
	return l, rows
}

func entryRows(f Fits, s Size, l Layout) []Row {
	configBytes := configBaseBytes + configBytesPerNode*(l.Entries+s.Control)
	dailyBytes := s.Changes*configBytes + (s.Losses+s.Restarts)*commandsPerLoss*f.must("change_bytes").At(l.Targets)
	traffic := f.must("entry_traffic").At(l.Entries) + dailyBytes/secondsPerDay
	return []Row{
		{"entry", "entries for the requests", "instances", 0, l.Entries, "router loop, one hop", "entry_us"},
		{"entry", "memory of the view", "bytes", budgetHeapBytes, f.must("view_heap").At(l.Targets), "ranges, never keys; immutable table", "view_heap"},
		{"entry", "control traffic", "B/s", budgetBytesPerSecond, traffic, "held renewals, changes only, whole text", "entry_traffic, change_bytes"},
		{"entry", "control processor time, with the leader's share", "% of a core", budgetCorePercent, f.must("idle_by_entries").Slope, "one held renewal per 100 ms", "idle_by_entries"},
		{"entry", "text in force everywhere", "ms", budgetInForceMillis, f.must("in_force").At(l.Entries), "held renewals answered at once", "in_force"},
		{"entry", "router's share of a request", "us", 0, f.must("router_us").At(l.Targets), "one reducer loop per entry", "router_us"},
	}
}

func leaderRows(f Fits, s Size, l Layout) []Row {
	plansPerSecond := 50.0
	renewals := f.must("idle_by_entries").Slope * l.Entries
	heartbeats := f.must("idle_by_targets").Slope * l.Targets
	bytes := f.must("leader_by_entries").Slope*l.Entries + f.must("leader_by_targets").Slope*l.Targets
	commands := s.Changes*3 + (s.Losses+s.Restarts)*commandsPerLoss
	return []Row{
		{"control leader", "idle planning", "% of a core", 100 * coresPerControl, f.must("plan_us").At(l.Targets) * plansPerSecond / 1e4, "planner skips unchanged states", "plan_us"},
		{"control leader", "entries' renewals", "% of a core", 100 * coresPerControl, renewals, "direct to the leader", "idle_by_entries"},
		{"control leader", "targets' heartbeats", "% of a core", 100 * coresPerControl, heartbeats, "direct to the leader", "idle_by_targets"},
		{"control leader", "accepted texts, at 6 instances", "% of a core", 100 * coresPerControl, f.must("idle_by_changes").Slope * s.Changes / secondsPerDay, "one command a proposal and vote, changes to entries", "idle_by_changes"},
		{"control leader", "traffic", "B/s", 125e6, bytes, "1 Gbit/s link", "leader_by_entries, leader_by_targets"},
		{"control leader", "changes to all entries after one loss", "ms of a core", 1000, f.must("change_us").At(l.Targets) * l.Entries / 1e3, "one walk over the ranges for each entry", "change_us"},
		{"control", "snapshot", "bytes", budgetHeapBytes, f.must("snapshot_bytes").At(l.Targets), "one snapshot, not a replay", "snapshot_bytes"},
		{"control", "log commands a day", "commands", 0, commands, "three for a text, four for a loss", "counted"},
	}
}

func bookingRows(f Fits, s Size) []Row {
	perSecond := s.Requests * s.Bookings
	commands := perSecond * commandsPerBooking
	records := perSecond * s.Retention * 3600
	return []Row{
		{"booking log", "commands a second", "commands/s", 0, commands, "two for each booking", "counted"},
		{"booking log", "groups of three needed", "groups", 0, math.Ceil(commands / f.must("group_rate").largest()), "many small groups by key hash", "group_rate"},
		{"booking log", "memory of all records, one copy", "bytes", 0, records * f.must("record_bytes").largest(), "records in memory for the retention", "record_bytes"},
	}
}

// largest returns the largest measured quantity, such as the highest rate reached.
func (f Fit) largest() float64 {
	out := 0.0
	for _, p := range f.Points {
		out = max(out, p[1])
	}
	return out
}

// WriteText writes the layout and the rows as a table.
func WriteText(w io.Writer, l Layout, rows []Row) error {
	if _, err := fmt.Fprintf(w, "%.0f entries, %.0f targets\n\n", l.Entries, l.Targets); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, r.text()); err != nil {
			return err
		}
	}
	return nil
}

func (r Row) text() string {
	budget, margin := "none stated", ""
	if r.Budget > 0 {
		budget = formatNumber(r.Budget)
		margin = fmt.Sprintf("%.2f", r.Margin())
		if r.Margin() < 1 {
			margin += " BREAKS"
		}
	}
	return fmt.Sprintf("%-15s %-50s %12s %-13s budget %-12s margin %-14s %s", r.Role, r.Quantity, formatNumber(r.Estimate), r.Unit, budget, margin, r.Mechanism)
}

// formatNumber formats a quantity with three significant digits and a decimal prefix.
func formatNumber(x float64) string {
	for _, p := range []struct {
		size float64
		name string
	}{{1e15, "P"}, {1e12, "T"}, {1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if x >= p.size {
			return fmt.Sprintf("%.3g %s", x/p.size, p.name)
		}
	}
	return fmt.Sprintf("%.3g", x)
}
