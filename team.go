package carobward

import (
	"crypto/sha256"
	"fmt"
)

// TeamName is the name of a team: one of the organizations whose callers share the system.
type TeamName string

// KeyHash is the hash of an API key. It is stored in place of the key, so that neither logs
// nor dumps of the configuration contain keys.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key. Keys are long and random, so an unsalted hash
// can't be reversed by brute force.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Team is the operators' configuration of a team.
type Team struct {
	Name TeamName
	// Keys are the hashes of the API keys that identify its callers.
	Keys []KeyHash
	// Priority overrides the priority of a request's route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Quota limits its requests over all entry VMs together.
	Quota Quota
}

// Quota limits requests by a token bucket of Rate tokens a second that holds at most Burst.
// A zero Rate means no limit.
type Quota struct {
	Rate  Rate
	Burst float64
}

// checkTeams returns what is wrong with the teams. It never includes an API key, since
// these texts are logged.
func checkTeams(teams []Team) []string {
	var problems []string

	names, holders := map[TeamName]bool{}, map[KeyHash]TeamName{}

	for i := range teams {
		t := &teams[i]

		if t.Name == "" {
			problems = append(problems, "a team has no name")
		}

		if names[t.Name] {
			problems = append(problems, fmt.Sprintf("team %s is declared twice", t.Name))
		}

		if t.Quota.Rate < 0 || t.Quota.Burst < 0 {
			problems = append(problems, fmt.Sprintf("team %s: rate and burst must not be below zero", t.Name))
		}

		names[t.Name] = true

		for _, k := range t.Keys {
			if other, held := holders[k]; held && other != t.Name {
				problems = append(problems, fmt.Sprintf("teams %s and %s share an API key", other, t.Name))
			}

			holders[k] = t.Name
		}
	}

	return problems
}
