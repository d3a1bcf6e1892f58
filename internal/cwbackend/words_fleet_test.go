package cwbackend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// The figures of fleets that servers speak to.
const (
	wordsStep    = 50 * time.Millisecond
	wordsServers = 12
	wordsTime    = 30 * time.Second
)

// wordsVM is one entry VM of a wordsFleet.
type wordsVM struct {
	table *Table
	// asleep is until when it is suspended, nap for how long it was this time, slept in all.
	asleep time.Time
	nap    time.Duration
	slept  time.Duration
	// left has the processes that said to it that they leave, pauses until when servers
	// want nothing of it.
	left   map[carobward.LeavingWord]bool
	pauses map[carobward.LeavingWord]time.Time
}

// wordsServer is one server.
type wordsServer struct {
	word    carobward.LeavingWord
	leaving bool
	pause   time.Duration
}

// wordsFleet is a fleet of entry VMs whose servers say that they leave and want pauses.
type wordsFleet struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Time
	vms     []*wordsVM
	servers []*wordsServer
	sends   int
}

func newWordsFleet(t *testing.T, seed uint64, vms int) *wordsFleet {
	t.Helper()

	f := &wordsFleet{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range wordsServers {
		f.servers = append(f.servers, &wordsServer{word: carobward.LeavingWord{Server: carobward.Instance(fmt.Sprint("i-", i)), Start: 1}})
	}

	for range vms {
		f.vms = append(f.vms, f.newVM())
	}

	return f
}

func (f *wordsFleet) newVM() *wordsVM {
	v := &wordsVM{
		table: New(VM{ID: carobward.VMID(fmt.Sprint("vm-", f.rnd.Uint64())), Domain: "a"}),
		left:  map[carobward.LeavingWord]bool{}, pauses: map[carobward.LeavingWord]time.Time{},
	}
	f.list(v)

	return v
}

// list has an entry VM take the list of servers, which says of none that it leaves.
func (f *wordsFleet) list(v *wordsVM) {
	var list []carobward.Backend
	for _, s := range f.servers {
		list = append(list, carobward.Backend{Instance: s.word.Server, Start: s.word.Start, Domain: "a", Service: "records", Slots: 4})
	}

	v.table.Put(list, nil, v.clock(f.now))
}

// clock returns the time by the entry VM's clock, which stands still while it is suspended.
func (v *wordsVM) clock(now time.Time) time.Time { return now.Add(-v.slept) }

// send has an entry VM send to a server that it may, and takes the answer.
func (f *wordsFleet) send(v *wordsVM) {
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
		if s.word.Server == server.Backend().Instance {
			f.arrive(v, s, server)
		}
	}
}

// arrive has a server answer an entry VM.
func (f *wordsFleet) arrive(v *wordsVM, s *wordsServer, server *Server) {
	if server.Backend().Start != s.word.Start {
		return // The process has ended.
	}

	if v.left[s.word] {
		f.t.Errorf("a request at %v, which leaves", s.word)
	}

	if until := v.pauses[s.word]; f.now.Before(until) {
		f.t.Errorf("a request at %v, %s before the end of its pause", s.word, until.Sub(f.now))
	}

	reply := &carobward.Reply{Status: fasthttp.StatusOK, Leaving: carobward.LeaveNotice{Named: s.leaving, Readable: s.leaving}}

	if s.pause > 0 {
		reply.Status, reply.Shed = fasthttp.StatusServiceUnavailable, true
		reply.Pause = carobward.RetryNotice{Named: true, Readable: true, For: s.pause}
		v.pauses[s.word] = f.now.Add(s.pause)
	}

	v.left[s.word] = v.left[s.word] || s.leaving
	server.Hear(reply, ByReply, v.clock(f.now))
}

// disturb changes what servers say, or harms an entry VM.
func (f *wordsFleet) disturb() {
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
		s.word.Start++
		s.leaving, s.pause = false, 0

		for _, v := range f.vms {
			f.list(v)
		}
	case 6:
		f.vms[i] = f.newVM()
	case 7:
		f.vms[i].asleep = f.now.Add(pause)
	}
}

// step has each entry VM that runs send once, and pass words on.
func (f *wordsFleet) step() {
	for i, v := range f.vms {
		if f.now.Before(v.asleep) {
			v.slept += wordsStep
			v.nap += wordsStep

			continue
		}

		if v.nap > 0 {
			v.table.Suspended(v.nap)
			v.nap = 0
		}

		f.send(v)

		if f.rnd.IntN(20) == 0 {
			f.vms[(i+1)%len(f.vms)].table.TakeLeaving(v.table.Words(v.clock(f.now), false).Leaving, f.now)
		}
	}

	f.now = f.now.Add(wordsStep)
}

// TestWordsHistory plays fleets whose servers say that they leave, and want pauses, in series
// and overlapping, beside entry VMs that start again and are suspended. No request may come
// to a process that said to the same entry VM that it leaves, nor within a pause; servers
// are used all the same.
func TestWordsHistory(t *testing.T) {
	for name, vms := range map[string]int{"17": 17, "127": 127, "472": 472} {
		t.Run(name, func(t *testing.T) {
			f := newWordsFleet(t, uint64(vms), vms)

			for end := f.now.Add(wordsTime); f.now.Before(end); {
				f.step()

				if f.rnd.IntN(4) == 0 {
					f.disturb()
				}
			}

			t.Logf("%d requests", f.sends)

			if f.sends < vms {
				t.Errorf("%d requests from %d entry VMs", f.sends, vms)
			}
		})
	}
}
