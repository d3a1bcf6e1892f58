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
