package group

import (
	"context"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/pkg/disk"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// steps records syncs of a log and the messages that are sent.
type steps struct {
	disk.OS
	list []string
}

func (s *steps) Append(path string) (disk.File, error) { return s.record(s.OS.Append(path)) }
func (s *steps) Create(path string) (disk.File, error) { return s.record(s.OS.Create(path)) }

func (s *steps) record(f disk.File, err error) (disk.File, error) {
	return recordedFile{File: f, steps: s}, err
}

func (s *steps) Send(_ string, e Envelope) {
	names := map[replica.MessageKind]string{
		replica.MsgHeartbeat: "heartbeat", replica.MsgHeartbeatResponse: "heartbeat answer", replica.MsgAppendResponse: "append answer",
	}
	s.list = append(s.list, names[e.Message.Kind])
}

type recordedFile struct {
	disk.File
	steps *steps
}

func (f recordedFile) Sync() error {
	f.steps.list = append(f.steps.list, "sync")
	return f.File.Sync()
}

type noState struct{}

func (noState) Apply(uint64, []byte) (noState, []byte) { return noState{}, nil }
func (noState) Encode() []byte                         { return nil }

// TestConfirmationsDoNotWaitForDisk guards against a leader that can't act while disks are
// busy. A term that is not on disk yet is not confirmed.
func TestConfirmationsDoNotWaitForDisk(t *testing.T) {
	entry := []replica.Entry{{Index: 1, Term: 1}}
	for name, test := range map[string]struct {
		persist replica.Persist
		want    []string
	}{
		"entries":    {replica.Persist{Entries: entry}, []string{"heartbeat", "heartbeat answer", "sync", "append answer"}},
		"a new term": {replica.Persist{Hard: replica.HardState{Term: 1}}, []string{"sync", "append answer", "heartbeat", "heartbeat answer"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &steps{}
			g, stop, err := Open(context.Background(), Config[noState]{
				Name: "g", Instance: "a", Address: "a", Dir: t.TempDir(), Transport: s, Clock: timer.NewManual(), Timing: DefaultTiming(), FS: s,
				Decode: func([]byte) (noState, error) { return noState{}, nil },
			})
			assert.NilError(t, err)
			stop()
			g.store, _, _, err = disk.Open(t.TempDir(), disk.WithFS(s))
			assert.NilError(t, err)
			g.addresses["b"] = "b"
			s.list = nil
			effects := []replica.Effect{test.persist}
			for _, kind := range []replica.MessageKind{replica.MsgAppendResponse, replica.MsgHeartbeat, replica.MsgHeartbeatResponse} {
				effects = append(effects, replica.Send{Message: replica.Message{Kind: kind, To: "b"}})
			}
			assert.NilError(t, g.runEffects(context.Background(), effects))
			assert.Assert(t, slices.Equal(s.list, test.want), "%v", s.list)
		})
	}
}
