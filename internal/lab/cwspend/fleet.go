// Package cwspend simulates a fleet of entry VMs that spend as much on health
// probes and load reports as the measurement budget allows, and counts the cost
// at the servers. The entry VMs' views of the fleet lag, differ and flap; entry
// VMs join, leave and pause. The same seed gives the same fleet.
package cwspend

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward/internal/cwbudget"
)

// The parameters of the model.
const (
	// stepTime is the length of a step of the model.
	stepTime = 100 * time.Millisecond
	// runTime is the length of a run.
	runTime = 45 * time.Second
	// maxLag bounds how far an entry VM's view lags.
	maxLag = 3 * time.Second
	// maxPause bounds how long an entry VM is paused.
	maxPause = 20 * time.Second
	// maxProbeTime and maxReportTime bound the time until a probe and a report
	// end.
	maxProbeTime  = 500 * time.Millisecond
	maxReportTime = 2 * time.Second
	// reportBytes is the size of a load report on a reply.
	reportBytes = 160
	// maxPerStep bounds the measurements of one kind that an entry VM starts in
	// one step.
	maxPerStep = 1000
	// flapOneIn: in one of so many steps an entry VM sees half of the fleet
	// only.
	flapOneIn = 4
	// fifths is the denominator of the share of the fleet that an entry VM
	// sees: five fifths or four.
	fifths = 5
	// kindCount is the number of kinds of entry VM: present all the time,
	// joining, leaving and pausing.
	kindCount = 4
)

// epoch is the time at which each run begins.
var epoch = time.Unix(1_700_000_000, 0)

// measurement is a probe or a report that has not ended.
type measurement struct {
	end  time.Duration
	cost cwbudget.Cost
}

// member is one entry VM.
type member struct {
	Spender

	joined, left            time.Duration
	pausedFrom, pausedUntil time.Duration
	lag                     time.Duration
	share                   int // the fifths of the fleet that it sees
	pending                 []measurement
}

func (v *member) present(at time.Duration) bool { return v.joined <= at && at < v.left }

func (v *member) runs(at time.Duration) bool {
	return v.present(at) && (at < v.pausedFrom || at >= v.pausedUntil)
}

// arrival is a measurement as the servers count it.
type arrival struct {
	at   time.Duration
	cost cwbudget.Cost
}

// Fleet is a simulated fleet.
type Fleet struct {
	budget  cwbudget.Cost
	members []*member
	rng     *rand.Rand
	counted []arrival
}

// New returns a random fleet with a number of entry VMs, each with a spender of
// its own.
func New(budget cwbudget.Cost, vms int, seed uint64, spender func() Spender) *Fleet {
	f := &Fleet{budget: budget, rng: rand.New(rand.NewPCG(seed, 1))}

	for i := range vms {
		v := &member{Spender: spender(), left: runTime, lag: f.upTo(maxLag), share: fifths - 1 + f.rng.IntN(2)}

		switch i % kindCount {
		case 1:
			v.joined = f.upTo(runTime)
		case 2:
			v.left = f.upTo(runTime)
		case 3:
			v.pausedFrom = f.upTo(runTime)
			v.pausedUntil = v.pausedFrom + f.upTo(maxPause)
		}

		f.members = append(f.members, v)
	}

	return f
}

// SeeAll lets each entry VM see the whole fleet, though still with a lag and
// flapping.
func (f *Fleet) SeeAll() {
	for _, v := range f.members {
		v.share = fifths
	}
}

// Run runs the fleet and returns the highest cost that the servers counted
// within any second. A fleet can run only once.
func (f *Fleet) Run() cwbudget.Cost {
	for now := time.Duration(0); now < runTime; now += stepTime {
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
		if f.rng.IntN(flapOneIn) == 0 {
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
		if v.present(at) {
			n++
		}
	}

	return n
}

// rank returns the position of a member among those present at a time.
func (f *Fleet) rank(of *member, at time.Duration) int {
	n := 0

	for _, v := range f.members {
		if v == of {
			return n
		}

		if v.present(at) {
			n++
		}
	}

	return n
}

// spend lets an entry VM measure as much as its spender allows.
func (f *Fleet) spend(v *member, now time.Duration) {
	at := epoch.Add(now)
	probe := cwbudget.Cost{Calls: 1, Bytes: cwbudget.MaxProbeBytes}
	report := cwbudget.Cost{Bytes: reportBytes}

	for n := 0; n < maxPerStep && v.Reserve(at, probe); n++ {
		f.begin(v, now, probe, maxProbeTime)
	}

	for n := 0; n < maxPerStep && v.ReserveReport(at, report.Bytes); n++ {
		f.begin(v, now, report, maxReportTime)
	}
}

// begin starts a measurement, which the servers count at a random time before
// its end.
func (f *Fleet) begin(v *member, now time.Duration, c cwbudget.Cost, limit time.Duration) {
	end := now + f.upTo(limit)
	f.counted = append(f.counted, arrival{now + f.upTo(end-now), c})
	v.pending = append(v.pending, measurement{end, c})
}

func (f *Fleet) upTo(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(limit) + 1))
}

func (f *Fleet) finish(v *member, now time.Duration) {
	v.pending = slices.DeleteFunc(v.pending, func(s measurement) bool {
		if s.end > now {
			return false
		}

		v.Settle(epoch.Add(now), s.cost, s.cost)

		return true
	})
}

// worst returns the highest cost that the servers counted within any second.
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
