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

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)

	return n.Run(ctx)
}
