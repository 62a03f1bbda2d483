package local_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/local"
	"github.com/cranberrywind/cranberrywind/internal/standin"
	"github.com/cranberrywind/cranberrywind/pkg/replica"
)

// servedAgainLimit is how long a key may be without an answer after a loss.
const servedAgainLimit = 2 * time.Second

// BenchmarkServedAgain measures how long a key is not served after a loss, for
// both deployments' configurations. Run it with -benchtime 30x or more.
func BenchmarkServedAgain(b *testing.B) {
	losses := []struct {
		name string
		lose func(b *testing.B, d *local.Deployment, service config.Service, key string) (repair func())
	}{{"owner", loseOwner}, {"control_leader", loseLeader}, {"owner_and_leader", loseBoth}, {"entry_and_owner", loseEntryAndOwner}}
	for _, name := range []string{"zarqa", "new_england"} {
		for _, x := range losses {
			b.Run(name+"/"+x.name, func(b *testing.B) {
				d := benchDeployment(b, local.WithDeployment(name), local.WithInstances(5, 3), local.WithTargets(3, 4))
				parsed, err := config.Parse("text", []byte(d.Config))
				assert.NilError(b, err)
				service := parsed.Services[0]
				var times []time.Duration
				for b.Loop() {
					key := fmt.Sprintf("k%d", len(times))
					repair := x.lose(b, d, service, key)
					times = append(times, servedAgain(b, d, service.Prefix+key))
					repair()
					assert.NilError(b, d.WaitReady(context.Background()))
				}
				report(b, times)
			})
		}
	}
}

// servedAgain polls an entry that stays up until the key is answered.
func servedAgain(b *testing.B, d *local.Deployment, path string) time.Duration {
	b.Helper()
	began := time.Now()
	for time.Since(began) < 20*time.Second {
		r, err := trySend(http.MethodGet, callerOf(d, 4)+path, "", nil)
		if err == nil && r.outcome == "done" && r.status == http.StatusOK {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.Errorf("%s was not served again", path)
	return time.Since(began)
}

func report(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	at := func(q float64) float64 { return float64(times[int(q*float64(len(times)-1))].Milliseconds()) }
	b.ReportMetric(at(0), "min_ms")
	b.ReportMetric(at(0.5), "p50_ms")
	b.ReportMetric(at(0.9), "p90_ms")
	b.ReportMetric(at(1), "max_ms")
	if worst := times[len(times)-1]; worst > servedAgainLimit {
		b.Errorf("a key was served again only after %s, more than %s", worst, servedAgainLimit)
	}
}

// loseOwner kills the key's owner; the repair starts another target.
func loseOwner(b *testing.B, d *local.Deployment, service config.Service, key string) func() {
	b.Helper()
	owner, err := d.Owner(context.Background(), service.Name, key)
	assert.NilError(b, err)
	i := slices.IndexFunc(d.Targets, func(t *standin.Target) bool { return t.Incarnation() == owner.Incarnation })
	lost := d.Targets[i]
	lost.Kill()
	d.Targets = slices.Delete(d.Targets, i, i+1)
	return func() {
		_, err := d.StartTarget(service, lost.Name())
		assert.NilError(b, err)
	}
}

// loseLeader ends the instance that leads control; the repair starts it again.
func loseLeader(b *testing.B, d *local.Deployment, _ config.Service, _ string) func() {
	b.Helper()
	for i, x := range d.Instances {
		if x.Daemon.ControlRole() == replica.Leader {
			d.StopInstance(i)
			return func() { assert.NilError(b, d.StartInstance(i)) }
		}
	}
	b.Fatal("no instance leads control")
	return nil
}

func loseBoth(b *testing.B, d *local.Deployment, service config.Service, key string) func() {
	b.Helper()
	one := loseOwner(b, d, service, key)
	two := loseLeader(b, d, service, key)
	return func() {
		two()
		one()
	}
}

func loseEntryAndOwner(b *testing.B, d *local.Deployment, service config.Service, key string) func() {
	b.Helper()
	const entry = 3
	one := loseOwner(b, d, service, key)
	d.StopInstance(entry)
	return func() {
		assert.NilError(b, d.StartInstance(entry))
		one()
	}
}
