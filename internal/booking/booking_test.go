package booking_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrywind/cranberrywind/internal/booking"
	"github.com/cranberrywind/cranberrywind/internal/wire"
)

// apply applies one command and returns the state after an encoding round trip.
func apply(t rapid.TB, s booking.State, c booking.Command) (booking.State, booking.Result) {
	t.Helper()
	s, value := s.Apply(0, wire.Encode(c))
	decoded, err := booking.Decode(s.Encode())
	assert.NilError(t, err)
	var r booking.Result
	assert.NilError(t, wire.Decode(value, &r))
	return decoded, r
}

func start(attempt, fingerprint string) booking.Command {
	return booking.Command{Start: &booking.Start{Key: "k", Attempt: attempt, Fingerprint: fingerprint}}
}

func finish(attempt string, phase booking.Phase) booking.Command {
	return booking.Command{Finish: &booking.Finish{Key: "k", Attempt: attempt, Phase: phase}}
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name   string
		before []booking.Command
		start  booking.Command
		want   booking.Verdict
	}{
		{"first", nil, start("a", "f"), booking.Proceed},
		{"same attempt again after a lost verdict", []booking.Command{start("a", "f")}, start("a", "f"), booking.Proceed},
		{"another attempt while one runs", []booking.Command{start("a", "f")}, start("b", "f"), booking.InProgress},
		{"another attempt after done", []booking.Command{start("a", "f"), finish("a", booking.Done)}, start("b", "f"), booking.Replay},
		{"another attempt after unknown", []booking.Command{start("a", "f"), finish("a", booking.Unknown)}, start("b", "f"), booking.OutcomeUnknown},
		{"another attempt after not run", []booking.Command{start("a", "f"), finish("a", booking.NotRun)}, start("b", "f"), booking.Proceed},
		{"same attempt again after not run", []booking.Command{start("a", "f"), finish("a", booking.NotRun)}, start("a", "f"), booking.OutcomeUnknown},
		{"different request under the same key", []booking.Command{start("a", "f")}, start("b", "g"), booking.Mismatch},
		{"done after unknown", []booking.Command{start("a", "f"), finish("a", booking.Unknown), finish("a", booking.Done)}, start("b", "f"), booking.Replay},
		{"done stays done", []booking.Command{start("a", "f"), finish("a", booking.Done), finish("a", booking.NotRun)}, start("b", "f"), booking.Replay},
		{"unknown never becomes not run", []booking.Command{start("a", "f"), finish("a", booking.Unknown), finish("a", booking.NotRun)}, start("b", "f"), booking.OutcomeUnknown},
		{"repeated end of an earlier attempt", []booking.Command{start("a", "f"), finish("a", booking.NotRun), start("b", "f"), finish("a", booking.NotRun)}, start("c", "f"), booking.InProgress},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := booking.New()
			for _, command := range c.before {
				s, _ = apply(t, s, command)
			}
			_, r := apply(t, s, c.start)
			assert.Equal(t, r.Verdict, c.want)
		})
	}
}

func TestRetention(t *testing.T) {
	s := booking.New()
	s, _ = apply(t, s, start("a", "f"))
	expire := booking.Command{Expire: &booking.Expire{Keep: 2}}
	for range 5 {
		s, _ = apply(t, s, expire)
	}
	assert.Equal(t, s.Len(), 1, "the record of a started booking must not expire")
	s, _ = apply(t, s, finish("a", booking.Done))
	for range 2 {
		s, _ = apply(t, s, expire)
	}
	assert.Equal(t, s.Len(), 1)
	s, _ = apply(t, s, expire)
	assert.Equal(t, s.Len(), 0)
}

// TestOneAttemptRuns checks with random commands that an attempt may be sent
// only if no other attempt may have run.
func TestOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := booking.New()
		attempts := []string{"a", "b", "c", "d"}
		phases := []booking.Phase{booking.Done, booking.NotRun, booking.Unknown}
		running := ""
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			attempt := rapid.SampledFrom(attempts).Draw(t, "attempt")
			if rapid.Bool().Draw(t, "start") {
				var r booking.Result
				s, r = apply(t, s, start(attempt, "f"))
				if r.Verdict != booking.Proceed {
					continue
				}
				assert.Assert(t, running == "" || running == attempt, "%s may send while %s may have run", attempt, running)
				running = attempt
				continue
			}
			phase := rapid.SampledFrom(phases).Draw(t, "phase")
			before, _ := s.Record("k")
			s, _ = apply(t, s, finish(attempt, phase))
			if attempt == running && before.Phase == booking.Started && phase == booking.NotRun {
				running = ""
			}
		}
	})
}
