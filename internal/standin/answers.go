package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/target"
)

// Answer is what a stand-in answers to lookups and bookings.
type Answer struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Path        string `json:"path"`
	Runs        int    `json:"runs,omitempty"` // of this booking at this target
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request) {
	if t.cfg.Kind == "download" {
		w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("v1-%d", t.cfg.DownloadBytes)))
		w.Header().Set("Content-Type", "application/octet-stream")
		if t.cfg.BreakAfter > 0 || t.cfg.StallAfter > 0 {
			t.breakOff(w, r)
			return
		}
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(DownloadBody(t.cfg.DownloadBytes)))
		return
	}
	out := Answer{Target: t.cfg.Name, Incarnation: t.incarnation, Path: r.URL.Path}
	if key := r.Header.Get(target.HeaderKey); key != "" {
		out.Runs = t.book(key)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// breakOff serves the beginning of a download only.
func (t *Target) breakOff(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", fmt.Sprint(t.cfg.DownloadBytes))
	n := max(t.cfg.BreakAfter, t.cfg.StallAfter)
	_, _ = w.Write(DownloadBody(t.cfg.DownloadBytes)[:n])
	_ = http.NewResponseController(w).Flush()
	if t.cfg.StallAfter > 0 {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func (t *Target) book(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.booked[key]++
	return t.booked[key]
}

// DownloadBody returns the n bytes that every stand-in serves as a download.
func DownloadBody(n int) []byte {
	body := make([]byte, n)
	x := uint32(1)
	for i := range body {
		x = x*1664525 + 1013904223
		body[i] = byte(x >> 24)
	}
	return body
}

// recorder keeps records in memory and, where a path is set, in a file of JSON
// lines that survives the process.
type recorder struct {
	mu      sync.Mutex
	records []Record
	file    *os.File
}

func newRecorder(path string) (*recorder, func(), error) {
	r := &recorder{}
	if path == "" {
		return r, func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, nil, fmt.Errorf("open record file: %w", err)
	}
	r.file = file
	return r, func() { _ = file.Close() }, nil
}

func (r *recorder) add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	if r.file == nil {
		return
	}
	line, err := json.Marshal(rec)
	if err != nil {
		return
	}
	_, _ = r.file.Write(append(line, '\n'))
}

func (r *recorder) all() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records)
}

// postJSON posts in and decodes the answer into out.
func postJSON(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("post: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return fmt.Errorf("post %s: status %d: %s", url, resp.StatusCode, text)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
