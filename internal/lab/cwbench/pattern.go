package cwbench

import (
	"time"

	"github.com/juju/errors"
)

// Pattern is an overload or failure scenario for the servers of one service.
//
// The servers behave like the users' machines: a request runs at the speed that its
// server has when it starts, the speed of each machine is drawn again several times
// a second, the last slots of a server are slow, and requests that a full server
// cannot queue are never answered.
type Pattern struct {
	Name, Usage string
	Seed        uint64
	// VMs and Servers are spread over three failure domains. Each server has Slots
	// slots.
	VMs, Servers, Slots int
	// Work is the mean time of a request on a machine at its usual speed.
	Work time.Duration
	// Objective is the time within which a reply is due. Wait is the longest time
	// that a caller waits; each caller waits for Wait less a random part of up to
	// WaitSpread, a fraction of Wait.
	Objective, Wait time.Duration
	WaitSpread      float64
	// Rate is the number of new requests a second. Surges multiply it.
	Rate float64
	// Ranks has the shares of the requests by rank, the most urgent first; none means that
	// all have the same.
	Ranks  []float64
	Surges []Surge
	// Length is the time during which new requests arrive.
	Length time.Duration
	// Knee is the fraction of the slots of a server above which a new request takes
	// KneeFactor times longer.
	Knee, KneeFactor float64
	// A random NoiseShare of the machines is NoiseFactor times slower. It is drawn
	// again every NoiseEvery.
	NoiseShare, NoiseFactor float64
	NoiseEvery              time.Duration
	// Slow makes servers slower, Silent makes them never answer, and Shed makes them
	// refuse a share of their requests.
	Slow, Silent, Shed Disturbance
	// LostDomain is the interval in which no server of the first failure domain
	// answers.
	LostDomain Interval
	// PowerLoss is the interval in which all entry VMs have no power.
	PowerLoss Interval
	// StartSpread is the time within which the entry VMs start after a loss of power, and
	// CopyTime the mean time from the start of one until it has its copy of the store.
	// Without it they are back at once.
	StartSpread, CopyTime time.Duration
	// Skew sends a share of the callers to the first failure domain; the others are
	// spread over all of them.
	Skew Disturbance
}

// Disturbance affects a share of the servers, or of the callers, for a time.
// Affected servers are the first ones.
type Disturbance struct {
	Interval
	// Share is the share of the servers or callers that are affected.
	Share float64
	// Factor is how many times slower the servers are, or the share of requests that
	// they refuse.
	Factor float64
}

// affects reports whether the server at an index is affected at a time.
func (s *Disturbance) affects(index, servers int, at time.Duration) bool {
	return s.contains(at) && float64(index) < s.Share*float64(servers)
}

// Sizes and request rate (per second) of the users' lookup service.
const (
	patternVMs     = 17
	manyVMs        = 4 * patternVMs
	patternServers = 18
	patternSlots   = 3
	patternRate    = 88
	patternLength  = 10 * time.Second
)

// pattern returns a calm load, about half of what the servers handle at their usual
// speed.
func pattern(name, usage string) Pattern {
	return Pattern{
		Name: name, Usage: usage, Seed: 1, VMs: patternVMs, Servers: patternServers, Slots: patternSlots,
		Work: 160 * time.Millisecond, Objective: 400 * time.Millisecond, Wait: 2 * time.Second, WaitSpread: 0.15,
		Rate: patternRate, Length: patternLength, Knee: 0.8, KneeFactor: 1.7,
		NoiseShare: 0.25, NoiseFactor: 5, NoiseEvery: 150 * time.Millisecond,
	}
}

// burst multiplies the load of a pattern for three seconds.
func burst(p Pattern, factor float64) Pattern {
	p.Surges = []Surge{{Interval: Interval{From: 3 * time.Second, To: 6 * time.Second}, Load: factor}}

	return p
}

// Patterns returns all patterns.
func Patterns() []Pattern {
	const (
		from = 3 * time.Second
		to   = 6 * time.Second
	)

	span := Interval{From: from, To: to}

	calm := pattern("calm", "Half of what the servers handle.")
	one := burst(pattern("burst", "More than the servers handle, for three seconds."), 2.1)
	two := burst(pattern("bursts", "A burst, with a second one on top of it."), 2.1)
	two.Surges = append([]Surge{{Interval: Interval{From: from + time.Second, To: from + 2*time.Second}, Load: 3}}, two.Surges...)

	slow := burst(pattern("slow", "A third of the servers is five times slower, at a higher load."), 1.5)
	slow.Slow = Disturbance{Interval: span, Share: 1.0 / 3, Factor: 5}

	all := pattern("all-slow", "All servers are four times slower.")
	all.Rate /= 4
	all.Slow = Disturbance{Interval: span, Share: 1, Factor: 4}

	gone := burst(pattern("gone", "A fifth of the servers does not answer, at a higher load."), 1.5)
	gone.Silent = Disturbance{Interval: span, Share: 0.2}

	shed := pattern("shed", "All servers refuse half of their requests.")
	shed.Shed = Disturbance{Interval: span, Share: 1, Factor: 0.5}

	some := pattern("shed-some", "A seventh of the servers refuses half of its requests.")
	some.Shed = Disturbance{Interval: span, Share: 0.15, Factor: 0.5}

	ranked := pattern("shed-ranked", "All servers refuse over half of their requests for long; a fifth of the requests is urgent.")
	ranked.Shed = Disturbance{Interval: Interval{From: from, To: from + 8*time.Second}, Share: 1, Factor: 0.55}
	ranked.Length, ranked.Ranks = 13*time.Second, []float64{0.2, 0.8}

	killed := pattern("shed-dark", "All servers refuse over half of their requests for long, and all entry VMs lose power for half a second.")
	killed.Shed = Disturbance{Interval: Interval{From: from, To: from + 8*time.Second}, Share: 1, Factor: 0.55}
	killed.PowerLoss = Interval{From: from + 3*time.Second, To: from + 3500*time.Millisecond}
	killed.Length = 13 * time.Second

	dark := burst(pattern("dark", "All entry VMs lose power for 0.9 s; all callers retry at once."), 1.6)
	dark.PowerLoss = Interval{From: from + time.Second, To: from + 1900*time.Millisecond}

	back := pattern("return", "All entry VMs lose power for 1.5 s and have to copy the store; all callers retry.")
	back.PowerLoss = Interval{From: from, To: from + 1500*time.Millisecond}
	back.StartSpread, back.CopyTime = 300*time.Millisecond, 250*time.Millisecond

	lean := burst(pattern("lean", "Half of the callers move to one of three failure domains, at a higher load."), 1.3)
	lean.Skew = Disturbance{Interval: span, Share: 0.5}

	fallen := burst(pattern("fallen", "The servers of one of three failure domains do not answer, at a higher load."), 1.45)
	fallen.LostDomain = span

	single := burst(pattern("single", "Servers with one slot, each slowed down by a single request, at a higher load."), 1.5)
	single.Slots, single.Rate, single.KneeFactor = 1, 30, 1.9

	list := []Pattern{calm, one, two, slow, all, gone, shed, some, ranked, killed, dark, back, lean, fallen, single}

	return append(list, rankedPatterns()...)
}

// FindPattern returns the pattern with a name.
func FindPattern(name string) (Pattern, error) {
	var names []string

	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}

		names = append(names, p.Name)
	}

	return Pattern{}, errors.Errorf("bench: unknown pattern %q; known patterns: %v", name, names)
}

// Grow scales the pattern to a number of entry VMs, with servers and requests in
// proportion.
func (p *Pattern) Grow(vms int) {
	by := float64(vms) / float64(p.VMs)
	p.VMs = vms
	p.Servers = int(by*float64(p.Servers) + 0.5)
	p.Rate *= by
}

// factor returns the load at a time as a multiple of Rate.
func (p *Pattern) factor(at time.Duration) float64 { return loadOf(p.Surges, at, 1) }

// ranks returns the number of ranks.
func (p *Pattern) ranks() int { return max(1, len(p.Ranks)) }

// Validate returns an error if a size or time of the pattern is out of range.
func (p *Pattern) Validate() error {
	if p.VMs < 1 || p.Servers < 1 || p.Slots < 1 || p.Rate <= 0 {
		return errors.Errorf("bench: %d entry VMs, %d servers of %d slots, %.1f requests a second: want each above 0",
			p.VMs, p.Servers, p.Slots, p.Rate)
	}

	if p.Work <= 0 || p.Objective <= 0 || p.Wait < p.Objective || p.Length <= 0 || p.NoiseEvery <= 0 {
		return errors.Errorf("bench: work of %s, objective %s, wait %s, length %s, noise each %s: want each above 0, and the wait no shorter than the objective",
			p.Work, p.Objective, p.Wait, p.Length, p.NoiseEvery)
	}

	return nil
}

// Way is a way for entry VMs to assign requests to servers. The zero value is that
// of the product; each field changes one part of it.
type Way struct {
	Name string
	// Central uses a single queue for all entry VMs that sees the true state of each
	// server without delay. It is an upper bound.
	Central bool
	// Random sends each request to a random server without a health check.
	Random bool
	// Alone lets each request check servers on its own for a fixed part of the
	// objective. A caller that waits for less than 0.95 of the longest wait counts as
	// one that has retried; after the search time its request takes any server that
	// answers before the caller gives up.
	Alone bool
	// NoRetryAge treats every attempt as a first one, NoSparedSlots lets late
	// requests take the last slots of servers, and NoHandOver does not give freed
	// slots to waiting requests.
	NoRetryAge, NoSparedSlots, NoHandOver bool
	// AllCheck lets every waiting request check servers, not only the first one of
	// the queue.
	AllCheck bool
	// LocalFirst checks servers of other failure domains only after all servers of
	// the failure domain of the entry VM.
	LocalFirst bool
	// NoSpareServers ignores the servers that are added while the near ones fail.
	NoSpareServers bool
	// ReserveExtra reserves most of the limit on extra calls for callers that have
	// retried.
	ReserveExtra bool
	// NoHold refuses every request that reaches an entry VM before it has its copy of the
	// store.
	NoHold bool
	// NoAdmission lets all arriving requests try to get a server. OwnLoadOnly decides on them by
	// the load of the entry VM itself.
	NoAdmission, OwnLoadOnly bool
	// ConstantReturn tells all callers that are refused on arrival to come back after the
	// same number of usual response times.
	ConstantReturn bool
	// NoSlowdown waits for a faster server also where all servers are slow.
	NoSlowdown bool
	// NoRanks gives second sends to requests of all priorities alike.
	NoRanks bool
	// RefusalsAsFailures avoids servers that refuse although they have room, also where all
	// servers refuse alike.
	RefusalsAsFailures bool
}

// Names of the way of the product and of the upper bound.
const (
	nameOurs    = "ours"
	nameCeiling = "ceiling"
)

// Ways returns all ways: a naive one, one in which requests check servers
// independently, that of the product, that of the product with one part removed or
// changed in each, and the upper bound.
func Ways() []Way {
	return []Way{
		{Name: "naive", Random: true}, {Name: "alone", Alone: true}, {Name: nameOurs},
		{Name: "ageless", NoRetryAge: true}, {Name: "greedy", NoSparedSlots: true}, {Name: "forgetful", NoHandOver: true},
		{Name: "restless", AllCheck: true},
		{Name: "impatient", NoHold: true},
		{Name: "paceless", NoSlowdown: true}, {Name: "homebound", LocalFirst: true}, {Name: "narrow", NoSpareServers: true}, {Name: "reserved", ReserveExtra: true},
		{Name: "rankless", NoRanks: true}, {Name: "wary", RefusalsAsFailures: true},
		{Name: "unled", NoAdmission: true}, {Name: "own-load", OwnLoadOnly: true}, {Name: "constant", ConstantReturn: true},
		{Name: nameCeiling, Central: true},
	}
}
