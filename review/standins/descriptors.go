package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// The descriptors of a process: max_fds of the settings, of which 200 are reserved for files
// (DEPLOY.md, "Memory and descriptors"). A process of the project has some ten files.
const (
	maxFDs      = 4100
	reservedFDs = 200
	ownFiles    = 10
)

// limitFDs bounds a process's descriptors, as the platform does.
func limitFDs(pid int) {
	const most = maxFDs - reservedFDs + ownFiles

	limit := syscall.Rlimit{Cur: most, Max: most}

	_, _, err := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if err != 0 {
		fail("prlimit: " + err.Error())
	}
}

// openFDs returns how many descriptors a process has.
func openFDs(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))

	return len(list)
}

// directory is a requester's kept connection to a node that serves directory.
type directory struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// get sends one GET over the kept connection, or over a new one.
func (d *directory) get(path string) (int, string, error) {
	for range 2 {
		fresh := d.conn == nil
		if fresh {
			c, err := net.DialTimeout("tcp", d.address, time.Second)
			if err != nil {
				return 0, "", err
			}

			d.conn, d.reader = c, bufio.NewReader(c)
		}

		status, body, err := d.exchange(path)
		if err == nil {
			return status, body, nil
		}

		_ = d.conn.Close()
		d.conn = nil

		if fresh {
			return 0, "", err
		}
	}

	return 0, "", io.EOF
}

func (d *directory) exchange(path string) (int, string, error) {
	_ = d.conn.SetDeadline(time.Now().Add(time.Second))

	if _, err := fmt.Fprintf(d.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, d.address); err != nil {
		return 0, "", err
	}

	resp, err := http.ReadResponse(d.reader, nil)
	if err != nil {
		return 0, "", err
	}

	body, err := io.ReadAll(resp.Body)

	return resp.StatusCode, string(body), err
}

// descriptors: two of three machines lose power, their requesters come to the one that is left, and
// two others are added.
func descriptors(p *play) bool {
	const (
		requesters = 2400
		lonely     = 20 * time.Second
		// calm is longer than recovery, contact and the 5 s after a press.
		calm = 20 * time.Second
	)

	p.site(60, 12)

	for i := range 3 {
		p.add(i + 1)
	}

	awaitReady(p.vms)
	time.Sleep(lead)

	done := make(chan struct{})

	var group sync.WaitGroup

	for i := range requesters {
		q := &requester{rec: p.rec, zone: zones[i%3], hold: 1, failed: map[string]bool{}, kept: map[string]*directory{}}
		if i%4 == 0 {
			q.hold = 3
		}

		for j := range 3 {
			q.directories = append(q.directories, p.vms[(i+j)%3].at(portDirectory))
		}

		group.Go(func() { q.run(done, 3*time.Second, 1800*time.Millisecond, mix...) })
	}

	v := p.vms[0]
	ready := p.watchReady(v, done)

	time.Sleep(15 * time.Second)
	p.countFDs(v)

	if p.trouble {
		for _, lost := range p.vms[1:] {
			lost.signal(p.rec, syscall.SIGKILL)
			<-lost.ended
		}

		for range int(lonely / time.Second) {
			time.Sleep(time.Second)
			p.countFDs(v)
		}

		// The same zones as those of the lost ones.
		p.add(5)
		p.add(6)
		awaitReady(p.vms[3:])
	}

	for range int(calm / time.Second) {
		time.Sleep(time.Second)
		p.countFDs(v)
	}

	broken := p.takesNone(v, ready)

	close(done)
	group.Wait()

	return broken
}

// add starts another machine.
func (p *play) add(number int) {
	v := newVM(p.dir, p.gateway, p.network, number, p.address, "")
	p.vms = append(p.vms, v)
	v.start(p.rec)
	limitFDs(v.process.Process.Pid)
}

// countFDs records how many descriptors a machine's process has.
func (p *play) countFDs(v *vm) {
	p.rec.add("descriptors", "vm", v.name, "open", openFDs(v.process.Process.Pid))
}

// watchReady asks a machine each second whether it is ready, as the platform does.
func (p *play) watchReady(v *vm, done <-chan struct{}) *atomic.Bool {
	ready := &atomic.Bool{}
	d := &directory{address: v.at(portReady)}

	go func() {
		for {
			status, _, err := d.get("/api/readiness")
			ready.Store(err == nil && status == http.StatusOK)
			p.rec.add("readiness", "vm", v.name, "status", status, "error", err)

			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	}()

	return ready
}

// takesNone reports whether a machine that says that it is ready takes no new connection for
// contact, while more than seven requesters try.
func (p *play) takesNone(v *vm, ready *atomic.Bool) bool {
	const (
		tries   = 10
		contact = 4 * time.Second
	)

	var (
		group sync.WaitGroup
		taken atomic.Int64
	)

	began, said := time.Now(), ready.Load()

	for range tries {
		group.Go(func() {
			for time.Since(began) < contact {
				taken.Add(p.probe(v))
			}
		})
	}

	for time.Since(began) < contact {
		said = said && ready.Load()

		time.Sleep(100 * time.Millisecond)
	}

	group.Wait()
	p.rec.add("result", "vm", v.name, "says that it is ready", said, "new connections taken", taken.Load())

	return said && taken.Load() == 0
}

// probe sends one request over a new connection. It returns 1 if it is answered, else 0.
func (p *play) probe(v *vm) int64 {
	c, err := dial(v.at(portFront))
	if err != nil {
		p.rec.add("no connection", "vm", v.name, "error", err)
		time.Sleep(100 * time.Millisecond)

		return 0
	}

	defer c.Close()

	if _, err := c.exchange(p.rec, newID(), &lookup, lookup.prefix+"probe", "", ""); err != nil {
		return 0
	}

	return 1
}
