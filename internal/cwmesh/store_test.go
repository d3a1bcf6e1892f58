package cwmesh

import (
	"fmt"
	"maps"
	"time"

	"carobward.example/carobward"
)

// simState is the content of a simulated store.
type simState struct {
	index carobward.StoreIndex
	items map[carobward.Key]carobward.Item
	// floor is the index before which the history is not kept.
	floor carobward.StoreIndex
}

// simStore is a store that is restored from backups, with an operator and servers that leave.
type simStore struct {
	simState

	sim   *sim
	era   carobward.StoreEra
	saved simState
	down  bool
	// unserved is the failure domain that the store does not serve.
	unserved carobward.Domain
	calls    int
	lists    int
	// version is the newest configuration, acknowledged at acked.
	version int
	acked   time.Time
	// stableSince is when the last outage ended, or the rewriting of lost entries after it.
	stableSince time.Time
	// states has the state of each server, writes how often it wrote.
	states map[carobward.Key]string
	writes map[carobward.Key]int
}

func newSimStore(s *sim) *simStore {
	st := &simStore{
		simState: simState{items: map[carobward.Key]carobward.Item{}}, sim: s, era: 1,
		states: map[carobward.Key]string{}, writes: map[carobward.Key]int{},
	}
	for i := range simServers {
		st.server(i, "ready")
	}

	st.configure()
	st.save()

	return st
}

func (st *simStore) put(it carobward.Item) {
	st.index++
	it.Index = st.index
	st.items[it.Key] = it
}

// configure lets the operator write the next configuration.
func (st *simStore) configure() {
	st.version += 2
	st.put(st.config())
	st.acked = st.sim.now
}

// config returns the newest configuration.
func (st *simStore) config() carobward.Item {
	return carobward.Item{Key: simConfig, Value: fmt.Append(nil, "config ", st.version)}
}

// server lets a server write its state, or leave if that is "gone".
func (st *simStore) server(i int, state string) {
	key := carobward.Key(fmt.Sprint("servers/", i))
	st.states[key] = state
	st.writes[key]++
	st.put(carobward.Item{Key: key, Value: fmt.Append(nil, state, " ", st.writes[key]), Deleted: state == "gone"})
}

func (st *simStore) save() {
	st.saved = st.simState
	st.saved.items = maps.Clone(st.items)
}

// restore restores the store from its backup.
func (st *simStore) restore() {
	st.era++
	st.simState = st.saved
	st.items = maps.Clone(st.saved.items)
}

// rewriteLost lets servers write again what the store lost. The operator's lost
// configurations are not written again: the next one contains them.
func (st *simStore) rewriteLost() {
	for key, state := range st.states {
		if it := st.items[key]; string(it.Value) != fmt.Sprint(state, " ", st.writes[key]) {
			st.put(carobward.Item{Key: key, Value: fmt.Append(nil, state, " ", st.writes[key]), Deleted: state == "gone"})
		}
	}
}

// answer returns the changes after an index, or all keys.
func (st *simStore) answer(after carobward.StoreIndex, list bool) (carobward.Changes, error) {
	st.calls++

	if !list && (after < st.floor || after > st.index) {
		return carobward.Changes{}, carobward.ErrHistoryGone
	}

	c := carobward.Changes{Era: st.era, AfterEra: st.era, After: after, Index: st.index, Full: list}
	if list {
		st.lists++
		c.After, c.Gap.To = 0, st.index
	}

	for _, it := range st.items {
		if list && !it.Deleted || !list && it.Index > after {
			c.Items = append(c.Items, it)
		}
	}

	return c, nil
}
