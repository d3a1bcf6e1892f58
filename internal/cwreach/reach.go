// Package cwreach tracks for each service whether this entry VM reaches any of its servers,
// by the outcomes of health checks and requests. It has no side effects: it works on outcomes
// and times that are passed in.
//
// A server that does not answer says little: it may have crashed. Several that do not answer
// while no server of the service does show that the network path from here is lost, or that
// the whole service is down. Neither is a lack of room.
package cwreach

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carobward.example/carobward"
)

const (
	// minFailures is how many contacts have to fail, with as many different servers if there
	// are that many, before no server of a service counts as reached.
	minFailures = 3
	// claimDelay is how long no server has to be reached before peers and callers are told: a
	// shorter loss moves nobody. settleTime is for how long servers have to be reached again
	// before they are told that it is over, so that a path that comes and goes moves nobody.
	claimDelay = time.Second
	settleTime = 2 * time.Second
	// probeInterval is the time between the probes of a service that is not reached.
	probeInterval = 250 * time.Millisecond
)

// Loss is that no server of a service is reached.
type Loss struct {
	Service carobward.Service
	// Since is when the first contact began that got no answer.
	Since time.Time
	// Servers is the number of servers that were contacted without an answer.
	Servers int
}

// contact is what is known of one service.
type contact struct {
	// answered is when a server last answered, and began since when one that failed after that
	// had been contacted.
	answered, began time.Time
	// silent is when the latest contacts began of which none was answered in good time. They
	// may still be.
	silent time.Time
	// failed has the servers that have failed to answer since answered, and the number of
	// contacts with them.
	failed   map[carobward.Instance]bool
	failures int
	lost     bool
	// broken has the servers whose new connections broke since one to any server was answered.
	broken        map[carobward.Instance]bool
	newConnsBreak bool
	// newConnAnswered is when a server last answered over a new connection.
	newConnAnswered time.Time
	// claimed reports that peers are told of the loss, back is when the last loss ended, and
	// probed when servers were last probed.
	claimed bool
	back    time.Time
	probed  time.Time
}

// Tracker tracks which services are reached. It is safe for concurrent use.
type Tracker struct {
	mutex    sync.Mutex
	services map[carobward.Service]*contact
}

// New returns a tracker that counts all services as reached.
func New() *Tracker { return &Tracker{services: map[carobward.Service]*contact{}} }

// contact returns what is known of a service; t.mutex must be held.
func (t *Tracker) contact(s carobward.Service) *contact {
	c := t.services[s]
	if c == nil {
		c = &contact{failed: map[carobward.Instance]bool{}, broken: map[carobward.Instance]bool{}}
		t.services[s] = c
	}

	return c
}

// loss returns the loss of a service.
func (c *contact) loss(s carobward.Service) Loss {
	return Loss{Service: s, Since: c.began, Servers: len(c.failed)}
}

// Answered records that a server of a service answered, whatever it said. It returns the loss
// that ended by that, if there was one.
func (t *Tracker) Answered(s carobward.Service, now time.Time) (ended Loss, changed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.contact(s)
	ended, changed = c.loss(s), c.lost

	if c.lost {
		c.back = now
	}

	c.answered, c.lost, c.failures = now, false, 0
	clear(c.failed)

	return ended, changed
}

// Failed records that a server did not answer a contact that began at a time. Known is the
// number of servers of the service. It returns the loss of the service if that began now.
//
// A contact that began before the last answer says nothing: the path may have been lost and
// come back since.
func (t *Tracker) Failed(s carobward.Service, i carobward.Instance, began time.Time, known int) (loss Loss, changed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.contact(s)
	if !began.After(c.answered) {
		return Loss{}, false
	}

	if len(c.failed) == 0 || began.Before(c.began) {
		c.began = began
	}

	c.failed[i] = true
	c.failures++

	if c.lost || c.failures < minFailures || len(c.failed) < min(minFailures, known) {
		return Loss{}, false
	}

	c.lost = true

	return c.loss(s), true
}

// NewConnAnswered records that a server of a service answered over a new connection. It reports
// whether new connections to the service broke until now.
func (t *Tracker) NewConnAnswered(s carobward.Service, now time.Time) (changed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.contact(s)
	changed = c.newConnsBreak
	c.newConnsBreak, c.newConnAnswered = false, now
	clear(c.broken)

	return changed
}

// NewConnBroke records that a new connection to a server was established and broke without an
// answer. Known is the number of servers of the service. It reports whether new connections to the
// service count as broken from now on.
func (t *Tracker) NewConnBroke(s carobward.Service, i carobward.Instance, known int) (changed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.contact(s)
	c.broken[i] = true

	if c.newConnsBreak || len(c.broken) < min(minFailures, known) {
		return false
	}

	c.newConnsBreak = true

	return true
}

// NewConnAnsweredSince reports whether a server of a service has answered over a new connection
// since a time.
func (t *Tracker) NewConnAnsweredSince(s carobward.Service, since time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.services[s]

	return c != nil && !c.newConnAnswered.Before(since) && !c.newConnAnswered.IsZero()
}

// NewConnsBreak reports whether new connections to the servers of a service break, which says
// nothing about open ones.
func (t *Tracker) NewConnsBreak(s carobward.Service) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.services[s]

	return c != nil && c.newConnsBreak
}

// Silent records that no server answered any of several contacts in good time that began at a
// time.
func (t *Tracker) Silent(s carobward.Service, began time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.contact(s).silent = began
}

// Doubtful reports whether it is likely that a server of a service is not reached: none is, none
// has answered since several were silent, or new connections break.
func (t *Tracker) Doubtful(s carobward.Service) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.services[s]

	return c != nil && (c.lost || c.newConnsBreak || c.silent.After(c.answered))
}

// Lost reports whether no server of a service is reached.
func (t *Tracker) Lost(s carobward.Service) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.services[s]

	return c != nil && c.lost
}

// HasFailed reports whether a server has failed to answer since a server of its service last
// answered.
func (t *Tracker) HasFailed(s carobward.Service, i carobward.Instance) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	c := t.services[s]

	return c != nil && c.failed[i]
}

// Losses returns the services that are not reached, by name.
func (t *Tracker) Losses() []Loss {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var list []Loss

	for s, c := range t.services {
		if c.lost {
			list = append(list, c.loss(s))
		}
	}

	slices.SortFunc(list, func(a, b Loss) int { return cmp.Compare(a.Service, b.Service) })

	return list
}

// Claims returns the services that peers and callers are told are not reached, by name: those
// that have not been for claimDelay, until they have been again for settleTime.
func (t *Tracker) Claims(now time.Time) []carobward.Service {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var list []carobward.Service

	for s, c := range t.services {
		if c.lost {
			c.claimed = c.claimed || now.Sub(c.began) >= claimDelay
		} else {
			c.claimed = c.claimed && now.Sub(c.back) < settleTime
		}

		if c.claimed {
			list = append(list, s)
		}
	}

	slices.Sort(list)

	return list
}

// Probes returns the services that are not reached and whose servers are to be probed now.
func (t *Tracker) Probes(now time.Time) []carobward.Service {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var list []carobward.Service

	for s, c := range t.services {
		if c.lost && now.Sub(c.probed) >= probeInterval {
			c.probed = now
			list = append(list, s)
		}
	}

	return list
}

// Forget forgets a service that has no servers any more.
func (t *Tracker) Forget(s carobward.Service) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	delete(t.services, s)
}
