// Package cwvm is the VMList over the HTTP service discovery format of
// Prometheus, see https://prometheus.io/docs/prometheus/latest/http_sd/: a
// JSON list of target groups with labels.
package cwvm

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Group is one target group of the format.
type Group struct {
	// Targets are addresses that share the labels.
	Targets []carobward.Address `json:"targets"`
	// Labels describe them.
	Labels Labels `json:"labels"`
}

// Labels are the labels that are read; others are passed over.
type Labels struct {
	Service carobward.Service `json:"service"`
	Domain  carobward.Domain  `json:"domain"`
	VM      carobward.VMID    `json:"vm,omitempty"`
	State   string            `json:"state,omitempty"`
}

const (
	maxList = 16 << 20
	timeout = 2 * time.Second
)

// Client reads the list over HTTP.
type Client struct {
	url  string
	http *fasthttp.Client
}

// New returns a client that reads the list at url.
func New(url string) *Client {
	return &Client{url: url, http: &fasthttp.Client{
		Name: "carobward", MaxResponseBodySize: maxList, ReadTimeout: timeout, WriteTimeout: timeout,
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

// The errors of a list.
const (
	// ErrEmpty tells that no VM is on the list. A platform that lost its
	// memory must not take all servers away from us.
	ErrEmpty = errors.ConstError("list: it is empty")
	// ErrAddress tells that a line has no IP number and port.
	ErrAddress = errors.ConstError("list: want an IP number and a port")
)

// Parse reads the format. Lines without a proper address are left out and
// named in the error, beside which the others are returned. An address that
// comes twice counts once, as leaving if either line says so.
func Parse(raw []byte) ([]carobward.VM, error) {
	var groups []Group
	if err := json.Unmarshal(raw, &groups); err != nil {
		return nil, errors.Annotate(err, "list")
	}

	var (
		all []carobward.VM
		bad error
	)

	at := map[carobward.Address]int{}

	for _, g := range groups {
		for _, a := range g.Targets {
			if _, err := netip.ParseAddrPort(string(a)); err != nil {
				bad = errors.Annotatef(ErrAddress, "list: %q", a)

				continue
			}

			v := vm(a, &g.Labels)
			if i, twice := at[a]; twice {
				all[i].State = max(all[i].State, v.State)

				continue
			}

			at[a] = len(all)
			all = append(all, v)
		}
	}

	if len(all) == 0 && bad == nil {
		bad = ErrEmpty
	}

	return all, bad
}

func vm(a carobward.Address, l *Labels) carobward.VM {
	return carobward.VM{Address: a, ID: l.VM, Service: l.Service, Domain: l.Domain, State: state(l.State)}
}

func state(name string) carobward.VMState {
	if name == carobward.Leaving.String() {
		return carobward.Leaving
	}

	return carobward.Live
}
