package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestZonesCommand(t *testing.T) {
	const report = `{"version":7,"current":true,"zones":[{"zone":"a","evacuated":true,"index":5,"targets":2,"keys":0},{"zone":"b","evacuated":false,"targets":3,"keys":65536}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Path, "/zones")
		_, _ = io.WriteString(w, report)
	}))
	defer server.Close()
	run := func(output string) string {
		var out bytes.Buffer
		root := newRoot()
		root.SetOut(&out)
		root.SetArgs([]string{"zones", "--metrics", strings.TrimPrefix(server.URL, "http://"), "--output", output})
		assert.NilError(t, root.Execute())
		return out.String()
	}
	assert.Equal(t, run("text"), "ZONE  STATE                 TARGETS  KEYS\na     evacuated at index 5  2        0\nb     in use                3        65536\n")
	assert.Equal(t, strings.Join(strings.Fields(run("json")), ""), report)
}
