package cwstand

import (
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// MetadataFaults are the faults that a MetadataStore injects.
type MetadataFaults struct {
	// Status is the status with which all calls fail. 0 means no fault.
	Status int
	// Reset closes the connection of each call without a reply.
	Reset bool
	// Silent holds each call until the fault ends, then answers with status 503.
	Silent bool
	// NoEvents makes watches return no events.
	NoEvents bool
	// Delay delays each reply.
	Delay time.Duration
}

// metadataItem is a key with its value, or the tombstone of a deleted key.
type metadataItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// MetadataStore is a stand-in for the users' metadata store. It serves reads of single
// keys, paged ranges, watches by prefix and transactions, and can inject faults.
// Tests write what operators and servers would write through its methods.
type MetadataStore struct {
	*fasthttp.Server

	mutex     sync.Mutex
	revision  uint64
	compacted uint64
	items     map[string]metadataItem
	log       []metadataItem
	// era counts how often the store was restored from a backup; saved is the
	// backup.
	era     uint64
	saved   metadataBackup
	faults  MetadataFaults
	changed chan struct{}
	calls   int
	page    int
	done    chan struct{}
}

// The maximum number of items in a page, by default, and of bytes of their values, which one item
// alone may exceed.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// NewMetadataStore returns an empty store. It starts to serve with the Serve method of
// the embedded server.
func NewMetadataStore() *MetadataStore {
	m := &MetadataStore{items: map[string]metadataItem{}, changed: make(chan struct{}), page: pageItems, done: make(chan struct{})}
	m.Server = &fasthttp.Server{Handler: m.handle, CloseOnShutdown: true}

	return m
}

// Put writes a key and returns its revision.
func (m *MetadataStore) Put(key string, value []byte) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.put(key, value)
}

// put writes a key. The caller holds the mutex.
func (m *MetadataStore) put(key string, value []byte) uint64 {
	m.revision++
	old, ok := m.items[key]
	it := metadataItem{Key: key, Value: value, Revision: m.revision, Created: m.revision}

	if ok {
		it.Created = old.Created
	}

	m.items[key] = it
	m.add(it)

	return m.revision
}

// Delete deletes a key.
func (m *MetadataStore) Delete(key string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.remove(key)
}

// remove deletes a key. The caller holds the mutex.
func (m *MetadataStore) remove(key string) {
	m.revision++
	delete(m.items, key)
	m.add(metadataItem{Key: key, Revision: m.revision, Tombstone: true})
}

// add appends a change to the history and wakes the watches. The caller holds the
// mutex.
func (m *MetadataStore) add(it metadataItem) {
	m.log = append(m.log, it)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Revision returns the revision of the last change.
func (m *MetadataStore) Revision() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.revision
}

// Keys returns the keys with a prefix in sorted order.
func (m *MetadataStore) Keys(prefix string) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.keys(prefix, "")
}

// keys returns the keys with a prefix that sort after another key, in sorted order.
// The caller holds the mutex.
func (m *MetadataStore) keys(prefix, after string) []string {
	var keys []string

	for key := range m.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}

	slices.Sort(keys)

	return keys
}

// Has reports whether a key exists.
func (m *MetadataStore) Has(key string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	_, ok := m.items[key]

	return ok
}

// Compact discards the history of changes.
func (m *MetadataStore) Compact() {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.compacted, m.log = m.revision, nil
}

// metadataBackup is a backup of a store.
type metadataBackup struct {
	revision uint64
	items    map[string]metadataItem
}

// Save takes the backup that Restore restores.
func (m *MetadataStore) Save() {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.saved = metadataBackup{m.revision, maps.Clone(m.items)}
}

// Restore restores the store from the backup. Writes since the backup are lost, and
// their revisions are assigned again.
func (m *MetadataStore) Restore() {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.era++
	m.revision, m.items = m.saved.revision, maps.Clone(m.saved.items)
	m.compacted = min(m.compacted, m.revision)
	m.log = slices.DeleteFunc(m.log, func(it metadataItem) bool { return it.Revision > m.revision })

	if m.items == nil {
		m.items = map[string]metadataItem{}
	}

	close(m.changed)
	m.changed = make(chan struct{})
}

// SetFaults replaces the faults.
func (m *MetadataStore) SetFaults(f MetadataFaults) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.faults = f
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetPage sets the maximum number of items in a reply.
func (m *MetadataStore) SetPage(n int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.page = n
}

// Calls returns the number of calls so far.
func (m *MetadataStore) Calls() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.calls
}

// Stop stops the store and ends blocked watches.
func (m *MetadataStore) Stop() error {
	close(m.done)

	return m.Shutdown()
}

func (m *MetadataStore) handle(ctx *fasthttp.RequestCtx) {
	m.mutex.Lock()
	m.calls++
	faults := m.faults
	m.mutex.Unlock()

	defer m.setEra(ctx)

	time.Sleep(faults.Delay)

	switch {
	case faults.Reset:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case faults.Silent:
		m.awaitSilenceEnd()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case faults.Status != 0:
		ctx.SetStatusCode(faults.Status)
	case string(ctx.Path()) == "/api/kv-key":
		m.key(ctx)
	case string(ctx.Path()) == "/api/kv-range":
		m.list(ctx)
	case string(ctx.Path()) == "/api/kv-watch":
		m.watch(ctx)
	case string(ctx.Path()) == "/api/kv-txn":
		m.write(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// setEra sets the header that names the store's era.
func (m *MetadataStore) setEra(ctx *fasthttp.RequestCtx) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	ctx.Response.Header.Set("Store-Era", strconv.FormatUint(m.era, 10))
}

// awaitSilenceEnd blocks until the Silent fault ends.
func (m *MetadataStore) awaitSilenceEnd() {
	for {
		m.mutex.Lock()
		silent, changed := m.faults.Silent, m.changed
		m.mutex.Unlock()

		if !silent {
			return
		}

		select {
		case <-changed:
		case <-m.done:
			return
		}
	}
}

func (m *MetadataStore) key(ctx *fasthttp.RequestCtx) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	it, ok := m.items[string(ctx.QueryArgs().Peek("key"))]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)

		return
	}

	writeJSON(ctx, struct {
		metadataItem

		Current uint64 `json:"current_rev"`
	}{it, m.revision})
}

func (m *MetadataStore) list(ctx *fasthttp.RequestCtx) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	keys := m.keys(string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("after")))

	items, size := []metadataItem{}, 0

	for _, key := range keys[:min(len(keys), m.page)] {
		size += len(m.items[key].Value)
		if size > pageBytes && len(items) > 0 {
			break
		}

		items = append(items, m.items[key])
	}

	writeJSON(ctx, map[string]any{"items": items, "has_more": len(items) < len(keys), "current_rev": m.revision})
}

func (m *MetadataStore) watch(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("wait_ms")))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)

	defer timer.Stop()

	for timedOut := false; ; {
		events, current, lost, changed := m.since(prefix, after)

		switch {
		case lost:
			ctx.SetStatusCode(fasthttp.StatusGone)

			return
		case len(events) > 0 || timedOut:
			writeJSON(ctx, map[string]any{"events": events, "current_rev": current})

			return
		}

		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-m.done:
			return
		}
	}
}

// transaction is a conditional change of several keys.
type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

// write applies a transaction.
func (m *MetadataStore) write(ctx *fasthttp.RequestCtx) {
	var t transaction
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)

		return
	}

	m.mutex.Lock()
	defer m.mutex.Unlock()

	for _, e := range t.Expect {
		if m.items[e.Key].Revision != e.Revision {
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)

			return
		}
	}

	for _, w := range t.Writes {
		m.put(w.Key, w.Value)
	}

	for _, key := range t.Deletes {
		if _, ok := m.items[key]; ok {
			m.remove(key)
		}
	}

	writeJSON(ctx, map[string]any{"revision": m.revision})
}

// since returns the changes after a revision and the store's revision, whether the
// history of these changes is lost, and a channel that is closed at the next change.
func (m *MetadataStore) since(prefix string, after uint64) ([]metadataItem, uint64, bool, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if after < m.compacted || after > m.revision {
		return nil, 0, true, nil
	}

	events := []metadataItem{}

	if m.faults.NoEvents {
		return events, after, false, m.changed
	}

	for _, it := range m.log {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}

	return events, m.revision, false, m.changed
}
