package explain_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/explain"
)

const entryLog = `  1.2 front-1 {"time":"2026-01-01T00:00:03Z","instance":"front-1","msg":"attempt failed","request_id":"r1","target":"t1","reason":"target t1: no whole answer"}
{"time":"2026-01-01T00:00:04Z","instance":"front-1","msg":"request failed","request_id":"r1","status":502,"service":"ledger","reason":"target t1: no whole answer"}
{"time":"2026-01-01T00:00:04Z","instance":"front-1","msg":"request answered","request_id":"r2","status":200}
no json here
`

const controlLog = `{"time":"2026-01-01T00:00:01Z","instance":"control-1","msg":"target announced","target":"t1"}
{"time":"2026-01-01T00:00:02Z","instance":"control-1","msg":"target announced","target":"t2"}
{"time":"2026-01-01T00:00:09Z","instance":"control-1","msg":"target withdrew","target":"t1"}
`

func TestRead(t *testing.T) {
	timeline, err := explain.Read("r1", strings.NewReader(entryLog), strings.NewReader(controlLog))
	assert.NilError(t, err)
	assert.Equal(t, len(timeline.Lines), 2)
	assert.Equal(t, timeline.Cause, "target t1: no whole answer")
	assert.Equal(t, len(timeline.Background), 1)
	assert.Equal(t, timeline.Background[0].Message, "target announced")
	var out strings.Builder
	assert.NilError(t, timeline.WriteText(&out))
	assert.Assert(t, strings.Contains(out.String(), "cause: target t1: no whole answer"))
}

func TestUnknownRequest(t *testing.T) {
	_, err := explain.Read("r9", strings.NewReader(entryLog))
	assert.Assert(t, errors.Is(err, explain.ErrNotFound))
}
