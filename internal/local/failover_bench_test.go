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

// maxOutage is how long a key may go unserved after a failure.
const maxOutage = 2 * time.Second

// BenchmarkServedAgain measures how long a key is not served after a failure, for the
// configurations of both example deployments. Run it with -benchtime 30x or more.
func BenchmarkServedAgain(b *testing.B) {
	failures := []struct {
		name string
		fail func(b *testing.B, d *local.Deployment, service config.Service, key string) (repair func())
	}{{"owner", failOwner}, {"control_leader", failLeader}, {"owner_and_leader", failOwnerAndLeader}, {"entry_and_owner", failEntryAndOwner}}
	for _, name := range []string{"zarqa", "new_england"} {
		for _, failure := range failures {
			b.Run(name+"/"+failure.name, func(b *testing.B) {
				d := benchDeployment(b, local.WithDeployment(name), local.WithInstances(5, 3), local.WithTargets(3, 4))
				parsed, err := config.Parse("text", []byte(d.Config))
				assert.NilError(b, err)
				service := parsed.Services[0]
				var outages []time.Duration
				for b.Loop() {
					key := fmt.Sprintf("k%d", len(outages))
					repair := failure.fail(b, d, service, key)
					outages = append(outages, waitServed(b, d, service.Prefix+key))
					repair()
					assert.NilError(b, d.WaitReady(context.Background()))
				}
				reportOutages(b, outages)
			})
		}
	}
}

// waitServed requests the path from the last instance, which no failure stops, until it
// is served, for 20 s at most. It returns how long that took.
func waitServed(b *testing.B, d *local.Deployment, path string) time.Duration {
	b.Helper()
	start := time.Now()
	for time.Since(start) < 20*time.Second {
		r, err := trySend(http.MethodGet, callerURL(d, 4)+path, "", nil)
		if err == nil && r.outcome == "done" && r.status == http.StatusOK {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.Errorf("%s was not served within 20s", path)
	return time.Since(start)
}

// reportOutages reports the outages' quantiles and fails if one exceeds maxOutage.
func reportOutages(b *testing.B, outages []time.Duration) {
	b.Helper()
	slices.Sort(outages)
	quantile := func(q float64) float64 { return float64(outages[int(q*float64(len(outages)-1))].Milliseconds()) }
	b.ReportMetric(quantile(0), "min_ms")
	b.ReportMetric(quantile(0.5), "p50_ms")
	b.ReportMetric(quantile(0.9), "p90_ms")
	b.ReportMetric(quantile(1), "max_ms")
	if worst := outages[len(outages)-1]; worst > maxOutage {
		b.Errorf("a key was not served for %s, more than %s", worst, maxOutage)
	}
}

// failOwner kills the key's owner. The function that it returns starts another target
// of the same name.
func failOwner(b *testing.B, d *local.Deployment, service config.Service, key string) func() {
	b.Helper()
	owner, err := d.Owner(context.Background(), service.Name, key)
	assert.NilError(b, err)
	i := slices.IndexFunc(d.Targets, func(t *standin.Target) bool { return t.Incarnation() == owner.Incarnation })
	failed := d.Targets[i]
	failed.Kill()
	d.Targets = slices.Delete(d.Targets, i, i+1)
	return func() {
		_, err := d.StartTarget(service, failed.Name())
		assert.NilError(b, err)
	}
}

// failLeader stops the instance that is the control leader. The function that it
// returns restarts it.
func failLeader(b *testing.B, d *local.Deployment, _ config.Service, _ string) func() {
	b.Helper()
	for i, inst := range d.Instances {
		if inst.Daemon.ControlRole() == replica.Leader {
			d.StopInstance(i)
			return func() { assert.NilError(b, d.StartInstance(i)) }
		}
	}
	b.Fatal("no instance is the control leader")
	return nil
}

func failOwnerAndLeader(b *testing.B, d *local.Deployment, service config.Service, key string) func() {
	b.Helper()
	restoreOwner := failOwner(b, d, service, key)
	restoreLeader := failLeader(b, d, service, key)
	return func() {
		restoreLeader()
		restoreOwner()
	}
}

func failEntryAndOwner(b *testing.B, d *local.Deployment, service config.Service, key string) func() {
	b.Helper()
	const entry = 3
	restoreOwner := failOwner(b, d, service, key)
	d.StopInstance(entry)
	return func() {
		assert.NilError(b, d.StartInstance(entry))
		restoreOwner()
	}
}
