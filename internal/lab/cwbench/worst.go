package cwbench

import (
	"time"

	"github.com/juju/errors"
)

// Pattern is one load at its worst on the servers of one service, as the users'
// machines show it: requests keep the speed that their server has when they begin,
// the speed of each machine is drawn anew several times a second, the last slots of
// a server are slow, and what a full server can't queue is never answered.
type Pattern struct {
	Name, Usage string
	Seed        uint64
	// VMs and Servers share three failure domains. Each server has so many Slots.
	VMs, Servers, Slots int
	// Work is the mean time of a request on a machine at its usual speed.
	Work time.Duration
	// Objective is the time in which an answer is due, Wait the most that a caller
	// waits; each waits for that or up to WaitSpread, a part of it, less.
	Objective, Wait time.Duration
	WaitSpread      float64
	// Rate is the number of new requests a second, Surges factors of it.
	Rate   float64
	Surges []Surge
	// Length is how long requests come.
	Length time.Duration
	// Knee is the part of a server's slots above which a request takes KneeFactor
	// times longer.
	Knee, KneeFactor float64
	// NoiseShare of the machines are NoiseFactor times slower, drawn each
	// NoiseEvery.
	NoiseShare, NoiseFactor float64
	NoiseEvery              time.Duration
	// Slow, Gone and Shed are spells of slow servers, of servers that never answer
	// and of servers that refuse a share of their requests.
	Slow, Gone, Shed Spell
	// Fallen is when all servers of the first failure domain never answer.
	Fallen Stretch
	// Dark is when all entry VMs have no power.
	Dark Stretch
	// Lean is when a share of the callers go to one failure domain beside those that
	// do in any case.
	Lean Spell
}

// Spell is trouble with a share of the servers, the first ones.
type Spell struct {
	Stretch
	// Share is the share of the servers.
	Share float64
	// Factor is how many times slower they are, or the share that they refuse.
	Factor float64
}

// hits tells whether a server at a place among so many has the trouble.
func (s *Spell) hits(place, servers int, at time.Duration) bool {
	return s.holds(at) && float64(place) < s.Share*float64(servers)
}

// The sizes of the users' lookup service.
const (
	patternVMs     = 17
	patternServers = 18
	patternSlots   = 3
	patternRate    = 88
	patternLength  = 10 * time.Second
)

// pattern returns a calm load, about half of what the servers carry at their usual
// speed.
func pattern(name, usage string) Pattern {
	return Pattern{
		Name: name, Usage: usage, Seed: 1, VMs: patternVMs, Servers: patternServers, Slots: patternSlots,
		Work: 160 * time.Millisecond, Objective: 400 * time.Millisecond, Wait: 2 * time.Second, WaitSpread: 0.15,
		Rate: patternRate, Length: patternLength, Knee: 0.8, KneeFactor: 1.7,
		NoiseShare: 0.25, NoiseFactor: 5, NoiseEvery: 150 * time.Millisecond,
	}
}

// Patterns lists the loads.
func Patterns() []Pattern {
	const (
		from = 3 * time.Second
		to   = 6 * time.Second
	)

	trouble := Stretch{From: from, To: to}
	burst := func(p Pattern, factor float64) Pattern {
		p.Surges = []Surge{{Stretch: trouble, Load: factor}}

		return p
	}

	calm := pattern("calm", "Half of what the servers carry.")
	one := burst(pattern("burst", "More than the servers carry, for three seconds."), 2.1)
	two := burst(pattern("bursts", "The same, with a second burst on top of the first."), 2.1)
	two.Surges = append([]Surge{{Stretch: Stretch{From: from + time.Second, To: from + 2*time.Second}, Load: 3}}, two.Surges...)

	slow := burst(pattern("slow", "A third of the servers five times slower, at a higher load."), 1.5)
	slow.Slow = Spell{Stretch: trouble, Share: 1.0 / 3, Factor: 5}

	all := pattern("all-slow", "All servers four times slower.")
	all.Rate /= 4
	all.Slow = Spell{Stretch: trouble, Share: 1, Factor: 4}

	gone := burst(pattern("gone", "A fifth of the servers silent, at a higher load."), 1.5)
	gone.Gone = Spell{Stretch: trouble, Share: 0.2}

	shed := pattern("shed", "All servers refuse half of what they are sent.")
	shed.Shed = Spell{Stretch: trouble, Share: 1, Factor: 0.5}

	dark := burst(pattern("dark", "All entry VMs without power for 0.9 s, and all callers back at once."), 1.6)
	dark.Dark = Stretch{From: from + time.Second, To: from + 1900*time.Millisecond}

	lean := burst(pattern("lean", "Half of all callers move to one of three failure domains, at a higher load."), 1.3)
	lean.Lean = Spell{Stretch: trouble, Share: 0.5}

	fallen := burst(pattern("fallen", "All servers of one of three failure domains silent, at a higher load."), 1.45)
	fallen.Fallen = trouble

	single := burst(pattern("single", "Servers of one slot, each crowded by one request, at a higher load."), 1.5)
	single.Slots, single.Rate, single.KneeFactor = 1, 30, 1.9

	return []Pattern{calm, one, two, slow, all, gone, shed, dark, lean, fallen, single}
}

// FindPattern returns a pattern by its name.
func FindPattern(name string) (Pattern, error) {
	var names []string

	for _, p := range Patterns() {
		if p.Name == name {
			return p, nil
		}

		names = append(names, p.Name)
	}

	return Pattern{}, errors.Errorf("bench: no pattern %q, there are %v", name, names)
}

// Grow makes the pattern that of a fleet of so many entry VMs, with servers and
// requests in proportion.
func (p *Pattern) Grow(vms int) {
	by := float64(vms) / float64(p.VMs)
	p.VMs = vms
	p.Servers = int(by*float64(p.Servers) + 0.5)
	p.Rate *= by
}

// factor is the load at a time as a factor of the rate.
func (p *Pattern) factor(at time.Duration) float64 { return loadOf(p.Surges, at, 1) }

// Validate names what is wrong.
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

// Way is a way for entry VMs to give servers to requests.
type Way struct {
	Name string
	// Central has one line over all entry VMs that sees the true state of each
	// server at once: a ceiling.
	Central bool
	// Blind takes any server at random.
	Blind bool
	// Alone lets each request look for itself, until a fixed part of the objective
	// is over, and takes whoever waits for less than 0.95 of the longest wait for a
	// caller that has come back, who gets any server.
	Alone bool
	// Ageless takes all callers for new, Greedy lets late requests spare no slot,
	// and Forgetful hands no freed slot over.
	Ageless, Greedy, Forgetful bool
	// Restless lets each waiting request look for itself.
	Restless bool
	// Homebound looks at servers of other failure domains only where all near ones
	// have been looked at.
	Homebound bool
	// Narrow knows no further servers while the near ones fail.
	Narrow bool
	// Reserved keeps most of the bound on extra calls for callers that have come back.
	Reserved bool
	// Paceless takes slow servers for a passing state also where all are slow.
	Paceless bool
}

// nameOurs and nameCeiling are the ways that others are compared with.
const (
	nameOurs    = "ours"
	nameCeiling = "ceiling"
)

// Ways lists the ways: naive, before turns, ours, ours with one part less each, and
// the ceiling.
func Ways() []Way {
	return []Way{
		{Name: "naive", Blind: true}, {Name: "alone", Alone: true}, {Name: nameOurs},
		{Name: "ageless", Ageless: true}, {Name: "greedy", Greedy: true}, {Name: "forgetful", Forgetful: true},
		{Name: "restless", Restless: true},
		{Name: "paceless", Paceless: true}, {Name: "homebound", Homebound: true}, {Name: "narrow", Narrow: true}, {Name: "reserved", Reserved: true},
		{Name: nameCeiling, Central: true},
	}
}
