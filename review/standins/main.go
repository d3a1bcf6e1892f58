// Command standins has the stand-ins of the review's cases: the platform's store, upstreams and
// requesters. It starts cwgateway as separate processes and plays one case.
//
//	standins CASE -gateway target/cwgateway -dir DIR
//
// TROUBLE=0 in the environment leaves the disruption out. It exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

var cases = map[string]func(*play) bool{
	"descriptors": descriptors,
	"stop":        stop,
	"memory":      memory,
}

// play is one run of a case.
type play struct {
	rec     *record
	dir     string
	gateway string
	network int
	trouble bool
	store   *store
	// address is that of the store, the same for all machines: their keys follow from it.
	address string
	vms     []*vm
	ending  atomic.Bool
}

func fail(text string) {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", text)
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		fail(err.Error())
	}
}

func main() {
	f := flag.NewFlagSet("standins", flag.ExitOnError)
	gateway := f.String("gateway", "target/cwgateway", "the program under test")
	dir := f.String("dir", ".", "where record.txt is written")

	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fail("no such case")
	}

	check(f.Parse(os.Args[2:]))

	path, err := filepath.Abs(*gateway)
	check(err)

	if _, err := os.Stat(path); err != nil {
		fail(err.Error())
	}

	temp, err := os.MkdirTemp("", "review")
	check(err)

	p := &play{rec: newRecord(), dir: temp, gateway: path, network: reserve(), trouble: os.Getenv("TROUBLE") != "0", store: newStore()}

	p.address = p.store.serve()

	go func() {
		time.Sleep(115 * time.Second)
		p.end()
		fail("it took too long")
	}()

	broken := cases[os.Args[1]](p)
	p.end()
	p.rec.write(filepath.Join(*dir, "record.txt"))

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temp)
	} else {
		fmt.Println("logs:", temp)
	}

	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}

	fmt.Println("the rule held")
}

// end ends all processes.
func (p *play) end() {
	p.ending.Store(true)

	for _, v := range p.vms {
		v.kill()
	}
}

// startVMs starts machines and waits until they are ready.
func (p *play) startVMs(n int, extra string) {
	for i := range n {
		v := newVM(p.dir, p.gateway, p.network, i+1, p.address, extra)
		p.vms = append(p.vms, v)
		v.start(p.rec)
	}

	awaitReady(p.vms)
}
