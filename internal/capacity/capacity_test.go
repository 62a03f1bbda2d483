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
		fit := fits[name]
		assert.Assert(t, len(fit.Points) >= 4, "series %s has %d sizes", name, len(fit.Points))
		assert.Assert(t, fit.Command != "" && fit.Unit != "" && fit.Per != "", "series %s", name)
	}
	layout, rows := capacity.Estimate(fits, capacity.ExpectedSize())
	assert.Assert(t, layout.Entries > 0 && layout.Targets > 0)
	for _, r := range rows {
		assert.Assert(t, r.Estimate >= 0, "%+v", r)
		for name := range strings.SplitSeq(r.Basis, ", ") {
			_, ok := fits[name]
			assert.Assert(t, ok || name == "counted", "row %q is based on unknown series %q", r.Quantity, name)
		}
	}
	t.Run("more requests need more entries", func(t *testing.T) {
		size := capacity.ExpectedSize()
		size.Requests *= 2
		more, _ := capacity.Estimate(fits, size)
		assert.Assert(t, more.Entries > layout.Entries)
	})
}
