package cwfront

import (
	"time"

	"carobward.example/carobward"
)

// Loads returns the recent load at this entry VM of the services for whose servers requests
// compete, as far as there were any: those with requests of several priorities or teams.
func (f *Front) Loads(now time.Time) []carobward.ServiceLoad {
	routes := f.routes.Load()
	if routes == nil {
		return nil
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	var list []carobward.ServiceLoad

	for name, s := range f.services {
		if !routes.Competes(name) {
			continue
		}

		if l := s.load.Load(name, now); l.Total()+l.Completed+l.Full > 0 || l.Waiting > 0 {
			list = append(list, l)
		}
	}

	return list
}

// rank returns the rank of the request's priority at its service.
func (r *request) rank() int {
	rank, _ := r.routes.Rank(r.service, r.priority)

	return rank
}
