package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

const usageServer = `Answer each request with its method, path and body after some work, with a
load report. SIGUSR1 drains: new work is shed, and reports and the health
endpoint say so. SIGTERM drains, waits for the grace, finishes what is in
flight and exits.`

type serverCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:0" description:"Address to listen on."`
	Slots  int           `long:"slots" default:"4" description:"Requests that run at once."`
	Work   time.Duration `long:"work" default:"5ms" description:"Time that one request takes."`
	Asked  bool          `long:"asked" description:"Report only to requests that ask for it."`
	Grace  time.Duration `long:"grace" description:"Time from the drain to the end of the listener."`
}

// stopMost bounds the end of what is in flight.
const stopMost = 30 * time.Second

// Execute serves until a signal.
func (c *serverCommand) Execute([]string) error {
	ln, err := listen(c.Listen)
	if err != nil {
		return err
	}

	s := cwstand.NewServer(ln, cwstand.ServerOptions{
		Slots: c.Slots, Work: c.Work, Asked: c.Asked, Run: uint64(time.Now().Unix()),
	})

	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)

	go func() {
		for range drain {
			s.Drain()
		}
	}()

	wait()
	s.Drain()
	time.Sleep(c.Grace)

	ctx, cancel := context.WithTimeout(context.Background(), stopMost)
	defer cancel()

	return s.Shutdown(ctx)
}
