package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlog"
	"carobward.example/carobward/internal/cwnode"
	"carobward.example/carobward/internal/cwsettings"
)

const usageServe = `Run this entry VM until it gets SIGTERM or SIGINT, then stop gracefully:
it leaves all address answers, serves for as long as callers keep old ones,
finishes what is in flight and exits. A second signal ends it at once.

  carobward serve --settings /etc/carobward/settings.jsonc

Exit codes: 0 stopped gracefully, 1 failed or requests were still in flight
at the bound, 2 wrong usage.`

type serveCommand struct {
	Settings string `short:"s" long:"settings" required:"yes" value-name:"FILE" description:"Settings file, JSON with comments."`
}

// Execute runs the entry VM.
func (c *serveCommand) Execute([]string) error {
	s, err := cwsettings.Load(c.Settings)
	if err != nil {
		return err
	}

	log := cwlog.New(os.Stderr, s.Log)

	warnings, err := s.CheckKeys()
	if err != nil {
		return err
	}

	for _, w := range warnings {
		log.Info("Fit to serve, but look at this.", "warning", w)
	}

	n, err := cwnode.New(s, carobward.SystemClock{}, log)
	if err != nil {
		return err
	}

	return n.Run(untilSignal())
}

// untilSignal returns a context that ends with the first signal to stop. By then the next
// one ends the process at once: restored later, it would be lost in between.
func untilSignal() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)

	go func() {
		<-signals
		signal.Stop(signals)
		cancel()
	}()

	return ctx
}
