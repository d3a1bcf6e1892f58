package main

import (
	"time"

	"carobward.example/carobward/internal/cwstand"
)

const usageServer = `Answer each request with its method, path and body after some work, with a
load report.`

type serverCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:0" description:"Address to listen on."`
	Slots  int           `long:"slots" default:"4" description:"Requests that run at once."`
	Work   time.Duration `long:"work" default:"5ms" description:"Time that one request takes."`
}

// Execute serves until a signal.
func (c *serverCommand) Execute([]string) error {
	ln, err := listen(c.Listen)
	if err != nil {
		return err
	}

	s := cwstand.NewServer(ln, cwstand.ServerOptions{Slots: c.Slots, Work: c.Work})
	defer s.Close()

	wait()

	return nil
}
