package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward/internal/cwfront"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/platform"
)

// settingsPollInterval is the interval between checks of the settings file,
// which may change without a signal.
const settingsPollInterval = 5 * time.Second

// signals are the signals to this process. Those to stop have a channel of their own: a channel that
// is full drops signals, and settings are being reloaded for a while.
type signals struct{ stop, reload chan os.Signal }

// notifySignals starts to receive signals.
func notifySignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)

	return s
}

// watcher handles the signals to the process and reloads the settings when
// their file changes.
type watcher struct {
	path    string
	log     logr.Logger
	initial *platform.Settings
	apply   func(cwgateway.Bounds)
	// seen is the state of the file when it was last read.
	seen fileState
}

// fileState is what is compared to find out whether a file has changed.
type fileState struct {
	changed time.Time
	size    int64
}

func newWatcher(path string, initial *platform.Settings, apply func(cwgateway.Bounds), log logr.Logger) *watcher {
	w := &watcher{path: path, log: log, initial: initial, apply: apply}
	w.seen = w.stat()

	return w
}

// run closes stop on SIGTERM or SIGINT, and reloads the settings on SIGHUP
// and when their file has changed.
func (w *watcher) run(sig *signals, stop chan<- struct{}) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()

	for {
		select {
		case s := <-sig.stop:
			w.log.Info("Received a signal.", "signal", s.String())
			close(stop)

			return
		case s := <-sig.reload:
			w.log.Info("Received a signal.", "signal", s.String())
			w.reload("a signal")
		case <-t.C:
			if w.stat() != w.seen {
				w.reload("its file has changed")
			}
		}
	}
}

// stat returns the state of the file, or the zero value if it can't be read.
func (w *watcher) stat() fileState {
	info, err := os.Stat(w.path) //nolint:gosec // The platform names the file.
	if err != nil {
		w.log.Info("Could not check the settings file for changes.", "cause", err.Error())

		return fileState{}
	}

	return fileState{info.ModTime(), info.Size()}
}

// reload reads the settings and applies those that can change at run time.
func (w *watcher) reload(why string) {
	w.seen = w.stat()

	s, err := platform.ReadSettings(w.path)
	if err != nil {
		w.log.Error(err, "Could not read the settings; the current ones stay in effect.", "why", why)

		return
	}

	if !reflect.DeepEqual(restartSettings(s), restartSettings(w.initial)) {
		w.log.Info("Some settings have changed that take effect only after a restart, such as names, addresses and the store.", "why", why)
	}

	logNotes(w.log, s)
	w.log.Info("Reloaded the settings.", "why", why)
	w.apply(bounds(s))
}

// restartSettings returns the settings that take effect only after a restart.
func restartSettings(s *platform.Settings) platform.Settings {
	f := *s
	f.Bounds, f.First, f.Seeds, f.Notes = platform.Bounds{}, false, nil, nil

	return f
}

// keyAgeFraction is a fraction of the time within which a revoked key must be
// refused everywhere. Requests that need a key are refused once the information
// about keys is older than that. The rest of the time, a second if the time is five,
// allows for heartbeats in transit: packets may queue for over half a second on a busy link.
const keyAgeFraction = 0.8

// bounds returns the settings that can change at run time.
func bounds(s *platform.Settings) cwgateway.Bounds {
	b := &s.Bounds

	return cwgateway.Bounds{
		Grace: b.Grace, MaxLookupTTL: b.MaxAnswerTTL, Seeds: s.Seeds, WarmupOvershoot: b.WarmupOvershoot, WarmupSlack: b.WarmupSlack,
		Quota:  cwquota.Bounds{Window: b.Quota.Window, Overshoot: b.Quota.Overshoot, Slack: b.Quota.Slack},
		Limits: cwfront.Limits{ExtraShare: b.ExtraShare, ExtraWindow: b.ExtraWindow, ExtraMin: b.ExtraMin, ChecksPerSecond: b.ChecksPerSecond, MaxKeyAge: time.Duration(keyAgeFraction * float64(b.Revoke))},
	}
}
