package config_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/examples"
	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/settings"
)

func example(t testing.TB, name string) string {
	t.Helper()
	source, err := examples.Config(name)
	assert.NilError(t, err)
	return source
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"zarqa", "new_england"} {
		t.Run(name, func(t *testing.T) {
			parsed, err := config.Parse("text.ini", []byte(example(t, name)))
			assert.NilError(t, err)
			assert.Equal(t, len(parsed.Instances), 10)
			assert.Equal(t, len(parsed.ControlInstances()), 3)
			assert.Equal(t, len(parsed.Services), 3)
		})
	}
}

func TestErrors(t *testing.T) {
	parseCases := []struct{ name, from, to, want string }{
		{"unknown dependency", "prefix = /stock/", "prefix = /stock/\ndepends_on = nothing", `value "nothing": names no service`},
		{"cycle", "prefix = /stock/", "prefix = /stock/\ndepends_on = stock", "must not form a cycle"},
		{"same prefix", "prefix = /orders/", "prefix = /stock/", "is also the prefix of service"},
		{"booking by GET", "prefix = /orders/", "prefix = /orders/\nmethods = GET", "a booking must not be GET"},
		{"unknown kind", "kind = lookup", "kind = lokup", `did you mean "lookup"?`},
		{"invalid key source", "key = path:1", "key = path:0", "must name a part of the path from 1"},
		{"invalid public key", "public_key = ", "public_key = x", "Ed25519 public key"},
		{"misspelt key", "objective = 0.999", "objectiv = 0.999", `did you mean "objective"?`},
		{"not a number", "objective = 0.999", "objective = NaN", "must be a number"},
	}
	for _, c := range parseCases {
		t.Run(c.name, func(t *testing.T) {
			_, err := config.Parse("text.ini", []byte(strings.Replace(example(t, "zarqa"), c.from, c.to, 1)))
			assert.Assert(t, errors.Is(err, settings.ErrInvalid))
			assert.ErrorContains(t, err, c.want)
		})
	}
	changeCases := []struct{ name, from, to, want string }{
		{"groups can't change", "groups = 2", "groups = 3", "must not change"},
		{"ranges can't change", "ranges = 136", "ranges = 64", "must stay 136"},
		{"name can't change", "name = zarqa", "name = other", "must stay zarqa"},
	}
	for _, c := range changeCases {
		t.Run(c.name, func(t *testing.T) {
			before, err := config.Parse("a", []byte(example(t, "zarqa")))
			assert.NilError(t, err)
			after, err := config.Parse("b", []byte(strings.Replace(example(t, "zarqa"), c.from, c.to, 1)))
			assert.NilError(t, err)
			err = after.CheckChange(before)
			assert.Assert(t, errors.Is(err, config.ErrInvalidChange))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f, "zarqa")))
	f.Add([]byte("[service a]\ndepends_on = a"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := config.Parse("text.ini", data)
		assert.Assert(t, err == nil || errors.Is(err, settings.ErrInvalid), "%v", err)
	})
}
