package cwtest

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"
)

// Fleet is a platform, entry VMs and servers, each a separate process.
type Fleet struct {
	// Carobward and Stand are the paths of the binaries.
	Carobward string
	Stand     string
	// Platform is the address of the platform.
	Platform string
	// VMs are the entry VMs by ID.
	VMs map[string]*EntryVM

	platform *Process
	servers  map[string][]string
}

// EntryVM is an entry VM's process and the addresses of its listeners.
type EntryVM struct {
	Process                           *Process
	Domain                            string
	Callers, Lookup, Peers, Operators string
}

// NewFleet builds the programs and starts a platform.
func NewFleet(t testing.TB) *Fleet {
	t.Helper()

	f := &Fleet{
		Carobward: Build(t, "cmd/carobward"),
		Stand:     Build(t, "cmd/cwstand"),
		VMs:       map[string]*EntryVM{},
		servers:   map[string][]string{},
	}
	f.platform, f.Platform = f.startStand(t, "platform", "--listen", "127.0.0.1:0")

	return f
}

var listenPattern = regexp.MustCompile(`listening (\S+)`)

// StartStand starts a stand-in and returns the address on which it listens.
func (f *Fleet) StartStand(t testing.TB, args ...string) string {
	t.Helper()

	_, address := f.startStand(t, args...)

	return address
}

// KillPlatform kills the platform's process.
func (f *Fleet) KillPlatform(t testing.TB) {
	t.Helper()
	f.platform.Signal(t, syscall.SIGKILL)
	_ = f.platform.Wait(t)
}

func (f *Fleet) startStand(t testing.TB, args ...string) (p *Process, address string) {
	t.Helper()

	p = Start(t, f.Stand, args...)

	Wait(t, "the stand-in listens", func() bool {
		if m := listenPattern.FindStringSubmatch(p.Output()); m != nil {
			address = m[1]
		}

		return address != ""
	})

	return p, address
}

// StartServer starts a server of a service, adds it to the VM list and returns its
// address.
func (f *Fleet) StartServer(t testing.TB, service string, args ...string) string {
	t.Helper()

	address := f.StartStand(t, append([]string{"server"}, args...)...)
	f.AddServer(t, service, address)

	return address
}

// AddServer adds a server that runs elsewhere, such as in the test itself, to the VM
// list.
func (f *Fleet) AddServer(t testing.TB, service, address string) {
	t.Helper()

	f.servers[service] = append(f.servers[service], address)
	f.PublishList(t)
}

var servePattern = regexp.MustCompile(`msg=Serving\..* callers=(\S+) lookup=(\S+) peers=(\S+) operators=(\S+)`)

// StartVM starts an entry VM without adding it to the VM list. Additional settings,
// such as `"log": "debug"`, override the defaults.
func (f *Fleet) StartVM(t testing.TB, vm, domain string, more ...string) *EntryVM {
	t.Helper()

	const anyPort = "127.0.0.1:0"

	return f.StartVMAt(t, vm, EntryVM{Domain: domain, Callers: anyPort, Lookup: anyPort, Peers: anyPort, Operators: anyPort}, more...)
}

// StartVMAt is like StartVM, with the domain and the listen addresses of another entry
// VM.
func (f *Fleet) StartVMAt(t testing.TB, vm string, at EntryVM, more ...string) *EntryVM {
	t.Helper()

	settings := File(t, "settings.jsonc", fmt.Sprintf(`{
		// One entry VM.
		"vm": %q, "domain": %q,
		"listen": {"callers": %q, "lookup": %q, "peers": %q, "operators": %q},
		"store": {"url": "http://%s"},
		"list": {"url": "http://%s/vms", "every": "100ms"},
		"keep": "1s",
		%s
	}`, vm, at.Domain, at.Callers, at.Lookup, at.Peers, at.Operators, f.Platform, f.Platform, strings.Join(more, ",\n")))

	v := &EntryVM{Process: Start(t, f.Carobward, "serve", "--settings", settings), Domain: at.Domain}

	Wait(t, "the entry VM serves", func() bool {
		m := servePattern.FindStringSubmatch(v.Process.Output())
		if m != nil {
			v.Callers, v.Lookup, v.Peers, v.Operators = m[1], m[2], m[3], m[4]
		}

		return m != nil
	})

	f.VMs[vm] = v

	return v
}

// group is an entry of the VM list.
type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// PublishList sets the platform's VM list to the servers and entry VMs of the fleet.
func (f *Fleet) PublishList(t testing.TB) {
	t.Helper()

	var groups []group

	for service, addresses := range f.servers {
		groups = append(groups, group{addresses, map[string]string{"service": service, "domain": "Ifrane"}})
	}

	for vm, v := range f.VMs {
		groups = append(groups, group{[]string{v.Peers}, map[string]string{"service": "carobward", "domain": v.Domain, "vm": vm}})
	}

	raw, err := json.Marshal(groups)
	if err != nil {
		t.Fatal(err)
	}

	f.RequestPlatform(t, fasthttp.MethodPut, "/vms", string(raw))
}

// RequestPlatform sends a request to the platform, to set its VM list or faults.
func (f *Fleet) RequestPlatform(t testing.TB, method, path, body string) {
	t.Helper()

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)

	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + f.Platform + path)
	req.SetBodyString(body)

	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	if err := fasthttp.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("%s %s: %v, status %d", method, path, err, resp.StatusCode())
	}
}

// WaitRevision waits until the status of each of the given entry VMs, or of all if none is
// given, shows that count entry VMs have a revision.
func (f *Fleet) WaitRevision(t testing.TB, revision, count int, vms ...string) {
	t.Helper()

	if len(vms) == 0 {
		for vm := range f.VMs {
			vms = append(vms, vm)
		}
	}

	line := regexp.MustCompile(fmt.Sprintf(`(?m)^\S+ .* live +%d$`, revision))

	for _, vm := range vms {
		Wait(t, fmt.Sprintf("revision %d on %d entry VMs in the status of %s", revision, count, vm), func() bool {
			out, _ := Run(t, f.Carobward, "status", "--vm", f.VMs[vm].Operators)

			return len(line.FindAllString(out, -1)) == count
		})
	}
}
