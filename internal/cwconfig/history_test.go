package cwconfig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstore"
)

// attempt is one operator's change, or a read of the store where ID is empty.
type attempt struct {
	id     string
	target string
	base   int
}

// outcome is what the operator was told.
type outcome struct {
	kind     string
	revision int
	// other is the change that a conflict named.
	other string
	// chain is what a read showed: id/target of each change in order.
	chain string
}

const (
	accepted = "accepted"
	unknown  = "unknown"
	conflict = "conflict"
	down     = "down"
	readAll  = "read"
)

// chainModel is the store as a register of accepted changes, compared and
// swapped. The state is the list of changes, as id/target each.
func chainModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			return step(state.(string), input.(attempt), output.(outcome))
		},
		Hash: func(state any) uint64 { return uint64(len(state.(string))) },
	}

	return model.ToModel()
}

func step(state string, in attempt, out outcome) []any {
	list := strings.Fields(state)
	grown := strings.TrimSpace(state + " " + in.id + "/" + in.target)
	since := list[min(in.base, len(list)):]

	switch out.kind {
	case readAll:
		if out.chain != state {
			return nil
		}
	case accepted:
		if len(list)+1 != out.revision || touches(since, in.target) {
			return nil
		}

		return []any{grown}
	case unknown:
		if !touches(since, in.target) {
			return []any{state, grown}
		}
	case conflict:
		if !strings.Contains(" "+strings.Join(since, " ")+" ", " "+out.other+"/"+in.target+" ") {
			return nil
		}
	}

	return []any{state}
}

func touches(list []string, target string) bool {
	for _, l := range list {
		if strings.HasSuffix(l, "/"+target) {
			return true
		}
	}

	return false
}

func told(revision carobward.Revision, err error) outcome {
	var c *Conflict

	switch {
	case err == nil:
		return outcome{kind: accepted, revision: int(revision)}
	case errors.Is(err, carobward.ErrStoreUnknown):
		return outcome{kind: unknown}
	case errors.As(err, &c):
		return outcome{kind: conflict, other: string(c.Other.ID)}
	case errors.Is(err, carobward.ErrStoreDown), errors.Is(err, carobward.ErrConflict):
		return outcome{kind: down}
	default:
		return outcome{kind: err.Error()}
	}
}

// TestHistoryOfOperators: what concurrent operators are told under lost
// replies, lost writes and outages fits one chain of accepted changes; unknown
// ones may or may not be in it, refused ones never are.
func TestHistoryOfOperators(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			checkHistory(t, seed, (*Writer).Apply)
		})
	}
}

type applyFunc func(*Writer, context.Context, Change) (carobward.Revision, error)

func checkHistory(t *testing.T, seed uint64, apply applyFunc) {
	t.Helper()

	store := cwstore.New()
	rng := rand.New(rand.NewPCG(seed, 1))
	store.Fault = func(write bool, _ carobward.Key) cwstore.Fault {
		switch n := rng.IntN(20); { // The store calls this under its mutex.
		case write && n < 4:
			return cwstore.Lost
		case write && n < 6:
			return cwstore.Dropped
		case n < 7:
			return cwstore.Down
		default:
			return cwstore.Well
		}
	}

	var (
		mutex   sync.Mutex
		history []porcupine.Operation
		group   sync.WaitGroup
	)

	began := time.Now()
	record := func(who int, in attempt, do func() outcome) {
		call := time.Since(began).Nanoseconds()
		out := do()
		end := time.Since(began).Nanoseconds()

		mutex.Lock()
		defer mutex.Unlock()

		history = append(history, porcupine.Operation{ClientId: who, Input: in, Output: out, Call: call, Return: end})
	}

	for who := range 4 {
		group.Go(func() {
			writer := NewWriter(store, NewHolder())

			for i := range 8 {
				in := attempt{id: fmt.Sprintf("c%d-%d", who, i), target: fmt.Sprint("t", (who+i)%3), base: int(writer.holder.Revision())}
				record(who, in, func() outcome {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%3)*20*time.Millisecond)
					defer cancel()

					return told(apply(writer, ctx, put(in.id, fmt.Sprint("operator-", who), in.base, in.target)))
				})

				if found, err := writer.reader.State(context.Background(), writer.holder.Config()); err == nil {
					writer.adopt(&found)
				}
			}
		})
	}

	group.Wait()

	store.Fault = nil
	record(9, attempt{}, func() outcome { return outcome{kind: readAll, chain: chainOf(t, store)} })

	if result, _ := porcupine.CheckOperationsVerbose(chainModel(), history, time.Minute); result != porcupine.Ok {
		for _, o := range history {
			t.Logf("%+v -> %+v", o.Input, o.Output)
		}

		t.Errorf("the history is %s", result)
	}
}

// chainOf returns all changes in the store. They fit in few heads, so that
// a holder which has followed all along has each of them.
func chainOf(t *testing.T, store *cwstore.Store) string {
	t.Helper()

	found, err := NewReader(store).State(context.Background(), &Config{})
	if err != nil {
		t.Fatal(err)
	}

	all := store.Written()
	names := make([]string, found.Config.Revision)

	for _, raw := range all {
		head, err := DecodeHead(raw)
		if err != nil {
			continue // A snapshot.
		}

		for _, c := range head.Changes {
			names[c.Revision-1] = string(c.ID) + "/" + string(c.Put[0].Name)
		}
	}

	return strings.Join(names, " ")
}
