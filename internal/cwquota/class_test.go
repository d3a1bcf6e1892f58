package cwquota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwreserve"
)

// kind is a kind of requests of a simulated team: its share of the team's requests, and
// the times of its answers.
type kind struct {
	share                     float64
	usual, objective, timeout time.Duration
}

// kinds are by rank. The most urgent one has the fewest requests.
var kinds = []kind{
	{0.17, 170 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond},
	{0.23, 250 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second},
	{0.60, 320 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second},
}

// call is a caller's request.
type call struct {
	rank  int
	first time.Time
	again bool
}

// request returns what an entry VM tells its limiter of the call.
func (c *call) request(now time.Time) Request {
	k := &kinds[c.rank]
	age := now.Sub(c.first)
	timely := k.objective - age - k.usual

	return Request{
		Class: cwreserve.ClassOf(c.rank, timely >= 0), TimelyFor: max(0, timely), UsefulFor: max(0, k.timeout-age-k.usual),
	}
}

// unused is a granted token whose request gets no server until a time.
type unused struct {
	vm    *simVM
	class cwreserve.Class
	taken time.Time
	until time.Time
}

// crowd are the callers of a team. A refused one retries once, at most after a third of the
// time that it has left.
type crowd struct {
	sim  *sim
	team *carobward.Team
	// refuse is the fraction of admitted requests that get no server and give back their
	// token.
	refuse float64
	// oneClass puts all requests in the first class.
	oneClass bool
	pending  map[time.Time][]call
	unused   []unused

	asked, timely, late, refused, twice [3]int
}

func newCrowd(s *sim) *crowd {
	return &crowd{sim: s, team: &s.teams[0], pending: map[time.Time][]call{}}
}

// run lets callers ask for a multiple of the team's quota.
func (c *crowd) run(d time.Duration, times float64) {
	s := c.sim

	for end := s.now.Add(d); s.now.Before(end); s.step() {
		for rank := range kinds {
			for range s.poisson(times * kinds[rank].share * float64(c.team.Quota.Rate) * simStep.Seconds()) {
				c.asked[rank]++
				c.call(call{rank: rank, first: s.now})
			}
		}

		list := c.pending[s.now]
		delete(c.pending, s.now)

		for _, p := range list {
			c.call(p)
		}

		c.giveBack()
	}
}

// call sends a request to a random entry VM.
func (c *crowd) call(p call) {
	s := c.sim

	v := s.randomVM(nil)
	if !v.alive {
		return
	}

	r := p.request(s.now)
	if c.oneClass {
		r.Class = 0
	}

	wait, err := v.limiter.Take(context.Background(), c.team.Name, r)

	switch {
	case err == nil && s.random.Float64() < c.refuse:
		c.unused = append(c.unused, unused{vm: v, class: r.Class, taken: s.now, until: s.now.Add(kinds[p.rank].usual)})
	case err == nil:
		s.sent[c.team.Name] = append(s.sent[c.team.Name], s.now)

		if r.Class.Late() {
			c.late[p.rank]++
		} else {
			c.timely[p.rank]++
		}
	case p.again:
		c.twice[p.rank]++
	default:
		c.refused[p.rank]++
		p.again = true
		most := (kinds[p.rank].timeout - s.now.Sub(p.first)) / 3
		at := s.now.Add(max(simStep, min(wait, most).Round(simStep)))
		c.pending[at] = append(c.pending[at], p)
	}
}

// giveBack gives back tokens whose requests have waited for a server in vain.
func (c *crowd) giveBack() {
	kept := c.unused[:0]

	for _, u := range c.unused {
		if c.sim.now.Before(u.until) {
			kept = append(kept, u)
		} else if u.vm.alive {
			u.vm.limiter.GiveBack(c.team.Name, u.class, u.taken)
		}
	}

	c.unused = kept
}

// served returns how many requests were served.
func (c *crowd) served() (timely, late int) {
	for i := range kinds {
		timely, late = timely+c.timely[i], late+c.late[i]
	}

	return timely, late
}

// reset clears the counts.
func (c *crowd) reset() {
	c.asked, c.timely, c.late, c.refused, c.twice = [3]int{}, [3]int{}, [3]int{}, [3]int{}, [3]int{}
}

// TestTokensByClass lets a team ask for several times its quota. Its tokens go to its urgent
// requests first, hardly any to late ones, and each class keeps a minimum.
func TestTokensByClass(t *testing.T) {
	const (
		minUsed   = 0.9
		maxLate   = 0.05
		minUrgent = 0.95
		// minUrgentBeyond is the same if they ask for more than the quota, as a part of what
		// the minimum shares of the other classes leave: at times they ask for less.
		minUrgentBeyond = 0.9
		// minClass is the minimum part of the served that each class has; few requests come by
		// chance.
		minClass = cwreserve.MinShare / 2
	)

	for vms, rates := range map[int][]float64{17: {3, 30, 350}, 139: {3, 30, 350}, 1000: {3, 350}} {
		for _, times := range []float64{3, 6} {
			for _, rate := range rates {
				t.Run(fmt.Sprint(vms, " entry VMs, ", rate, " a second, ", times, " times"), func(t *testing.T) {
					t.Parallel()

					// Long enough for a meaningful fraction.
					span := max(2*time.Second, time.Duration(240/rate)*time.Second)
					if vms < 100 {
						span *= 8 // A few late requests more or less are chance.
					}

					s := newSim(t, 11, vms, []carobward.Team{{Name: "club", Quota: quota(rate)}})
					c := newCrowd(s)
					c.run(2*time.Second, 0.6)
					c.run(time.Second, times)
					c.reset()
					c.run(span, times)
					s.checkLimits()

					timely, late := c.served()
					served := float64(timely + late)
					allowed := rate * span.Seconds()
					t.Logf("asked %v, timely %v, late %v, refused %v, twice %v, quota %.0f", c.asked, c.timely, c.late, c.refused, c.twice, allowed)

					if served < minUsed*allowed {
						t.Errorf("%.0f served, the quota allows %.0f", served, allowed)
					}

					if float64(late) > maxLate*served {
						t.Errorf("%d of %.0f served were late", late, served)
					}

					urgent := min(minUrgent*float64(c.asked[0]), minUrgentBeyond*(1-2*cwreserve.MinShare)*allowed)
					if float64(c.timely[0]) < urgent {
						t.Errorf("%d of %d most urgent requests served in time", c.timely[0], c.asked[0])
					}

					for i := range kinds {
						if float64(c.timely[i]) < minClass*served {
							t.Errorf("rank %d: %d of %.0f served", i, c.timely[i], served)
						}
					}
				})
			}
		}
	}
}

// TestWithinQuotaByClass verifies that the classes make no difference to a team within its
// quota: its requests of all classes are served, with no more token requests.
func TestWithinQuotaByClass(t *testing.T) {
	const (
		minServed = 0.99
		// maxAsks allows for chance: which owner is asked first is random.
		maxAsks = 1.05
	)

	for _, vms := range []int{17, 139, 1000} {
		for _, rate := range []float64{3, 350} {
			t.Run(fmt.Sprint(vms, " entry VMs, ", rate, " a second"), func(t *testing.T) {
				t.Parallel()

				// Long enough for some thousand requests, but for small teams in large fleets.
				span := 10 * time.Second

				switch {
				case rate < 100:
					span = min(400*time.Second, time.Duration(240000/vms)*time.Second)
				case vms < 100:
					// An entry VM is often an owner itself and then asks nobody, by chance.
					span = 240 * time.Second
				}

				run := func(one bool) (*crowd, int) {
					s := newSim(t, 12, vms, []carobward.Team{{Name: "club", Quota: quota(rate)}})
					s.simulate(2*time.Second, 0, s.randomVM)

					c := newCrowd(s)
					c.oneClass = one
					c.run(span, 0.62)

					return c, s.asks
				}

				c, asks := run(false)
				plain, plainAsks := run(true)
				t.Logf("timely %v, refused %v, %d asks; with one class timely %v, refused %v, %d asks", c.timely, c.refused, asks, plain.timely, plain.refused, plainAsks)

				for i := range kinds {
					if float64(c.timely[i]) < minServed*float64(c.asked[i]) {
						t.Errorf("rank %d: %d of %d served", i, c.timely[i], c.asked[i])
					}
				}

				served, _ := c.served()
				plainServed, _ := plain.served()
				perRequest, plainPerRequest := float64(asks)/float64(served), float64(plainAsks)/float64(plainServed)
				if perRequest > maxAsks*plainPerRequest {
					t.Errorf("%.2f token requests a request, %.2f with one class", perRequest, plainPerRequest)
				}
			})
		}
	}
}

// TestQuotaHistoryByClass lets teams of all sizes ask for several times their quotas, with all
// classes, callers that come back and requests that get no server, while entry VMs die, restart
// and are cut off. No team may exceed its limit in any window.
func TestQuotaHistoryByClass(t *testing.T) {
	for name, c := range map[string]struct {
		vms, steps int
		rate       float64
		seed       uint64
	}{
		"17 entry VMs, small":   {17, 40, 3, 21},
		"17 entry VMs, large":   {17, 20, 350, 22},
		"139 entry VMs, small":  {139, 40, 3, 23},
		"139 entry VMs, large":  {139, 12, 350, 24},
		"1000 entry VMs, large": {1000, 3, 350, 25},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			s := newSim(t, c.seed, c.vms, []carobward.Team{{Name: "club", Quota: quota(c.rate)}})
			callers := newCrowd(s)
			callers.refuse = 0.1

			for range c.steps {
				s.disturb()
				callers.run(time.Duration(s.random.Int64N(int64(3*time.Second))), 1+6*s.random.Float64())
			}

			for _, v := range s.vms {
				s.start(v)
			}

			callers.run(simWindow, 4)
			s.checkLimits()
		})
	}
}

// TestGiveBack verifies that a token whose request got no server goes to the next request
// of its class or a more urgent one, once and only for a short time.
func TestGiveBack(t *testing.T) {
	for name, c := range map[string]struct {
		class, by cwreserve.Class
		after     time.Duration
		want      bool
	}{
		"same class":            {1, 1, 0, true},
		"more urgent":           {1, 0, 0, true},
		"less urgent":           {1, 2, 0, false},
		"until it is too old":   {1, 1, maxReturnAge - simStep, true},
		"too old":               {1, 1, maxReturnAge, false},
		"given back much later": {1, 1, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 13, 1, []carobward.Team{{Name: "club", Quota: quota(0.0001)}})
			l := s.vms[0].limiter
			l.SetBounds(Bounds{})
			s.now = s.now.Add(time.Second)

			take := func() bool {
				_, err := l.Take(context.Background(), "club", Request{Class: c.by})

				return err == nil
			}

			if !take() || take() {
				t.Fatal("the bucket does not begin with a single token")
			}

			granted := s.now
			s.now = s.now.Add(c.after)
			l.GiveBack("club", c.class, granted)

			if got := take(); got != c.want {
				t.Errorf("taken: %v", got)
			}

			if take() {
				t.Error("taken twice")
			}
		})
	}
}
