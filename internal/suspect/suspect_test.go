package suspect_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/suspect"
)

func held(list []suspect.Suspect[string]) []string {
	out := []string{}
	for _, s := range list {
		if s.Held() {
			out = append(out, s.Fingerprint)
		}
	}
	return out
}

func TestWithDeath(t *testing.T) {
	type death struct {
		owner    string
		inFlight []string
		cleared  []string
	}
	cases := []struct {
		name   string
		deaths []death
		want   []string // held
	}{
		{"one death proves nothing", []death{{"a", []string{"x"}, nil}}, []string{}},
		{"two deaths do", []death{{"a", []string{"x"}, nil}, {"b", []string{"x"}, nil}}, []string{"x"}},
		{"one death reported twice is one", []death{{"a", []string{"x"}, nil}, {"a", []string{"x"}, nil}}, []string{}},
		{"bystanders are not blamed", []death{{"a", []string{"x", "y"}, nil}, {"b", []string{"x", "z"}, nil}, {"c", []string{"z"}, nil}}, []string{"x"}},
		{"an answer clears a suspect", []death{{"a", []string{"x"}, nil}, {"b", []string{"y"}, []string{"x"}}, {"c", []string{"x"}, nil}}, []string{}},
		{"no answer clears one that is held", []death{{"a", []string{"x"}, nil}, {"b", []string{"x"}, nil}, {"c", nil, []string{"x"}}}, []string{"x"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var list []suspect.Suspect[string]
			for i, d := range c.deaths {
				list = suspect.WithDeath(list, uint64(i+1), d.owner, d.inFlight, d.cleared)
			}
			assert.DeepEqual(t, held(list), c.want)
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	var list []suspect.Suspect[string]
	for i := range 3000 {
		list = suspect.WithDeath(list, uint64(i), fmt.Sprint(i), []string{fmt.Sprint(i)}, nil)
	}
	assert.Assert(t, len(list) <= 1024)
}
