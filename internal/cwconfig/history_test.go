package cwconfig_test

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/lab/cwspread"
	"carobward.example/carobward/internal/lab/cwstore"
)

// chain is the result of a read of the store: id/target of each change in order.
type chain string

// chainModel models the store as a register with compare-and-swap that holds
// the accepted changes. The state is the list of changes, as id/target each.
func chainModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, _ any) []any {
			if all, ok := input.(chain); ok {
				if string(all) != state {
					return nil
				}

				return []any{state}
			}

			return step(state.(string), input.(cwspread.Attempt))
		},
		Hash: func(state any) uint64 { return uint64(len(state.(string))) },
	}

	return model.ToModel()
}

// step returns the possible states after an operator's attempt, given the outcome
// that was reported to the operator; none if the outcome contradicts the state.
func step(state string, a cwspread.Attempt) []any {
	list := strings.Fields(state)
	grown := strings.TrimSpace(state + " " + string(a.ID) + "/" + string(a.Target))
	since := list[min(int(a.Base), len(list)):]
	touched := slices.ContainsFunc(since, func(l string) bool { return strings.HasSuffix(l, "/"+string(a.Target)) })

	switch a.Outcome {
	case cwspread.Accepted:
		if len(list)+1 != int(a.Revision) || touched {
			return nil
		}

		return []any{grown}
	case cwspread.Unknown:
		if !touched {
			return []any{state, grown}
		}
	case cwspread.Conflicting:
		if !slices.Contains(since, string(a.Other)+"/"+string(a.Target)) {
			return nil
		}
	case cwspread.Down, cwspread.Failed:
	}

	return []any{state}
}

// TestLinearizable verifies that the outcomes reported to concurrent
// operators during lost replies, lost writes and outages are consistent with a
// single chain of accepted changes. A change with an unknown outcome may or may
// not be in it, a refused one never is.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			attempts, store := cwspread.RunOperators(seed)
			last := porcupine.Operation{ClientId: 9, Input: chainOf(t, store), Call: math.MaxInt64 - 1, Return: math.MaxInt64}
			history := []porcupine.Operation{last}

			for _, a := range attempts {
				history = append(history, porcupine.Operation{ClientId: a.Operator, Input: a, Call: int64(a.Call), Return: int64(a.Return)})
			}

			if result, _ := porcupine.CheckOperationsVerbose(chainModel(), history, time.Minute); result != porcupine.Ok {
				t.Errorf("linearizability check: %s: %+v", result, history)
			}
		})
	}
}

// chainOf returns all changes that were accepted, collected from the heads
// written to the store: the last head alone doesn't hold all of them.
func chainOf(t *testing.T, store *cwstore.Store) chain {
	t.Helper()

	found, err := cwconfig.NewReader(store).State(context.Background(), &cwconfig.Config{})
	if err != nil {
		t.Fatal(err)
	}

	names := make([]string, found.Config.Revision)

	for _, raw := range store.Written() {
		head, err := cwconfig.DecodeHead(raw)
		if err != nil {
			continue // A snapshot.
		}

		for _, c := range head.Changes {
			names[c.Revision-1] = string(c.ID) + "/" + string(c.Put[0].Name)
		}
	}

	return chain(strings.Join(names, " "))
}
