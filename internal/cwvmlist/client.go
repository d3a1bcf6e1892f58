// Package cwvmlist reads the platform's list of VMs over HTTP, in the HTTP service
// discovery format of Prometheus: a JSON list of target groups with labels. See
// https://prometheus.io/docs/prometheus/latest/http_sd/.
package cwvmlist

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// Group is a target group of the format.
type Group struct {
	// Targets are the addresses to which the labels apply.
	Targets []carobward.Address `json:"targets"`
	Labels  Labels              `json:"labels"`
}

// Labels holds the labels that are used; others are ignored.
type Labels struct {
	Service carobward.Service `json:"service"`
	Domain  carobward.Domain  `json:"domain"`
	VM      carobward.VMID    `json:"vm,omitempty"`
	State   string            `json:"state,omitempty"`
}

const (
	maxListBytes = 16 << 20
	timeout      = 2 * time.Second
)

// Client reads the list over HTTP.
type Client struct {
	url  string
	http *fasthttp.Client
}

// New returns a client that reads the list at url.
func New(url string) *Client {
	return &Client{url: url, http: &fasthttp.Client{
		Name: "carobward", Dial: cwframe.Dialer(timeout), MaxResponseBodySize: maxListBytes, ReadTimeout: timeout, WriteTimeout: timeout,
	}}
}

// List returns all VMs on the list.
func (c *Client) List(ctx context.Context) ([]carobward.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Annotate(err, "list")
	}

	status, body, err := c.http.GetTimeout(nil, c.url, timeout)
	if err != nil {
		return nil, errors.Annotate(err, "list")
	}

	if status != fasthttp.StatusOK {
		return nil, errors.Errorf("list: status %d", status)
	}

	return Parse(body)
}

// The errors of an invalid list.
const (
	// ErrEmpty means that the list has no VMs. It is an error so that a
	// platform that lost its data does not remove all servers.
	ErrEmpty = errors.ConstError("list: it is empty")
	// ErrAddress means that a target is not an IP address with a port.
	ErrAddress = errors.ConstError("list: want an IP number and a port")
)

// Parse parses a list. Targets with an invalid address are skipped: the error
// names the last of them, and the other VMs are returned along with it. An
// address that is listed more than once gives one VM, which is leaving if any of
// its entries is.
func Parse(raw []byte) ([]carobward.VM, error) {
	var groups []Group
	if err := json.Unmarshal(raw, &groups); err != nil {
		return nil, errors.Annotate(err, "list")
	}

	var (
		all     []carobward.VM
		invalid error
	)

	index := map[carobward.Address]int{}

	for _, g := range groups {
		for _, a := range g.Targets {
			if _, err := netip.ParseAddrPort(string(a)); err != nil {
				invalid = errors.Annotatef(ErrAddress, "list: %q", a)

				continue
			}

			v := newVM(a, &g.Labels)
			if i, found := index[a]; found {
				all[i].State = max(all[i].State, v.State)

				continue
			}

			index[a] = len(all)
			all = append(all, v)
		}
	}

	if len(all) == 0 && invalid == nil {
		invalid = ErrEmpty
	}

	return all, invalid
}

func newVM(a carobward.Address, l *Labels) carobward.VM {
	return carobward.VM{Address: a, ID: l.VM, Service: l.Service, Domain: l.Domain, State: parseState(l.State)}
}

func parseState(name string) carobward.VMState {
	if name == carobward.Leaving.String() {
		return carobward.Leaving
	}

	return carobward.Live
}
