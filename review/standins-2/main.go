// Command review-2 has the stand-ins of the cases in review/4 to review/8. Its first
// argument names the case, its second the folder of the case.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't
// run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

// record has what was sent, answered and run.
type record struct {
	start time.Time

	mutex sync.Mutex
	lines []line
}

type line struct {
	at                   time.Duration
	what, id, who, value string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(what, id, who, value string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.lines = append(r.lines, line{time.Since(r.start), what, id, who, value})
}

// restart makes all times count from now.
func (r *record) restart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.start = time.Now()
}

// age returns the time since the start.
func (r *record) age() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return time.Since(r.start)
}

// of returns the recorded lines of a kind.
func (r *record) of(what string) []line {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	var list []line

	for _, l := range r.lines {
		if l.what == what {
			list = append(list, l)
		}
	}

	return list
}

func (r *record) write(path, verdict string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	f, err := os.Create(path)
	if err != nil {
		return err
	}

	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at < r.lines[j].at })

	w := bufio.NewWriter(f)
	fmt.Fprintln(w, verdict)

	for _, l := range r.lines {
		fmt.Fprintf(w, "%9.3f s  %-26s %-18s %-20s %.200s\n", l.at.Seconds(), l.what, l.id, l.who, l.value)
	}

	if err := w.Flush(); err != nil {
		return err
	}

	return f.Close()
}

// trouble reports whether the disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*record) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}

	endOnSignal()

	rec := newRecord()
	time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		endAll()
		os.Exit(2)
	})

	v, err := cases[os.Args[1]](rec)

	text := "the rule held: " + v.text
	code := 0

	switch {
	case err != nil:
		text, code = "the case couldn't run: "+err.Error(), 2
	case v.broken:
		text, code = "the rule was broken: "+v.text, 1
	}

	fmt.Println(text)

	if err := rec.write(filepath.Join(os.Args[2], "record.txt"), text); err != nil {
		fmt.Fprintln(os.Stderr, err)

		code = 2
	}

	os.Exit(code)
}
