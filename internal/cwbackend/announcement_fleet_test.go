package cwbackend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// The parameters of simulated fleets whose servers announce leaving and pauses.
const (
	announceStep    = 50 * time.Millisecond
	announceServers = 12
	announceSpan    = 30 * time.Second
)

// announceVM is an entry VM of an announceFleet.
type announceVM struct {
	table *Table
	// asleep is the end of its suspension, nap the length of the current one so far, slept the
	// total.
	asleep time.Time
	nap    time.Duration
	slept  time.Duration
	// left has the processes that announced to it that they are leaving, pauses the ends of
	// the pauses that servers asked it for.
	left   map[carobward.LeavingAnnouncement]bool
	pauses map[carobward.LeavingAnnouncement]time.Time
}

// announceServer is a simulated server.
type announceServer struct {
	notice  carobward.LeavingAnnouncement
	leaving bool
	pause   time.Duration
}

// announceFleet simulates entry VMs and servers that announce that they are leaving and ask
// for pauses.
type announceFleet struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Time
	vms     []*announceVM
	servers []*announceServer
	sends   int
}

func newAnnounceFleet(t *testing.T, seed uint64, vms int) *announceFleet {
	t.Helper()

	f := &announceFleet{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range announceServers {
		f.servers = append(f.servers, &announceServer{notice: carobward.LeavingAnnouncement{Server: carobward.Instance(fmt.Sprint("i-", i)), Start: 1}})
	}

	for range vms {
		f.vms = append(f.vms, f.newVM())
	}

	return f
}

func (f *announceFleet) newVM() *announceVM {
	v := &announceVM{
		table: New(VM{ID: carobward.VMID(fmt.Sprint("vm-", f.rnd.Uint64())), Domain: "a"}),
		left:  map[carobward.LeavingAnnouncement]bool{}, pauses: map[carobward.LeavingAnnouncement]time.Time{},
	}
	f.putList(v)

	return v
}

// putList puts the list of servers into an entry VM's table. None is leaving by its entry.
func (f *announceFleet) putList(v *announceVM) {
	var list []carobward.Backend
	for _, s := range f.servers {
		list = append(list, carobward.Backend{Instance: s.notice.Server, Start: s.notice.Start, Domain: "a", Service: "records", Slots: 4})
	}

	v.table.Put(list, nil, v.clock(f.now))
}

// clock returns the time by the entry VM's clock, which stops while it is suspended.
func (v *announceVM) clock(now time.Time) time.Time { return now.Add(-v.slept) }

// send sends a request of an entry VM to a server that may get one.
func (f *announceFleet) send(v *announceVM) {
	now := v.clock(f.now)

	views := v.table.Views("records", now, time.Second)
	if len(views) == 0 {
		return
	}

	server := views[f.rnd.IntN(len(views))].Server
	if !v.table.Admit(server, now) {
		return
	}

	f.sends++

	for _, s := range f.servers {
		if s.notice.Server == server.Backend().Instance {
			f.arrive(v, s, server)
		}
	}
}

// arrive delivers a request at a server, and its reply.
func (f *announceFleet) arrive(v *announceVM, s *announceServer, server *Server) {
	if server.Backend().Start != s.notice.Start {
		return // The process has ended.
	}

	if v.left[s.notice] {
		f.t.Errorf("a request at %v, which is leaving", s.notice)
	}

	if until := v.pauses[s.notice]; f.now.Before(until) {
		f.t.Errorf("a request at %v, %s before the end of its pause", s.notice, until.Sub(f.now))
	}

	reply := &carobward.Reply{Status: fasthttp.StatusOK, Leaving: carobward.LeaveNotice{Present: s.leaving, Readable: s.leaving}}

	if s.pause > 0 {
		reply.Status, reply.Shed = fasthttp.StatusServiceUnavailable, true
		reply.Pause = carobward.RetryNotice{Present: true, Readable: true, Delay: s.pause}
		v.pauses[s.notice] = f.now.Add(s.pause)
	}

	v.left[s.notice] = v.left[s.notice] || s.leaving
	server.ApplyReply(reply, ByReply, v.clock(f.now))
}

// disturb changes what servers announce, or restarts or suspends an entry VM.
func (f *announceFleet) disturb() {
	s := f.servers[f.rnd.IntN(len(f.servers))]
	i := f.rnd.IntN(len(f.vms))
	pause := time.Duration(f.rnd.Int64N(int64(4 * time.Second)))

	switch f.rnd.IntN(8) {
	case 0:
		s.leaving = true
	case 1:
		s.pause = pause
	case 2:
		s.pause = 0
	case 3:
		for _, s := range f.servers {
			s.pause = pause
		}
	case 4:
		for _, s := range f.servers {
			s.pause = 0
		}
	case 5:
		s.notice.Start++
		s.leaving, s.pause = false, 0

		for _, v := range f.vms {
			f.putList(v)
		}
	case 6:
		f.vms[i] = f.newVM()
	case 7:
		f.vms[i].asleep = f.now.Add(pause)
	}
}

// step lets each running entry VM send a request and sometimes pass on announcements.
func (f *announceFleet) step() {
	for i, v := range f.vms {
		if f.now.Before(v.asleep) {
			v.slept += announceStep
			v.nap += announceStep

			continue
		}

		if v.nap > 0 {
			v.table.Suspended(v.nap)
			v.nap = 0
		}

		f.send(v)

		if f.rnd.IntN(20) == 0 {
			f.vms[(i+1)%len(f.vms)].table.MergeLeaving(v.table.Announcements(v.clock(f.now), false).Leaving, f.now)
		}
	}

	f.now = f.now.Add(announceStep)
}

// TestAnnouncementHistory simulates servers that announce leaving and ask for pauses, in turn
// and at the same time, while entry VMs restart and are suspended. No process may get a
// request from an entry VM to which it announced that it is leaving, nor during a pause that
// it asked for. The servers must still be used.
func TestAnnouncementHistory(t *testing.T) {
	for name, vms := range map[string]int{"17": 17, "127": 127, "472": 472} {
		t.Run(name, func(t *testing.T) {
			f := newAnnounceFleet(t, uint64(vms), vms)

			for end := f.now.Add(announceSpan); f.now.Before(end); {
				f.step()

				if f.rnd.IntN(4) == 0 {
					f.disturb()
				}
			}

			t.Logf("%d requests", f.sends)

			if f.sends < vms {
				t.Errorf("only %d requests from %d entry VMs", f.sends, vms)
			}
		})
	}
}
