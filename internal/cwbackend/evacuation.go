package cwbackend

import "carobward.example/carobward"

// SetEvacuated starts or ends the evacuation of a failure domain by the operators. Its servers
// get no new requests, retries, hedges or health checks during that time; what is in flight
// there runs to its end. It returns the number of servers in the failure domain.
func (t *Table) SetEvacuated(d carobward.Domain, evacuated bool) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if evacuated {
		t.evacuated[d] = true
	} else {
		delete(t.evacuated, d)
	}

	t.regroup()

	count := 0

	for _, s := range t.byInstance {
		if s.Backend().Domain == d {
			count++
		}
	}

	return count
}

// AllEvacuated reports whether a service has servers and all of them are in evacuated failure
// domains.
func (t *Table) AllEvacuated(service carobward.Service) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	g := t.groups[service]

	return g != nil && g.count == 0 && g.evacuatedCount > 0
}

func (t *Table) isEvacuated(d carobward.Domain) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.evacuated[d]
}
