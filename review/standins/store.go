package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata
// store"). It keeps everything in memory, loses nothing and answers linearizably.
type store struct {
	mutex   sync.Mutex
	changed chan struct{}
	rev     uint64
	items   map[string]*item
	history []event
	leases  map[uint64]*lease
	nextID  uint64
	// era is how often it came back from a copy, kept is the copy.
	era  uint64
	kept *storeCopy
}

// storeCopy is a copy of what the store holds.
type storeCopy struct {
	rev     uint64
	items   map[string]item
	history []event
}

type item struct {
	value             []byte
	revision, created uint64
	lease             uint64
}

type event struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	lease    uint64
	deleted  bool
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	s := &store{changed: make(chan struct{}), items: map[string]*item{}, leases: map[uint64]*lease{}, nextID: 70000}

	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()

	return s
}

func (s *store) expire(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}

		delete(s.leases, id)
		s.dropLeaseLocked(id)
	}
}

func (s *store) dropLeaseLocked(id uint64) {
	for k, it := range s.items {
		if it.lease == id {
			s.rev++
			s.deleteLocked(k)
		}
	}
}

func (s *store) putLocked(key string, value []byte, leaseID uint64) {
	it := s.items[key]
	if it == nil {
		it = &item{created: s.rev}
		s.items[key] = it
	}

	it.value, it.revision, it.lease = value, s.rev, leaseID
	s.addLocked(event{key: key, value: value, revision: s.rev, created: it.created, lease: leaseID})
}

func (s *store) deleteLocked(key string) {
	if s.items[key] == nil {
		return
	}

	delete(s.items, key)
	s.addLocked(event{key: key, revision: s.rev, deleted: true})
}

func (s *store) addLocked(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator or of an upstream. It returns when the store has accepted it.
func (s *store) put(key string, value any) {
	raw, _ := json.Marshal(value)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.rev++
	s.putLocked(key, raw, 0)
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.rev++
	s.deleteLocked(key)
}

// save makes a copy.
func (s *store) save() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.kept = &storeCopy{rev: s.rev, items: map[string]item{}, history: append([]event(nil), s.history...)}

	for k, it := range s.items {
		s.kept.items[k] = *it
	}
}

// restore brings the copy back. What was written since and all leases are lost, revisions go back,
// and the era rises.
func (s *store) restore() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.rev, s.history, s.items = s.kept.rev, append([]event(nil), s.kept.history...), map[string]*item{}

	for k, it := range s.kept.items {
		s.items[k] = &it
	}

	s.leases = map[uint64]*lease{}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// setEraLocked adds the era to an answer. The mutex must be held.
func (s *store) setEraLocked(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

// serve opens the store's listener and returns its address.
func (s *store) serve() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)

	mux := s.handler()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.setEraLocked(w)
		s.mutex.Unlock()
		mux.ServeHTTP(w, r)
	})

	go func() { _ = http.Serve(ln, handler) }()

	return ln.Addr().String()
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.getRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.newLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)

	return mux
}

type jsonItem struct {
	Key       string  `json:"key"`
	Value     *string `json:"value,omitempty"`
	Revision  uint64  `json:"revision"`
	Created   uint64  `json:"created,omitempty"`
	Lease     uint64  `json:"lease,omitempty"`
	Current   uint64  `json:"current_rev,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

func encoded(v []byte) *string {
	text := base64.StdEncoding.EncodeToString(v)

	return &text
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	key := r.URL.Query().Get("key")

	it := s.items[key]
	if it == nil {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": s.rev})

		return
	}

	reply(w, http.StatusOK, jsonItem{Key: key, Value: encoded(it.value), Revision: it.revision, Created: it.created, Lease: it.lease, Current: s.rev})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	const page = 500

	s.mutex.Lock()
	defer s.mutex.Unlock()

	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")

	var keys []string

	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}

	sort.Strings(keys)

	more := len(keys) > page
	keys = keys[:min(page, len(keys))]
	list := []jsonItem{}

	for _, k := range keys {
		it := s.items[k]
		list = append(list, jsonItem{Key: k, Value: encoded(it.value), Revision: it.revision, Created: it.created, Lease: it.lease})
	}

	reply(w, http.StatusOK, map[string]any{"items": list, "has_more": more, "current_rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)

	for {
		s.mutex.Lock()
		s.setEraLocked(w)
		changed, rev := s.changed, s.rev

		if after > rev {
			s.mutex.Unlock()
			reply(w, http.StatusGone, map[string]any{})

			return
		}

		list := []jsonItem{}

		for i := range s.history {
			e := &s.history[i]
			if e.revision <= after || !strings.HasPrefix(e.key, q.Get("prefix")) {
				continue
			}

			j := jsonItem{Key: e.key, Revision: e.revision, Tombstone: e.deleted}
			if !e.deleted {
				j.Value, j.Created, j.Lease = encoded(e.value), e.created, e.lease
			}

			list = append(list, j)
		}
		s.mutex.Unlock()

		if len(list) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": list, "current_rev": rev})

			return
		}

		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": list, "current_rev": rev})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}

	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})

		return
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	failed := []jsonItem{}

	for _, e := range in.Expect {
		it := s.items[e.Key]

		switch {
		case it == nil && e.Revision == 0:
		case it == nil:
			failed = append(failed, jsonItem{Key: e.Key})
		case it.revision != e.Revision:
			failed = append(failed, jsonItem{Key: e.Key, Value: encoded(it.value), Revision: it.revision, Created: it.created, Lease: it.lease})
		}
	}

	if len(failed) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": failed})

		return
	}

	for _, wr := range in.Writes {
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})

			return
		}

		if wr.Lease != 0 && s.leases[wr.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})

			return
		}
	}

	s.rev++

	for _, wr := range in.Writes {
		value, _ := base64.StdEncoding.DecodeString(wr.Value)
		s.putLocked(wr.Key, value, wr.Lease)
	}

	for _, k := range in.Deletes {
		s.deleteLocked(k)
	}

	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) newLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"ttl_time"`
	}

	_ = json.NewDecoder(r.Body).Decode(&in)

	ttl, err := time.ParseDuration(in.TTL)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})

		return
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	ttl = max(time.Second, min(ttl, 10*time.Minute))
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_time": ttl.String()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})

		return
	}

	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_time": l.ttl.String()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	delete(s.leases, id)
	s.rev++
	s.dropLeaseLocked(id)
	reply(w, http.StatusOK, map[string]any{})
}
