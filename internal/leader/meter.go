package leader

import (
	"reflect"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// EventLoad is how often the model handled one kind of event, and how long that took.
type EventLoad struct {
	Count   uint64        `json:"count"`
	Total   time.Duration `json:"total_nanoseconds"`
	Longest time.Duration `json:"longest_nanoseconds"`
}

// Load tells what a leader's loop is busy with.
type Load struct {
	Queued int                  `json:"queued"` // events that wait for the loop
	Events map[string]EventLoad `json:"events"` // by kind, since the start
	Calls  int64                `json:"calls"`  // grants and releases in flight
}

// eventLoop applies events to a model.
type eventLoop interface {
	Send(event Event) error
	TrySend(event Event) bool
	Queued() int
	Done() <-chan struct{}
}

// Load returns what the leader's loop is busy with.
func (l *Leader) Load() Load {
	return Load{Queued: l.loop.Queued(), Events: l.meter.read(), Calls: l.calls.Load()}
}

// meter measures a model's updates. Its methods are safe for concurrent use.
type meter struct {
	mu     sync.Mutex
	events map[reflect.Type]EventLoad
	ticked chan time.Duration // how long the last tick took
}

func newMeter() *meter {
	return &meter{events: make(map[reflect.Type]EventLoad), ticked: make(chan time.Duration, 1)}
}

func (m *meter) record(event Event, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kind := reflect.TypeOf(event)
	e := m.events[kind]
	e.Count++
	e.Total += took
	e.Longest = max(e.Longest, took)
	m.events[kind] = e
}

func (m *meter) read() map[string]EventLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]EventLoad, len(m.events))
	for kind, e := range m.events {
		out[kind.Name()] = e
	}
	return out
}

// measuredModel is a Model whose updates are measured.
type measuredModel struct {
	*Model
	meter *meter
}

// Update applies an event and returns the effects to run.
func (m measuredModel) Update(event Event) (measuredModel, []Effect) {
	start := timer.BootTime()
	model, effects := m.Model.Update(event)
	m.Model = model
	took := timer.BootTime() - start
	m.meter.record(event, took)
	if _, ok := event.(Ticked); ok {
		select {
		case m.meter.ticked <- took:
		default:
		}
	}
	return m, effects
}
