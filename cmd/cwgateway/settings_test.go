package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

// TestStopBehindReloads guards against a signal to stop that is lost because signals to reload the
// settings came right before and have not been handled yet.
func TestStopBehindReloads(t *testing.T) {
	sig := notifySignals()

	send := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}

	// Nobody receives them yet, as while settings are being reloaded.
	send(syscall.SIGHUP)
	cwtest.Wait(t, "the first signal", func() bool { return len(sig.reload) == 1 })
	send(syscall.SIGHUP)
	send(syscall.SIGTERM)
	cwtest.Wait(t, "the signal to stop", func() bool { return len(sig.stop) == 1 })

	w := newWatcher(filepath.Join(t.TempDir(), "none.toml"), &platform.Settings{}, nil, logr.Discard())
	stop := make(chan struct{})

	go w.run(sig, stop)

	select {
	case <-stop:
	case <-time.After(cwtest.MaxWait):
		t.Error("the process goes on")
	}
}
