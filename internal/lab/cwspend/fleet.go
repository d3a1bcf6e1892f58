// Package cwspend models a fleet of entry VMs that measure whenever they may,
// and counts at the servers what that costs. The views of the entry VMs lag,
// differ and flap; entry VMs join, leave and freeze. The same seed gives the
// same fleet.
package cwspend

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward/internal/cwbudget"
)

// The model's rules.
const (
	// stepEvery is the model's step.
	stepEvery = 100 * time.Millisecond
	// runFor is the length of a run.
	runFor = 45 * time.Second
	// lagMost is how far a view lags at most.
	lagMost = 3 * time.Second
	// frozenMost is the longest freeze.
	frozenMost = 20 * time.Second
	// probeMost and reportMost bound when a probe and a report end.
	probeMost  = 500 * time.Millisecond
	reportMost = 2 * time.Second
	// reportBytes is the cost of a report on a reply.
	reportBytes = 160
	// eager bounds what an entry VM asks for at one step.
	eager = 1000
	// flaps is one in how many steps a source shows half of the fleet only.
	flaps = 4
	// Shares of the fleet are seen in fifths: all of it, or one less.
	fifths = 5
	// kinds is the number of kinds of entry VM: there all the time, joining,
	// leaving and frozen.
	kinds = 4
)

// epoch is the time at which each model begins.
var epoch = time.Unix(1_700_000_000, 0)

// spending is a measurement that has not ended.
type spending struct {
	end  time.Duration
	cost cwbudget.Cost
}

// member is one entry VM.
type member struct {
	Spender

	joined, left  time.Duration
	frozen, until time.Duration
	lag           time.Duration
	share         int // fifths of the fleet that it sees
	open          []spending
}

func (v *member) there(at time.Duration) bool { return v.joined <= at && at < v.left }

func (v *member) runs(at time.Duration) bool {
	return v.there(at) && (at < v.frozen || at >= v.until)
}

// arrival is what the servers count.
type arrival struct {
	at   time.Duration
	cost cwbudget.Cost
}

// Fleet is a fleet at peak.
type Fleet struct {
	budget  cwbudget.Cost
	members []*member
	rng     *rand.Rand
	counted []arrival
}

// New draws a fleet of so many entry VMs, each with a spender of its own.
func New(budget cwbudget.Cost, vms int, seed uint64, spender func() Spender) *Fleet {
	f := &Fleet{budget: budget, rng: rand.New(rand.NewPCG(seed, 1))}

	for i := range vms {
		v := &member{Spender: spender(), left: runFor, lag: f.upTo(lagMost), share: fifths - 1 + f.rng.IntN(2)}

		switch i % kinds {
		case 1:
			v.joined = f.upTo(runFor)
		case 2:
			v.left = f.upTo(runFor)
		case 3:
			v.frozen = f.upTo(runFor)
			v.until = v.frozen + f.upTo(frozenMost)
		}

		f.members = append(f.members, v)
	}

	return f
}

// SeeAll has each entry VM see the whole fleet, late only.
func (f *Fleet) SeeAll() {
	for _, v := range f.members {
		v.share = fifths
	}
}

// Run runs the fleet and returns the most that the servers counted within any
// second. A fleet runs once.
func (f *Fleet) Run() cwbudget.Cost {
	for now := time.Duration(0); now < runFor; now += stepEvery {
		f.step(now)
	}

	return f.worst()
}

func (f *Fleet) step(now time.Duration) {
	for _, v := range f.members {
		if !v.runs(now) {
			continue
		}

		seen := max(1, (max(1, f.size(now-v.lag))*v.share+fifths-1)/fifths)
		if f.rng.IntN(flaps) == 0 {
			seen = max(1, seen/2)
		}

		at := epoch.Add(now)
		v.Tick(at, cwbudget.View{Budget: f.budget, Size: seen, Rank: f.rank(v, now-v.lag), At: at})
		f.finish(v, now)
		f.spend(v, now)
	}
}

// size returns the number of entry VMs at a time.
func (f *Fleet) size(at time.Duration) int {
	n := 0

	for _, v := range f.members {
		if v.there(at) {
			n++
		}
	}

	return n
}

// rank returns the place of a member among those that it sees.
func (f *Fleet) rank(of *member, at time.Duration) int {
	n := 0

	for _, v := range f.members {
		if v == of {
			return n
		}

		if v.there(at) {
			n++
		}
	}

	return n
}

// spend has an entry VM measure as much as it may.
func (f *Fleet) spend(v *member, now time.Duration) {
	at := epoch.Add(now)
	probe := cwbudget.Cost{Calls: 1, Bytes: cwbudget.MaxProbeBytes}
	report := cwbudget.Cost{Bytes: reportBytes}

	for n := 0; n < eager && v.Reserve(at, probe); n++ {
		f.begin(v, now, probe, probeMost)
	}

	for n := 0; n < eager && v.ReserveReport(at, report.Bytes); n++ {
		f.begin(v, now, report, reportMost)
	}
}

// begin has the servers count the cost at some time before its end.
func (f *Fleet) begin(v *member, now time.Duration, c cwbudget.Cost, most time.Duration) {
	end := now + f.upTo(most)
	f.counted = append(f.counted, arrival{now + f.upTo(end-now), c})
	v.open = append(v.open, spending{end, c})
}

func (f *Fleet) upTo(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most) + 1))
}

func (f *Fleet) finish(v *member, now time.Duration) {
	v.open = slices.DeleteFunc(v.open, func(s spending) bool {
		if s.end > now {
			return false
		}

		v.Settle(epoch.Add(now), s.cost, s.cost)

		return true
	})
}

// worst returns the most that the servers counted within any second.
func (f *Fleet) worst() cwbudget.Cost {
	slices.SortFunc(f.counted, func(a, b arrival) int { return int(a.at - b.at) })

	var sum, worst cwbudget.Cost

	first := 0

	for _, a := range f.counted {
		sum = sum.Plus(a.cost)

		for a.at-f.counted[first].at >= time.Second {
			sum = sum.Minus(f.counted[first].cost)
			first++
		}

		worst.Calls = max(worst.Calls, sum.Calls)
		worst.Bytes = max(worst.Bytes, sum.Bytes)
	}

	return worst
}
