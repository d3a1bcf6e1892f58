package carobward

import (
	"crypto/sha256"
	"fmt"
)

// TeamName names a team: one of the organisations whose callers share the system.
type TeamName string

// KeyHash is the hash of an API key. It is kept in place of the key, so that neither a
// log nor a dump of the configuration in force has one.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key. Keys are long and drawn at random, so that a
// hash without salt can't be reversed by trying.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Team is what the operators say of a team.
type Team struct {
	Name TeamName
	// Keys are the hashes of the API keys by which its callers are known.
	Keys []KeyHash
	// Priority goes before that of a request's route where Ranked is set.
	Priority int
	Ranked   bool
	// Quota bounds its requests over all entry VMs.
	Quota Quota
}

// Quota bounds requests by a token bucket: Rate tokens a second, Burst at most. A zero
// Rate is no bound.
type Quota struct {
	Rate  Rate
	Burst float64
}

// checkTeams returns what is wrong with the teams. Keys are not named: their holders
// would read them in a log.
func checkTeams(teams []Team) []string {
	var wrong []string

	names, holders := map[TeamName]bool{}, map[KeyHash]TeamName{}

	for i := range teams {
		t := &teams[i]

		if t.Name == "" {
			wrong = append(wrong, "a team has no name")
		}

		if names[t.Name] {
			wrong = append(wrong, fmt.Sprintf("team %s is there twice", t.Name))
		}

		if t.Quota.Rate < 0 || t.Quota.Burst < 0 {
			wrong = append(wrong, fmt.Sprintf("team %s: rate and burst must not be below zero", t.Name))
		}

		names[t.Name] = true

		for _, k := range t.Keys {
			if other, held := holders[k]; held && other != t.Name {
				wrong = append(wrong, fmt.Sprintf("teams %s and %s have a key in common", other, t.Name))
			}

			holders[k] = t.Name
		}
	}

	return wrong
}
