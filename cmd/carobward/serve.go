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
it is left out of all lookup replies, serves for as long as callers keep old
ones, finishes the requests in flight and exits. A second signal ends it at once.

  carobward serve --settings /etc/carobward/settings.jsonc

Exit codes: 0 stopped gracefully, 1 failed or requests were still in flight
when the stop timeout expired, 2 wrong usage.`

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
		log.Info("The settings are valid, but a key is not secure.", "warning", w)
	}

	n, err := cwnode.New(s, carobward.SystemClock{}, log)
	if err != nil {
		return err
	}

	return n.Run(signalContext())
}

// signalContext returns a context that is canceled by the first SIGTERM or
// SIGINT. The default handling of signals is restored before the context is
// canceled, so that a second signal always ends the process at once.
func signalContext() context.Context {
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
