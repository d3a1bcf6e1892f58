package cwfront

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwadmit"
	"carobward.example/carobward/internal/cwattempt"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwretry"
)

// serviceState is the state of a service. It survives configuration changes.
type serviceState struct {
	// window limits the calls beyond the first of each request, checks the rate of health
	// checks.
	window *cwretry.Window
	checks *rate.Limiter

	queue     queue
	load      cwadmit.Meter
	admission admission

	mutex sync.Mutex
	// times has statistics of response times.
	times *cwpick.Times
	// slowdown is how much slower than usual servers are now.
	slowdown cwqueue.Slowdown
	// checkTime is the moving average of the time of health checks.
	checkTime time.Duration
	// waits has, by route, the remaining wait times that recent callers stated.
	waits map[carobward.RouteName]*cwattempt.Waits
}

// attemptAge returns how long ago the first attempt of a caller probably was, given how
// long it still waits.
func (s *serviceState) attemptAge(route carobward.RouteName, left time.Duration) time.Duration {
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

// serviceState returns the state of a service, and creates it on first use.
func (f *Front) serviceState(name carobward.Service) *serviceState {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	s := f.services[name]
	if s == nil {
		limits := f.limits.Load()
		s = &serviceState{
			times:  cwpick.NewTimes(),
			window: cwretry.NewWindow(limits.extraLimit(), f.started, rand.Float64()),
			checks: f.newCheckLimiter(name),
			waits:  map[carobward.RouteName]*cwattempt.Waits{},
		}
		f.services[name] = s
		f.Metrics.Part(metricsPartExtra).Set(string(name), expvar.Func(func() any { return f.extraMetric(s.window) }))
	}

	return s
}

// responseTime returns the usual response time on routes with an objective.
func (s *serviceState) responseTime(objective time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.times.Usual(objective)
}

// crowding returns the factor by which crowded servers take longer.
func (s *serviceState) crowding() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.times.Crowding()
}

// factors returns the factors by which slowed servers take longer.
func (s *serviceState) factors() cwpick.Factors {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.times.Factors()
}

// addSlowdown adds how long a checked server would take without other requests, see
// cwqueue.Slowdown.
func (s *serviceState) addSlowdown(unloaded float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.slowdown.Add(unloaded)
}

// currentSlowdown returns by which factor servers are slower than usual now.
func (s *serviceState) currentSlowdown() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.slowdown.Now()
}

// recordCheckTime adds the time of one health check to the average. Checks that end too
// late for their request count as well, so that the next ones get more time.
func (s *serviceState) recordCheckTime(took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.checkTime == 0 {
		s.checkTime = took
	}

	s.checkTime += time.Duration(checkTimeWeight * float64(took-s.checkTime))
}

// checkTimeout returns how long a request with an objective waits for health checks.
func (s *serviceState) checkTimeout(objective time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	most := min(maxCheckTime, time.Duration(checkTimeoutShare*float64(objective)))

	return max(minCheckTimeout, min(checkTimeoutFactor*s.checkTime, most))
}

// recordAnswer adds the time of one answer, see cwpick.Times.
func (s *serviceState) recordAnswer(objective, took time.Duration, slowness float64, crowded, warmingUp bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.times.Learn(objective, took, slowness, crowded, warmingUp)
	s.times.LearnRefusal(false)
}

// recordRefusal adds a refusal by a server that had room.
func (s *serviceState) recordRefusal() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.times.LearnRefusal(true)
}
