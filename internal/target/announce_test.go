package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/instance"
)

const validAnnouncement = `{"name":"a","incarnation":"1","service":"s","address":"127.0.0.1:1","availability_zone":"z","slots":3,"connections":50}`

// postAnnouncement posts a body and returns the status and the invalid fields.
func postAnnouncement(t testing.TB, body string) (int, []string) {
	t.Helper()
	accept := func(context.Context, *instance.AnnounceRequest) (*instance.AnnounceResponse, error) {
		return &instance.AnnounceResponse{Accepted: true}, nil
	}
	w := httptest.NewRecorder()
	Handler(accept).ServeHTTP(w, httptest.NewRequest(http.MethodPost, AnnouncePath, strings.NewReader(body)))
	var fieldErrs []FieldError
	_ = json.Unmarshal(w.Body.Bytes(), &fieldErrs)
	var fields []string
	for _, f := range fieldErrs {
		assert.Assert(t, f.Rule != "")
		fields = append(fields, f.Field)
	}
	return w.Code, fields
}

func TestInvalidAnnouncements(t *testing.T) {
	cases := []struct{ name, from, to, field string }{
		{"host name", "127.0.0.1:1", "localhost:1", "address"},
		{"no slots", `"slots":3`, `"slots":0`, "slots"},
		{"fewer connections than slots", `"connections":50`, `"connections":2`, "connections"},
		{"no name", `"name":"a"`, `"name":""`, "name"},
		{"no JSON", "{", "", "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, fields := postAnnouncement(t, strings.Replace(validAnnouncement, c.from, c.to, 1))
			assert.Equal(t, status, http.StatusBadRequest)
			assert.DeepEqual(t, fields, []string{c.field})
		})
	}
	t.Run("valid", func(t *testing.T) {
		status, _ := postAnnouncement(t, validAnnouncement)
		assert.Equal(t, status, http.StatusOK)
	})
}

func FuzzAnnounce(f *testing.F) {
	f.Add(validAnnouncement)
	f.Add("[]")
	f.Fuzz(func(t *testing.T, body string) {
		status, _ := postAnnouncement(t, body)
		assert.Assert(t, status == http.StatusOK || status == http.StatusBadRequest)
	})
}
