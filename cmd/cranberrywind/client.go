package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/operator"
)

const operatorTimeout = 10 * time.Second

// operatorFlags holds the flags of the commands that call an instance.
type operatorFlags struct {
	address string
	output  string
}

func (f *operatorFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "operator", "127.0.0.1:8081", "operators' address of any instance")
	cmd.Flags().StringVar(&f.output, "output", "text", "text or json")
}

var errOutputFormat = errors.New("must be text or json")

func (f *operatorFlags) check() error {
	if f.output != "text" && f.output != "json" {
		return withCode(exitInvalid, fmt.Errorf("flag --output, value %q: %w", f.output, errOutputFormat))
	}
	return nil
}

// print writes v in the chosen output format: as JSON, or as text by calling asText.
func (f *operatorFlags) print(w io.Writer, v any, asText func(w io.Writer) error) error {
	if f.output == "text" {
		return asText(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// get fetches a JSON document from an instance.
func get[T any](ctx context.Context, f *operatorFlags, path string) (T, error) {
	var out T
	if err := f.check(); err != nil {
		return out, err
	}
	return call[T](ctx, http.MethodGet, "http://"+f.address+path, nil)
}

// post sends a JSON document to an instance and returns the decoded response.
func post[T any](ctx context.Context, f *operatorFlags, path string, in any) (T, error) {
	var out T
	if err := f.check(); err != nil {
		return out, err
	}
	body, err := json.Marshal(in)
	if err != nil {
		return out, fmt.Errorf("encode request: %w", err)
	}
	return call[T](ctx, http.MethodPost, "http://"+f.address+path, body)
}

func call[T any](ctx context.Context, method, url string, body []byte) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return out, withCode(exitInvalid, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, withCode(exitUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, withCode(exitUnreachable, err)
	}
	if err := callError(resp.StatusCode, data); err != nil {
		return out, err
	}
	return out, json.Unmarshal(data, &out)
}

// callError returns the error with its exit code for a response with the given status
// and body, or nil if the status is 200.
func callError(status int, data []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		var c control.ChangeRecord
		_ = json.Unmarshal(data, &c)
		return withCode(exitSuperseded, fmt.Errorf("change %q lost: change %q was accepted on base version %d", c.ChangeID, c.Winner, c.Base))
	}
	var e operator.Error
	_ = json.Unmarshal(data, &e)
	code := exitFailure
	switch status {
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		code = exitInvalid
	case http.StatusServiceUnavailable:
		code = exitUnreachable
	}
	return withCode(code, fmt.Errorf("status %d: %s", status, e.Message))
}
