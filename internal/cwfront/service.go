package cwfront

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwattempt"
	"carobward.example/carobward/internal/cwpick"
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
	// times is what answers told of how long servers take.
	times *cwpick.Times
	// speed is how much longer than usual servers take now.
	speed cwturn.Pace
	// looking is how long answers to health checks take lately.
	looking time.Duration
	// waits is what the callers of each route said of how long they wait.
	waits map[carobward.RouteName]*cwattempt.Waits
}

// age returns how long ago the first attempt of a caller probably was that still
// waits for so long.
func (s *service) age(route carobward.RouteName, left time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	w := s.waits[route]
	if w == nil {
		w = &cwattempt.Waits{}
		s.waits[route] = w
	}

	w.Add(left)

	return w.Age(left)
}

// service returns what is kept of a service.
func (f *Front) service(name carobward.Service) *service {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	s := f.services[name]
	if s == nil {
		limit, burst := f.pace(name)
		limits := f.limits.Load()
		s = &service{
			times:  cwpick.NewTimes(),
			window: cwretry.NewWindow(limits.ExtraShare*extraPart, limits.ExtraWindow, f.Clock.Now()),
			looks:  rate.NewLimiter(limit, burst),
			waits:  map[carobward.RouteName]*cwattempt.Waits{},
		}
		f.services[name] = s
	}

	return s
}

// time returns the usual time of an answer on routes with an objective.
func (s *service) time(objective time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.times.Usual(objective)
}

// crowding returns how many times longer answers take at crowded servers.
func (s *service) crowding() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.times.Crowding()
}

// factors returns how many times longer answers take at slowed servers.
func (s *service) factors() cwpick.Factors {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.times.Factors()
}

// addPace takes how long one server takes that was looked at, see cwturn.Pace.
func (s *service) addPace(alone float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.speed.Add(alone)
}

// pace returns how much longer than usual servers take now.
func (s *service) pace() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.speed.Now()
}

// learnLook takes how long the answer to one health check took, also one that came too late
// for its request: then the next ones wait longer.
func (s *service) learnLook(took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.looking == 0 {
		s.looking = took
	}

	s.looking += time.Duration(lookWeight * float64(took-s.looking))
}

// lookTime returns how long the answer to a health check is awaited for a request with an
// objective.
func (s *service) lookTime(objective time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	most := min(endTime, time.Duration(lookPart*float64(objective)))

	return max(lookTime, min(lookFactor*s.looking, most))
}

// learn takes the time of one answer, see cwpick.Times.
func (s *service) learn(objective, took time.Duration, slowness float64, crowded, cold bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.times.Learn(objective, took, slowness, crowded, cold)
}
