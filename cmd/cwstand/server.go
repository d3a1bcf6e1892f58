package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwstand"
)

const usageServer = `Answer each request with its method, path and body after some work, with a
load report. GET /stand/counts returns what the server has counted, GET
/healthz its health. SIGUSR1 drains: new work is shed, and reports and the
health endpoint say so. SIGTERM drains, waits for --grace, finishes what is
in flight and exits.

With --script it misbehaves instead: the file names one act per line, such as
whole, cut, reset, twice, another-id. Each request gets the next act, and the
first one again after the last. An unknown act gives an error with its line.`

type serverCommand struct {
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"Address to listen on."`
	Slots      int           `long:"slots" default:"4" description:"Requests that run at once."`
	Work       time.Duration `long:"work" default:"5ms" description:"Mean time that one request takes."`
	Spread     float64       `long:"spread" description:"Sigma of its lognormal distribution; 0: constant."`
	Queue      int           `long:"queue" description:"Requests that wait; more are shed. 0: no bound."`
	Conns      int           `long:"conns" default:"250" description:"Connections that may be open."`
	Open       time.Duration `long:"open" description:"What a new connection costs."`
	Seed       uint64        `long:"seed" default:"1" description:"Seed of the slow-downs."`
	NoisyEvery time.Duration `long:"noisy-every" description:"Mean time between slow-downs; 0: none."`
	NoisyFor   time.Duration `long:"noisy-for" default:"60ms" description:"How long a slow-down lasts."`
	Factor     float64       `long:"noisy-factor" default:"5" description:"How many times slower the server is meanwhile."`
	Slow       float64       `long:"slow" default:"1" description:"How many times slower a straggler is, all the time."`
	Cold       time.Duration `long:"cold" description:"How long the server is slow after its start, by --noisy-factor."`
	StallAt    time.Duration `long:"stall-at" description:"When it stands still, after its start."`
	StallFor   time.Duration `long:"stall-for" description:"How long it stands still; 0: never."`
	ReportLag  time.Duration `long:"report-lag" description:"How old the reported load is."`
	ReportLie  string        `long:"report-lie" choice:"" choice:"idle" choice:"full" description:"What reports say whatever is true."`
	HealthLag  time.Duration `long:"health-lag" description:"How long the health endpoint hides a drain."`
	Failing    bool          `long:"failing" description:"Fail each request at once."`
	Asked      bool          `long:"asked" description:"Report only to requests that ask for it."`
	Script     string        `long:"script" description:"File of acts to misbehave by, one a line; the other flags do not count then."`
	Grace      time.Duration `long:"grace" description:"Time from the drain to the end of the listener."`
}

// The time limits of the command.
const (
	// noiseHorizon is the period for which slow-downs are generated. They
	// repeat after it.
	noiseHorizon    = 10 * time.Minute
	shutdownTimeout = 30 * time.Second
)

// Execute serves until SIGTERM or SIGINT.
func (c *serverCommand) Execute([]string) error {
	if c.Script != "" {
		return c.serveScript()
	}

	ln, err := listen(c.Listen)
	if err != nil {
		return err
	}

	s := cwstand.NewServer(ln, cwstand.ServerOptions{
		Slots: c.Slots, Work: c.Work, Spread: c.Spread, MaxQueue: c.Queue, MaxConns: c.Conns, OpenDelay: c.Open,
		Speed: cwstand.NewSpeed(c.slowSpans()), SpeedPeriod: noiseHorizon,
		ReportLag: c.ReportLag, ReportLie: cwstand.Lie(c.ReportLie), HealthLag: c.HealthLag,
		ReportOnRequest: c.Asked, Run: uint64(time.Now().Unix()),
	})
	s.SetFailing(c.Failing)

	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)

	go func() {
		for range drain {
			s.Drain()
		}
	}()

	waitForSignal()
	s.Drain()
	time.Sleep(c.Grace)

	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()

	return s.Shutdown(ctx)
}

// serveScript misbehaves as the script says until SIGTERM or SIGINT, and
// prints the counts.
func (c *serverCommand) serveScript() error {
	f, err := os.Open(c.Script)
	if err != nil {
		return errors.Annotate(err, "server")
	}

	defer func() { _ = f.Close() }()

	acts, err := cwstand.ReadActs(f)
	if err != nil {
		return errors.Annotatef(err, "server: %s", c.Script)
	}

	ln, err := listen(c.Listen)
	if err != nil {
		return err
	}

	actor := cwstand.NewActor(acts)
	s := cwstand.NewScripted(ln, actor.Serve)

	waitForSignal()
	s.Close()
	fmt.Printf("requests %d, connections %d, ids that began twice %d\n", s.Requests(), s.Conns(), actor.Repeated())

	return nil
}

// slowSpans returns the periods in which the server is slow.
func (c *serverCommand) slowSpans() []cwstand.Slowdown {
	noise := cwstand.Noise{Every: c.NoisyEvery, For: c.NoisyFor, Factor: c.Factor}
	spans := noise.Slowdowns(c.Seed, noiseHorizon)

	if c.Slow > 1 {
		spans = append(spans, cwstand.Slowdown{To: cwstand.Forever, Factor: c.Slow})
	}

	if c.Cold > 0 {
		spans = append(spans, cwstand.Slowdown{To: c.Cold, Factor: c.Factor})
	}

	if c.StallFor > 0 {
		spans = append(spans, cwstand.Slowdown{From: c.StallAt, To: c.StallAt + c.StallFor, Factor: math.Inf(1)})
	}

	return spans
}
