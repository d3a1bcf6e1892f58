package cwleave

import (
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwdrain"
)

// Sign is one way in which the first entry VM, and it only, learns that the
// server leaves.
type Sign struct {
	Name string
	// give shows the sign; list is the VM list of the run.
	give func(*Fleet)
	list func(*Fleet) List
}

// Signs returns the signs. No VM list ever shows the truth but for the one
// read that is the sign.
func Signs() []Sign {
	return []Sign{
		{"the server's word", word, stale},
		{"health", health, stale},
		{"operator", operator, stale},
		{"VM list", func(*Fleet) {}, once},
	}
}

// LastWork runs the fleet with this sign and returns the time from it to the
// last new work.
func (s Sign) LastWork(f *Fleet) time.Duration { return f.LastWork(s.list(f), s.give) }

// NaiveLastWork runs the fleet as a balancer that goes by the VM list alone,
// which shows the server as leaving only after a lag.
func NaiveLastWork(f *Fleet, lag time.Duration) time.Duration {
	f.loss = 1
	late := func(int) []carobward.VM {
		if f.now < signAt+lag {
			return f.list
		}

		return f.truth()
	}

	return f.LastWork(late, func(*Fleet) {})
}

func word(f *Fleet) {
	f.vms[0].leaver().SetReport(carobward.Report{At: f.clock.now, Draining: true})
}

func health(f *Fleet) {
	f.vms[0].news.ApplyCheck(f.clock.now, f.clock.now, Leaver, cwdrain.Draining)
}

func operator(f *Fleet) { f.vms[0].news.SetDrain(f.clock.now, Leaver, true) }

// stale is a list that never shows the server as leaving.
func stale(f *Fleet) List {
	return func(int) []carobward.VM { return f.list }
}

// once is a list that the first entry VM sees the truth of once and that lags
// for ever elsewhere.
func once(f *Fleet) List {
	return func(i int) []carobward.VM {
		if i != 0 || f.now != signAt+stepEvery {
			return f.list
		}

		return f.truth()
	}
}

// truth returns the list that shows the server as leaving.
func (f *Fleet) truth() []carobward.VM {
	all := slices.Clone(f.list)
	all[0].State = carobward.Leaving

	return all
}
