package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run. It is written to record.txt.
type record struct {
	mutex  sync.Mutex
	began  time.Time
	events []entry
}

// entry is one event of the record.
type entry struct {
	at     time.Time
	kind   string
	fields map[string]string
	text   string
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(kind string, pairs ...any) {
	e := entry{at: time.Now(), kind: kind, fields: map[string]string{}}

	for i := 0; i+1 < len(pairs); i += 2 {
		name, value := fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1])
		e.fields[name] = value
		e.text += fmt.Sprintf(" %s=%q", name, value)
	}

	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.events = append(r.events, e)
}

func (r *record) list() []entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return append([]entry(nil), r.events...)
}

func (r *record) write(path string) {
	f, err := os.Create(path)
	check(err)

	w := bufio.NewWriter(f)

	for _, e := range r.list() {
		fmt.Fprintf(w, "%9.3f %s%s\n", e.at.Sub(r.began).Seconds(), e.kind, e.text)
	}

	check(w.Flush())
	check(f.Close())
}
