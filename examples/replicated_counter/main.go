// Command replicated_counter shows how to use pkg/replica, pkg/loop and pkg/disk
// together: a counter on one replica that survives a restart. Run it twice with the
// same folder:
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

// host runs the effects of a replica.
type host struct {
	store   *disk.Store
	counter int
	results chan int // receives the counter once this run's command is applied
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
	stored, err := loadStored(records)
	if err != nil {
		return err
	}
	h := &host{store: store, results: make(chan int, 1)}
	cfg := replica.Config{ID: "only", ElectionTicks: 1, HeartbeatTicks: 1, MaxAppendBytes: 1 << 20}
	l, stop := loop.New(context.Background(), replica.New(cfg, stored), h.run)
	defer stop()
	events := []replica.Event{
		replica.Formed{Members: replica.Members{Voters: []replica.Member{{ID: cfg.ID}}}},
		replica.Ticked{}, replica.Ticked{}, // without other replicas, it is elected at once
		replica.Proposed{Data: []byte("count")},
	}
	for _, e := range events {
		if err := l.Send(e); err != nil {
			return err
		}
	}
	fmt.Println("counted", <-h.results, "times")
	return nil
}

// loadStored returns the state that earlier runs stored in the records.
func loadStored(records [][]byte) (replica.Stored, error) {
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

// run stores the state of all Persist effects before it applies commands.
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

// apply counts commands. After a restart, the commands of earlier runs are applied
// again; the counter is reported once the last entry is the command of this run.
func (h *host) apply(entries []replica.Entry) {
	for _, e := range entries {
		if e.Kind == replica.EntryCommand {
			h.counter++
		}
	}
	if last := entries[len(entries)-1]; last.Kind == replica.EntryCommand {
		h.results <- h.counter
	}
}
