// Command cwgateway runs one entry VM on the users' platform.
//
// Usage:
//
//	CAROBWARD_BOOT=/path/to/settings.toml cwgateway
//
// It reads the settings that the platform writes, serves callers, and stops
// within the grace period on SIGTERM or SIGINT. It reloads the settings on
// SIGHUP and when their file has changed. Changed bounds and seeds take effect
// at once; other changes take effect after a restart.
package main

import (
	"crypto/sha256"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwlog"
	"carobward.example/carobward/internal/cwmemory"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwsuspend"
	"carobward.example/carobward/platform"
)

const (
	// gcPercent is low to keep the heap small: memory is more expensive than
	// CPU time on this platform.
	gcPercent = 40
	// logQueueLines is the maximum number of queued log lines. A line has
	// about 200 bytes, and there are about 20 per second and request.
	logQueueLines = 2048
	// metricsPort is the port of the metrics endpoint. It must match
	// deploy/system.toml.
	metricsPort = "9464"
)

func main() {
	// Registered first, so that an early SIGHUP does not terminate the process.
	sig := notifySignals()
	debug.SetGCPercent(gcPercent)

	out := cwlog.NewAsync(os.Stdout, logQueueLines)
	log := cwlog.New(out, "info")
	err := run(log, out, sig)

	if err != nil {
		log.Error(err, "The entry VM stopped with an error.")
	}

	out.Close()

	if err != nil {
		os.Exit(1)
	}
}

func run(log logr.Logger, out *cwlog.Async, sig *signals) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fmt.Errorf("set %s to the path of the platform's settings file", platform.SettingsVariable)
	}

	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}

	logNotes(log, s)

	plan := cwmemory.NewPlan(s.Memory)
	debug.SetMemoryLimit(int64(plan.Collector))

	o := options(s, log)
	o.Memory = plan
	o.DroppedLines = out.Dropped

	g, err := cwgateway.New(o)
	if err != nil {
		return err
	}

	stop := make(chan struct{})

	var group conc.WaitGroup

	w := newWatcher(path, s, g.SetBounds, log.WithName("signal"))
	group.Go(func() { w.run(sig, stop) })

	err = g.Run(stop)
	if err == nil {
		group.Wait() // The watcher has returned, since only it closes stop.
	}

	return err
}

// logNotes logs which settings were rounded, left out or replaced by a default.
func logNotes(log logr.Logger, s *platform.Settings) {
	for _, note := range s.Notes {
		log.Info("A setting was not taken as it stands.", "setting", note)
	}
}

func options(s *platform.Settings, log logr.Logger) cwgateway.Options {
	host, _, _ := net.SplitHostPort(string(s.Callers))
	// All entry VMs of a deployment share its store, so the key derived from the
	// store address rejects peers of other deployments. It is not a secret.
	key := sha256.Sum256([]byte("carobward " + string(s.Store)))

	var calls atomic.Int64

	suspended := cwsuspend.New()

	return cwgateway.Options{
		Self:              cwmesh.Node{ID: s.VM, Domain: s.Domain, Callers: s.Callers, Peers: s.Peers, Relay: s.Relay},
		Ready:             s.Ready,
		Lookup:            s.Lookup,
		Metrics:           carobward.Address(net.JoinHostPort(host, metricsPort)),
		Bounds:            bounds(s),
		Regions:           s.Regions,
		Key:               key[:],
		LinkSpeed:         s.Link,
		ServerHeartbeat:   s.Heartbeat,
		FirstStart:        s.First,
		Adapter:           platform.Adapter(s.Store, func() { calls.Add(1) }),
		StoreCalls:        calls.Load,
		Clock:             carobward.SystemClock{},
		Suspended:         suspended.Passed,
		PendingSuspension: suspended.Pending,
		Log:               log,
	}
}
