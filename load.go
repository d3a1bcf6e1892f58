package carobward

import "time"

// LoadRanks is the number of ranks of priority by which demand is counted. Requests of less
// urgent ranks count as requests of the last one.
const LoadRanks = 4

// ServiceLoad is the recent load of a service's servers at one entry VM, or the sum over
// the entry VMs of a failure domain.
type ServiceLoad struct {
	Service Service
	// Demand is the rate of requests by rank, the most urgent first. Requests that were
	// refused for lack of room count as well, those beyond a team's quota do not.
	Demand [LoadRanks]Rate
	// Completed is the rate of replies from servers that ran a request.
	Completed Rate
	// Full is the rate of requests that found no server with room at first: their health
	// checks found none, or they waited behind such a request.
	Full Rate
	// Waiting is the number of requests that wait for a server.
	Waiting int
}

// Total returns the rate of requests of all ranks.
func (l *ServiceLoad) Total() Rate {
	var sum Rate
	for _, d := range l.Demand {
		sum += d
	}

	return sum
}

// Add adds another load of the same service.
func (l *ServiceLoad) Add(o *ServiceLoad) {
	for i := range l.Demand {
		l.Demand[i] += o.Demand[i]
	}

	l.Completed += o.Completed
	l.Full += o.Full
	l.Waiting += o.Waiting
}

// DomainLoad is the load of a service in one failure domain.
type DomainLoad struct {
	ServiceLoad

	Domain Domain
	// At is when it was measured, by this entry VM's clock.
	At time.Time
	// VMs is the number of entry VMs that it covers.
	VMs int
}

// FleetLoad provides what this entry VM knows of the load of services at all entry VMs.
type FleetLoad interface {
	// Load returns the load of a service by failure domain, this one first. Failure domains
	// from which nothing was heard recently are omitted. It returns nil if nothing is known
	// beyond this entry VM.
	Load(s Service, now time.Time) []DomainLoad
}
