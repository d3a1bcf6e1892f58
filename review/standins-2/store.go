package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as its interface shows it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a small stand-in for the platform's metadata store. It loses nothing and
// is never slow.
type store struct {
	addr string

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore(ip string) (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}

	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}

	s.addr = ln.Addr().String()

	go func() { _ = http.Serve(ln, http.HandlerFunc(s.serve)) }()

	return s, nil
}

// put writes a key and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.set(key, raw)
	s.wake()

	return time.Now()
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.unset(key)
	s.wake()

	return time.Now()
}

func (s *store) set(key string, raw []byte) {
	s.revision++

	it := item{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}

	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}

	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	switch r.URL.Path {
	case "/api/kv-key":
		s.mutex.Lock()
		it, ok := s.items[q.Get("key")]
		s.mutex.Unlock()

		if !ok {
			w.WriteHeader(http.StatusNotFound)

			return
		}

		reply(w, http.StatusOK, it)
	case "/api/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "/api/kv-txn":
		s.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	const page = 500

	s.mutex.Lock()
	defer s.mutex.Unlock()

	items := []item{}

	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}

	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })

	more := len(items) > page
	if more {
		items = items[:page]
	}

	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)

	for {
		s.mutex.Lock()
		events, current, changed := []item{}, s.revision, s.changed

		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mutex.Unlock()

		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})

			return
		}

		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var t struct {
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

	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})

			return
		}
	}

	for _, one := range t.Writes {
		s.set(one.Key, one.Value)
	}

	for _, key := range t.Deletes {
		s.unset(key)
	}

	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}

	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
