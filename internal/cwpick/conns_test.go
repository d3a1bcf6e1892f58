package cwpick

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// The parameters of TestConns: an entry VM with few requests, each of which keeps a connection
// for much longer than a health check does.
const (
	connNear, connFar = 10, 4
	connInterval      = 140 * time.Millisecond
	connWork          = 250 * time.Millisecond
	connCheck         = 4 * time.Millisecond
	connIdle          = 8 * time.Second
	connRequests      = 2000
	// connSecondRounds is the share of requests with a second round of health checks.
	connSecondRounds = 0.4
)

// connServer counts the connections to one server.
type connServer struct {
	view cwbackend.View
	// idle has the times since which connections are idle, inUse those at which others end.
	idle, inUse []time.Time
}

// tick releases connections that are no longer used and closes those that are idle for long.
func (s *connServer) tick(now time.Time) {
	for _, end := range s.inUse {
		if !now.Before(end) {
			s.idle = append(s.idle, end)
		}
	}

	s.inUse = slices.DeleteFunc(s.inUse, func(end time.Time) bool { return !now.Before(end) })
	s.idle = slices.DeleteFunc(s.idle, func(since time.Time) bool { return now.Sub(since) >= connIdle })
	slices.SortFunc(s.idle, time.Time.Compare)

	s.view.Idle = len(s.idle) > 0
	s.view.InUse = !s.view.Idle && len(s.inUse) > 0
}

// use takes an idle connection until a time, or opens one, and reports whether it did.
func (s *connServer) use(until, now time.Time) bool {
	s.view.Report.At = now
	s.inUse = append(s.inUse, until)

	last := len(s.idle) - 1
	if last < 0 {
		return true
	}

	s.idle = s.idle[:last]

	return false
}

// TestConns sends requests of one entry VM and checks how many connections it opens. A VM with
// few requests a second must reuse its connections.
func TestConns(t *testing.T) {
	rnd, now := rand.New(rand.NewPCG(7, 1)), time.Now()
	var servers []*connServer

	for i := range connNear + connFar {
		v := cwbackend.View{Server: &cwbackend.Server{}, Slots: 3, Domain: home}
		if i >= connNear {
			v.Domain = carobward.Domain("b")
		}

		servers = append(servers, &connServer{view: v})
	}

	opened := 0

	for range connRequests {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(connInterval)))
		opened += sendOne(rnd, servers, now)
	}

	// Some connections are opened to try servers that have none.
	const most = 0.03 * connRequests
	if opened > most {
		t.Errorf("%d connections for %d requests, want at most %v", opened, connRequests, most)
	}
}

// sendOne health checks servers for one request and sends it to one of them. It returns how
// many connections were opened.
func sendOne(rnd *rand.Rand, servers []*connServer, now time.Time) int {
	opened, seen := 0, map[*cwbackend.Server]bool{}
	rounds := 1

	if rnd.Float64() < connSecondRounds {
		rounds = 2
	}

	for round := range rounds {
		var views []cwbackend.View

		for _, s := range servers {
			s.tick(now)
			views = append(views, s.view)
		}

		for i, v := range Sample(rnd, views, SampleSize, home, seen, round) {
			seen[v.Server] = true

			until := now.Add(connCheck)
			if i == 0 && round == rounds-1 {
				until = now.Add(connWork)
			}

			at := slices.IndexFunc(servers, func(s *connServer) bool { return s.view.Server == v.Server })
			if servers[at].use(until, now) {
				opened++
			}
		}

		now = now.Add(connCheck)
	}

	return opened
}
