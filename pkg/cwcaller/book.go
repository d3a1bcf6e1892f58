package cwcaller

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// line is one address that may be used.
type line struct {
	Address carobward.Address `json:"address"`
	Lookup  carobward.Address `json:"lookup"`
}

// answer is what an entry VM says to use.
type answer struct {
	Use    []line `json:"use"`
	Keep   int    `json:"keep"`
	Width  int    `json:"width"`
	Ticket string `json:"ticket"`
}

// book keeps the last answer.
type book struct {
	options *Options
	clock   carobward.Clock
	http    *fasthttp.Client

	mutex  sync.Mutex
	kept   answer
	asked  time.Time
	asking bool
	// prefixes has the ticket prefixes of the entry VMs, by their lookup.
	prefixes map[carobward.Address]string
	number   uint64
}

func newBook(o *Options, clock carobward.Clock, h *fasthttp.Client) *book {
	return &book{options: o, clock: clock, http: h}
}

// askMost bounds one question. A new answer is asked for when renewShare of
// renewOf parts of the time to keep the old one are over, so that it is there
// in time.
const (
	askMost    = time.Second
	renewShare = 3
	renewOf    = 4
)

// lines returns the addresses to use. An old answer is better than none.
func (b *book) lines(ctx context.Context) ([]line, error) {
	b.mutex.Lock()
	first := len(b.kept.Use) == 0
	renew := !b.asking && b.due()
	b.asking = b.asking || renew
	b.mutex.Unlock()

	switch {
	case first:
		if err := b.renew(ctx); err != nil {
			return nil, err
		}
	case renew:
		go func() { _ = b.renew(context.WithoutCancel(ctx)) }()
	}

	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.kept.Use, nil
}

// due tells whether it is time for a new answer.
func (b *book) due() bool {
	keep := time.Duration(b.kept.Keep) * time.Second

	return b.clock.Now().Sub(b.asked) >= keep/renewOf*renewShare
}

// renew asks for a new answer and keeps it.
func (b *book) renew(ctx context.Context) error {
	b.mutex.Lock()
	old := b.kept.Use
	b.mutex.Unlock()

	a, err := b.ask(ctx, old)

	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.asking = false
	if err != nil {
		return err
	}

	b.kept, b.asked = a, b.clock.Now()
	b.prefixes = map[carobward.Address]string{}

	return nil
}

// ticket returns a new ticket of the entry VM that will be used, so that the
// request need not be passed on. It is empty where that VM gives none.
func (b *book) ticket(ctx context.Context, of line) string {
	b.mutex.Lock()
	prefix := b.prefixes[of.Lookup]
	b.number++
	number := b.number
	b.mutex.Unlock()

	if prefix == "" {
		a, _ := b.askOne(ctx, of.Lookup)
		prefix = a.Ticket
	}

	if prefix == "" {
		return ""
	}

	b.mutex.Lock()
	b.prefixes[of.Lookup] = prefix
	b.mutex.Unlock()

	return prefix + "." + strconv.FormatUint(number, 10)
}

// forget drops the prefix of a ticket that its entry VM did not take.
func (b *book) forget(ticket string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	for l, prefix := range b.prefixes {
		if strings.HasPrefix(ticket, prefix+".") {
			delete(b.prefixes, l)
		}
	}
}

// ask asks the entry VMs that were in the last answer, then the ones of the
// options.
func (b *book) ask(ctx context.Context, old []line) (answer, error) {
	var from []carobward.Address

	for _, u := range old {
		from = append(from, u.Lookup)
	}

	for _, l := range append(from, b.options.Lookup...) {
		if a, ok := b.askOne(ctx, l); ok && len(a.Use) > 0 {
			return a, nil
		}
	}

	return answer{}, ErrLookup
}

func (b *book) askOne(ctx context.Context, at carobward.Address) (answer, bool) {
	b.mutex.Lock()
	width := b.kept.Width
	b.mutex.Unlock()

	query := url.Values{
		"caller": {b.options.Caller},
		"domain": {string(b.options.Domain)},
		"target": {string(b.options.Target)},
		"width":  {strconv.Itoa(width)},
	}.Encode()

	end := b.clock.Now().Add(askMost)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}

	status, body, err := b.http.GetDeadline(nil, "http://"+string(at)+"/addresses?"+query, end)
	if err != nil || status != fasthttp.StatusOK {
		return answer{}, false
	}

	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return answer{}, false
	}

	return a, true
}
