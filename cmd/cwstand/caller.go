package main

import (
	"context"
	"fmt"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/pkg/cwcaller"
)

const usageCaller = `Ask the entry VMs which addresses to use, send requests one after the other
and print each reply with its verdict.`

type callerCommand struct {
	Lookup  []string      `long:"lookup" required:"yes" description:"Lookup address of an entry VM; may be given again."`
	Domain  string        `long:"domain" description:"The caller's failure domain."`
	Method  string        `long:"method" default:"GET" description:"HTTP method."`
	URI     string        `long:"uri" default:"/sheets/today" description:"Path and query."`
	Body    string        `long:"body" description:"Request body."`
	Once    bool          `long:"once" description:"The request must not repeat: send it with a ticket."`
	Count   int           `short:"n" default:"1" description:"Number of requests."`
	Timeout time.Duration `long:"timeout" default:"2s" description:"Time for one request."`
}

// Execute sends the requests.
func (c *callerCommand) Execute([]string) error {
	o := cwcaller.Options{Caller: "cwstand", Domain: carobward.Domain(c.Domain), Timeout: c.Timeout}
	for _, l := range c.Lookup {
		o.Lookup = append(o.Lookup, carobward.Address(l))
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
