package settings_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/settings"
)

const valid = `[instance]
name = i1
availability_zone = z
roles = entry, control
address = 127.0.0.1:1
caller_address = 127.0.0.1:2
target_address = 127.0.0.1:3
operator_address = 127.0.0.1:4
data = d
[control]
bootstrap = i1@127.0.0.1:1
`

func TestValidationErrors(t *testing.T) {
	cases := []struct {
		name, from, to, want string
	}{
		{"valid", "", "", ""},
		{"host name", "caller_address = 127.0.0.1:2", "caller_address = localhost:2", `section "instance", key "caller_address", value "localhost:2": must be an IP address`},
		{"unknown key", "data = d", "data = d\ncapcity = 3", `key "capcity", value "3": unknown key; did you mean "capacity"?`},
		{"unknown section", "[control]", "[controll]\n[control]", `section "controll"`},
		{"duplicate key", "data = d", "data = d\ndata = e", `key "data", value "d, e": key appears more than once`},
		{"unknown role", "roles = entry, control", "roles = entry, contrl", `did you mean "control"?`},
		{"control without data", "data = d", "", `must be given for the control role`},
		{"bootstrap peer without address", "bootstrap = i1@127.0.0.1:1", "bootstrap = i1", `must be NAME@IP:PORT`},
		{"out of range", "data = d", "data = d\ncapacity = 0", `value "0": must be a whole number from 1`},
		{"duration without unit", "data = d", "data = d\ndrain = 3", `must be a duration from`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.ParseInstance("f.ini", []byte(strings.Replace(valid, c.from, c.to, 1)))
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.Is(err, settings.ErrInvalid))
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, "f.ini")
		})
	}
	t.Run("all errors at once", func(t *testing.T) {
		_, err := settings.ParseInstance("f.ini", []byte("[instance]\nroles = x\n"))
		assert.Assert(t, strings.Count(err.Error(), "\n") >= 5, "%v", err)
	})
}

func FuzzParseInstance(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[instance\n=="))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.ParseInstance("f.ini", data)
		assert.Assert(t, err == nil || errors.Is(err, settings.ErrInvalid), "%v", err)
	})
}
