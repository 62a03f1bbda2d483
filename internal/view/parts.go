package view

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

const (
	// maxItemsPerMessage is the number of routes, targets and ranges up to which an
	// update is sent in one message, of about 10 KB.
	maxItemsPerMessage = 64
	// partBytes is the length of a part. An entry counts each part as progress, so
	// that it must pass a slow link within streamTimeout.
	partBytes = 4 << 10
	// maxUpdateBytes bounds an assembled update.
	maxUpdateBytes = 256 << 20
	// maxPacked is the number of packed updates that are kept for other entries. All
	// entries that follow a control instance need about the same ones.
	maxPacked = 8
)

// isLarge reports whether an update is to be split.
func isLarge(u *instance.ViewUpdate) bool {
	n := len(u.Targets) + len(u.AllTargets) + len(u.Removed) + len(u.Suspects) + len(u.Evacuated)
	if c := u.ConfigChange; c != nil {
		n += len(c.Routes) + len(c.Services) + len(c.DropRoutes)
	}
	for _, t := range u.Tables {
		n += len(t.Ranges)
	}
	return n > maxItemsPerMessage
}

// packedKey identifies an update by the view that it starts from and the state that it
// leads to.
type packedKey struct {
	from, fromConfig, to uint64
	sinceRequest         bool // made by DeltaSince and not by Delta
}

// packer compresses updates and keeps the last ones.
type packer struct {
	mu     sync.Mutex
	keys   []packedKey // oldest first
	packed map[packedKey][]byte
}

func newPacker() *packer { return &packer{packed: make(map[packedKey][]byte)} }

// pack returns the compressed form of the update with the key. Callers that need the
// same one at the same time wait for the first of them.
func (p *packer) pack(key packedKey, u *instance.ViewUpdate) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if data, ok := p.packed[key]; ok {
		return data, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress update: %w", err)
	}
	if _, err := w.Write(wire.Encode(u)); err != nil {
		return nil, fmt.Errorf("compress update: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress update: %w", err)
	}
	p.packed[key] = out.Bytes()
	p.keys = append(p.keys, key)
	if len(p.keys) > maxPacked {
		delete(p.packed, p.keys[0])
		p.keys = p.keys[1:]
	}
	return out.Bytes(), nil
}

// sendParts sends a packed update in parts. Each carries the small fields of u.
func sendParts(u *instance.ViewUpdate, data []byte, send func(*instance.ViewUpdate) error) error {
	for len(data) > 0 {
		n := min(len(data), partBytes)
		part := &instance.ViewUpdate{
			Version: u.Version, ConfigIndex: u.ConfigIndex, Control: u.Control, Current: u.Current,
			Part: data[:n], MoreParts: n < len(data),
		}
		data = data[n:]
		if err := send(part); err != nil {
			return err
		}
	}
	return nil
}

// errUpdateTooLarge reports an update longer than maxUpdateBytes.
var errUpdateTooLarge = errors.New("update is too large")

// assembler collects the parts of an update.
type assembler struct{ data []byte }

// add adds a part. It returns the update once the part is the last one, and before that
// nil.
func (a *assembler) add(part *instance.ViewUpdate) (*instance.ViewUpdate, error) {
	if len(a.data)+len(part.Part) > maxUpdateBytes {
		return nil, errUpdateTooLarge
	}
	a.data = append(a.data, part.Part...)
	if part.MoreParts {
		return nil, nil
	}
	r := flate.NewReader(bytes.NewReader(a.data))
	data, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes+1))
	a.data = nil
	if err != nil {
		return nil, fmt.Errorf("decompress update: %w", err)
	}
	if len(data) > maxUpdateBytes {
		return nil, errUpdateTooLarge
	}
	u := new(instance.ViewUpdate)
	if err := wire.Decode(data, u); err != nil {
		return nil, fmt.Errorf("decompress update: %w", err)
	}
	u.Current, u.Control = part.Current, part.Control
	return u, nil
}
