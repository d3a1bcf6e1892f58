package cwfront

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwcaller"
	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwturn"
)

// service is what is kept of a service beyond one configuration.
type service struct {
	// window bounds the calls beyond the first of each request, looks the
	// health checks.
	window *cwretry.Window
	looks  *rate.Limiter

	line line

	mutex sync.Mutex
	// usual is the moving average of the time of an answer on a machine at its
	// usual speed, by the objective of the route: routes with other objectives
	// ask for other work.
	usual map[time.Duration]float64
	// crowd is the moving average of how many times longer answers take at
	// crowded servers.
	crowd float64
	// speed is how much longer than usual servers take now.
	speed cwturn.Pace
	// waits is what the callers of each route said of how long they wait.
	waits map[carobward.RouteName]*cwcaller.Waits
}

// age returns how long ago the first attempt of a caller probably was that still
// waits for so long.
func (s *service) age(route carobward.RouteName, left time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	w := s.waits[route]
	if w == nil {
		w = &cwcaller.Waits{}
		s.waits[route] = w
	}

	w.Add(left)

	return w.Age(left)
}

// The figures of what is learned from answers.
const (
	// usualFirst is the time of an answer where none is known, as a part of
	// the objective: servers are fit for their objectives.
	usualFirst = 0.4
	// usualShare is the weight of one answer in a moving average.
	usualShare = 0.05
	// crowdShare is the weight of one answer of a crowded server. They are
	// few, and a burst is over in seconds.
	crowdShare = 0.1
	// crowdFirst is how many times longer answers take at crowded servers
	// where it is not known, and crowdMost bounds what is learned.
	crowdFirst = 1.3
	crowdMost  = 4
)

// service returns what is kept of a service.
func (f *Front) service(name carobward.Service) *service {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	s := f.services[name]
	if s == nil {
		limit, burst := f.pace(name)
		limits := f.limits.Load()
		s = &service{
			window: cwretry.NewWindow(limits.ExtraShare*extraPart, limits.ExtraWindow, f.Clock.Now()),
			looks:  rate.NewLimiter(limit, burst),
			usual:  map[time.Duration]float64{},
			waits:  map[carobward.RouteName]*cwcaller.Waits{},
			crowd:  crowdFirst,
		}
		f.services[name] = s
	}

	return s
}

// time returns the usual time of an answer on routes with an objective.
func (s *service) time(objective time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.timeLocked(objective)
}

func (s *service) timeLocked(objective time.Duration) time.Duration {
	if t := s.usual[objective]; t > 0 {
		return time.Duration(t)
	}

	return time.Duration(usualFirst * float64(objective))
}

// crowding returns how many times longer answers take at crowded servers.
func (s *service) crowding() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.crowd
}

// addPace takes how much longer than usual one server takes that was looked at.
func (s *service) addPace(slowness float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.speed.Add(slowness)
}

// pace returns how much longer than usual servers take now.
func (s *service) pace() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.speed.Now()
}

// learn takes the time of one answer, without the slowness of the server's
// machine when the request was sent.
func (s *service) learn(objective, took time.Duration, slowness float64, crowded bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	usual := float64(s.timeLocked(objective))
	own := float64(took) / max(1, slowness)

	if crowded {
		s.crowd += crowdShare * (min(crowdMost, max(1, own/usual)) - s.crowd)

		return
	}

	s.usual[objective] = usual + usualShare*(own-usual)
}
