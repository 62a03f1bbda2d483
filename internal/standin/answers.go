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

// Answer is the body of a stand-in's answer to a lookup or booking.
type Answer struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Path        string `json:"path"`
	Runs        int    `json:"runs,omitempty"` // how often this target ran the booking
}

// respond writes the answer to a request: a file if the target serves downloads, else
// an Answer.
func (t *Target) respond(w http.ResponseWriter, r *http.Request) {
	if t.cfg.Kind == "download" {
		w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("v1-%d", t.cfg.DownloadBytes)))
		w.Header().Set("Content-Type", "application/octet-stream")
		if t.cfg.BreakAfter > 0 || t.cfg.StallAfter > 0 {
			t.respondPartially(w, r)
			return
		}
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(DownloadBody(t.cfg.DownloadBytes)))
		return
	}
	out := Answer{Target: t.cfg.Name, Incarnation: t.incarnation, Path: r.URL.Path}
	if key := r.Header.Get(target.HeaderKey); key != "" {
		out.Runs = t.countBooking(key)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// respondPartially sends the first bytes of a download, stalls if StallAfter is set,
// and then aborts the connection.
func (t *Target) respondPartially(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", fmt.Sprint(t.cfg.DownloadBytes))
	n := max(t.cfg.BreakAfter, t.cfg.StallAfter)
	_, _ = w.Write(DownloadBody(t.cfg.DownloadBytes)[:n])
	_ = http.NewResponseController(w).Flush()
	if t.cfg.StallAfter > 0 {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// countBooking counts a run of the booking with an idempotency key and returns the
// number of its runs.
func (t *Target) countBooking(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bookingRuns[key]++
	return t.bookingRuns[key]
}

// DownloadBody returns the n pseudorandom bytes that every stand-in serves as a
// download. They are the same on each call.
func DownloadBody(n int) []byte {
	body := make([]byte, n)
	x := uint32(1)
	for i := range body {
		x = x*1664525 + 1013904223
		body[i] = byte(x >> 24)
	}
	return body
}

// recorder keeps records in memory and, if a path is set, appends them to a file of
// JSON lines that outlives the process.
type recorder struct {
	mu      sync.Mutex
	records []Record
	file    *os.File
}

// newRecorder returns a recorder and a function that closes its file.
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

func (r *recorder) snapshot() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records)
}

// postJSON posts in as JSON and decodes the response into out. A status other than 200
// is an error.
func postJSON(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
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
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
