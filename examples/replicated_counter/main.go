// Command replicated_counter shows how to embed pkg/replica, pkg/loop and
// pkg/disk: a counter on one replica that survives a restart. Run it twice with
// the same folder:
//
//	go run ./examples/replicated_counter -data /tmp/counter
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log"

	"github.com/cranberrywind/cranberrywind/pkg/disk"
	"github.com/cranberrywind/cranberrywind/pkg/loop"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// host carries out a replica's effects.
type host struct {
	store   *disk.Store
	counter int
	counted chan int // the counter after each command
}

func main() {
	dir := flag.String("data", "counter", "data folder")
	flag.Parse()
	if err := run(*dir); err != nil {
		log.Fatal(err)
	}
}

func run(dir string) error {
	store, records, closeStore, err := disk.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = closeStore() }()
	stored, err := recovered(records)
	if err != nil {
		return err
	}
	h := &host{store: store, counted: make(chan int, 1)}
	cfg := replica.Config{ID: "only", ElectionTicks: 1, HeartbeatTicks: 1, MaxAppendBytes: 1 << 20}
	l, stop := loop.New(context.Background(), replica.New(cfg, stored), h.run)
	defer stop()
	events := []replica.Event{
		replica.Formed{Members: replica.Members{Voters: []replica.Member{{ID: cfg.ID}}}},
		replica.Ticked{}, replica.Ticked{}, // no other replica: elected at once
		replica.Proposed{Data: []byte("count")},
	}
	for _, e := range events {
		if err := l.Send(e); err != nil {
			return err
		}
	}
	fmt.Println("counted", <-h.counted, "times")
	return nil
}

// recovered returns what earlier runs made durable.
func recovered(records [][]byte) (replica.Stored, error) {
	var stored replica.Stored
	for _, r := range records {
		var p replica.Persist
		if err := json.Unmarshal(r, &p); err != nil {
			return stored, fmt.Errorf("read record: %w", err)
		}
		stored = stored.WithPersist(p)
	}
	return stored, nil
}

// run makes durable first, then applies.
func (h *host) run(_ context.Context, effects []replica.Effect) error {
	for _, effect := range effects {
		p, ok := effect.(replica.Persist)
		if !ok {
			continue
		}
		record, err := json.Marshal(p)
		if err != nil {
			return err
		}
		if err := h.store.Append(record); err != nil {
			return err
		}
	}
	for _, effect := range effects {
		if apply, ok := effect.(replica.Apply); ok {
			h.apply(apply.Entries)
		}
	}
	return nil
}

// apply counts commands. Earlier runs' commands come again after a restart; the
// counter is reported once the last entry is this run's.
func (h *host) apply(entries []replica.Entry) {
	for _, e := range entries {
		if e.Kind == replica.EntryCommand {
			h.counter++
		}
	}
	if last := entries[len(entries)-1]; last.Kind == replica.EntryCommand {
		h.counted <- h.counter
	}
}
