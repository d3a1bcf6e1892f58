package cwleave

import (
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwdrain"
)

// Signal is a way in which the first entry VM, and only that one, learns that
// the server leaves.
type Signal struct {
	Name string
	// give triggers the signal; list returns the VM list of the run.
	give func(*Fleet)
	list func(*Fleet) List
}

// Signals returns the signals. The VM list never shows the server as leaving,
// except for the one read that is itself the signal.
func Signals() []Signal {
	return []Signal{
		{"the server's word", announceDraining, staleList},
		{"health", reportCheck, staleList},
		{"operator", drainByOperator, staleList},
		{"VM list", func(*Fleet) {}, seenOnce},
	}
}

// LastWork runs the fleet with this signal and returns the time from it to the
// last new request to the server.
func (s Signal) LastWork(f *Fleet) time.Duration { return f.LastWork(s.list(f), s.give) }

// NaiveLastWork runs the fleet as a balancer that relies on the VM list alone,
// which shows the server as leaving only after a lag.
func NaiveLastWork(f *Fleet, lag time.Duration) time.Duration {
	f.loss = 1
	late := func(int) []carobward.VM {
		if f.now < signalAt+lag {
			return f.list
		}

		return f.leavingList()
	}

	return f.LastWork(late, func(*Fleet) {})
}

func announceDraining(f *Fleet) {
	f.vms[0].leaver().SetReport(carobward.Report{At: f.clock.now, Draining: true})
}

func reportCheck(f *Fleet) {
	f.vms[0].news.ApplyCheck(f.clock.now, f.clock.now, Leaver, cwdrain.Draining)
}

func drainByOperator(f *Fleet) { f.vms[0].news.SetDrain(f.clock.now, Leaver, true) }

// staleList returns a list that never shows the server as leaving.
func staleList(f *Fleet) List {
	return func(int) []carobward.VM { return f.list }
}

// seenOnce returns a list that shows the server as leaving to the first entry
// VM, at one read, and to nobody else.
func seenOnce(f *Fleet) List {
	return func(i int) []carobward.VM {
		if i != 0 || f.now != signalAt+stepTime {
			return f.list
		}

		return f.leavingList()
	}
}

// leavingList returns the list that shows the server as leaving.
func (f *Fleet) leavingList() []carobward.VM {
	all := slices.Clone(f.list)
	all[0].State = carobward.Leaving

	return all
}
