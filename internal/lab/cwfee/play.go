package cwfee

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Trouble is what happens to an entry VM in a play.
type Trouble uint8

// The troubles.
const (
	Killed   Trouble = iota // It is replaced on the same address.
	Frozen                  // It stands still for a while.
	Left                    // It leaves gracefully, with a hand-over.
	Troubles                // How many there are.
)

// Script says what happens in a play.
type Script struct {
	Seed uint64
	// Troubles come one after the other.
	Troubles []Trouble
	// OneIn is how many messages and requests there are to one with a drawn
	// fault, or none.
	OneIn int
}

// The bounds of a drawn script.
const (
	troublesMost          = 6
	oneInLeast, oneInMost = 2, 12
)

// Draw draws a script.
func Draw(rng *rand.Rand) Script {
	s := Script{Seed: rng.Uint64(), OneIn: oneInLeast + rng.IntN(oneInMost-oneInLeast+1)}
	for range rng.IntN(troublesMost + 1) {
		s.Troubles = append(s.Troubles, Trouble(rng.IntN(int(Troubles))))
	}

	return s
}

// The make-up of a play.
const (
	playVMs      = 3
	playClients  = 4
	playFees     = 5 // Of each client.
	playPatience = 20 * time.Millisecond
	copyOneIn    = 4 // Requests that are sent twice at once.
)

// The random sources of a play, by stream; clients have those from 1 on.
const (
	faultStream   = 0
	troubleStream = 99
)

// The steps in which a play draws its times.
const (
	workSpread, workNone      = 10, 4
	pauseSpread, lengthSpread = 4, 8
)

// Play lets clients charge fees at once through faults and troubles, and
// returns what ran and what they were told.
func Play(s Script) ([]Operation, error) {
	f, err := New(playVMs, Quick())
	if err != nil {
		return nil, err
	}

	h := &history{start: time.Now()}
	f.draw(s, h)

	ticking, stop := context.WithCancel(context.Background())

	var clients, ticks sync.WaitGroup

	ticks.Go(func() {
		for ticking.Err() == nil {
			f.TickAll()
			<-time.After(time.Millisecond)
		}
	})

	for id := range playClients {
		c := &client{fleet: f, history: h, id: id, rng: rand.New(rand.NewPCG(s.Seed, uint64(id+1)))}
		clients.Go(c.run)
	}

	f.trouble(s)
	clients.Wait()
	stop()
	ticks.Wait()

	return h.all, f.Stop()
}

// draw sets the faults and the time that runs take, and notes each run.
func (f *Fleet) draw(s Script, h *history) {
	var mutex sync.Mutex

	rng := rand.New(rand.NewPCG(s.Seed, faultStream))
	fault := func() Fault {
		mutex.Lock()
		defer mutex.Unlock()

		if rng.IntN(s.OneIn) > 0 {
			return Fine
		}

		return Fault(rng.IntN(int(faults)))
	}

	f.Message = fault
	f.Request = func(string, int) Fault { return fault() }
	f.Work = func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()

		return time.Duration(max(0, rng.IntN(workSpread)-workNone)) * time.Millisecond
	}
	f.Ran = func(fee, ticket string, serial int) {
		h.add(Operation{Client: noClient, Fee: fee, Ticket: ticket, Run: true, Serial: serial}, time.Now())
	}
}

// trouble makes the troubles of a script happen, each to a drawn VM.
func (f *Fleet) trouble(s Script) {
	rng := rand.New(rand.NewPCG(s.Seed, troubleStream))
	pause := func(spread int) time.Duration { return time.Duration(rng.IntN(spread)) * time.Millisecond }

	for _, t := range s.Troubles {
		<-time.After(pause(pauseSpread))

		i := rng.IntN(f.Size())
		length := pause(lengthSpread)

		switch t {
		case Frozen:
			thaw := f.At(i).Freeze()
			<-time.After(length)
			thaw()
		case Left:
			f.leave(i, length)
		default:
			f.Replace(i)
		}
	}
}

// leave lets a VM hand over, if it can, and then replaces it.
func (f *Fleet) leave(i int, pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), playPatience)
	defer cancel()

	_ = f.At(i).Owner.HandOver(ctx)
	<-time.After(pause)
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
	for n := range playFees {
		c.charge(n)
	}
}

// charge charges a fee. After an unknown it goes to another entry VM with the
// same ticket, unless the only request with it is known not to have run; now
// and then it sends two at once.
func (c *client) charge(n int) {
	fee := fmt.Sprintf("fee %d-%d", c.id, n)
	ticket, doubt := "", false

	for range tries {
		if ticket == "" {
			ticket = c.fleet.At(c.any()).Owner.Prefix() + fmt.Sprintf(".%d", n)
		}

		if c.rng.IntN(copyOneIn) == 0 {
			doubt = true
			c.copy(fee, ticket)
		}

		next, verdict, attempt := c.request(c.id, c.any(), fee, ticket)

		switch {
		case verdict == carobward.Ran:
			return
		case verdict == carobward.NotRun:
			ticket, doubt = next, false
		case attempt == carobward.NotRun && !doubt:
			ticket = ""
		default:
			doubt = true
		}
	}
}

// any draws an entry VM.
func (c *client) any() int { return c.rng.IntN(c.fleet.Size()) }

// copy sends a request that nobody waits for, as another client.
func (c *client) copy(fee, ticket string) {
	to := c.any()

	c.fleet.late.Go(func() { c.request(c.id+playFees, to, fee, ticket) })
}

// request sends one request and notes what it was told.
func (c *client) request(id, to int, fee, ticket string) (next string, verdict, attempt carobward.Verdict) {
	from := time.Now()
	outcome, next, err := c.fleet.Send(to, fee, ticket, playPatience)

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
