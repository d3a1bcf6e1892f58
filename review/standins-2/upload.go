package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["upload"] = upload }

const (
	// memoryLimit is memory_mb of the settings in bytes.
	memoryLimit = 284 << 20
	// uploadSize is half of max_body_bytes of the configuration, uploadLimit.
	uploadSize  = 32 << 20
	uploadLimit = 64 << 20
	uploadWait  = 5 * time.Second
	// uploadSpeed is what a caller sends, in bytes a second: 200 Mbit/s.
	uploadSpeed = 25_000_000
	// restartDelay is how long after its end a process is started again, darkTime the same after
	// a loss of power.
	restartDelay = 500 * time.Millisecond
	darkTime     = 2 * time.Second
)

// upload has one caller for each entry VM that sends one large body after the other, and some
// that send small requests over kept connections. With the disruption three of five entry VMs
// lose power at the same moment for two seconds, some times. A process that exceeds its memory
// is killed and started again, as the platform does.
func upload(rec *record) (verdict, error) {
	const (
		vms    = 5
		light  = 24
		first  = 8 * time.Second
		period = 12 * time.Second
		rounds = 6
		length = first + rounds*period
		killed = 3
	)

	s, err := newSite(rec, vms, func(s *site) error {
		s.oneCore = true

		c := configuration(1, []string{"intake", "sheets"}, route{
			Name: "bundle", Prefix: "/bundle/", Kind: "upload", Timeout: "5000ms", Latency: "1500ms", Service: "intake", MaxAttempts: 2,
		}, route{
			Name: "lookup", Prefix: "/lookup/", Kind: "safe", Timeout: "2000ms", Latency: "600ms", Service: "sheets", MaxAttempts: 2,
		})
		c["limits"].(map[string]any)["max_body_bytes"] = uploadLimit
		s.store.put("op/config", c)

		for i := range 12 {
			service, slots := "intake", 3
			if i%2 == 1 {
				service, slots = "sheets", 8
			}

			u, err := newUpstream(rec, s.ip(4, i+1), fmt.Sprintf("i-%s-%d", service, i+1), service, slots, 8)
			if err != nil {
				return err
			}

			u.quiet = true
			u.work = func(string) time.Duration { return time.Duration(150+rand.IntN(100)) * time.Millisecond }
			s.store.put("servers/"+u.id, entry(u, "ready"))
		}

		return nil
	})
	defer s.close()

	if err != nil {
		return verdict{}, err
	}

	rec.restart()

	m := newMachines(rec, s.vms)
	defer m.stop()

	var group sync.WaitGroup

	end := time.Now().Add(length)

	for i := range vms {
		group.Go(func() {
			for time.Now().Before(end) {
				uploadOnce(rec, fmt.Sprintf("uploader-%d", i+1), m.pick(i))
			}
		})
	}

	for i := range light {
		group.Go(func() {
			for time.Now().Before(end) {
				lookups(rec, fmt.Sprintf("caller-%d", i+1), m.pick(rand.IntN(vms)), end)
			}
		})
	}

	if trouble() {
		time.Sleep(first)

		for n := range rounds {
			for i := range killed {
				m.powerOff((n + i) % vms)
			}

			time.Sleep(period)
		}
	}

	group.Wait()

	return m.judge(), nil
}

// machines are the entry VMs as the platform runs them.
type machines struct {
	record *record
	vms    []*vm
	done   chan struct{}
	group  sync.WaitGroup
	most   atomic.Int64

	mutex sync.Mutex
	down  []bool
	// calmSince is since when nothing has been done to a machine.
	calmSince []time.Time
	ends      []line
	exceeded  int
}

func newMachines(rec *record, vms []*vm) *machines {
	m := &machines{record: rec, vms: vms, done: make(chan struct{}), down: make([]bool, len(vms)), calmSince: make([]time.Time, len(vms))}

	for i := range vms {
		m.group.Go(func() { m.watch(i) })
	}

	return m
}

func (m *machines) stop() {
	close(m.done)
	m.group.Wait()
}

// watch kills a process that exceeds its memory.
func (m *machines) watch(i int) {
	for {
		select {
		case <-m.done:
			return
		case <-time.After(4 * time.Millisecond):
		}

		if m.isDown(i) {
			continue
		}

		used := m.vms[i].memory()
		for old := m.most.Load(); used > old && !m.most.CompareAndSwap(old, used); old = m.most.Load() {
		}

		if used > memoryLimit {
			m.end(i, "exceeds its memory", fmt.Sprintf("%d MB", used>>20), restartDelay)
		}
	}
}

func (m *machines) isDown(i int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.down[i]
}

func (m *machines) powerOff(i int) {
	m.mutex.Lock()
	m.calmSince[i] = time.Now().Add(darkTime)
	m.mutex.Unlock()

	m.end(i, "loses power", "", darkTime)
}

// end kills a process and has it started again.
func (m *machines) end(i int, what, value string, pause time.Duration) {
	m.mutex.Lock()
	if m.down[i] {
		m.mutex.Unlock()

		return
	}

	m.down[i] = true
	v, calm := m.vms[i], time.Since(m.calmSince[i])
	now := time.Since(m.record.start)

	// For the rules a process that ends by itself runs on, unless something was done to its
	// machine in the last 3 s.
	if what == "exceeds its memory" && calm >= 3*time.Second {
		m.exceeded++
		m.ends = append(m.ends, line{at: now, who: v.name})
	}
	m.mutex.Unlock()

	m.record.add(what, "", v.name, value)
	v.signal(syscall.SIGKILL)
	v.awaitEnd(time.Second)

	m.group.Go(func() {
		time.Sleep(pause)

		if err := v.start(); err != nil {
			m.record.add("can't start", "", v.name, err.Error())

			return
		}

		v.awaitReady(5 * time.Second)
		m.record.add("ready again", "", v.name, "")

		m.mutex.Lock()
		m.down[i] = false
		m.mutex.Unlock()
	})
}

// pick returns an entry VM that runs: the nearest one, or another one at random.
func (m *machines) pick(near int) *vm {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	var list []*vm

	for i, v := range m.vms {
		if !m.down[i] {
			list = append(list, v)
		}
	}

	switch {
	case len(list) == 0 || !m.down[near]:
		return m.vms[near]
	default:
		return list[rand.IntN(len(list))]
	}
}

// judge judges LOST: requests over kept connections that were passed on to a server, and whose
// connection was closed without an answer as a process ended by itself.
func (m *machines) judge() verdict {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	passed := map[string]bool{}
	for _, l := range m.record.of("runs") {
		passed[l.id] = true
	}

	lost := 0

	for _, l := range m.record.of("lost on a kept connection") {
		for _, e := range m.ends {
			if passed[l.id] && l.value == e.who && l.at >= e.at && l.at < e.at+time.Second {
				lost++

				break
			}
		}
	}

	return verdict{
		broken: lost > 3,
		text: fmt.Sprintf("%d times a process exceeded its memory of %d MB on a machine without disruption; %d requests that had been passed on from kept connections got no answer by that; most memory in use %d MB",
			m.exceeded, memoryLimit>>20, lost, m.most.Load()>>20),
	}
}

// memory returns how much memory of its own the process uses, without mapped files.
func (v *vm) memory() int64 {
	v.mutex.Lock()
	pid := v.cmd.Process.Pid
	v.mutex.Unlock()

	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}

	fields := strings.Fields(string(raw))

	const resident, shared = 1, 2
	if len(fields) <= shared {
		return 0
	}

	all, _ := strconv.ParseInt(fields[resident], 10, 64)
	mapped, _ := strconv.ParseInt(fields[shared], 10, 64)

	return (all - mapped) * int64(os.Getpagesize())
}

// uploadOnce sends one large body over a new connection.
func uploadOnce(rec *record, name string, v *vm) {
	c, err := net.DialTimeout("tcp", v.front(), time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)

		return
	}

	defer c.Close()

	id := newID()
	rec.add("sent", id, name, v.name)
	_ = c.SetDeadline(time.Now().Add(uploadWait + 500*time.Millisecond))

	_, err = c.Write(fmt.Appendf(nil, "POST /bundle/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, host, id, uploadWait.Milliseconds(), uploadSize))

	part := make([]byte, 256<<10)

	for sent := 0; err == nil && sent < uploadSize; {
		var n int

		n, err = c.Write(part[:min(len(part), uploadSize-sent)])
		sent += n

		time.Sleep(time.Duration(n) * time.Second / uploadSpeed)
	}

	var r *http.Response

	if err == nil {
		r, err = http.ReadResponse(bufio.NewReader(c), nil)
	}

	if err == nil {
		_, err = io.ReadAll(r.Body)
	}

	if err != nil {
		rec.add("upload failed", id, name, err.Error())

		return
	}

	rec.add("answered", id, name, fmt.Sprintf("%d by %s", r.StatusCode, v.name))
}

// lookups sends small requests over one kept connection until it ends.
func lookups(rec *record, name string, v *vm, end time.Time) {
	const waits = 1500 * time.Millisecond

	c, err := net.DialTimeout("tcp", v.front(), time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)

		return
	}

	defer c.Close()

	reader := bufio.NewReader(c)

	for n := 0; time.Now().Before(end); n++ {
		id := newID()
		rec.add("sent", id, name, v.name)
		_ = c.SetDeadline(time.Now().Add(waits + 500*time.Millisecond))

		_, err := c.Write(requestText(http.MethodGet, "/lookup/"+id, id, waits, nil))

		var r *http.Response

		if err == nil {
			r, err = http.ReadResponse(reader, nil)
		}

		if err == nil {
			_, err = io.ReadAll(r.Body)
		}

		if err != nil {
			if n > 0 {
				rec.add("lost on a kept connection", id, name, v.name)
			}

			return
		}

		rec.add("answered", id, name, fmt.Sprintf("%d by %s", r.StatusCode, v.name))

		if r.Close {
			return
		}

		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}
