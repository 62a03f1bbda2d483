package capacity_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/capacity"
)

func TestEstimate(t *testing.T) {
	fits, err := capacity.Load()
	assert.NilError(t, err)
	for _, name := range fits.Names() {
		x := fits[name]
		assert.Assert(t, len(x.Points) >= 4, "series %s has %d sizes", name, len(x.Points))
		assert.Assert(t, x.Command != "" && x.Unit != "" && x.Per != "", "series %s", name)
	}
	stated, rows := capacity.Estimate(fits, capacity.Stated())
	assert.Assert(t, stated.Entries > 0 && stated.Targets > 0)
	for _, r := range rows {
		assert.Assert(t, r.Estimate >= 0, "%+v", r)
		for name := range strings.SplitSeq(r.Basis, ", ") {
			_, ok := fits[name]
			assert.Assert(t, ok || name == "counted", "row %q rests on unknown series %q", r.Quantity, name)
		}
	}
	t.Run("more requests need more entries", func(t *testing.T) {
		size := capacity.Stated()
		size.Requests *= 2
		more, _ := capacity.Estimate(fits, size)
		assert.Assert(t, more.Entries > stated.Entries)
	})
}
