package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var errBodyClosed = errors.New("body is closed")

// closableBody is a target's body whose reads fail once it is closed.
type closableBody struct {
	io.Reader
	closed chan struct{}
}

func (b closableBody) Read(p []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, errBodyClosed
	default:
		return b.Reader.Read(p)
	}
}

func (b closableBody) Close() error {
	close(b.closed)
	return nil
}

// slowWriter takes the delay for each write.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

func (w slowWriter) Write(p []byte) (int, error) {
	time.Sleep(w.delay)
	return w.ResponseRecorder.Write(p)
}

// TestSlowCallerGetsWholeDownload writes to a caller who takes longer for a part of a
// download than a target may pause.
func TestSlowCallerGetsWholeDownload(t *testing.T) {
	data := bytes.Repeat([]byte("x"), copyBufferBytes+1)
	w := slowWriter{ResponseRecorder: httptest.NewRecorder(), delay: stallTimeout + 200*time.Millisecond}
	tr := &transfer{call: &call{}, w: w, total: int64(len(data))}
	body := closableBody{Reader: bytes.NewReader(data), closed: make(chan struct{})}
	assert.NilError(t, tr.copyBody(nil, body))
	assert.Equal(t, w.Body.Len(), len(data))
}
