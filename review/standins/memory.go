package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is memory_mb of the settings, which the platform enforces for each process.
const memoryMB = 284

// residentMB returns the memory of a process.
func residentMB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))

	for line := range strings.SplitSeq(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(text)[0])

			return n >> 10
		}
	}

	return 0
}

// watchMemory kills a machine's process that exceeds its memory and starts it again after a short
// delay, as the platform does (DEPLOY.md, "Memory and descriptors" and "Ends").
func (p *play) watchMemory(v *vm) {
	peak := 0

	for !p.ending.Load() && !v.removed.Load() {
		time.Sleep(5 * time.Millisecond)

		used := residentMB(v.process.Process.Pid)
		if used > peak+10 {
			peak = used
			p.rec.add("memory", "vm", v.name, "mb", used)
		}

		if used <= memoryMB {
			continue
		}

		p.rec.add("too much memory", "vm", v.name, "mb", used)
		v.signal(p.rec, syscall.SIGKILL)
		<-v.ended

		time.Sleep(500 * time.Millisecond)

		if p.ending.Load() || v.removed.Load() {
			return
		}

		v.start(p.rec)

		peak = 0
	}
}

var bundle = route{"bundle-uploads", "POST", "/bundles/", "upload", 5000 * time.Millisecond}

// memory: eight of nine machines lose power, and the requesters that upload bundles come to the one
// that is left.
func memory(p *play) bool {
	const (
		machines   = 9
		requesters = 150
		uploaders  = 12
		bundleMB   = 16
		lonely     = 20 * time.Second
	)

	config := siteConfig("00000007")
	hosts := config["hosts"].([]any)[0].(map[string]any)
	hosts["paths"] = append(hosts["paths"].([]any), map[string]any{
		"name": bundle.name, "prefix": bundle.prefix, "kind": bundle.kind, "timeout": "5000ms", "target_latency": "1500ms",
		"priority": 1, "service": "flight-records", "max_attempts": 2,
	})
	p.site(16, 4)
	p.store.put("op/config", config)

	for i := range machines {
		p.add(i + 1)
	}

	awaitReady(p.vms)
	time.Sleep(lead)

	for _, v := range p.vms {
		go p.watchMemory(v)
	}

	done := make(chan struct{})
	body := strings.Repeat("x", bundleMB<<20)

	var group sync.WaitGroup

	for i := range requesters {
		q := &requester{rec: p.rec, zone: zones[i%len(zones)], hold: 1, failed: map[string]bool{}}
		for j := range machines {
			q.directories = append(q.directories, p.vms[(i+j)%machines].at(portDirectory))
		}

		if i < uploaders {
			q.body = body
			group.Go(func() { q.run(done, 300*time.Millisecond, 600*time.Millisecond, &bundle) })
		} else {
			group.Go(func() { q.run(done, 500*time.Millisecond, time.Second, mix...) })
		}
	}

	time.Sleep(15 * time.Second)

	if p.trouble {
		for _, lost := range p.vms[1:] {
			lost.removed.Store(true)
			lost.signal(p.rec, syscall.SIGKILL)
		}
	}

	time.Sleep(lonely)
	close(done)
	group.Wait()

	return p.closed(p.vms[0])
}

// closed reports whether LOST was broken: a machine passed more than three requests from kept
// connections on to upstreams and closed the connections without an answer.
func (p *play) closed(v *vm) bool {
	const most = 3

	sent, run := map[string]entry{}, map[string]bool{}
	lost := 0

	for _, e := range p.rec.list() {
		id := e.fields["id"]

		switch e.kind {
		case "sent":
			sent[id] = e
		case "run":
			run[id] = true
		case "cut":
			if s := sent[id]; run[id] && s.fields["kept"] == "true" && s.fields["to"] == v.at(portFront) {
				lost++
				p.rec.add("lost", "id", id, "route", s.fields["route"])
			}
		}
	}

	p.rec.add("result", "vm", v.name, "lost", lost)

	return lost > most
}
