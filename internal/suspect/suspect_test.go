package suspect_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/suspect"
)

func blocked(list []suspect.Suspect[string]) []string {
	out := []string{}
	for _, s := range list {
		if s.Blocked() {
			out = append(out, s.Fingerprint)
		}
	}
	return out
}

func TestWithCrash(t *testing.T) {
	type crash struct {
		target   string
		inFlight []string
		cleared  []string
	}
	cases := []struct {
		name    string
		crashes []crash
		want    []string // blocked
	}{
		{"one crash does not block", []crash{{"a", []string{"x"}, nil}}, []string{}},
		{"two crashes block", []crash{{"a", []string{"x"}, nil}, {"b", []string{"x"}, nil}}, []string{"x"}},
		{"a crash reported twice counts once", []crash{{"a", []string{"x"}, nil}, {"a", []string{"x"}, nil}}, []string{}},
		{"bystanders are not suspected", []crash{{"a", []string{"x", "y"}, nil}, {"b", []string{"x", "z"}, nil}, {"c", []string{"z"}, nil}}, []string{"x"}},
		{"an answer clears a suspect", []crash{{"a", []string{"x"}, nil}, {"b", []string{"y"}, []string{"x"}}, {"c", []string{"x"}, nil}}, []string{}},
		{"an answer does not clear a blocked suspect", []crash{{"a", []string{"x"}, nil}, {"b", []string{"x"}, nil}, {"c", nil, []string{"x"}}}, []string{"x"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var list []suspect.Suspect[string]
			for i, x := range c.crashes {
				list = suspect.WithCrash(list, uint64(i+1), x.target, x.inFlight, x.cleared)
			}
			assert.DeepEqual(t, blocked(list), c.want)
		})
	}
}

func TestNumberOfSuspectsIsBounded(t *testing.T) {
	var list []suspect.Suspect[string]
	for i := range 3000 {
		list = suspect.WithCrash(list, uint64(i), fmt.Sprint(i), []string{fmt.Sprint(i)}, nil)
	}
	assert.Assert(t, len(list) <= 1024)
}
