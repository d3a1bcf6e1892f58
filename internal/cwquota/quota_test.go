package cwquota

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwreserve"
)

// Parameters of the simulated fleet.
const (
	simDomains   = 4
	simStep      = 10 * time.Millisecond
	simWindow    = 5 * time.Second
	simSlack     = 20
	simOvershoot = 0.1
	// simDetection is how long entry VMs take to detect the loss of another one.
	simDetection = 2500 * time.Millisecond
)

// sim is a simulated fleet whose entry VMs request tokens from each other.
type sim struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	vms    []*simVM
	// byID and byDomain have the same entry VMs.
	byID     map[carobward.VMID]*simVM
	byDomain [simDomains][]*simVM

	teams []carobward.Team
	// sent has the times at which requests of each team were admitted.
	sent map[carobward.TeamName][]time.Time
	// requests counts all requests, admitted those that were admitted, asks the token
	// requests to other entry VMs.
	requests, admitted, asks int
}

// simVM is an entry VM.
type simVM struct {
	id      carobward.VMID
	domain  int
	limiter *Limiter
	started time.Time
	alive   bool
	// isolated is set if no other entry VM can reach it. since is when it was isolated, died
	// or started.
	isolated bool
	since    time.Time
	// nextTick is when its next Tick is due.
	nextTick time.Time
}

// Now is the clock of all entry VMs.
func (s *sim) Now() time.Time { return s.now }

func newSim(t *testing.T, seed uint64, vms int, teams []carobward.Team) *sim {
	t.Helper()

	s := &sim{
		t: t, now: time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 1)),
		byID: map[carobward.VMID]*simVM{}, teams: teams, sent: map[carobward.TeamName][]time.Time{},
	}

	for i := range vms {
		v := &simVM{id: carobward.VMID(fmt.Sprint("vm-", i)), domain: i % simDomains}
		s.vms = append(s.vms, v)
		s.byID[v.id] = v
		s.byDomain[v.domain] = append(s.byDomain[v.domain], v)
		s.start(v)
	}

	return s
}

// start starts an entry VM without any earlier state.
func (s *sim) start(v *simVM) {
	v.alive, v.isolated, v.started, v.since = true, false, s.now, s.now
	v.nextTick = s.now.Add(time.Duration(s.random.Int64N(int64(time.Second))))
	v.limiter = New(Options{
		Self: v.id, Clock: s, Log: logr.Discard(),
		Fleet: func(now time.Time) Fleet { return s.fleet(v, now) },
		Ask: func(_ context.Context, to carobward.VMID, team carobward.TeamName, a *cwreserve.Ask) (Grant, error) {
			return s.ask(v, to, team, a)
		},
		AskDomain: func(ctx context.Context, in carobward.Domain, team carobward.TeamName, a *cwreserve.Ask) (Grant, error) {
			o := s.inDomain(in)
			if o == nil || !s.reachable(v, o) {
				return Grant{}, errors.New("no answer")
			}

			return o.limiter.GrantInDomain(ctx, team, a), nil
		},
	})
	v.limiter.SetBounds(Bounds{Window: simWindow, Overshoot: simOvershoot, Slack: simSlack})
	v.limiter.SetTeams(s.teams)
}

// fleet returns the fleet as an entry VM knows it: one that is lost counts as alive for
// simDetection.
func (s *sim) fleet(v *simVM, now time.Time) Fleet {
	const settle = 500 * time.Millisecond

	f := Fleet{DomainSize: 1, Settled: now.Sub(v.started) >= settle}

	for _, o := range s.byDomain[v.domain] {
		if o == v {
			continue
		}

		f.DomainSize++

		if s.reachable(v, o) || now.Sub(o.since) < simDetection && now.Sub(v.since) < simDetection {
			f.Peers = append(f.Peers, o.id)
		}
	}

	f.DomainShare = float64(f.DomainSize) / float64(len(s.vms))

	for d := range simDomains {
		if d != v.domain {
			f.Domains = append(f.Domains, carobward.Domain(fmt.Sprint(d)))
		}
	}

	return f
}

func (s *sim) reachable(a, b *simVM) bool { return a.alive && b.alive && !a.isolated && !b.isolated }

func (s *sim) ask(from *simVM, to carobward.VMID, team carobward.TeamName, a *cwreserve.Ask) (Grant, error) {
	s.asks++

	if o := s.byID[to]; o != nil && s.reachable(from, o) {
		return o.limiter.Grant(team, a), nil
	}

	return Grant{}, errors.New("no answer")
}

// inDomain returns a random entry VM of a failure domain, or nil if it has none.
func (s *sim) inDomain(d carobward.Domain) *simVM {
	i, err := strconv.Atoi(string(d))
	if err != nil {
		s.t.Fatal(err)
	}

	all := s.byDomain[i]
	if len(all) == 0 {
		return nil
	}

	return all[s.random.IntN(len(all))]
}

// request sends a request of a team to an entry VM and reports whether it was admitted.
func (s *sim) request(v *simVM, team *carobward.Team) bool {
	if !v.alive {
		return false
	}

	s.requests++

	if _, err := v.limiter.Take(context.Background(), team.Name, Request{}); err != nil {
		return false
	}

	s.admitted++
	s.sent[team.Name] = append(s.sent[team.Name], s.now)

	return true
}

// simulate simulates requests of each team for a duration, at some multiple of the team's
// quota.
func (s *sim) simulate(d time.Duration, times float64, where func(*carobward.Team) *simVM) {
	for end := s.now.Add(d); s.now.Before(end); s.step() {
		for i := range s.teams {
			t := &s.teams[i]

			mean := times * float64(t.Quota.Rate) * simStep.Seconds()
			for range s.poisson(mean) {
				s.request(where(t), t)
			}
		}
	}
}

// step advances the time by one step.
func (s *sim) step() {
	s.now = s.now.Add(simStep)

	for _, v := range s.vms {
		if v.alive && !s.now.Before(v.nextTick) {
			v.nextTick = s.now.Add(time.Second)
			v.limiter.Tick(s.now)
		}
	}
}

// poisson returns a Poisson distributed number.
func (s *sim) poisson(mean float64) int {
	n, p := 0, s.random.Float64()
	for bound := math.Exp(-mean); p > bound; n++ {
		p *= s.random.Float64()
	}

	return n
}

// randomVM returns a random entry VM.
func (s *sim) randomVM(*carobward.Team) *simVM { return s.vms[s.random.IntN(len(s.vms))] }

// checkLimits verifies that no team exceeded its limit in any window.
func (s *sim) checkLimits() {
	for i := range s.teams {
		t := &s.teams[i]
		most := (float64(t.Quota.Rate)*simWindow.Seconds()+t.Quota.Burst)*(1+simOvershoot) + simSlack

		worst, from := 0, 0

		for to, at := range s.sent[t.Name] {
			for at.Sub(s.sent[t.Name][from]) > simWindow {
				from++
			}

			worst = max(worst, to-from+1)
		}

		if float64(worst) > most {
			s.t.Errorf("team %s: %d requests in %s, %.0f allowed", t.Name, worst, simWindow, most)
		}
	}
}

// disturb kills, restarts or isolates a random entry VM, or restarts all that are dead or
// isolated.
func (s *sim) disturb() {
	v := s.vms[s.random.IntN(len(s.vms))]

	switch s.random.IntN(4) {
	case 0:
		v.alive, v.since = false, s.now
	case 1:
		s.start(v)
	case 2:
		v.isolated, v.since = true, s.now
	case 3:
		for _, o := range s.vms {
			if !o.alive || o.isolated {
				s.start(o)
			}
		}
	}
}

func quota(perSecond float64) carobward.Quota {
	return carobward.Quota{Rate: carobward.Rate(perSecond), Burst: perSecond}
}

// TestQuotaHistory lets teams of all sizes send many times their quotas to entry VMs that
// die, restart and are cut off, and in the end all restart at once. No team may exceed its
// limit in any window.
func TestQuotaHistory(t *testing.T) {
	teams := []carobward.Team{
		{Name: "tiny", Quota: quota(0.5)}, {Name: "small", Quota: quota(3)}, {Name: "middle", Quota: quota(30)}, {Name: "large", Quota: quota(300)},
	}

	for name, c := range map[string]struct {
		vms, steps int
		seed       uint64
	}{
		"17 entry VMs":   {17, 40, 1},
		"145 entry VMs":  {145, 20, 2},
		"472 entry VMs":  {472, 10, 3},
		"1000 entry VMs": {1000, 6, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			s := newSim(t, c.seed, c.vms, teams)

			for range c.steps {
				s.disturb()
				s.simulate(time.Duration(s.random.Int64N(int64(3*time.Second))), 1+6*s.random.Float64(), s.randomVM)
			}

			for _, v := range s.vms {
				s.start(v)
			}

			s.simulate(simWindow, 7, s.randomVM)
			s.checkLimits()
		})
	}
}

// TestQuotaUsed verifies that teams within their quotas get nearly all of their requests
// through, and teams beyond them nine tenths of the quota, at any size of the fleet.
func TestQuotaUsed(t *testing.T) {
	for name, c := range map[string]struct {
		vms   int
		rate  float64
		times float64
		// minFraction is the minimum fraction that is admitted, of the requests or of the
		// quota, whichever is less.
		minFraction float64
		// oneDomain sends all requests to one failure domain.
		oneDomain bool
	}{
		"usual, small":       {139, 3, 0.62, 0.99, false},
		"usual, large":       {139, 300, 0.62, 0.99, false},
		"usual, whole fleet": {984, 300, 0.62, 0.99, false},
		"more, small":        {139, 3, 4, 0.9, false},
		"more, large":        {139, 300, 4, 0.9, false},
		"more, whole fleet":  {984, 300, 4, 0.9, false},
		"usual, one domain":  {139, 30, 0.62, 0.99, true},
		"more, one domain":   {139, 300, 4, 0.9, true},
		"one entry VM":       {1, 30, 4, 0.2, false}, // Three of the four failure domains have no entry VM.
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			// Long enough for a meaningful fraction.
			span := 60 * time.Second
			if c.rate > 100 {
				span = 5 * time.Second
			}

			s := newSim(t, 5, c.vms, []carobward.Team{{Name: "club", Quota: quota(c.rate)}})
			s.simulate(2*time.Second, 0, s.randomVM)

			where := s.randomVM
			if c.oneDomain {
				where = func(*carobward.Team) *simVM { return s.inDomain("0") }
			}

			s.simulate(span, c.times, where)
			s.checkLimits()

			want := min(float64(s.requests), c.rate*span.Seconds())
			if got := float64(s.admitted) / want; got < c.minFraction {
				t.Errorf("%.3f of %.0f requests admitted", got, want)
			}
		})
	}
}

// TestQuotaNoisyTeam verifies that a team that sends many times its quota does not affect
// another team within its quota.
func TestQuotaNoisyTeam(t *testing.T) {
	hot := carobward.Team{Name: "hot", Quota: quota(30)}
	s := newSim(t, 6, 139, []carobward.Team{{Name: "calm", Quota: quota(30)}})
	s.teams = append(s.teams, hot)

	for _, v := range s.vms {
		v.limiter.SetTeams(s.teams)
	}

	s.simulate(2*time.Second, 0, s.randomVM)

	refused := 0

	for range 500 {
		s.step()

		for range 2 {
			s.request(s.randomVM(nil), &hot)
		}

		if s.random.Float64() < 0.2 && !s.request(s.randomVM(nil), &s.teams[0]) {
			refused++
		}
	}

	s.checkLimits()

	if refused > 3 {
		t.Errorf("%d requests of the team within its quota refused", refused)
	}
}

// TestQuotaOwnerLost kills the owner of a bucket. Until its loss is detected most of the
// team's requests must still be admitted.
func TestQuotaOwnerLost(t *testing.T) {
	s := newSim(t, 7, 139, []carobward.Team{{Name: "club", Quota: quota(100)}})
	s.simulate(2*time.Second, 0.5, s.randomVM)

	owner := s.vms[0]
	f := s.fleet(owner, s.now)
	first := owner.limiter.owners(owner.limiter.teams["club"], &f)[0]

	for _, v := range s.vms {
		if v.id == first {
			v.alive, v.since = false, s.now
		}
	}

	s.requests, s.admitted = 0, 0
	s.simulate(simDetection, 0.5, s.randomVM)

	if part := float64(s.admitted) / float64(s.requests); part < 0.85 {
		t.Errorf("%.2f of the requests admitted while an owner is lost", part)
	}
}

// TestNoQuota verifies that teams without a quota and unknown teams are not limited.
func TestNoQuota(t *testing.T) {
	s := newSim(t, 8, 3, []carobward.Team{{Name: "free"}})

	for _, name := range []carobward.TeamName{"free", "unknown"} {
		if _, err := s.vms[0].limiter.Take(context.Background(), name, Request{}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}

	if diff := cmp.Diff(Grant{}, s.vms[0].limiter.Grant("unknown", &cwreserve.Ask{Want: 1})); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkTake is the cost of a request whose token was requested in advance.
func BenchmarkTake(b *testing.B) {
	l := New(Options{
		Self: "vm-1", Clock: carobward.SystemClock{}, Log: logr.Discard(),
		Fleet: func(time.Time) Fleet { return Fleet{DomainSize: 1, DomainShare: 1, Settled: true} },
	})
	l.SetTeams([]carobward.Team{{Name: "club", Quota: quota(1e9)}})

	b.ReportAllocs()

	for b.Loop() {
		if _, err := l.Take(context.Background(), "club", Request{}); err != nil {
			b.Fatal(err)
		}
	}
}
