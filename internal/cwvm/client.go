// Package cwvm is the VMList over the HTTP service discovery format of
// Prometheus, see https://prometheus.io/docs/prometheus/latest/http_sd/: a
// JSON list of target groups with labels.
package cwvm

import (
	"context"
	"encoding/json"
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

// Parse reads the format.
func Parse(raw []byte) ([]carobward.VM, error) {
	var groups []Group
	if err := json.Unmarshal(raw, &groups); err != nil {
		return nil, errors.Annotate(err, "list")
	}

	var all []carobward.VM

	for _, g := range groups {
		for _, a := range g.Targets {
			all = append(all, carobward.VM{
				Address: a,
				ID:      g.Labels.VM,
				Service: g.Labels.Service,
				Domain:  g.Labels.Domain,
				State:   state(g.Labels.State),
			})
		}
	}

	return all, nil
}

func state(name string) carobward.VMState {
	if name == carobward.Leaving.String() {
		return carobward.Leaving
	}

	return carobward.Live
}
