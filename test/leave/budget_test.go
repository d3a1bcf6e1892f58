package leave

import (
	"syscall"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// sample is what all servers had counted at some time.
type sample struct {
	from, to time.Time
	counts   cwstand.Counts
}

func sampleOf(t *testing.T, servers []*backend) sample {
	t.Helper()

	s := sample{from: time.Now()}
	for _, b := range servers {
		s.counts = s.counts.Add(b.counts(t))
	}

	s.to = time.Now()

	return s
}

// spent returns the calls and bytes of measuring between two samples.
func spent(a, b sample) (calls, bytes int64) {
	c, d := a.counts, b.counts

	return d.Probes - c.Probes, d.ProbeBytes + d.ReportBytes - c.ProbeBytes - c.ReportBytes
}

// TestBudgetAtPeak counts at the servers what measuring costs, within each
// second, under load, while one entry VM is frozen and resumed and one joins.
func TestBudgetAtPeak(t *testing.T) {
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

	f.InForce(t, 1, 3)

	end := f.load()
	samples := []sample{sampleOf(t, servers)}
	worstCalls, worstBytes := int64(0), int64(0)

	// measured waits until so many more bytes have been spent, and notes the worst
	// second.
	measured := func(what string, more int64) {
		first := samples[len(samples)-1]

		cwtest.Wait(t, what, func() bool {
			now := sampleOf(t, servers)
			samples = append(samples, now)

			for i := len(samples) - 1; i >= 0 && now.to.Sub(samples[i].from) < time.Second; i-- {
				c, b := spent(samples[i], now)
				worstCalls, worstBytes = max(worstCalls, c), max(worstBytes, b)
			}

			_, b := spent(first, now)

			return b >= more
		})
	}

	measured("measuring", phase)
	f.VMs["vm-2"].Process.Signal(t, syscall.SIGSTOP)
	measured("measuring beside a frozen entry VM", phase)
	f.VMs["vm-2"].Process.Signal(t, syscall.SIGCONT)
	f.StartVM(t, "vm-4", "Azilal")
	f.List(t)
	measured("measuring with one more", phase)

	// Requests that were frozen with their entry VM may fail.
	_ = end()

	t.Logf("worst second at the servers: %d calls and %d bytes of %d and %d", worstCalls, worstBytes, calls, bytes)

	if worstCalls == 0 || worstCalls > calls || worstBytes > bytes {
		t.Errorf("the servers counted %d calls and %d bytes in a second, of %d and %d", worstCalls, worstBytes, calls, bytes)
	}
}
