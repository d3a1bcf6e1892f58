package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The routes and the work of the site avvs-gateway.
var (
	lookup    = route{"launch-lookup", "GET", "/lookup/", "safe", 1500 * time.Millisecond}
	reconcile = route{"log-reconcile", "POST", "/reconcile/", "unsafe", 2000 * time.Millisecond}
	charge    = route{"fee-charge", "POST", "/charge/", "unsafe", 1200 * time.Millisecond}
)

func siteConfig(version string) map[string]any {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": healthPath, "max_conns": 1220, "protocol": "h1", "tls": false}
	}
	path := func(rt route, svc, objective string, priority int) map[string]any {
		return map[string]any{
			"name": rt.name, "prefix": rt.prefix, "kind": rt.kind, "timeout": rt.limit.String(), "target_latency": objective,
			"priority": priority, "service": svc, "max_attempts": 2,
		}
	}

	return map[string]any{
		"version": version, "base_version": "00000000",
		"services": []any{service("flight-records"), service("club-billing")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"hosts": []any{map[string]any{"host": host, "paths": []any{
			path(lookup, "flight-records", "600ms", 2), path(reconcile, "flight-records", "800ms", 1), path(charge, "club-billing", "400ms", 0),
		}}},
	}
}

// siteWork returns the work of a request: the sheet's mean, with its spread of 0.3.
func siteWork(path string) time.Duration {
	mean := 220.0

	switch {
	case strings.HasPrefix(path, reconcile.prefix):
		mean = 290
	case strings.HasPrefix(path, charge.prefix):
		mean = 150
	}

	return time.Duration(mean * (0.7 + 0.6*rand.Float64()) * float64(time.Millisecond))
}

func (p *play) site(flight, billing int) {
	for i := range flight {
		newUpstream(fmt.Sprintf("i-f%03d", i), "flight-records", zones[i%3], 4, p.rec, siteWork).register(p.store, "ready")
	}

	for i := range billing {
		newUpstream(fmt.Sprintf("i-b%03d", i), "club-billing", zones[i%3], 4, p.rec, siteWork).register(p.store, "ready")
	}

	p.store.put("op/config", siteConfig("00000007"))
}

// stop: machines get SIGTERM in turn and start again, while requesters use the connections that they
// have kept.
func stop(p *play) bool {
	const (
		machines   = 2
		requesters = 265
		rounds     = 4
		gap        = time.Second
		round      = 17 * time.Second
	)

	p.site(16, 4)
	p.startVMs(machines, "")
	time.Sleep(lead)

	done := make(chan struct{})

	var group sync.WaitGroup

	for i := range requesters {
		q := &requester{rec: p.rec, zone: zones[i%3], hold: 1, failed: map[string]bool{}}
		if i%4 == 0 {
			q.hold = 3
		}

		for j := range machines {
			q.directories = append(q.directories, p.vms[(i+j)%machines].at(portDirectory))
		}

		group.Go(func() { q.run(done, 5*time.Second, 1400*time.Millisecond, mix...) })
	}

	time.Sleep(12 * time.Second)

	for range rounds {
		for _, v := range p.vms {
			if p.trouble {
				p.roll(v)
			}

			time.Sleep(gap)
		}

		time.Sleep(round)
	}

	close(done)
	group.Wait()

	return p.lost()
}

// lost reports whether LOST was broken: a request that was passed on to an upstream in the time of
// planned work got no complete answer, and no excuse holds.
func (p *play) lost() bool {
	const (
		grace    = 6 * time.Second
		after    = time.Second
		early    = 3 * time.Second
		lastPart = grace * 5 / 6
	)

	sent, run, termed := map[string]entry{}, map[string]bool{}, map[string]time.Time{}
	broken := 0

	for _, e := range p.rec.list() {
		id := e.fields["id"]

		switch e.kind {
		case "signal":
			termed[e.fields["address"]] = e.at
		case "sent":
			sent[id] = e
		case "run":
			run[id] = true
		case "cut":
			s := sent[id]
			from, ok := termed[s.fields["to"]]
			sentAt, cutAt := s.at.Sub(from), e.at.Sub(from)
			excused := sentAt <= early && cutAt >= lastPart

			if ok && run[id] && cutAt <= grace+after && !excused {
				broken++
				p.rec.add("lost", "id", id, "route", s.fields["route"], "sent", sentAt.Milliseconds(), "cut", cutAt.Milliseconds())
			}
		}
	}

	p.rec.add("result", "lost", broken)

	return broken > 0
}
