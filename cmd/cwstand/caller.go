package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/lab/cwload"
	"carobward.example/carobward/pkg/cwcaller"
)

const usageCaller = `Look up which entry VMs to use, send requests one after the other and print
each reply with its verdict.

With --load several callers keep sending instead. They keep a lookup reply for
as long as they may and never retry. Then the counts are printed: the requests
that each entry VM served, and those that failed. Every other worker posts to
--charge.

  cwstand caller --lookup 127.0.0.1:7002 --load 10s`

type callerCommand struct {
	Lookup  []string      `long:"lookup" required:"yes" description:"Lookup address of an entry VM; may be given again."`
	Domain  string        `long:"domain" description:"The caller's failure domain."`
	Method  string        `long:"method" default:"GET" description:"HTTP method."`
	URI     string        `long:"uri" default:"/sheets/today" description:"Path and query."`
	Body    string        `long:"body" description:"Request body."`
	Once    bool          `long:"once" description:"The request must not repeat: send it with a ticket."`
	Count   int           `short:"n" default:"1" description:"Number of requests."`
	Timeout time.Duration `long:"timeout" default:"2s" description:"Time for one request."`
	Load    time.Duration `long:"load" description:"Load: how long."`
	Callers int           `long:"callers" default:"6" description:"Load: number of callers."`
	Workers int           `long:"workers" default:"4" description:"Load: requests that a caller has out at once."`
	Charge  string        `long:"charge" default:"/fees" description:"Load: path to post to."`
}

// Execute sends the requests.
func (c *callerCommand) Execute([]string) error {
	o := cwcaller.Options{Caller: "cwstand", Domain: carobward.Domain(c.Domain), Timeout: c.Timeout}
	for _, l := range c.Lookup {
		o.Lookup = append(o.Lookup, carobward.Address(l))
	}

	if c.Load > 0 {
		c.runLoad(o.Lookup)

		return nil
	}

	client := cwcaller.New(o, carobward.SystemClock{})

	for range c.Count {
		r, err := client.Do(context.Background(), &cwcaller.Request{Method: c.Method, URI: c.URI, Body: []byte(c.Body), Once: c.Once})
		if err != nil {
			return err
		}

		fmt.Println(r.Status, r.Header.Get(carobward.HeaderVerdict), r.Header.Get(carobward.HeaderVM),
			r.Header.Get(carobward.HeaderServer), string(r.Body))
	}

	return nil
}

// runLoad sends requests for the configured time and prints the counts.
func (c *callerCommand) runLoad(lookup []carobward.Address) {
	l := cwload.Start(cwload.Options{
		Lookup: lookup, Domain: carobward.Domain(c.Domain), Callers: c.Callers, Workers: c.Workers, Read: c.URI, Charge: c.Charge,
	})

	<-time.After(c.Load)
	l.Stop()

	got := l.Counts()
	for _, vm := range slices.Sorted(maps.Keys(got.ByVM)) {
		fmt.Println(got.ByVM[vm], "served by", vm)
	}

	fmt.Println(got.Charged, "charged")
	fmt.Println(got.Failed, "cut", strings.Join(got.Causes, "; "))
}
