// Package cwkv is the Store over the Consul KV HTTP API, see
// https://developer.hashicorp.com/consul/api-docs/kv: reads and
// check-and-set writes of single keys, and blocking queries as watches.
package cwkv

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

const (
	// maxValue bounds a reply: a megabyte in base64 and its JSON frame.
	maxValue = 2 << 20
	// watchWait is how long a blocking query may wait.
	watchWait = 50 * time.Second
	// watchSlack is what the service may add to that.
	watchSlack  = 5 * time.Second
	indexHeader = "X-Consul-Index"
)

// Client reaches the key-value service.
type Client struct {
	base    string
	prefix  string
	timeout time.Duration
	http    *fasthttp.Client
}

// New returns a client of the service at base, such as http://10.0.0.2:8500.
// Every key starts with prefix. The timeout bounds each call but a watch.
func New(base, prefix string, timeout time.Duration) *Client {
	return &Client{
		base:    base,
		prefix:  prefix,
		timeout: timeout,
		http: &fasthttp.Client{
			Name:                      "carobward",
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxValue,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
}

// Get returns the entry of a key.
func (c *Client) Get(ctx context.Context, key carobward.Key) (carobward.Entry, error) {
	return c.read(ctx, key, "", c.timeout)
}

// Watch waits for a change of the key with a blocking query.
func (c *Client) Watch(ctx context.Context, key carobward.Key, after carobward.StoreIndex) (carobward.Entry, error) {
	query := fmt.Sprintf("?index=%d&wait=%ds", after, int(watchWait.Seconds()))

	return c.read(ctx, key, query, watchWait+watchSlack)
}

// pair is one value as the service writes it.
type pair struct {
	Value       string
	ModifyIndex uint64
}

func (c *Client) read(ctx context.Context, key carobward.Key, query string, timeout time.Duration) (carobward.Entry, error) {
	entry := carobward.Entry{Key: key}

	r, err := c.do(ctx, fasthttp.MethodGet, key, query, nil, timeout)
	if err != nil {
		return entry, errors.Wrap(err, carobward.ErrStoreDown)
	}

	next, _ := strconv.ParseUint(r.index, 10, 64)
	entry.Next = carobward.StoreIndex(next)

	switch r.status {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return entry, nil
	default:
		return entry, errors.Annotatef(carobward.ErrStoreDown, "store: status %d", r.status)
	}

	var pairs []pair
	if err := json.Unmarshal(r.body, &pairs); err != nil || len(pairs) != 1 {
		return entry, errors.Annotate(carobward.ErrStoreDown, "store: malformed reply")
	}

	value, err := base64.StdEncoding.DecodeString(pairs[0].Value)
	if err != nil {
		return entry, errors.Annotate(carobward.ErrStoreDown, "store: malformed value")
	}

	entry.Value = value
	entry.Index = carobward.StoreIndex(pairs[0].ModifyIndex)

	return entry, nil
}

// Swap writes a value by check-and-set.
func (c *Client) Swap(ctx context.Context, key carobward.Key, value []byte, base carobward.StoreIndex) error {
	query := fmt.Sprintf("?cas=%d", base)

	r, err := c.do(ctx, fasthttp.MethodPut, key, query, value, c.timeout)
	if err != nil {
		return errors.Wrap(err, carobward.ErrStoreUnknown)
	}

	if r.status != fasthttp.StatusOK {
		return errors.Annotatef(carobward.ErrStoreUnknown, "store: status %d", r.status)
	}

	switch string(bytes.TrimSpace(r.body)) {
	case "true":
		return nil
	case "false":
		return carobward.ErrConflict
	default:
		return errors.Annotate(carobward.ErrStoreUnknown, "store: malformed reply")
	}
}

type result struct {
	status int
	index  string
	body   []byte
}

type outcome struct {
	result result
	err    error
}

// do makes one call in its own goroutine, so that ctx can end the waiting.
// The call itself ends at the timeout.
func (c *Client) do(ctx context.Context, method string, key carobward.Key, query string, body []byte, timeout time.Duration) (result, error) {
	done := make(chan outcome, 1)

	go func() {
		r, err := c.call(method, key, query, body, timeout)
		done <- outcome{r, err}
	}()

	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return result{}, ctx.Err()
	}
}

func (c *Client) call(method string, key carobward.Key, query string, body []byte, timeout time.Duration) (result, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + "/v1/kv/" + (&url.URL{Path: c.prefix + string(key)}).EscapedPath() + query)
	req.SetBody(body)

	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return result{}, err
	}

	return result{
		status: resp.StatusCode(),
		index:  string(resp.Header.Peek(indexHeader)),
		body:   append([]byte(nil), resp.Body()...),
	}, nil
}
