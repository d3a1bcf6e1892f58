package cwonce

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Disruption is what happens to an entry VM during a simulation.
type Disruption uint8

// The disruptions.
const (
	Killed          Disruption = iota // The VM is replaced at the same address.
	Paused                            // The VM is paused for a while.
	Left                              // The VM leaves gracefully, with a handover.
	DisruptionCount                   // The number of disruptions.
)

// Script describes what happens in a simulation.
type Script struct {
	Seed uint64
	// Disruptions happen one after the other.
	Disruptions []Disruption
	// OneIn is the number of messages and requests of which, on average, one
	// draws a fault, which may be NoFault.
	OneIn int
}

// The bounds of a random script.
const (
	maxDisruptions     = 6
	minOneIn, maxOneIn = 2, 12
)

// RandomScript draws a script.
func RandomScript(rng *rand.Rand) Script {
	s := Script{Seed: rng.Uint64(), OneIn: minOneIn + rng.IntN(maxOneIn-minOneIn+1)}
	for range rng.IntN(maxDisruptions + 1) {
		s.Disruptions = append(s.Disruptions, Disruption(rng.IntN(int(DisruptionCount))))
	}

	return s
}

// The parameters of a simulation.
const (
	simVMs         = 3
	simClients     = 4
	simFees        = 5 // Per client.
	simTimeout     = 20 * time.Millisecond
	duplicateOneIn = 4 // One of so many requests is sent twice at once.
)

// The random streams of a simulation; clients have those from 1 on.
const (
	faultStream      = 0
	disruptionStream = 99
)

// The ranges of the random times, in milliseconds. Work takes a random number
// below workRange less workOffset, and at least 0.
const (
	workRange, workOffset   = 10, 4
	pauseRange, lengthRange = 4, 8
)

// Simulate lets clients charge fees concurrently through faults and
// disruptions. It returns the runs and the clients' requests with their
// verdicts.
func Simulate(s Script) ([]Operation, error) {
	f, err := New(simVMs, FastOptions())
	if err != nil {
		return nil, err
	}

	h := &history{start: time.Now()}
	f.drawFaults(s, h)

	ticking, stop := context.WithCancel(context.Background())

	var clients, ticks sync.WaitGroup

	ticks.Go(func() {
		for ticking.Err() == nil {
			f.TickAll()
			<-time.After(time.Millisecond)
		}
	})

	for id := range simClients {
		c := &client{fleet: f, history: h, id: id, rng: rand.New(rand.NewPCG(s.Seed, uint64(id+1)))}
		clients.Go(c.run)
	}

	f.disrupt(s)
	clients.Wait()
	stop()
	ticks.Wait()

	return h.all, f.Stop()
}

// drawFaults sets the faults and the duration of runs, and records each run.
func (f *Fleet) drawFaults(s Script, h *history) {
	var mutex sync.Mutex

	rng := rand.New(rand.NewPCG(s.Seed, faultStream))
	fault := func() Fault {
		mutex.Lock()
		defer mutex.Unlock()

		if rng.IntN(s.OneIn) > 0 {
			return NoFault
		}

		return Fault(rng.IntN(int(faultCount)))
	}

	f.Message = fault
	f.Request = func(string, int) Fault { return fault() }
	f.Work = func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()

		return time.Duration(max(0, rng.IntN(workRange)-workOffset)) * time.Millisecond
	}
	f.Ran = func(fee, ticket string, serial int) {
		h.add(Operation{Client: noClient, Fee: fee, Ticket: ticket, Run: true, Serial: serial}, time.Now())
	}
}

// disrupt applies the disruptions of a script, each to a random VM.
func (f *Fleet) disrupt(s Script) {
	rng := rand.New(rand.NewPCG(s.Seed, disruptionStream))
	pause := func(limit int) time.Duration { return time.Duration(rng.IntN(limit)) * time.Millisecond }

	for _, t := range s.Disruptions {
		<-time.After(pause(pauseRange))

		i := rng.IntN(f.Size())
		length := pause(lengthRange)

		switch t {
		case Paused:
			resume := f.At(i).Pause()
			<-time.After(length)
			resume()
		case Left:
			f.leave(i, length)
		default:
			f.Replace(i)
		}
	}
}

// leave lets a VM hand over if it can, and then replaces it.
func (f *Fleet) leave(i int, delay time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), simTimeout)
	defer cancel()

	_ = f.At(i).Owner.HandOver(ctx)
	<-time.After(delay)
	f.Replace(i)
}

// client charges fees one after the other.
type client struct {
	fleet   *Fleet
	history *history
	id      int
	rng     *rand.Rand
}

func (c *client) run() {
	for n := range simFees {
		c.charge(n)
	}
}

// charge charges a fee. After an unknown verdict it retries through a random
// entry VM with the same ticket, unless the only request with that ticket is
// known not to have run. Now and then it sends the request twice at once.
func (c *client) charge(n int) {
	fee := fmt.Sprintf("fee %d-%d", c.id, n)
	ticket, mayHaveRun := "", false

	for range maxAttempts {
		if ticket == "" {
			ticket = c.fleet.At(c.randomVM()).Owner.Prefix() + fmt.Sprintf(".%d", n)
		}

		if c.rng.IntN(duplicateOneIn) == 0 {
			mayHaveRun = true
			c.sendDuplicate(fee, ticket)
		}

		next, verdict, attempt := c.request(c.id, c.randomVM(), fee, ticket)

		switch {
		case verdict == carobward.Ran:
			return
		case verdict == carobward.NotRun:
			ticket, mayHaveRun = next, false
		case attempt == carobward.NotRun && !mayHaveRun:
			ticket = ""
		default:
			mayHaveRun = true
		}
	}
}

// randomVM draws the index of an entry VM.
func (c *client) randomVM() int { return c.rng.IntN(c.fleet.Size()) }

// sendDuplicate sends a request whose reply nobody waits for, as another
// client.
func (c *client) sendDuplicate(fee, ticket string) {
	to := c.randomVM()

	c.fleet.background.Go(func() { c.request(c.id+simFees, to, fee, ticket) })
}

// request sends one request and records its verdict.
func (c *client) request(id, to int, fee, ticket string) (next string, verdict, attempt carobward.Verdict) {
	from := time.Now()
	outcome, next, err := c.fleet.Send(to, fee, ticket, simTimeout)

	o := Operation{Client: id, Fee: fee, Ticket: ticket, Verdict: carobward.Ran}

	if err == nil {
		o.Serial = outcome.Reply.Status
	} else {
		o.Verdict = carobward.VerdictOf(err)

		if f := (*carobward.Failure)(nil); errors.As(err, &f) {
			attempt = f.Attempt
		}
	}

	c.history.add(o, from)

	return next, o.Verdict, attempt
}
