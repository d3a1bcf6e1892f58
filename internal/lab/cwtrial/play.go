package cwtrial

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
)

// Fault is something that must never happen to a call.
type Fault string

// The faults.
const (
	FaultBody  Fault = "a wrong or partial body as a whole answer"
	FaultTwice Fault = "one call sent twice"
	FaultRan   Fault = "not-run, but it began"
)

// Play lets callers make calls to one server that works through a list of acts.
type Play struct {
	Acts []cwstand.Act
	// Callers is the number of concurrent callers, Calls the number of calls of
	// each.
	Callers, Calls int
}

// Run makes the calls with a Sender and counts the faults, without those that
// did not happen.
func (p Play) Run(send Sender) (map[Fault]int, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}

	actor := cwstand.NewActor(p.Acts)
	s := cwstand.NewScripted(ln, actor.Serve)

	defer s.Close()

	var (
		group  conc.WaitGroup
		mutex  sync.Mutex
		faults = map[Fault]int{}
	)

	for g := range p.Callers {
		group.Go(func() {
			for n := range p.Calls {
				id := fmt.Sprintf("c%d-%d", g, n)
				a := send(s.Address(), id)

				mutex.Lock()
				countFaults(faults, a, id, actor.Began(id))
				mutex.Unlock()
			}
		})
	}

	group.Wait()

	faults[FaultTwice] = actor.Repeated()
	maps.DeleteFunc(faults, func(_ Fault, n int) bool { return n == 0 })

	return faults, nil
}

// countFaults counts the faults of one answer.
func countFaults(faults map[Fault]int, a Answer, id string, began int) {
	if a.Whole && a.Body != cwstand.BodyOf(id) {
		faults[FaultBody]++
	}

	if !a.Whole && a.Verdict == carobward.NotRun && began > 0 {
		faults[FaultRan]++
	}
}

// Score is the result of one client in all plays.
type Score struct {
	Way    string
	Calls  int
	Faults map[Fault]int
}

// Compare runs random lists of acts, with consecutive seeds, against the
// product's link and against the HTTP library's client. Each play starts
// without open connections.
func Compare(first uint64, seeds, calls int) ([]Score, error) {
	scores := []Score{{Way: "link", Faults: map[Fault]int{}}, {Way: "library", Faults: map[Fault]int{}}}

	for i := range seeds {
		list := randomActs(first + uint64(i))

		for j := range scores {
			if err := scores[j].play(list, calls); err != nil {
				return nil, err
			}
		}
	}

	return scores, nil
}

func (s *Score) play(list []cwstand.Act, calls int) error {
	l := NewLink()
	defer l.Close()

	send := ViaLink(l)
	if s.Way == "library" {
		send = ViaLibrary(&fasthttp.Client{})
	}

	faults, err := Play{Acts: list, Callers: 1, Calls: calls}.Run(send)
	if err != nil {
		return err
	}

	s.Calls += calls
	for f, n := range faults {
		s.Faults[f] += n
	}

	return nil
}

// randomActs returns the list of acts of a seed.
func randomActs(seed uint64) []cwstand.Act {
	const minActs, maxActs = 2, 8

	r := rand.New(rand.NewPCG(seed, 0))
	all := cwstand.Acts()
	list := make([]cwstand.Act, minActs+r.IntN(maxActs-minActs+1))

	for i := range list {
		list[i] = all[r.IntN(len(all))]
	}

	return list
}
