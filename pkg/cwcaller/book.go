package cwcaller

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
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
	number uint64
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

// addresses returns the addresses to use. An old answer is better than none.
func (b *book) addresses(ctx context.Context) ([]carobward.Address, error) {
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

	var use []carobward.Address
	for _, u := range b.kept.Use {
		use = append(use, u.Address)
	}

	return use, nil
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

	b.kept, b.asked, b.number = a, b.clock.Now(), 0

	return nil
}

// ticket returns a new ticket, or "" where the answer came without.
func (b *book) ticket() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.kept.Ticket == "" {
		return ""
	}

	b.number++

	return b.kept.Ticket + "." + strconv.FormatUint(b.number, 10)
}

// ask asks the entry VMs that were in the last answer, then the ones of the
// options.
func (b *book) ask(ctx context.Context, old []line) (answer, error) {
	var from []carobward.Address

	for _, u := range old {
		from = append(from, u.Lookup)
	}

	for _, l := range append(from, b.options.Lookup...) {
		a, ok := b.askOne(ctx, l)
		if !ok || len(a.Use) == 0 {
			continue
		}

		return b.own(ctx, l, a), nil
	}

	return answer{}, ErrLookup
}

// own replaces the ticket by one of the entry VM that will be used first, so
// that the requests with it need not be passed on.
func (b *book) own(ctx context.Context, asked carobward.Address, a answer) answer {
	first := a.Use[0].Lookup
	if first == asked || first == "" {
		return a
	}

	if other, ok := b.askOne(ctx, first); ok && other.Ticket != "" {
		a.Ticket = other.Ticket
	}

	return a
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
