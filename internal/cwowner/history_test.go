package cwowner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"carobward.example/carobward"
)

// event is one operation of a history: a run on a server, or a caller's
// request with what it was told. Work is one fee, which may go through
// several tickets.
type event struct {
	work, ticket string
	run          bool
}

// told is the outcome of a request, or the serial number of a run.
type told struct {
	verdict carobward.Verdict
	serial  int
}

// work is the state of one fee: the run that happened, and the tickets that
// were answered not-run.
type work struct {
	serial int
	by     string
	closed string
}

// atMostOnce is the promise: a fee runs once at most, whoever retries it; a
// ticket that was answered not-run has not run before and does not run after;
// every answer is that of the one run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byWork := map[string][]porcupine.Operation{}
		for _, o := range history {
			w := o.Input.(event).work
			byWork[w] = append(byWork[w], o)
		}

		var all [][]porcupine.Operation
		for _, ops := range byWork {
			all = append(all, ops)
		}

		return all
	},
	Init: func() any { return work{} },
	Step: func(state, input, output any) (bool, any) {
		w, e, o := state.(work), input.(event), output.(told)
		shut := strings.Contains(w.closed, e.ticket+" ")

		switch {
		case e.run:
			ok := w.serial == 0 && !shut
			w.serial, w.by = o.serial, e.ticket

			return ok, w
		case o.verdict == carobward.Ran:
			return w.serial == o.serial, w
		case o.verdict == carobward.NotRun:
			if !shut {
				w.closed += e.ticket + " "
			}

			return w.by != e.ticket, w
		default:
			return true, w
		}
	},
}

// history collects operations.
type history struct {
	mutex sync.Mutex
	start time.Time
	all   []porcupine.Operation
}

func (h *history) add(client int, e event, from time.Time, o told) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.all = append(h.all, porcupine.Operation{
		ClientId: client, Input: e, Output: o,
		Call: from.Sub(h.start).Nanoseconds(), Return: time.Since(h.start).Nanoseconds(),
	})
}

// client charges fees one after the other. After an unknown it goes to another
// entry VM with the same ticket, unless the only request with it is known not
// to have run; now and then it sends two at once.
func client(f *fleet, h *history, id, fees int, rng *rand.Rand) {
	for n := range fees {
		body := fmt.Sprintf("fee %d-%d", id, n)
		ticket, doubt := "", false

		for range tries {
			if ticket == "" {
				ticket = f.at(rng.IntN(len(f.vms))).owner.Prefix() + fmt.Sprintf(".%d", n)
			}

			if rng.IntN(4) == 0 {
				doubt = true

				f.late.Add(1)

				go func(to int, ticket string) {
					defer f.late.Done()

					request(f, h, fees+id, to, body, ticket)
				}(rng.IntN(len(f.vms)), ticket)
			}

			next, verdict, attempt := request(f, h, id, rng.IntN(len(f.vms)), body, ticket)

			switch {
			case verdict == carobward.Ran:
			case verdict == carobward.NotRun:
				ticket, doubt = next, false
			case attempt == carobward.NotRun && !doubt:
				ticket = ""
			default:
				doubt = true
			}

			if verdict == carobward.Ran {
				break
			}
		}
	}
}

func request(f *fleet, h *history, id, to int, body, ticket string) (next string, verdict, attempt carobward.Verdict) {
	from := time.Now()
	o, next, err := f.send(to, body, ticket, 20*time.Millisecond)

	out := told{verdict: carobward.VerdictOf(err)}
	if err == nil {
		out = told{verdict: carobward.Ran, serial: o.Reply.Status}
	} else {
		attempt = failureOf(err).Attempt
	}

	h.add(id, event{work: body, ticket: ticket}, from, out)

	return next, out.verdict, attempt
}

// trouble makes one thing happen to a VM.
func trouble(f *fleet, kind, i int, pause time.Duration) {
	switch kind {
	case 0: // Killed, replaced on the same address.
		f.replace(i)
	case 1: // Frozen for a while.
		thaw := f.at(i).freeze()
		<-time.After(pause)
		thaw()
	default: // A graceful leave, with a hand-over.
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()

		v := f.at(i)
		_ = v.owner.HandOver(ctx)
		<-time.After(pause)
		f.replace(i)
	}
}

// TestHistories checks what concurrent callers were told against what ran,
// through lost and late messages and replies, sheds, kills, freezes and
// hand-overs.
func TestHistories(t *testing.T) {
	total := map[carobward.Verdict]int{}

	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		troubles := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 6).Draw(t, "troubles")
		rate := rapid.IntRange(2, 12).Draw(t, "one fault in")

		h := play(t, seed, troubles, rate)
		if result := porcupine.CheckOperations(atMostOnce, h.all); !result {
			t.Fatalf("not at most once: seed %d, troubles %v, one fault in %d", seed, troubles, rate)
		}

		for _, o := range h.all {
			if !o.Input.(event).run {
				total[o.Output.(told).verdict]++
			}
		}
	})

	t.Logf("answers: %v", total)

	if total[carobward.Ran] == 0 || total[carobward.NotRun] == 0 || total[carobward.Unknown] == 0 {
		t.Errorf("the histories lack a verdict: %v", total)
	}
}

func play(t *rapid.T, seed uint64, troubles []int, rate int) *history {
	const clients, fees, vms = 4, 5, 3

	f := newFleet(t, vms)
	h := &history{start: time.Now()}

	var mutex sync.Mutex

	rng := rand.New(rand.NewPCG(seed, 0))
	draw := func() fault {
		mutex.Lock()
		defer mutex.Unlock()

		if rng.IntN(rate) > 0 {
			return fine
		}

		return fault(rng.IntN(int(faults)))
	}
	f.message = draw
	f.request = func(string, int) fault { return draw() }
	f.work = func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()

		return time.Duration(max(0, rng.IntN(10)-4)) * time.Millisecond
	}
	f.ran = func(body, ticket string, serial int) {
		h.add(-1, event{work: body, ticket: ticket, run: true}, time.Now(), told{serial: serial})
	}

	ticking, stop := context.WithCancel(context.Background())

	var group, ticks sync.WaitGroup

	ticks.Add(1)

	go func() {
		defer ticks.Done()

		for ticking.Err() == nil {
			for i := range vms {
				f.at(i).owner.Tick(time.Now())
			}

			<-time.After(time.Millisecond)
		}
	}()

	for id := range clients {
		group.Add(1)

		go func() {
			defer group.Done()

			client(f, h, id, fees, rand.New(rand.NewPCG(seed, uint64(id+1))))
		}()
	}

	chance := rand.New(rand.NewPCG(seed, 99))
	for _, kind := range troubles {
		<-time.After(time.Duration(chance.IntN(4)) * time.Millisecond)
		trouble(f, kind, chance.IntN(vms), time.Duration(chance.IntN(8))*time.Millisecond)
	}

	group.Wait()
	stop()
	ticks.Wait()
	f.stop()

	return h
}
