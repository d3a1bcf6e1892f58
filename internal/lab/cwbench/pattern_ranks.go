package cwbench

import "time"

// ranked returns a calm load of three ranks at many entry VMs, each of which gets a few requests
// a second.
func ranked(name, usage string) Pattern {
	p := pattern(name, usage)
	p.VMs, p.Ranks = manyVMs, []float64{0.2, 0.3, 0.5}

	return p
}

// rankedPatterns returns the patterns in which requests of several ranks compete.
func rankedPatterns() []Pattern {
	ranks := burst(ranked("ranks", "More of three ranks than the servers handle, for three seconds, at many entry VMs."), 2.6)

	long := ranked("ranks-long", "The same for eight seconds.")
	long.Length = 15 * time.Second
	long.Surges = []Surge{{Interval: Interval{From: 3 * time.Second, To: 11 * time.Second}, Load: 2.6}}

	gone := burst(ranked("ranks-gone", "A third of the servers does not answer, at a higher load of three ranks."), 1.8)
	gone.Silent = Disturbance{Interval: gone.Surges[0].Interval, Share: 1.0 / 3}

	room := burst(ranked("ranks-room", "Three ranks, and a load below what the servers handle."), 1.5)

	dark := burst(ranked("ranks-dark", "All entry VMs lose power for 0.9 s; callers of three ranks retry at once."), 1.6)
	dark.PowerLoss = Interval{From: 4 * time.Second, To: 4900 * time.Millisecond}

	return []Pattern{ranks, long, gone, room, dark}
}
