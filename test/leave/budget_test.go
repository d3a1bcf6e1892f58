package leave

import (
	"syscall"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// sample is the sum of all servers' counts, read between two times.
type sample struct {
	from, to time.Time
	counts   cwstand.Counts
}

func readSample(t *testing.T, servers []*backend) sample {
	t.Helper()

	s := sample{from: time.Now()}
	for _, b := range servers {
		s.counts = s.counts.Add(b.counts(t))
	}

	s.to = time.Now()

	return s
}

// measurementCost returns the calls of health checks, and the bytes of health checks and load
// reports, between two samples.
func measurementCost(a, b sample) (calls, bytes int64) {
	c, d := a.counts, b.counts

	return d.Probes - c.Probes, d.ProbeBytes + d.ReportBytes - c.ProbeBytes - c.ReportBytes
}

// TestMeasuringBudget checks that health checks and load reports stay within the configured
// measurement budget in each second, as counted by the servers, under load, while one entry VM is
// paused and resumed and another one joins.
func TestMeasuringBudget(t *testing.T) {
	t.Parallel()

	const (
		calls = 8
		bytes = 16 << 10
		phase = 8 << 10
	)

	f := newFleet(t)

	var servers []*backend
	for _, service := range []string{"records", "records", "records", "billing", "billing"} {
		servers = append(servers, f.backend(t, service, "--asked"))
	}

	targets := cwtest.File(t, "targets.jsonc", `{"targets": [{"name": "sheet-lookup", "service": "records", "promise": "quick",
		"match": [{"method": "GET", "path": "/sheets/"}]}], "measure": {"calls": 8, "bytes": "16KB"}}`)
	if out, code := cwtest.Run(t, f.Carobward, "apply", "--vm", f.VMs["vm-1"].Operators, targets); code != 0 {
		t.Fatalf("apply: %s", out)
	}

	f.WaitRevision(t, 1, 3)

	stopLoad := f.startLoad()
	samples := []sample{readSample(t, servers)}
	worstCalls, worstBytes := int64(0), int64(0)

	// waitMeasured waits until health checks and load reports have used that many more bytes,
	// and updates the worst second.
	waitMeasured := func(what string, more int64) {
		first := samples[len(samples)-1]

		cwtest.Wait(t, what, func() bool {
			now := readSample(t, servers)
			samples = append(samples, now)

			for i := len(samples) - 1; i >= 0 && now.to.Sub(samples[i].from) < time.Second; i-- {
				c, b := measurementCost(samples[i], now)
				worstCalls, worstBytes = max(worstCalls, c), max(worstBytes, b)
			}

			_, b := measurementCost(first, now)

			return b >= more
		})
	}

	waitMeasured("health checks and load reports", phase)
	f.VMs["vm-2"].Process.Signal(t, syscall.SIGSTOP)
	waitMeasured("health checks and load reports with a frozen entry VM", phase)
	f.VMs["vm-2"].Process.Signal(t, syscall.SIGCONT)
	f.StartVM(t, "vm-4", "Azilal")
	f.PublishList(t)
	waitMeasured("health checks and load reports with another entry VM", phase)

	// Requests in flight at the paused entry VM may fail.
	_ = stopLoad()

	t.Logf("worst second at the servers: %d calls and %d bytes, budget %d and %d", worstCalls, worstBytes, calls, bytes)

	if worstCalls == 0 || worstCalls > calls || worstBytes > bytes {
		t.Errorf("the servers counted %d calls and %d bytes in a second, budget %d and %d", worstCalls, worstBytes, calls, bytes)
	}
}
