package cwstand

import "time"

// SetMode sets the mode and the time that the work of a request takes.
func (u *Upstream) SetMode(mode UpstreamMode, work time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.mode, u.work = mode, work
}

// SetWorkOf sets how long the work of each request takes, in place of the time set by SetMode. The
// server then stops at a request's time limit, and answers with status 504.
func (u *Upstream) SetWorkOf(workOf func(Run) time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.workOf = workOf
}

// SetShed sets the share of the requests that the server refuses, whatever its mode.
func (u *Upstream) SetShed(share float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.shed = share
}

// Received returns the requests that arrived, apart from those for another instance.
func (u *Upstream) Received() []Received {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return append([]Received(nil), u.received...)
}

// SetLoad sets the value of the Upstream-Load header.
func (u *Upstream) SetLoad(load string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.load = load
}

// SetBody sets the body of replies. The default is "done".
func (u *Upstream) SetBody(body string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.body = body
}

// SetCrash sets which requests crash the server. After the work of such a request the
// server closes its listener, resets all connections and calls onCrash.
func (u *Upstream) SetCrash(crashesOn func(Run) bool, onCrash func()) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.crashesOn, u.onCrash = crashesOn, onCrash
}

// SetWarmup makes replies to health checks report a warmup that ends after the given
// time, and a finished warmup from then on.
func (u *Upstream) SetWarmup(left time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.warmUntil = time.Now().Add(left)
}

// SetLimit sets the rate limits that replies to requests announce: one, several or
// none.
func (u *Upstream) SetLimit(limits ...string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.limits = limits
}

// SetHeaders sets header lines that are added to all replies, including those to health
// checks.
func (u *Upstream) SetHeaders(lines ...string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.fields = ""
	for _, line := range lines {
		u.fields += line + "\r\n"
	}
}

// SetHealthDelay sets the delay of replies to health checks.
func (u *Upstream) SetHealthDelay(healthDelay time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.healthDelay = healthDelay
}

// Refusals returns the arrival time of each refused request.
func (u *Upstream) Refusals() []time.Time {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	var times []time.Time

	for _, r := range u.received {
		if r.Refused {
			times = append(times, r.At)
		}
	}

	return times
}

// SetCloseOnHealth sets whether the server closes the connection after each health check.
func (u *Upstream) SetCloseOnHealth(closeOnHealth bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.closeOnHealth = closeOnHealth
}

// Runs returns the requests that the server ran.
func (u *Upstream) Runs() []Run {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return append([]Run(nil), u.runs...)
}

// Arrivals returns the start time of each request that the server ran.
func (u *Upstream) Arrivals() []time.Time {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return append([]time.Time(nil), u.arrivals...)
}

// HealthChecks returns the number of health checks received.
func (u *Upstream) HealthChecks() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return u.healthChecks
}

// Disconnects returns the number of requests whose sender disconnected before the reply.
func (u *Upstream) Disconnects() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return u.disconnects
}
