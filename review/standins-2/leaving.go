package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

// leaving has servers that report that they are draining, wait for the drain time and then end.
// With the disruption, the store loses the answers of calls for a while and executes them up to
// 6 s later. One of them is a heartbeat of the first server from before it drains.
func leaving(rec *record) (verdict, error) {
	const (
		vms     = 2
		callers = 12
		drain   = 2 * time.Second
		lostAt  = 4 * time.Second
		late    = 6 * time.Second
		// contact after the end of the disruption, the store is stable again.
		contact = 3 * time.Second
		length  = 20 * time.Second
	)

	var servers []*upstream

	s, err := newSite(rec, vms, func(s *site) error {
		s.store.put("op/config", configuration(1, []string{"billing"}, route{
			Name: "charge", Prefix: "/charge/", Kind: "unsafe", Timeout: "2000ms", Latency: "800ms", Service: "billing", MaxAttempts: 2,
		}))

		for i := range 4 {
			u, err := newUpstream(rec, s.ip(4, i+1), fmt.Sprintf("i-billing-%d", i+1), "billing", 4, 8)
			if err != nil {
				return err
			}

			u.work = func(string) time.Duration { return time.Duration(60+rand.IntN(60)) * time.Millisecond }
			s.store.put("servers/"+u.id, entry(u, "ready"))
			servers = append(servers, u)
		}

		return nil
	})
	defer s.close()

	if err != nil {
		return verdict{}, err
	}

	rec.restart()

	var group sync.WaitGroup

	end := time.Now().Add(length)

	for i := range callers {
		c := &caller{name: fmt.Sprintf("caller-%d", i+1), to: s.vms[i%vms].front(), record: rec}

		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c.do(http.MethodPost, fmt.Sprintf("/charge/%d", n), 2*time.Second, []byte("charge"))
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}

			c.close()
		})
	}

	first := servers[0]
	seq := 10

	beat := func(state string) time.Time {
		seq++

		return s.store.put("servers/"+first.id, entrySeq(first, state, seq))
	}

	// Heartbeats until the disruption.
	for time.Since(rec.start) < lostAt {
		beat("ready")
		time.Sleep(1500 * time.Millisecond)
	}

	// This heartbeat is sent, gets no answer, and is executed late.
	seq++
	delayed := seq
	sent := time.Now()

	rec.add("heartbeat is lost", "", first.id, fmt.Sprintf("ready, seq %d", delayed))

	if !trouble() {
		s.store.put("servers/"+first.id, entrySeq(first, "ready", delayed))
	}

	time.Sleep(contact + 200*time.Millisecond)

	acked := beat("draining")
	rec.add("draining is acknowledged", "", first.id, fmt.Sprintf("seq %d", seq))

	for next := time.Now().Add(1500 * time.Millisecond); time.Since(sent) < late; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(next) {
			beat("draining")

			next = next.Add(1500 * time.Millisecond)
		}
	}

	if trouble() {
		s.store.put("servers/"+first.id, entrySeq(first, "ready", delayed))
		rec.add("heartbeat is executed", "", first.id, fmt.Sprintf("ready, seq %d", delayed))
	}

	// The server has served for drain and somewhat longer, and exits before its next heartbeat.
	time.Sleep(700 * time.Millisecond)
	first.exit()
	s.store.remove("servers/" + first.id)
	rec.add("exits, its entry is removed", "", first.id, "")
	group.Wait()

	deadline := acked.Add(drain).Sub(rec.start)
	after := 0

	for _, l := range rec.of("runs") {
		if l.who == first.id && l.at > deadline {
			after++
		}
	}

	failed := 0

	for _, l := range rec.of("answered") {
		if !strings.HasPrefix(l.value, "200") {
			failed++
		}
	}

	return verdict{
		broken: after > 0,
		text: fmt.Sprintf("%d requests reached the leaving server later than %s after its report was acknowledged; %d of all were not answered by 200",
			after, drain, failed),
	}, nil
}

// entrySeq is entry with the number of the write.
func entrySeq(u *upstream, state string, seq int) map[string]any {
	e := entry(u, state)
	e["status"] = map[string]any{"state": state, "seq": seq, "warmup_left": "0ms"}

	return e
}
