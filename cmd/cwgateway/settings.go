package main

import (
	"os"
	"reflect"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward/internal/cwfront"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/platform"
)

// settingsTime is the time between looks at the settings file, which may change
// without a signal.
const settingsTime = 5 * time.Second

// watcher follows the process's signals and its settings file.
type watcher struct {
	path    string
	log     logr.Logger
	started *platform.Settings
	apply   func(cwgateway.Bounds)
	// seen is the file's state when it was last read.
	seen fileState
}

// fileState tells whether a file was written.
type fileState struct {
	changed time.Time
	size    int64
}

func newWatcher(path string, started *platform.Settings, apply func(cwgateway.Bounds), log logr.Logger) *watcher {
	w := &watcher{path: path, log: log, started: started, apply: apply}
	w.seen = w.state()

	return w
}

// run closes stop on SIGTERM or SIGINT, and reads the settings again on SIGHUP
// and when their file has changed.
func (w *watcher) run(signals <-chan os.Signal, stop chan<- struct{}) {
	t := time.NewTicker(settingsTime)
	defer t.Stop()

	for {
		select {
		case s := <-signals:
			w.log.Info("Got a signal.", "signal", s.String())

			if s != syscall.SIGHUP {
				close(stop)

				return
			}

			w.reload("a signal")
		case <-t.C:
			if w.state() != w.seen {
				w.reload("its file has changed")
			}
		}
	}
}

// state returns the file's state, or the zero one where it can't be read.
func (w *watcher) state() fileState {
	info, err := os.Stat(w.path) //nolint:gosec // The platform names the file.
	if err != nil {
		w.log.Info("The settings file can't be found.", "cause", err.Error())

		return fileState{}
	}

	return fileState{info.ModTime(), info.Size()}
}

// reload reads the settings and puts those in force that may change.
func (w *watcher) reload(why string) {
	w.seen = w.state()

	s, err := platform.ReadSettings(w.path)
	if err != nil {
		w.log.Error(err, "The settings can't be read, the old ones stay.", "why", why)

		return
	}

	if !reflect.DeepEqual(fixed(s), fixed(w.started)) {
		w.log.Info("Some of the settings change with a restart: names, addresses and the store.", "why", why)
	}

	w.log.Info("Read the settings.", "why", why)
	w.apply(bounds(s))
}

// fixed returns the settings without those that may change while a process
// runs.
func fixed(s *platform.Settings) platform.Settings {
	f := *s
	f.Bounds, f.First, f.Seeds = platform.Bounds{}, false, nil

	return f
}

// keyAgePart is the part of the time in which a key that was taken away must be refused
// everywhere that what is known of keys may be old. The rest is for a store whose watches
// hear of changes late, and for heartbeats on their way.
const keyAgePart = 0.7

// bounds returns the settings that may change while a process runs.
func bounds(s *platform.Settings) cwgateway.Bounds {
	b := &s.Bounds

	return cwgateway.Bounds{
		Grace: b.Grace, MaxLookupTTL: b.MaxAnswerTTL, Seeds: s.Seeds, WarmupOvershoot: b.WarmupOvershoot, WarmupSlack: b.WarmupSlack,
		Quota:  cwquota.Bounds{Window: b.Quota.Window, Overshoot: b.Quota.Overshoot, Slack: b.Quota.Slack},
		Limits: cwfront.Limits{ExtraShare: b.ExtraShare, ExtraWindow: b.ExtraWindow, ExtraMin: b.ExtraMin, ChecksPerSecond: b.ChecksPerSecond, MaxKeyAge: time.Duration(keyAgePart * float64(b.Revoke))},
	}
}
