// Package cwrank gives rendezvous weights (highest random weight hashing): all
// entry VMs that know the same names come to the same order without talking, and
// a name that comes or goes moves no other.
package cwrank

import "github.com/cespare/xxhash/v2"

// separator keeps two texts apart: "ab" and "c" are not "a" and "bc".
const separator = "\x00"

// Weight returns the weight of a name for a thing, evenly spread over all
// numbers and the same on each VM. The name with the highest weight comes first.
// An empty thing gives an order of names alone.
func Weight(name, thing string) uint64 {
	var d xxhash.Digest

	d.Reset()

	// A digest takes all bytes and has no error.
	_, _ = d.WriteString(name)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(thing)

	return d.Sum64()
}

// Hash returns the hash of a name, for who keeps it and weighs the name for many
// things by Mix.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// The figures of SplitMix64 (Steele, Lea and Flood, 2014), by which each bit of
// the input moves about half of the bits of the output.
const (
	mixGamma  = 0x9e3779b97f4a7c15
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// Mix returns the weight of a name for a thing from their hashes. It costs a
// nanosecond in place of Weight's twenty: an entry VM that ranks 809 servers among
// its neighbours spent three quarters of its processor time on hashing.
func Mix(name, thing uint64) uint64 {
	x := name ^ thing*mixGamma
	x = (x ^ x>>30) * mixFirst
	x = (x ^ x>>27) * mixSecond

	return x ^ x>>31
}
