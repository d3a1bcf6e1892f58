package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["addresses"] = addresses }

// addresses has three zones with four entry VMs each. Three of the last zone have been removed one
// after the other, long ago. With the disruption, the last one is stopped by SIGTERM and started
// again.
func addresses(rec *record) (verdict, error) {
	const (
		vms = 12
		// off is how long after its end a VM must not be named any more: contact + 3 s.
		off    = 6 * time.Second
		length = 28 * time.Second
	)

	s, err := newSite(rec, vms, func(s *site) error {
		s.store.put("op/config", configuration(1, []string{"sheets"}, route{
			Name: "lookup", Prefix: "/lookup/", Kind: "safe", Timeout: "2000ms", Latency: "600ms", Service: "sheets", MaxAttempts: 2,
		}))

		for i := range 3 {
			u, err := newUpstream(rec, s.ip(4, i+1), fmt.Sprintf("i-sheets-%d", i+1), "sheets", 4, 8)
			if err != nil {
				return err
			}

			u.zone = s.zones[i]
			s.store.put("servers/"+u.id, entry(u, "ready"))
		}

		return nil
	}, "hall-a", "hall-b", "hall-c")
	defer s.close()

	if err != nil {
		return verdict{}, err
	}

	time.Sleep(3 * time.Second)
	rec.restart()

	gone, last := []*vm{s.vms[2], s.vms[5], s.vms[8]}, s.vms[11]

	for _, v := range gone {
		v.signal(syscall.SIGTERM)
		time.Sleep(time.Second)
	}

	for _, v := range gone {
		v.awaitEnd(grace)
		rec.add("ended for good", "", v.name, "")
	}

	goneAt := time.Now()

	var (
		group sync.WaitGroup
		mutex sync.Mutex
		named int
		alone int
		down  atomic.Bool
	)

	end := time.Now().Add(length)

	for _, v := range s.vms {
		if slices.Contains(gone, v) || v == last {
			continue
		}

		group.Go(func() {
			for ; time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				list, err := v.resolve(last.zone)
				if err != nil {
					rec.add("no answer", "", v.name, err.Error())

					continue
				}

				rec.add("names", "", v.name, strings.Join(list, " "))

				dead := slices.ContainsFunc(gone, func(v *vm) bool { return slices.Contains(list, v.front()) })
				usable := slices.ContainsFunc(list, func(a string) bool {
					isGone := slices.ContainsFunc(gone, func(v *vm) bool { return v.front() == a })

					return !isGone && (a != last.front() || !down.Load())
				})

				if time.Since(goneAt) > off && dead {
					mutex.Lock()
					named++

					if !usable {
						alone++
					}
					mutex.Unlock()
				}
			}
		})
	}

	if trouble() {
		time.Sleep(off + 6*time.Second)
		rec.add("SIGTERM", "", last.name, "")
		down.Store(true)
		last.signal(syscall.SIGTERM)
		last.awaitEnd(grace)
		rec.add("ended", "", last.name, "")

		if err := last.start(); err != nil {
			return verdict{}, err
		}

		if !last.awaitReady(5 * time.Second) {
			return verdict{}, fmt.Errorf("%s is not ready again", last.name)
		}

		rec.add("ready again", "", last.name, "")
		down.Store(false)
	}

	group.Wait()

	return verdict{
		broken: named > 3,
		text:   fmt.Sprintf("%d answers of the directory named a machine that had been off for over %s, %d of them no machine but these and one that was stopping", named, off, alone),
	}, nil
}

// resolve asks an entry VM which addresses to use.
func (v *vm) resolve(zone string) ([]string, error) {
	c := http.Client{Timeout: time.Second}

	r, err := c.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=ops&zone=%s", v.ip, portDirectory, host, zone))
	if err != nil {
		return nil, err
	}

	defer r.Body.Close()

	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}

	var answer struct {
		Addresses []string `json:"addresses"`
	}

	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", r.StatusCode)
	}

	return answer.Addresses, json.Unmarshal(raw, &answer)
}
